/**
 * The catalogue items in force at the control replicas, each with the revision that changed it last, so that routers receive only the
 * changes since the revision that they have, in pages that a slow link carries in a fraction of a second.
 */
package sniperoute.version.decision

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import sniperoute.version.message.BlockQuarantineItem
import sniperoute.version.message.CacheGenerationsItem
import sniperoute.version.message.CacheSharerItem
import sniperoute.version.message.CatalogueCursor
import sniperoute.version.message.CatalogueItem
import sniperoute.version.message.ItemChange
import sniperoute.version.message.ItemName
import sniperoute.version.message.MoveItem
import sniperoute.version.message.RouteItem
import sniperoute.version.message.ServiceItem

/**
 * The last change of each item. Removed items are kept for routers that still have them; removals up to the revision [forgotten] may
 * have been compacted.
 */
public data class PublishedItems(
    public val revision: Long,
    public val forgotten: Long,
    public val changes: PersistentMap<ItemName, ItemChange>,
) {
    /** The changes in the order in which routers get them. Sorted once for all routers that ask for this revision. */
    internal val inOrder: List<ItemChange> by lazy { changes.values.sortedWith(changeOrder) }
}

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

/** The length up to which changes are put into one page. A longer change has a page of its own. */
public const val MAX_PAGE_BYTES: Int = 64 * 1024

/**
 * Part of the changes from a router's revision to the current one. It follows the cursor [continues], or what the router serves if that is
 * `null`; [next] is the end of the page, or `null` if it is the last one. When [isWhole], the changes of all pages replace everything
 * that the router has.
 */
public data class ChangePage(
    public val isWhole: Boolean,
    public val changes: PersistentList<ItemChange>,
    public val continues: CatalogueCursor?,
    public val next: CatalogueCursor?,
)

/**
 * Returns the changes since the revision [known], up to [maxBytes] of them. A [cursor] continues an earlier page, also one of an
 * earlier revision, unless removals that have been compacted since would be missed.
 */
public fun PublishedItems.pageSince(known: Long, cursor: CatalogueCursor? = null, maxBytes: Int = MAX_PAGE_BYTES): ChangePage {
    val kept = forgotten..revision
    val continued = cursor?.takeIf { it.base in kept && it.revision <= revision }
    val isWhole = known !in kept
    val start = continued ?: if (isWhole) CatalogueCursor(revision, 0) else CatalogueCursor(known, known)
    val remaining = changesAfter(start)
    val changes = remaining.take(remaining.countWithin(maxBytes))
    val next = if (changes.size < remaining.size) changes.last().let { CatalogueCursor(start.base, it.revision, it.name) } else null
    return ChangePage(isWhole, changes.toPersistentList(), continued, next)
}

/** Removals up to the cursor's base are left out: a router that starts at it has none of those items. */
private fun PublishedItems.changesAfter(cursor: CatalogueCursor): List<ItemChange> =
    inOrder.subList(firstAfter(cursor), inOrder.size).filter { it.item != null || it.revision > cursor.base }

/** Returns how many of the first changes have [maxBytes] together, and 1 at least if there is any. */
private fun List<ItemChange>.countWithin(maxBytes: Int): Int {
    var bytes = 0
    val count = takeWhile {
        bytes += it.estimatedBytes
        bytes <= maxBytes
    }.size
    return count.coerceIn(minOf(1, size), size)
}

private val changeOrder = compareBy<ItemChange>({ it.revision }, { it.name.kind }, { it.name.text })

/** Returns the index of the first change after [cursor]. */
private fun PublishedItems.firstAfter(cursor: CatalogueCursor): Int {
    val name = cursor.name ?: return inOrder.indexOfFirstOrSize { it.revision > cursor.revision }
    val last = ItemChange(cursor.revision, name, null)
    return inOrder.indexOfFirstOrSize { changeOrder.compare(it, last) > 0 }
}

/** Returns the index of the first element for which [isAfter] holds, in a list in which it holds for all following ones. */
private fun <T> List<T>.indexOfFirstOrSize(isAfter: (T) -> Boolean): Int = -1 - binarySearch { if (isAfter(it)) 1 else -1 }

/** The field names and the fixed-size values of a change. */
private const val CHANGE_BYTES = 400

/** The field names and values of an entry of a list or a map in an item. */
private const val ENTRY_BYTES = 160
private const val BLOCK_BYTES = 32
private const val GROUP_BYTES = 3
private const val GENERATION_BYTES = 12

/** About how long the change is when it is encoded. */
private val ItemChange.estimatedBytes: Int
    get() = CHANGE_BYTES + name.text.length + when (val current = item) {
        is RouteItem -> current.route.path.length + ENTRY_BYTES * current.route.shares.size
        is ServiceItem -> ENTRY_BYTES * current.service.endpoints.size
        is MoveItem -> ENTRY_BYTES * current.move.assigned.size
        is BlockQuarantineItem -> BLOCK_BYTES * current.blocks.size
        is CacheSharerItem -> GROUP_BYTES * current.groups.size
        is CacheGenerationsItem -> GENERATION_BYTES * current.generations.size
        else -> 0
    }
