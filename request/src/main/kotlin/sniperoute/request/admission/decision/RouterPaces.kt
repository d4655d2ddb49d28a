/**
 * Refuses requests that this router's own processor can't pass on in time. It answers the load of a router that gets more requests than it
 * has processor time for, as after a loss of power, when all callers return to machines that have just started. Without it, each request
 * is worked on when its objective has passed already, and none is served in time as long as the load lasts.
 *
 * The limit is measured: how long requests have waited for the duties of this router, and how long a request takes them now.
 */
package sniperoute.request.admission.decision

import sniperoute.process.clock.Timestamp
import sniperoute.version.message.Route
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * How fast the routing duty takes up new requests.
 *
 * @property waiting is the number of requests that it was given and has not taken up.
 * @property since is the time of the last of these: it took up a request, or was given one after it had none.
 * @property timePerRequest is the average time from one request that it took up to the next while others waited.
 */
public data class RouterPace(
    public val waiting: Long = 0,
    public val since: Timestamp = Timestamp.EARLIEST,
    public val timePerRequest: Duration = Duration.ZERO,
)

/** The share of the newest time in the average, as its reciprocal. */
private const val AVERAGED_REQUESTS = 8

/** Returns the pace after the duty was given a request at [now]. */
public fun RouterPace.given(now: Timestamp): RouterPace = copy(waiting = waiting + 1, since = if (waiting <= 0) now else since)

/** Returns the pace after a request that [given] counted was not given to the duty after all. */
public fun RouterPace.withdrawn(): RouterPace = copy(waiting = waiting - 1)

/** Returns the pace after the duty took up a request and had worked on it by [now]. */
public fun RouterPace.taken(now: Timestamp): RouterPace {
    val time = (now - since).coerceAtLeast(Duration.ZERO)
    return RouterPace(waiting - 1, now, timePerRequest + (time - timePerRequest) / AVERAGED_REQUESTS)
}

/** Returns how long a request that is given to the duty at [now] will wait for it. A duty that stands still has no better estimate. */
public fun RouterPace.expectedDelay(now: Timestamp): Duration =
    if (waiting <= 0) Duration.ZERO else maxOf(timePerRequest * waiting.toDouble(), now - since)

/** The share of a route's objective that a request may wait for the duties of this router; the rest is for the endpoint's work. */
private const val DELAY_SHARE = 0.5

/** A shorter delay is no overload, whatever the objective: a step of a process that has just started takes as long. */
private val NOTICEABLE_DELAY = 50.milliseconds

/**
 * Returns the refusal of a request of [route] that would wait for [delay], or `null` if its objective allows that. Callers are told to come
 * back after the delay and up to as much again, spread by [hash], so that they don't return together.
 */
public fun latenessRefusalOrNull(route: Route, delay: Duration, hash: Long): Refusal? {
    val objective = route.objectiveMilliseconds.milliseconds
    if (delay < NOTICEABLE_DELAY || delay < objective * DELAY_SHARE) return null
    val longest = maxOf(delay, objective * DELAY_SHARE)
    val spread = (hash ushr 1).toDouble() / Long.MAX_VALUE
    return Refusal(RefusalKind.ROUTER_LATE, "this router is too late to serve the request in time", retryAfter = longest + longest * spread)
}
