/**
 * When callers of refused requests should come back. The load that this decides about is more requests than the endpoints of a service
 * take, as in a burst: callers who return at once meet the same queues and have spent their next try, and those who were refused together
 * return together. So they are told to wait until the shortest queue has fallen to what their requests may wait, spread over as much time
 * again. Those refused earlier return earlier.
 */
package sniperoute.request.admission.decision

import kotlin.time.Duration

/** A caller has to have time left for another wait and the answer, so at most this share of the rest is spent away. */
private const val MAX_ABSENCE_SHARE = 1.0 / 3

/**
 * Returns the time after which the caller of a refused request should come back. The [shortest] queue of its service takes so long, the
 * request may wait for [allowed], and it has [left] until its deadline. The delay is at least [least], unless that is beyond its share of
 * the time left. The [hash] spreads callers.
 */
public fun returnDelay(shortest: Duration, allowed: Duration, least: Duration, left: Duration, hash: Long): Duration {
    val delay = maxOf(least, shortest - allowed)
    val spread = (hash ushr 1).toDouble() / Long.MAX_VALUE
    return minOf(delay * (1 + spread), left * MAX_ABSENCE_SHARE).coerceAtLeast(Duration.ZERO)
}
