/**
 * Limits on the requests a second that endpoints take from all routers together, as the leader keeps them. Routers report what endpoints
 * name in their answers. The leader turns each limit into permits and grants every permit to one router, in proportion to the routers'
 * demand, so that the fleet keeps the limit however the requests are spread. The state is volatile: a new leader starts without permits
 * and learns the limits again from the next answers.
 */
package sniperoute.version.decision

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import sniperoute.process.clock.Timestamp
import sniperoute.version.message.EndpointName
import sniperoute.version.message.RequestLimit
import sniperoute.version.message.RequestLimitNotice
import sniperoute.version.message.RequestPermits
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** How often permits are granted, and how often routers are told all limits if none has changed. */
private val GRANT_INTERVAL: Duration = 100.milliseconds
private val ANNOUNCEMENT_INTERVAL: Duration = 1.seconds

/** Permits that were not granted collect for this long at most; one may always be kept. */
private val MAX_COLLECTION_TIME: Duration = 500.milliseconds

/** A limit ends when no answer has named it for this long, or for the time of [UNCONFIRMED_REQUESTS] requests at its rate. */
private val UNCONFIRMED_LIFETIME: Duration = 10.seconds
private const val UNCONFIRMED_REQUESTS = 4

/** A new leader takes the limits that it knows for complete after this time, in which every router has reported those that it knows. */
private val LEARNING_TIME: Duration = 2_500.milliseconds

/**
 * The limit of an endpoint, last named at [namedAt], and the [permits] that are not granted yet. A router's tag in [tags] grows with each
 * permit that it gets, by less the higher its demand is.
 */
public data class KeptRequestLimit(
    public val perSecond: Double,
    public val namedAt: Timestamp,
    public val permits: Double,
    public val tags: PersistentMap<RouterName, Double>,
)

/**
 * The limits in force, and when limits [ended] lately. The leader keeps them [since] it leads, and permits have been counted up to
 * [countedTo]. Routers were last told the limits [announced], and are told again at [nextAnnouncement], which is
 * `null` once they know that there is none.
 */
public data class RequestLimits(
    public val byEndpoint: PersistentMap<EndpointName, KeptRequestLimit>,
    public val ended: PersistentMap<EndpointName, Timestamp>,
    public val since: Timestamp,
    public val countedTo: Timestamp,
    public val announced: PersistentList<RequestLimit>,
    public val nextAnnouncement: Timestamp?,
)

/** Returns the state of a leader at [now] that has received no report yet; routers may know limits from an earlier leader. */
public fun noRequestLimits(now: Timestamp): RequestLimits = RequestLimits(
    byEndpoint = persistentMapOf(),
    ended = persistentMapOf(),
    since = now,
    countedTo = now,
    announced = persistentListOf(),
    nextAnnouncement = now + LEARNING_TIME,
)

/** Returns the state after a router reported [limits] at [now]. */
public fun RequestLimits.record(limits: List<RequestLimit>, now: Timestamp): RequestLimits =
    limits.fold(this) { state, limit -> state.record(limit, now - limit.ageMilliseconds.milliseconds) }

private fun RequestLimits.record(limit: RequestLimit, at: Timestamp): RequestLimits {
    val kept = byEndpoint[limit.endpoint]
    val perSecond = limit.perSecond
    return when {
        at < maxOf(kept?.namedAt ?: Timestamp.EARLIEST, ended[limit.endpoint] ?: Timestamp.EARLIEST) -> this
        perSecond == null -> copy(byEndpoint = byEndpoint.remove(limit.endpoint), ended = ended.put(limit.endpoint, at))
        else -> {
            val next = kept?.copy(perSecond = perSecond, namedAt = at) ?: KeptRequestLimit(perSecond, at, 0.0, persistentMapOf())
            copy(byEndpoint = byEndpoint.put(limit.endpoint, next))
        }
    }
}

/** The state after permits were granted, and the notice for each router; empty when none is due. */
public data class RequestLimitStep(public val limits: RequestLimits, public val notices: PersistentMap<RouterName, RequestLimitNotice>)

/**
 * Returns the notices that are due at [now] for the [routers]. [demand] returns how many requests a router has in flight at endpoints
 * that serve the same as the given one.
 */
public fun RequestLimits.grant(
    routers: List<RouterName>,
    now: Timestamp,
    demand: (RouterName, EndpointName) -> Int,
): RequestLimitStep {
    if (now - countedTo < GRANT_INTERVAL) return RequestLimitStep(this, persistentMapOf())
    val counted = collect(now)
    val grants = counted.byEndpoint.mapValues { (endpoint, kept) -> kept.grantTo(routers) { demand(it, endpoint) } }
    val granted = counted.copy(
        byEndpoint = grants.entries.fold(counted.byEndpoint) { all, (endpoint, grant) -> all.put(endpoint, grant.kept) },
    )
    val named = granted.byEndpoint.map { (endpoint, kept) -> RequestLimit(endpoint, kept.perSecond) }.toPersistentList()
    val isAnnouncement = named != announced || nextAnnouncement != null && now >= nextAnnouncement
    val next = if (isAnnouncement) granted.copy(announced = named, nextAnnouncement = granted.announcementAfter(named, now)) else granted
    val limits = if (isAnnouncement) named else persistentListOf()
    val isComplete = isAnnouncement && now - since >= LEARNING_TIME
    val notices = routers
        .associateWith { RequestLimitNotice(isComplete, limits, grants.permitsOf(it)) }
        .filterValues { isAnnouncement || it.permits.isNotEmpty() }
    return RequestLimitStep(next, persistentMapOf<RouterName, RequestLimitNotice>().putAll(notices))
}

/** Returns the notice for a router that is new to the leader, or `null` if there is no limit. */
public fun RequestLimits.noticeForNewRouterOrNull(): RequestLimitNotice? {
    val named = byEndpoint.map { (endpoint, kept) -> RequestLimit(endpoint, kept.perSecond) }.toPersistentList()
    return if (named.isEmpty()) null else RequestLimitNotice(isComplete = false, named, persistentListOf())
}

/** Returns when routers are told the limits again after [now], or `null` once they know that there is none. */
private fun RequestLimits.announcementAfter(named: List<RequestLimit>, now: Timestamp): Timestamp? = when {
    now - since < LEARNING_TIME -> minOf(since + LEARNING_TIME, now + ANNOUNCEMENT_INTERVAL)
    named.isEmpty() -> null
    else -> now + ANNOUNCEMENT_INTERVAL
}

private fun Map<EndpointName, PermitGrant>.permitsOf(router: RouterName): PersistentList<RequestPermits> =
    mapNotNull { (endpoint, grant) -> grant.permits[router]?.let { RequestPermits(endpoint, it) } }.toPersistentList()

/** Removes what no answer has named for too long, and adds the permits of the time since the last count. */
private fun RequestLimits.collect(now: Timestamp): RequestLimits {
    val elapsed = minOf(now - countedTo, MAX_COLLECTION_TIME).toDouble(DurationUnit.SECONDS)
    val current = byEndpoint.entries.fold(byEndpoint) { all, (endpoint, kept) ->
        if (now - kept.namedAt > kept.lifetime()) all.remove(endpoint) else all.put(endpoint, kept.withPermitsOf(elapsed))
    }
    val old = ended.filterValues { now - it > UNCONFIRMED_LIFETIME }.keys
    return copy(byEndpoint = current, ended = old.fold(ended) { all, endpoint -> all.remove(endpoint) }, countedTo = now)
}

private fun KeptRequestLimit.lifetime(): Duration =
    if (perSecond <= 0) UNCONFIRMED_LIFETIME else maxOf(UNCONFIRMED_LIFETIME, (UNCONFIRMED_REQUESTS / perSecond).seconds)

private fun KeptRequestLimit.withPermitsOf(seconds: Double): KeptRequestLimit {
    val most = maxOf(1.0, perSecond * MAX_COLLECTION_TIME.toDouble(DurationUnit.SECONDS))
    return copy(permits = minOf(most, permits + perSecond * seconds))
}

internal class PermitGrant(val kept: KeptRequestLimit, val permits: PersistentMap<RouterName, Int>)

/** Grants all whole permits, each to the router whose tag is the lowest after it; a new router starts with the lowest tag. */
internal fun KeptRequestLimit.grantTo(routers: List<RouterName>, demand: (RouterName) -> Int): PermitGrant {
    val whole = permits.toInt()
    if (whole == 0 || routers.isEmpty()) return PermitGrant(this, persistentMapOf())
    val costs = routers.associateWith { 1 / (demand(it) + MIN_DEMAND) }
    val lowest = routers.mapNotNull { tags[it] }.minOrNull() ?: 0.0
    var known = routers.fold(persistentMapOf<RouterName, Double>()) { all, router -> all.put(router, (tags[router] ?: lowest) - lowest) }
    var grants = persistentMapOf<RouterName, Int>()
    repeat(whole) {
        val next = routers.minBy { known.getValue(it) + costs.getValue(it) }
        known = known.put(next, known.getValue(next) + costs.getValue(next))
        grants = grants.put(next, (grants[next] ?: 0) + 1)
    }
    return PermitGrant(copy(permits = permits - whole, tags = known), grants)
}

/** The demand that is assumed of a router without requests in flight, so that it too can serve the next one. */
private const val MIN_DEMAND = 0.5
