/**
 * The retry budget of one service at one router: repeats may be a part of the requests of a sliding window, and this router's
 * part of an extra that all routers share. So the fleet's repeats stay within the budget whatever each router sees.
 */
package sniperoute.request.routing.decision

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import sniperoute.process.clock.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Repeats may be [ratio] of the requests of any [window] and [extra] besides, over all routers. */
public data class RetryAllowance(
    public val ratio: Double = 0.1,
    public val extra: Int = 20,
    public val window: Duration = 10.seconds,
)

private const val WINDOW_PARTS = 10

/** Part of the allowance that is left unused, since windows of different routers don't begin together. */
private const val USED_SHARE = 0.85

/** Requests and repeats in the part of a window that began at [start]. */
public data class RetryPart(public val start: Timestamp, public val requests: Int, public val repeats: Int)

/** What this router sent in the last window, the oldest part first. */
public data class RetryBudget(public val parts: PersistentList<RetryPart>)

/** Returns a budget of which nothing is spent. */
public fun fullRetryBudget(): RetryBudget = RetryBudget(persistentListOf())

/** A part counts until its last moment has left the window: what was spent there at its end must not be spent twice in a window. */
private fun RetryBudget.at(now: Timestamp, allowance: RetryAllowance): RetryBudget {
    val partLength = allowance.window / WINDOW_PARTS
    val kept = parts.filter { now - it.start < allowance.window + partLength }
    val isCurrent = kept.isNotEmpty() && now - kept.last().start < partLength
    return RetryBudget((if (isCurrent) kept else kept + RetryPart(now, 0, 0)).toPersistentList())
}

private fun RetryBudget.withLast(change: (RetryPart) -> RetryPart): RetryBudget =
    RetryBudget(parts.set(parts.lastIndex, change(parts.last())))

/** Returns the budget after a request came at [now]. */
public fun RetryBudget.earn(now: Timestamp, allowance: RetryAllowance): RetryBudget =
    at(now, allowance).withLast { it.copy(requests = it.requests + 1) }

/** Returns the budget after one repeat at [now], or `null` when none is left; [routers] share the extra. */
public fun RetryBudget.spendOrNull(now: Timestamp, allowance: RetryAllowance, routers: Int): RetryBudget? {
    val current = at(now, allowance)
    val requests = current.parts.sumOf { it.requests }
    val repeats = current.parts.sumOf { it.repeats }
    val most = (requests * allowance.ratio + allowance.extra.toDouble() / routers.coerceAtLeast(1)) * USED_SHARE
    return if (repeats + 1 > most) null else current.withLast { it.copy(repeats = it.repeats + 1) }
}
