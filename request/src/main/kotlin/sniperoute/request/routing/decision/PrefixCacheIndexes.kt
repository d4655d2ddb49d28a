/**
 * An index of the prompt blocks in the engines' prefix caches. It is a hint: a wrong entry costs time, never correctness, since
 * engines themselves keep entries of different workspaces and weights apart. Entries belong to one incarnation of one engine and are
 * dropped with it.
 */
package sniperoute.request.routing.decision

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import sniperoute.process.clock.Timestamp
import sniperoute.request.prefix.decision.cacheKey
import sniperoute.version.message.EndpointName
import sniperoute.version.message.WeightsVersion
import kotlin.time.Duration.Companion.seconds

/** How long entries from before a gap in an engine's events stay valid after the gap. */
private val LIFETIME_AFTER_GAP = 5.seconds

/** The upper bound on blocks in the index. Above it, the oldest quarter is evicted. */
private const val MAX_BLOCKS = 200_000
private const val EVICTION_DIVISOR = 4

/** For each block, the endpoints that cache it and the time since when that is known; and the time of each endpoint's last gap. */
public data class PrefixCacheIndex(
    public val holders: PersistentMap<Long, PersistentMap<EndpointName, Timestamp>>,
    public val gaps: PersistentMap<EndpointName, Timestamp>,
)

/** Returns an empty index. */
public fun emptyPrefixCacheIndex(): PrefixCacheIndex = PrefixCacheIndex(persistentMapOf(), persistentMapOf())

/** Returns the index after [endpoint] was found to cache the blocks [keys] at [now]. */
public fun PrefixCacheIndex.addBlocks(endpoint: EndpointName, keys: List<Long>, now: Timestamp): PrefixCacheIndex {
    val newKeys = keys.filter { key -> holders[key]?.get(endpoint).let { it == null || it < (gaps[endpoint] ?: Timestamp.EARLIEST) } }
    if (newKeys.isEmpty()) return this
    val changed = holders.builder()
    newKeys.forEach { key -> changed[key] = (changed[key] ?: persistentMapOf()).put(endpoint, now) }
    return copy(holders = changed.build()).evictOldest()
}

/** Returns how many leading blocks of [chain] under [weights] the single endpoint [endpoint] is believed to cache at [now]. */
public fun PrefixCacheIndex.cachedBlocksAt(endpoint: EndpointName, chain: List<Long>, weights: WeightsVersion, now: Timestamp): Int =
    chain.takeWhile { hash -> holders[cacheKey(hash, weights)]?.get(endpoint)?.let { isValid(endpoint, it, now) } ?: false }.size

/** Returns the index after [endpoint] was found to cache the blocks [keys] no longer. */
public fun PrefixCacheIndex.removeBlocks(endpoint: EndpointName, keys: List<Long>): PrefixCacheIndex {
    val changed = holders.builder()
    keys.forEach { key ->
        val rest = changed[key]?.remove(endpoint)
        if (rest.isNullOrEmpty()) changed.remove(key) else changed[key] = rest
    }
    return copy(holders = changed.build())
}

/** Returns the index without [endpoint], which crashed, restarted with an empty cache, changed its weights or was removed. */
public fun PrefixCacheIndex.removeEndpoint(endpoint: EndpointName): PrefixCacheIndex =
    removeBlocks(endpoint, holders.filterValues { endpoint in it }.keys.toList()).copy(gaps = gaps.remove(endpoint))

/** Returns the index after events of [endpoint] were lost. Older entries stay valid for [LIFETIME_AFTER_GAP] only. */
public fun PrefixCacheIndex.recordGap(endpoint: EndpointName, now: Timestamp): PrefixCacheIndex = copy(gaps = gaps.put(endpoint, now))

/** Returns how many leading blocks of [chain] each engine with [weights] is believed to cache at [now]; engines with none are left out. */
public fun PrefixCacheIndex.cachedBlocks(chain: List<Long>, weights: WeightsVersion, now: Timestamp): PersistentMap<EndpointName, Int> {
    var cached = persistentMapOf<EndpointName, Int>()
    chain.forEachIndexed { position, hash ->
        val blockHolders = holders[cacheKey(hash, weights)] ?: return cached
        val unbroken = blockHolders.entries.filter { (endpoint, since) ->
            (cached[endpoint] ?: 0) == position && isValid(endpoint, since, now)
        }
        if (unbroken.isEmpty()) return cached
        cached = unbroken.fold(cached) { all, (endpoint, _) -> all.put(endpoint, position + 1) }
    }
    return cached
}

private fun PrefixCacheIndex.isValid(endpoint: EndpointName, since: Timestamp, now: Timestamp): Boolean {
    val gap = gaps[endpoint] ?: return true
    return since >= gap || now - gap <= LIFETIME_AFTER_GAP
}

private fun PrefixCacheIndex.evictOldest(): PrefixCacheIndex {
    if (holders.size <= MAX_BLOCKS) return this
    val oldest = holders.entries.sortedBy { (_, endpoints) -> endpoints.values.max() }.take(MAX_BLOCKS / EVICTION_DIVISOR)
    val kept = holders.builder()
    oldest.forEach { kept.remove(it.key) }
    return copy(holders = kept.build())
}
