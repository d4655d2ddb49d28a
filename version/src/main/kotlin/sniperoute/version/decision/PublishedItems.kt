/**
 * The catalogue items in force at the control replicas, each with the revision that changed it last, so that routers receive only the
 * changes since the revision that they have.
 */
package sniperoute.version.decision

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import sniperoute.version.message.CatalogueItem
import sniperoute.version.message.ItemChange
import sniperoute.version.message.ItemName

/**
 * The last change of each item. Removed items are kept for routers that still have them; removals up to the revision [forgotten] may
 * have been compacted.
 */
public data class PublishedItems(
    public val revision: Long,
    public val forgotten: Long,
    public val changes: PersistentMap<ItemName, ItemChange>,
)

/** Returns the state without any item, at revision 0. */
public fun noPublishedItems(): PublishedItems = PublishedItems(0, 0, persistentMapOf())

/** Returns the item that is in force under [name], or `null`. */
public fun PublishedItems.itemOrNull(name: ItemName): CatalogueItem? = changes[name]?.item

/** Returns the next revision, with [items] in force and [removed] no longer in force, or this one when nothing differs. */
public fun PublishedItems.publish(items: List<CatalogueItem>, removed: List<ItemName> = emptyList()): PublishedItems {
    val changedItems = items.filter { itemOrNull(it.name) != it }
    val removedItems = removed.filter { itemOrNull(it) != null }
    if (changedItems.isEmpty() && removedItems.isEmpty()) return this
    val next = revision + 1
    val withItems = changedItems.fold(changes) { all, item -> all.put(item.name, ItemChange(next, item.name, item)) }
    val withRemovals = removedItems.fold(withItems) { all, name -> all.put(name, ItemChange(next, name, null)) }
    return copy(revision = next, changes = withRemovals).compactRemovals()
}

private const val MAX_KEPT_REMOVALS = 4_096

private fun PublishedItems.compactRemovals(): PublishedItems {
    val removals = changes.values.filter { it.item == null }
    if (removals.size <= MAX_KEPT_REMOVALS) return this
    val oldest = removals.sortedBy { it.revision }.take(removals.size - MAX_KEPT_REMOVALS / 2)
    return copy(
        forgotten = oldest.last().revision,
        changes = oldest.fold(changes) { all, change -> all.remove(change.name) },
    )
}

/** The changes from a router's revision to the current one; when [isWhole], they replace everything that the router has. */
public data class ChangesSince(public val isWhole: Boolean, public val changes: PersistentList<ItemChange>)

/** Returns the changes since the revision [known]. */
public fun PublishedItems.changesSince(known: Long): ChangesSince {
    val isWhole = known < forgotten || known > revision
    val selected = changes.values.filter { if (isWhole) it.item != null else it.revision > known }
    return ChangesSince(isWhole, selected.sortedBy { it.revision }.toPersistentList())
}
