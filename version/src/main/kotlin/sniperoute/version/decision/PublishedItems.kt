/**
 * The items in force at the control replicas, each with the revision that changed it, and the changes since a revision.
 */
package sniperoute.version.decision

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import sniperoute.version.message.CatalogueItem
import sniperoute.version.message.ItemChange
import sniperoute.version.message.ItemName

/** The items, gone ones included for those who still have them; changes up to [forgotten] may be missing. */
public data class PublishedItems(
    public val revision: Long,
    public val forgotten: Long,
    public val changes: PersistentMap<ItemName, ItemChange>,
)

/** Returns the state in which nothing was ever in force. */
public fun noPublishedItems(): PublishedItems = PublishedItems(0, 0, persistentMapOf())

/** The item that is in force under [name], or `null`. */
public fun PublishedItems.itemOrNull(name: ItemName): CatalogueItem? = changes[name]?.item

/** Returns the next revision, with [items] in force and [gone] not any more; without any difference it is this one. */
public fun PublishedItems.publish(items: List<CatalogueItem>, gone: List<ItemName> = emptyList()): PublishedItems {
    val changed = items.filter { itemOrNull(it.name) != it }
    val removed = gone.filter { itemOrNull(it) != null }
    if (changed.isEmpty() && removed.isEmpty()) return this
    val next = revision + 1
    val withItems = changed.fold(changes) { all, item -> all.put(item.name, ItemChange(next, item.name, item)) }
    val withRemovals = removed.fold(withItems) { all, name -> all.put(name, ItemChange(next, name, null)) }
    return copy(revision = next, changes = withRemovals).forgetOldRemovals()
}

private const val KEPT_REMOVALS = 4_096

private fun PublishedItems.forgetOldRemovals(): PublishedItems {
    val removals = changes.values.filter { it.item == null }
    if (removals.size <= KEPT_REMOVALS) return this
    val oldest = removals.sortedBy { it.revision }.take(removals.size - KEPT_REMOVALS / 2)
    return copy(
        forgotten = oldest.last().revision,
        changes = oldest.fold(changes) { all, change -> all.remove(change.name) },
    )
}

/** What leads a router from one revision to the present one; when [isWhole] it starts from nothing. */
public data class ChangesSince(public val isWhole: Boolean, public val changes: PersistentList<ItemChange>)

/** Returns the changes since [known]. */
public fun PublishedItems.changesSince(known: Long): ChangesSince {
    val isWhole = known < forgotten || known > revision
    val wanted = changes.values.filter { if (isWhole) it.item != null else it.revision > known }
    return ChangesSince(isWhole, wanted.sortedBy { it.revision }.toPersistentList())
}
