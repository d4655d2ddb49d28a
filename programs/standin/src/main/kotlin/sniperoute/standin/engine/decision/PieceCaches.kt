/**
 * The stand-in engine's cache of prompt pieces: limited, least recently used pieces go first.
 */
package sniperoute.standin.engine.decision

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList

/** Up to [capacity] pieces, each with the time of its last use in a count of uses. */
public data class PieceCache(public val capacity: Int, public val pieces: PersistentMap<Long, Long>, public val uses: Long)

/** Returns a cache without pieces. */
public fun emptyPieceCache(capacity: Int): PieceCache = PieceCache(capacity, persistentMapOf(), 0)

/** Returns how many leading pieces of [chain] are there. */
public fun PieceCache.heldPieces(chain: List<Long>): Int = chain.takeWhile { it in pieces }.size

/** A cache after a use, and what came and went by it. */
public data class CacheUse(
    public val cache: PieceCache,
    public val stored: PersistentList<Long>,
    public val removed: PersistentList<Long>,
)

/** Returns the cache after all pieces of [chain] were used, those computed that were not there. */
public fun PieceCache.use(chain: List<Long>): CacheUse {
    val stored = chain.filter { it !in pieces }.toPersistentList()
    val used = chain.foldIndexed(pieces) { position, all, piece -> all.put(piece, uses + chain.size - position) }
    val surplus = used.size - capacity
    val next = copy(pieces = used, uses = uses + chain.size + 1)
    if (surplus <= 0) return CacheUse(next, stored, persistentListOf())
    val removed = used.entries
        .sortedBy { it.value }
        .take(surplus)
        .map { it.key }
        .toPersistentList()
    return CacheUse(next.copy(pieces = removed.fold(used) { all, piece -> all.remove(piece) }), stored, removed)
}
