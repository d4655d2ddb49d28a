/**
 * The retry budget of one service at one router. Retries may be a fraction of the requests in a sliding window, plus this router's
 * share of an extra that all routers share. So the retries of the fleet stay within the budget, however the traffic is spread.
 */
package sniperoute.request.routing.decision

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import sniperoute.process.clock.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** In any [window], all routers together may send [ratio] times as many retries as requests, and [extra] more; either may be a fraction. */
public data class RetryAllowance(
    public val ratio: Double = 0.1,
    public val extra: Double = 20.0,
    public val window: Duration = 10.seconds,
)

private const val SLICES_PER_WINDOW = 10

/** The used share of the allowance. The rest is a margin, since the windows of different routers don't begin together. */
private const val USED_SHARE = 0.85

/** Counts of requests and retries in the slice of a window that begins at [start]. */
public data class RetryWindowSlice(public val start: Timestamp, public val requests: Int, public val retries: Int)

/**
 * What this router sent in the last window, the oldest slice first. The router started at [started]. An earlier process on its VM may
 * have spent the router's share of the extra just before, so that share is withheld until a window has passed.
 */
public data class RetryBudget(public val started: Timestamp, public val slices: PersistentList<RetryWindowSlice>)

/** Returns the budget of a router that started at [started]. */
public fun newRetryBudget(started: Timestamp): RetryBudget = RetryBudget(started, persistentListOf())

/** A slice counts until its end has left the window: retries at the end of a slice must not be spent twice within one window. */
private fun RetryBudget.at(now: Timestamp, allowance: RetryAllowance): RetryBudget {
    val sliceLength = allowance.window / SLICES_PER_WINDOW
    val kept = slices.filter { now - it.start < allowance.window + sliceLength }
    val isCurrent = kept.isNotEmpty() && now - kept.last().start < sliceLength
    return copy(slices = (if (isCurrent) kept else kept + RetryWindowSlice(now, 0, 0)).toPersistentList())
}

private fun RetryBudget.withLast(change: (RetryWindowSlice) -> RetryWindowSlice): RetryBudget =
    copy(slices = slices.set(slices.lastIndex, change(slices.last())))

/** Returns the budget after a request arrived at [now]. */
public fun RetryBudget.recordRequest(now: Timestamp, allowance: RetryAllowance): RetryBudget =
    at(now, allowance).withLast { it.copy(requests = it.requests + 1) }

/** Returns the budget after one retry at [now], or `null` if it is exhausted; [routers] share the extra. */
public fun RetryBudget.spendOrNull(now: Timestamp, allowance: RetryAllowance, routers: Int): RetryBudget? {
    val current = at(now, allowance)
    val requests = current.slices.sumOf { it.requests }
    val retries = current.slices.sumOf { it.retries }
    val extra = if (now - started > allowance.window) allowance.extra / routers.coerceAtLeast(1) else 0.0
    val limit = (requests * allowance.ratio + extra) * USED_SHARE
    return if (retries + 1 > limit) null else current.withLast { it.copy(retries = it.retries + 1) }
}
