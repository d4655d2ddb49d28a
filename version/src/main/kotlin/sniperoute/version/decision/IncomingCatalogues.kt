/**
 * The changes of a catalogue that a router has received in pages and doesn't serve before the last one: a catalogue is in force as a whole.
 */
package sniperoute.version.decision

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import sniperoute.version.message.CatalogueCursor
import sniperoute.version.message.ItemChange
import sniperoute.version.message.RenewReply

/** The [changes] of the pages up to [cursor]; when [isWhole], they replace everything that the router has. */
public data class IncomingCatalogue(
    public val isWhole: Boolean,
    public val changes: PersistentList<ItemChange>,
    public val cursor: CatalogueCursor,
)

/** Whether the page in [reply], to a request with the cursor [requested], follows what was received so far. */
public fun IncomingCatalogue?.isFollowedBy(reply: RenewReply, requested: CatalogueCursor?): Boolean =
    requested == this?.cursor || (reply.continues == null && reply.next == null)

/** Returns [reply] with the changes of the earlier pages that it continues. */
public fun IncomingCatalogue?.join(reply: RenewReply): RenewReply =
    if (this == null || reply.continues == null) reply else reply.copy(isWhole = isWhole, changes = changes.addAll(reply.changes))

/** Returns what was received up to the page in [reply], or `null` if that is the last page. */
public fun IncomingCatalogue?.withPage(reply: RenewReply): IncomingCatalogue? {
    val joined = join(reply)
    return reply.next?.let { IncomingCatalogue(joined.isWhole, joined.changes.toPersistentList(), it) }
}
