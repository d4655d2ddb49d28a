/**
 * The endpoints that are cold after a start, as the leader knows them. A router needs a permit for each request that it sends to one of
 * them. The leader counts an endpoint as cold while the platform's list says so, for the declared time after it first saw a new
 * incarnation, and, after a router doubted it, from the first check without an answer until an answer names the known incarnation. After
 * that the permits grow for [RAMP_TIME], and the incarnation is read once more before the endpoint takes any number of requests again.
 *
 * Endpoints must not get more than `perSecond * factor + slack` requests in any second. A permit that is granted at one time is used
 * within [PERMIT_TIME], or not at all: it expires by the router's own clock, counted from when the router sent the last renewal that the
 * leader had received, so that neither a delayed notice nor a frozen process extends it. The requests of one second therefore
 * had permits of that second and of the [PERMIT_TIME] before. The state is volatile: a new leader grants nothing until no permit of its
 * predecessor can be in use.
 */
package sniperoute.version.decision

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import sniperoute.process.clock.Timestamp
import sniperoute.version.message.EndpointDoubt
import sniperoute.version.message.EndpointName
import sniperoute.version.message.ListedEndpoint
import sniperoute.version.message.ServiceName
import sniperoute.version.message.WarmUp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** The time after a router's renewal in which it may use permits; longer than the interval of renewals and a notice's way. */
public val PERMIT_TIME: Duration = 800.milliseconds

/** Bounds are counted in any second. */
private val WINDOW: Duration = 1.seconds

/** The time over which the permits grow to [RAMP_FACTOR] times those of a cold endpoint, once it is warm. */
private val RAMP_TIME: Duration = 1_500.milliseconds
private const val RAMP_FACTOR = 3.0

/** How often permits are granted. */
private val GRANT_INTERVAL: Duration = 100.milliseconds

/** An endpoint that did not answer a check is checked again after this time. */
private val CHECK_INTERVAL: Duration = 500.milliseconds

/** An endpoint that answers again may have restarted; by this time after it, the list names the incarnation that answered. */
private val LIST_DELAY: Duration = 1_500.milliseconds

/**
 * By how much the rate of cold endpoints may be exceeded in a second, all routers together: up to [factor] times the rate, plus [slack].
 */
public data class WarmUpTolerance(public val factor: Double = 1.0, public val slack: Double = 0.0)

/** The part of the slack that permits may use; the rest is left for requests that were sent before routers knew of the start. */
private const val PERMITTED_SLACK = 0.5

/** Returns the permits a second with which a cold endpoint gets fewer requests in any second than it may at most. */
internal fun WarmUp.permitsPerSecond(tolerance: WarmUpTolerance): Double {
    val most = perSecond * tolerance.factor + tolerance.slack * PERMITTED_SLACK
    // Permits of so long, and the pool may be full when that time begins.
    val span = (WINDOW + PERMIT_TIME + GRANT_INTERVAL).toDouble(DurationUnit.SECONDS)
    return minOf(perSecond, (most - 1) / span).coerceAtLeast(0.0)
}

/** Returns how many permits may collect at [rate] a second: a part of one that is left, and those of an interval. */
private fun poolSize(rate: Double): Double = 1 + rate * GRANT_INTERVAL.toDouble(DurationUnit.SECONDS)

/**
 * An endpoint that is cold until [warmFrom]. It is also cold while it [isUnanswered], that is, does not answer the check that followed a
 * router's doubt. Permits are granted from [grantsFrom] on, when requests that were sent without one lie more than a second back.
 */
public data class WarmingEndpoint(
    public val warmUp: WarmUp,
    public val warmFrom: Timestamp,
    public val isUnanswered: Boolean,
    public val grantsFrom: Timestamp,
    public val limit: KeptRequestLimit,
)

/** An endpoint that a router doubted at [at], with the start of the last check, and when the next one may begin. */
public data class DoubtedEndpoint(public val at: Timestamp, public val checkedAt: Timestamp, public val nextCheck: Timestamp)

/**
 * The cold endpoints and those in doubt.
 *
 * @property incarnations are those that the list named last; `null` before this leader has read it.
 * @property renewals are the times, by the routers' own clocks, at which they sent the last renewals that this leader received.
 * @property reported are the numbers of the doubts that each router named in its last renewal.
 * @property since is when this leader began to lead; permits have been counted up to [countedTo].
 */
public data class WarmingEndpoints(
    public val byEndpoint: PersistentMap<EndpointName, WarmingEndpoint>,
    public val doubts: PersistentMap<EndpointName, DoubtedEndpoint>,
    public val incarnations: PersistentMap<EndpointName, String>?,
    public val renewals: PersistentMap<RouterName, Long>,
    public val reported: PersistentMap<RouterName, PersistentMap<EndpointName, Long>>,
    public val since: Timestamp,
    public val countedTo: Timestamp,
    public val tolerance: WarmUpTolerance,
)

/** Returns the state of a leader that begins to lead at [now]. */
public fun noWarmingEndpoints(now: Timestamp, tolerance: WarmUpTolerance): WarmingEndpoints = WarmingEndpoints(
    byEndpoint = persistentMapOf(),
    doubts = persistentMapOf(),
    incarnations = null,
    renewals = persistentMapOf(),
    reported = persistentMapOf(),
    since = now,
    countedTo = now,
    tolerance = tolerance,
)

/** Returns the declared warm-up of a service, `null` for one that has none. */
public typealias WarmUpOf = (ServiceName) -> WarmUp?

/**
 * Returns the state after the platform's list was read at [now]. An incarnation that was not on this leader's last list has just started,
 * whatever the list says of it; on the first list of a leader, what the list says counts, and each endpoint is in doubt.
 */
public fun WarmingEndpoints.withListing(listed: List<ListedEndpoint>, warmUpOf: WarmUpOf, now: Timestamp): WarmingEndpoints {
    val names = listed.map { it.endpoint.name }.toSet()
    val kept = copy(
        byEndpoint = byEndpoint.filterKeys { it in names }.toPersistentMap(),
        doubts = doubtsAfterListing(listed, warmUpOf, now).filterKeys { it in names }.toPersistentMap(),
        incarnations = listed.associate { it.endpoint.name to it.incarnation }.toPersistentMap(),
    )
    return listed.fold(kept) { state, endpoint ->
        val name = endpoint.endpoint.name
        val warmUp = warmUpOf(endpoint.service)
        val warmFrom = warmUp?.let { warmFromOrNull(endpoint, it, now) }
        // No router has sent anything to an endpoint whose name is new, except perhaps under an earlier leader.
        val settled = if (incarnations != null && name !in incarnations) now else now + WINDOW
        if (warmUp == null || warmFrom == null) state else state.cold(name, warmUp, warmFrom, settled)
    }
}

/** The list names endpoints that are down, and its first reading tells a new leader nothing of them; so it reads each incarnation once. */
private fun WarmingEndpoints.doubtsAfterListing(listed: List<ListedEndpoint>, warmUpOf: WarmUpOf, now: Timestamp) =
    if (incarnations != null) {
        doubts
    } else {
        listed
            .filter {
                warmUpOf(
                    it.service,
                ) != null
            }.map { it.endpoint.name }
            .fold(doubts) { all, name -> all.put(name, newDoubt(name, now)) }
    }

private fun WarmingEndpoints.warmFromOrNull(endpoint: ListedEndpoint, warmUp: WarmUp, now: Timestamp): Timestamp? {
    val isNew = incarnations != null && incarnations[endpoint.endpoint.name] != endpoint.incarnation
    val counted = if (isNew) warmUp.milliseconds else 0
    val left = maxOf(counted, endpoint.coldMilliseconds).milliseconds
    return if (left.isPositive()) now + left else null
}

/** Returns the state in which the endpoint [name] is cold until [warmFrom]; unless it was before, permits are granted from [settled] on. */
private fun WarmingEndpoints.cold(name: EndpointName, warmUp: WarmUp, warmFrom: Timestamp, settled: Timestamp): WarmingEndpoints {
    val known = byEndpoint[name] ?: newlyWarming(warmUp, settled)
    return copy(byEndpoint = byEndpoint.put(name, known.copy(warmUp = warmUp, warmFrom = maxOf(known.warmFrom, warmFrom))))
}

private fun WarmingEndpoints.newlyWarming(warmUp: WarmUp, settled: Timestamp): WarmingEndpoint {
    val limit = KeptRequestLimit(warmUp.permitsPerSecond(tolerance), settled, 0.0, persistentMapOf())
    return WarmingEndpoint(warmUp, Timestamp.EARLIEST, false, maxOf(settled, since + PERMIT_TIME + WINDOW), limit)
}

/**
 * Returns the state in which [endpoints] are cold from [now] on for the declared time, whatever the list says: they may have turned cold
 * unseen, while nothing was sent to them.
 */
public fun WarmingEndpoints.withColdEndpoints(endpoints: List<ListedEndpoint>, warmUpOf: WarmUpOf, now: Timestamp): WarmingEndpoints =
    endpoints.fold(this) { state, endpoint ->
        val warmUp = warmUpOf(endpoint.service)
        if (warmUp == null) state else state.cold(endpoint.endpoint.name, warmUp, now + warmUp.milliseconds.milliseconds, now)
    }

/** A state, and the doubts that are settled: the endpoints run as before, or are known as cold to the router as well. */
public data class DoubtStep(public val endpoints: WarmingEndpoints, public val settled: List<EndpointDoubt>)

/** Returns the state after [router] renewed its lease at [now], by its own clock at [sentMicroseconds], and named its [doubts]. */
public fun WarmingEndpoints.onRenewal(
    router: RouterName,
    sentMicroseconds: Long,
    doubts: List<EndpointDoubt>,
    now: Timestamp,
): DoubtStep {
    val known = reported[router].orEmpty()
    val (old, new) = doubts.partition { known[it.endpoint] == it.number }
    val named = new.map { it.endpoint }.distinct()
    val next = copy(
        renewals = renewals.put(router, sentMicroseconds),
        reported = reported.put(router, doubts.associate { it.endpoint to it.number }.toPersistentMap()),
        doubts = named.fold(this.doubts) { all, name -> all.put(name, newDoubt(name, now)) },
    )
    return DoubtStep(next, old.filter { it.endpoint !in next.doubts })
}

private fun WarmingEndpoints.newDoubt(name: EndpointName, now: Timestamp): DoubtedEndpoint =
    doubts[name]?.copy(at = now) ?: DoubtedEndpoint(now, Timestamp.EARLIEST, now)

/** A state, and the names of the endpoints whose incarnation is to be read. */
public data class CheckStep(public val endpoints: WarmingEndpoints, public val checks: List<EndpointName>)

/** Returns the checks of doubted endpoints that are due at [now]. */
public fun WarmingEndpoints.checksDue(now: Timestamp): CheckStep {
    val due = doubts.filterValues { now >= it.nextCheck }
    if (due.isEmpty()) return CheckStep(this, emptyList())
    val checked = due.entries.fold(doubts) { all, (name, doubt) ->
        all.put(name, doubt.copy(checkedAt = now, nextCheck = now + CHECK_INTERVAL))
    }
    return CheckStep(copy(doubts = checked), due.keys.toList())
}

/**
 * Returns the state after the check that began at [startedAt] ended at [now]. The endpoint answered with [incarnation], which is `null`
 * without a valid answer.
 */
public fun WarmingEndpoints.onChecked(
    name: EndpointName,
    warmUp: WarmUp?,
    startedAt: Timestamp,
    incarnation: String?,
    now: Timestamp,
): WarmingEndpoints {
    val doubt = doubts[name] ?: return this
    // What was sent before the latest doubt says nothing of it; the next check does.
    if (startedAt < doubt.at) return copy(doubts = doubts.put(name, doubt.copy(nextCheck = now)))
    if (warmUp == null) return copy(doubts = doubts.remove(name))
    if (incarnation == null) return unanswered(name, doubt, warmUp, now)
    val isRestarted = incarnation != incarnations?.get(name)
    val wasUnanswered = byEndpoint[name]?.isUnanswered ?: false
    val left = when {
        isRestarted -> warmUp.milliseconds.milliseconds
        wasUnanswered -> LIST_DELAY
        else -> Duration.ZERO
    }
    val next = if (left.isPositive()) cold(name, warmUp, now + left, now + WINDOW) else this
    return next.copy(doubts = doubts.remove(name), byEndpoint = next.byEndpoint.answered(name, now))
}

/** An endpoint whose incarnation is known is warm after its ramp. */
private fun PersistentMap<EndpointName, WarmingEndpoint>.answered(name: EndpointName, now: Timestamp) =
    this[name]?.let { if (it.isOver(now)) remove(name) else put(name, it.copy(isUnanswered = false)) } ?: this

private fun WarmingEndpoint.isOver(now: Timestamp): Boolean = now >= warmFrom + RAMP_TIME

/** An endpoint that gives no report but is on the list for so long with the same incarnation is not in doubt any more. */
public val DOUBT_LIFETIME: Duration = 6.seconds

private fun WarmingEndpoints.unanswered(name: EndpointName, doubt: DoubtedEndpoint, warmUp: WarmUp, now: Timestamp): WarmingEndpoints {
    val known = byEndpoint[name] ?: newlyWarming(warmUp, now + WINDOW)
    if (now - doubt.at > DOUBT_LIFETIME) return copy(doubts = doubts.remove(name), byEndpoint = byEndpoint.answered(name, now))
    return copy(byEndpoint = byEndpoint.put(name, known.copy(isUnanswered = true)))
}

/** The permits granted, and the state after it. */
public data class WarmingGrant(
    public val endpoints: WarmingEndpoints,
    public val permits: Map<RouterName, Map<EndpointName, Int>>,
)

/**
 * Returns the permits that are due at [now] for the [routers]. [demand] returns how many requests a router has in flight at endpoints that
 * serve the same as the given one.
 */
public fun WarmingEndpoints.grant(
    routers: List<RouterName>,
    now: Timestamp,
    demand: (RouterName, EndpointName) -> Int,
): WarmingGrant {
    if (now - countedTo < GRANT_INTERVAL) return WarmingGrant(this, emptyMap())
    // It may have started once more, unseen by any router; so its incarnation is read before it counts as warm.
    val over = byEndpoint.filter { (name, endpoint) -> endpoint.isOver(now) && name !in doubts }.keys
    // A router of an earlier release names no time, so its permits could not expire.
    val granted = routers.filter { (renewals[it] ?: 0) > 0 }
    val grants = byEndpoint.mapValues { (name, endpoint) -> endpoint.collect(countedTo, now).grantTo(granted) { demand(it, name) } }
    val next = byEndpoint.mapValues { (name, endpoint) -> endpoint.copy(limit = grants.getValue(name).kept) }
    val permits = granted.associateWith { router ->
        grants.entries.mapNotNull { (name, grant) -> grant.permits[router]?.let { name to it } }.toMap()
    }
    val live = routers.toSet()
    return WarmingGrant(
        copy(
            byEndpoint = next.toPersistentMap(),
            doubts = over.fold(doubts) { all, name -> all.put(name, newDoubt(name, now)) },
            renewals = renewals.filterKeys { it in live }.toPersistentMap(),
            reported = reported.filterKeys { it in live }.toPersistentMap(),
            countedTo = now,
        ),
        permits.filterValues { it.isNotEmpty() },
    )
}

private fun WarmingEndpoint.collect(from: Timestamp, now: Timestamp): KeptRequestLimit {
    if (now < grantsFrom) return limit
    val rate = limit.perSecond * rampAt(now)
    val elapsed = minOf(now - maxOf(from, grantsFrom), GRANT_INTERVAL * 2).toDouble(DurationUnit.SECONDS)
    return limit.copy(permits = minOf(poolSize(rate), limit.permits + rate * elapsed))
}

/** Returns by how much the permits have grown at [now]. */
private fun WarmingEndpoint.rampAt(now: Timestamp): Double {
    if (isUnanswered || now < warmFrom) return 1.0
    return 1 + (RAMP_FACTOR - 1) * minOf(1.0, (now - warmFrom) / RAMP_TIME)
}
