/**
 * What a router believes the engines' caches hold. It is a hint: a wrong one costs time, never correctness, since engines keep
 * entries apart by workspace and weights themselves. Entries belong to one run of one engine and go with it.
 */
package sniperoute.request.routing.decision

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import sniperoute.process.clock.Timestamp
import sniperoute.request.prefix.decision.cacheKey
import sniperoute.version.message.EndpointName
import sniperoute.version.message.WeightsVersion
import kotlin.time.Duration.Companion.seconds

/** How long entries from before a gap in an engine's events are still believed. */
private val BELIEF_AFTER_GAP = 5.seconds

/** The most entries kept; when there are more, the oldest quarter goes. */
private const val MOST_ENTRIES = 200_000
private const val TRIM_SHARE = 4

/** Which engines hold which piece, and since when that is known; and each engine's last gap. */
public data class PrefixCacheIndex(
    public val holders: PersistentMap<Long, PersistentMap<EndpointName, Timestamp>>,
    public val gaps: PersistentMap<EndpointName, Timestamp>,
)

/** Returns no knowledge. */
public fun emptyPrefixCacheIndex(): PrefixCacheIndex = PrefixCacheIndex(persistentMapOf(), persistentMapOf())

/** Returns the knowledge after [endpoint] was found at [now] to hold the pieces [keys]. */
public fun PrefixCacheIndex.addBlocks(endpoint: EndpointName, keys: List<Long>, now: Timestamp): PrefixCacheIndex {
    val news = keys.filter { key -> holders[key]?.get(endpoint).let { it == null || it < (gaps[endpoint] ?: Timestamp.EARLIEST) } }
    if (news.isEmpty()) return this
    val changed = holders.builder()
    news.forEach { key -> changed[key] = (changed[key] ?: persistentMapOf()).put(endpoint, now) }
    return copy(holders = changed.build()).trimmed()
}

/** Returns how many leading pieces of [chain] under [weights] the one place [endpoint] is believed to hold at [now]. */
public fun PrefixCacheIndex.heldAt(endpoint: EndpointName, chain: List<Long>, weights: WeightsVersion, now: Timestamp): Int =
    chain.takeWhile { link -> holders[cacheKey(link, weights)]?.get(endpoint)?.let { isBelieved(endpoint, it, now) } ?: false }.size

/** Returns the knowledge after [endpoint] was found not to hold the pieces [keys] any more. */
public fun PrefixCacheIndex.unlearn(endpoint: EndpointName, keys: List<Long>): PrefixCacheIndex {
    val changed = holders.builder()
    keys.forEach { key ->
        val rest = changed[key]?.remove(endpoint)
        if (rest.isNullOrEmpty()) changed.remove(key) else changed[key] = rest
    }
    return copy(holders = changed.build())
}

/** Returns the knowledge after [endpoint] came back empty, or was lost. */
public fun PrefixCacheIndex.forget(endpoint: EndpointName): PrefixCacheIndex =
    unlearn(endpoint, holders.filterValues { endpoint in it }.keys.toList()).copy(gaps = gaps.remove(endpoint))

/** Returns the knowledge after events of [endpoint] were lost: what is known from before is believed for a while only. */
public fun PrefixCacheIndex.noteGap(endpoint: EndpointName, now: Timestamp): PrefixCacheIndex = copy(gaps = gaps.put(endpoint, now))

/** Returns how many leading pieces of [chain] each engine with [weights] is believed to hold at [now]; those with none are left out. */
public fun PrefixCacheIndex.heldPieces(chain: List<Long>, weights: WeightsVersion, now: Timestamp): PersistentMap<EndpointName, Int> {
    var held = persistentMapOf<EndpointName, Int>()
    chain.forEachIndexed { position, link ->
        val known = holders[cacheKey(link, weights)] ?: return held
        val going = known.entries.filter { (endpoint, since) -> (held[endpoint] ?: 0) == position && isBelieved(endpoint, since, now) }
        if (going.isEmpty()) return held
        held = going.fold(held) { all, (endpoint, _) -> all.put(endpoint, position + 1) }
    }
    return held
}

private fun PrefixCacheIndex.isBelieved(endpoint: EndpointName, since: Timestamp, now: Timestamp): Boolean {
    val gap = gaps[endpoint] ?: return true
    return since >= gap || now - gap <= BELIEF_AFTER_GAP
}

private fun PrefixCacheIndex.trimmed(): PrefixCacheIndex {
    if (holders.size <= MOST_ENTRIES) return this
    val oldest = holders.entries.sortedBy { (_, known) -> known.values.max() }.take(MOST_ENTRIES / TRIM_SHARE)
    val kept = holders.builder()
    oldest.forEach { kept.remove(it.key) }
    return copy(holders = kept.build())
}
