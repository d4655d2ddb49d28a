/**
 * The stand-in engine's prompt cache: a bounded number of cache blocks, evicted in least recently used order.
 */
package sniperoute.standin.engine.decision

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList

/** Up to [capacity] blocks; [lastAccesses] maps each block to its last access on a logical clock, which is at [clock]. */
public data class BlockCache(public val capacity: Int, public val lastAccesses: PersistentMap<Long, Long>, public val clock: Long)

/** Returns an empty cache. */
public fun emptyBlockCache(capacity: Int): BlockCache = BlockCache(capacity, persistentMapOf(), 0)

/** Returns how many blocks of [chain] are cached, counted from its start up to the first one that isn't. */
public fun BlockCache.countCachedBlocks(chain: List<Long>): Int = chain.takeWhile { it in lastAccesses }.size

/** The cache after an access, the blocks that the access [stored], and those that it evicted, [removed]. */
public data class CacheAccess(
    public val cache: BlockCache,
    public val stored: PersistentList<Long>,
    public val removed: PersistentList<Long>,
)

/** Returns the cache after an access to all blocks of [chain]; missing blocks are stored. */
public fun BlockCache.access(chain: List<Long>): CacheAccess {
    val stored = chain.filter { it !in lastAccesses }.toPersistentList()
    val accessed = chain.foldIndexed(lastAccesses) { position, all, block -> all.put(block, clock + chain.size - position) }
    val surplus = accessed.size - capacity
    val next = copy(lastAccesses = accessed, clock = clock + chain.size + 1)
    if (surplus <= 0) return CacheAccess(next, stored, persistentListOf())
    val removed = accessed.entries
        .sortedBy { it.value }
        .take(surplus)
        .map { it.key }
        .toPersistentList()
    return CacheAccess(next.copy(lastAccesses = removed.fold(accessed) { all, block -> all.remove(block) }), stored, removed)
}
