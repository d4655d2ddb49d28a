/**
 * Compares declarations with those in force.
 */
package sniperoute.publish

import sniperoute.version.decision.toItems
import sniperoute.version.message.CatalogueItem
import sniperoute.version.message.Declarations

/** Returns one entry for each item that [wanted] adds to (`+`), removes from (`-`) or changes in (`~`) [current]. */
internal fun differences(current: Declarations, wanted: Declarations): List<String> {
    val before = current.toItems().associateBy { it.name }
    val after = wanted.toItems().associateBy { it.name }
    return (before.keys + after.keys)
        .sortedWith(compareBy({ it.kind }, { it.text }))
        .mapNotNull { name -> describe(before[name], after[name]) }
}

private fun describe(before: CatalogueItem?, after: CatalogueItem?): String? = when {
    before == after -> null
    before == null && after != null -> "+ ${after.describeName()}  $after"
    after == null && before != null -> "- ${before.describeName()}"
    else -> "~ ${after?.describeName()}\n    from $before\n    to   $after"
}

private fun CatalogueItem.describeName(): String = "${name.kind.name.lowercase()} ${name.text}"
