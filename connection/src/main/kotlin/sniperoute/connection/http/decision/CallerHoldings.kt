/**
 * What callers' connections may hold together, and which of them yield when that is exceeded. A peer address may hold as much as its fair
 * share of the bound, so that a fleet of callers behind one address is held back only by its own crowd. Of a peer with more, the
 * connections yield that have held the most for the longest time: an ordinary request is complete before it ranks high.
 */
package sniperoute.connection.http.decision

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList
import kotlin.time.Duration

/** The bounds of what callers' connections hold together; each unread byte of a response counts as [outputWeight] bytes. */
public data class CallerBounds(public val bytes: Long, public val connections: Int, public val outputWeight: Long)

/** Callers' connections may hold one part in so many of the heap. */
private const val SHARE_OF_HEAP = 4

/** Unread responses may hold one part in so many of the direct memory, which all connections of a process use. */
private const val SHARE_OF_DIRECT_MEMORY = 2

/** Descriptors for files, libraries and the sockets of the process itself. */
private const val RESERVED_DESCRIPTORS = 200L

/** One in so many of the other descriptors is left to connections to endpoints and to links. */
private const val DESCRIPTOR_PARTS = 4

/** Fewer connections than this are never asked for, however few descriptors there are. */
private const val MIN_CONNECTIONS = 16L

/** Returns the bounds for a process with so many bytes of heap and direct memory, and so many [descriptors]. */
public fun callerBounds(heapBytes: Long, directBytes: Long, descriptors: Long): CallerBounds {
    val bytes = heapBytes / SHARE_OF_HEAP
    val output = maxOf(1, directBytes / SHARE_OF_DIRECT_MEMORY)
    val connections = (descriptors - RESERVED_DESCRIPTORS) / DESCRIPTOR_PARTS * (DESCRIPTOR_PARTS - 1)
    return CallerBounds(
        bytes = bytes,
        connections = connections.coerceIn(MIN_CONNECTIONS, Int.MAX_VALUE.toLong()).toInt(),
        outputWeight = (bytes + output - 1) / output,
    )
}

/** What one connection holds: [bytes] since [age]; one that [isIdle] has no request at all, one that [mayYield] none that runs. */
public data class CallerHolding<T>(
    public val holder: T,
    public val peer: String,
    public val bytes: Long,
    public val age: Duration,
    public val mayYield: Boolean,
    public val isIdle: Boolean = false,
)

/** A connection with an unfinished request ranks like an idle one that is so many times older, since ordinary callers keep idle ones. */
private const val IDLE_PER_UNFINISHED = 16L

private fun CallerHolding<*>.rank(): Long = bytes * (age.inWholeMilliseconds + 1) * (if (isIdle) 1 else IDLE_PER_UNFINISHED)

/** Returns the holders that yield so that the others hold [targetBytes] at most, as far as those that may yield suffice. */
public fun <T> yieldingHolders(holdings: ImmutableList<CallerHolding<T>>, targetBytes: Long): ImmutableList<T> {
    if (holdings.size <= 1) return persistentListOf()
    val peers = holdings.groupBy { it.peer }
    val share = fairShare(peers.values.map { held -> held.sumOf { it.bytes } }, targetBytes)
    return peers.values.flatMap { largestUntil(it, share) }.toImmutableList()
}

/** Returns what each of [totals] may keep so that all together have [target] at most and none has less than it needs for a larger one. */
private fun fairShare(totals: List<Long>, target: Long): Long {
    var left = target
    totals.sorted().forEachIndexed { index, total ->
        val share = left / (totals.size - index)
        if (total > share) return share
        left -= total
    }
    return Long.MAX_VALUE
}

private fun <T> largestUntil(held: List<CallerHolding<T>>, share: Long): List<T> {
    var total = held.sumOf { it.bytes }
    return held
        .filter { it.mayYield }
        .sortedByDescending { it.rank() }
        .takeWhile { holding -> (total > share).also { total -= holding.bytes } }
        .map { it.holder }
}
