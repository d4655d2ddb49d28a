/**
 * Which requests a stopping router still takes. Load balancers keep sending requests until they notice that the router is not ready, and
 * callers keep connections open. A request is taken only if it can be expected to end before the process must; any other one is refused
 * as not run at once, while its caller has the time to turn to another router.
 */
package sniperoute.request.admission.decision

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import sniperoute.process.clock.Timestamp
import sniperoute.version.message.Repetition
import sniperoute.version.message.Route
import sniperoute.version.message.RouteName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The times of a stop, counted from its begin: requests are taken up to [readinessLag], by which load balancers have noticed that the
 * router is not ready, and those in progress must end by [total].
 */
public data class StopTiming(public val readinessLag: Duration, public val total: Duration)

/** The share of a grace period that a stop uses; the process ends in the rest. */
private const val USED_SHARE_OF_GRACE = 0.9

/** The largest share of a grace period in which requests are still taken. */
private const val MAX_LAG_SHARE = 0.35

/** Returns the times of a stop that is forced to its end after [gracePeriod]; [readinessLag] is shortened if it takes too much of that. */
public fun stopTimingWithin(gracePeriod: Duration, readinessLag: Duration): StopTiming =
    StopTiming(minOf(readinessLag, gracePeriod * MAX_LAG_SHARE), gracePeriod * USED_SHARE_OF_GRACE)

/** A stop under way: no request is taken from [refusesFrom] on, and all end by [endsAt]. */
public data class Stop(public val refusesFrom: Timestamp, public val endsAt: Timestamp)

/** Returns the stop that begins at [now]. */
public fun StopTiming.begin(now: Timestamp): Stop = Stop(now + readinessLag, now + total)

/** Whether a request of [route] may be taken at [now]; [durations] are those of requests that ended before. */
public fun Stop.takes(route: Route, durations: RequestDurations, now: Timestamp): Boolean =
    now < refusesFrom && now + durations.expectedDuration(route) <= endsAt

/** The longest recent duration of the requests of each route. Old ones fade with each request that was shorter. */
public data class RequestDurations(public val longest: PersistentMap<RouteName, Duration>)

/** Returns durations of no request. */
public fun noRequestDurations(): RequestDurations = RequestDurations(persistentMapOf())

/** The share of the longest duration that a shorter request leaves of it. */
private const val FADING = 0.98

/** Returns the durations after a request of [route] took [duration]. */
public fun RequestDurations.record(route: RouteName, duration: Duration): RequestDurations {
    val faded = (longest[route] ?: Duration.ZERO) * FADING
    return RequestDurations(longest.put(route, maxOf(faded, duration)))
}

/** Requests may take so many times as long as the longest recent one of their route. Cutting one that can't be repeated is worse. */
private const val REPEATABLE_MARGIN = 1.5
private const val ONCE_ONLY_MARGIN = 3.0

/** Returns how long a request of [route] may take: its deadline, unless the route's requests are known to be shorter. */
internal fun RequestDurations.expectedDuration(route: Route): Duration {
    val deadline = route.deadlineMilliseconds.milliseconds
    val known = longest[route.name] ?: return deadline
    return minOf(deadline, known * if (route.repetition == Repetition.REPEATABLE) REPEATABLE_MARGIN else ONCE_ONLY_MARGIN)
}
