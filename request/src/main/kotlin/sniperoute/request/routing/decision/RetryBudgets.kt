/**
 * The retry budget: retries may be a tenth of a router's requests and a few a second besides. Every router keeps its own, in
 * proportion to its traffic, so the fleet's retries stay within the same share.
 */
package sniperoute.request.routing.decision

import sniperoute.process.clock.Moment

private const val PER_REQUEST = 100L
private const val PER_RETRY = 1_000L
private const val PER_SECOND = 2_000L
private const val MOST = 20_000L
private const val MICROSECONDS_PER_SECOND = 1_000_000L

/** What may still be spent on retries, in thousandths of one. */
public data class RetryBudget(public val left: Long, public val at: Moment)

/** Returns a full budget at [now]. */
public fun fullRetryBudget(now: Moment): RetryBudget = RetryBudget(MOST, now)

/** Returns the budget after a request came. */
public fun RetryBudget.earn(): RetryBudget = copy(left = minOf(MOST, left + PER_REQUEST))

/** Returns the budget after one retry at [now], or `null` when none is left. */
public fun RetryBudget.spendOrNull(now: Moment): RetryBudget? {
    val refill = (now.microseconds - at.microseconds).coerceAtLeast(0) * PER_SECOND / MICROSECONDS_PER_SECOND
    val level = minOf(MOST, left + refill)
    return if (level < PER_RETRY) null else RetryBudget(level - PER_RETRY, now)
}
