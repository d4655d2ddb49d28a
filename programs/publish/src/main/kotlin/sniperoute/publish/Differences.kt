/**
 * What a submission would change against what is in force.
 */
package sniperoute.publish

import sniperoute.version.decision.toItems
import sniperoute.version.message.CatalogueItem
import sniperoute.version.message.Declarations

/** Returns one line for each item that [wanted] adds (`+`), removes (`-`) or changes (`~`) against [present]. */
internal fun differences(present: Declarations, wanted: Declarations): List<String> {
    val before = present.toItems().associateBy { it.name }
    val after = wanted.toItems().associateBy { it.name }
    return (before.keys + after.keys)
        .sortedWith(compareBy({ it.kind }, { it.text }))
        .mapNotNull { name -> describe(before[name], after[name]) }
}

private fun describe(before: CatalogueItem?, after: CatalogueItem?): String? = when {
    before == after -> null
    before == null && after != null -> "+ ${after.title()}  $after"
    after == null && before != null -> "- ${before.title()}"
    else -> "~ ${after?.title()}\n    from $before\n    to   $after"
}

private fun CatalogueItem.title(): String = "${name.kind.name.lowercase()} ${name.text}"
