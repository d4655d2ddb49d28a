/**
 * A router's part of the limits that endpoints set on the requests that they take from all routers together. A request to an endpoint
 * with a limit needs a permit of the leader. A router without contact to a leader gives itself its equal share of the permits.
 */
package sniperoute.request.routing.decision

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import sniperoute.process.clock.Timestamp
import sniperoute.request.routing.message.NamedLimit
import sniperoute.request.routing.message.ReportRequestLimits
import sniperoute.version.message.EndpointName
import sniperoute.version.message.RequestLimit
import sniperoute.version.message.RequestLimitNotice
import sniperoute.version.message.RequestLimitReport
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** A permit that is not used for this long expires, so that few of them are used at once. */
private val PERMIT_LIFETIME: Duration = 1.seconds

/**
 * A limit that neither an answer nor the leader has named for this long has ended, since the notice of its end may be lost. The leader
 * repeats the limits in force several times in it.
 */
private val CONFIRMATION_LIFETIME: Duration = 4.seconds

/** A limit that an endpoint named or ended to this router is not changed by the leader's notices for this long, since they lag behind. */
private val NOTICE_LAG: Duration = 500.milliseconds

/**
 * The limit of an endpoint, and this router's part of it.
 *
 * @property permits are the times at which unused permits expire, the earliest first.
 * @property namedAt is when the endpoint last named the limit to this router, if it did.
 * @property accrued is the part of a permit that the router has given itself while it acts alone, up to [accruedTo].
 * @property confirmedAt is when an answer or the leader last named the limit; time without contact to the control replicas does not count.
 */
public data class RouterRequestLimit(
    public val perSecond: Double,
    public val permits: PersistentList<Timestamp> = persistentListOf(),
    public val namedAt: Timestamp = Timestamp.EARLIEST,
    public val accrued: Double = 0.0,
    public val accruedTo: Timestamp = Timestamp.EARLIEST,
    public val confirmedAt: Timestamp = Timestamp.EARLIEST,
)

/** Whether a request may be sent to the endpoint at [now], as far as its limit and its warm-up are concerned. */
internal fun EndpointState.isPermitted(now: Timestamp): Boolean =
    isWarmOrPermitted(now) && (limit == null || limit.permits.any { now < it })

/** Returns the endpoint after a request was sent there at [now], which uses the permit that expires first. */
internal fun EndpointState.usePermit(now: Timestamp): EndpointState = useWarmingPermit(now).useLimitPermit(now)

private fun EndpointState.useLimitPermit(now: Timestamp): EndpointState {
    val rest = limit?.permits?.valid(now)?.drop(1) ?: return this
    return copy(limit = limit.copy(permits = rest.toPersistentList()))
}

private fun List<Timestamp>.valid(now: Timestamp): List<Timestamp> = filter { now < it }

/** Returns the endpoint after it named [named] in an answer that was received at [now]. */
internal fun EndpointState.withNamedLimit(named: NamedLimit, now: Timestamp): EndpointState {
    val perSecond = named.perSecond ?: return copy(limit = null)
    val known = limit ?: RouterRequestLimit(perSecond)
    return copy(limit = known.copy(perSecond = perSecond, namedAt = now, confirmedAt = now))
}

/** Returns the state after the leader sent [notice]. */
internal fun RoutingState.onRequestLimits(notice: RequestLimitNotice, now: Timestamp): RoutingState {
    val limits = notice.limits.associate { it.endpoint to it.perSecond }
    val permits = notice.permits.associate { it.endpoint to it.count }
    val affected = endpoints.values.filter { it.limit != null || it.endpoint.name in limits }
    return affected.fold(withWarmingPermits(notice, now)) { state, endpoint ->
        val name = endpoint.endpoint.name
        state.withEndpoint(name) { it.withNotice(notice.isComplete, limits[name], now).withPermits(permits[name] ?: 0, now) }
    }
}

private fun EndpointState.withNotice(isComplete: Boolean, perSecond: Double?, now: Timestamp): EndpointState = when {
    limit != null && now - limit.namedAt < NOTICE_LAG -> this
    perSecond != null -> copy(limit = (limit ?: RouterRequestLimit(perSecond)).copy(perSecond = perSecond, confirmedAt = now))
    else -> if (isComplete) copy(limit = null) else this
}

private fun EndpointState.withPermits(count: Int, now: Timestamp): EndpointState {
    val kept = limit?.permits?.valid(now) ?: return this
    return copy(limit = limit.copy(permits = (kept + List(count) { now + PERMIT_LIFETIME }).toPersistentList()))
}

/**
 * Returns the state at a tick: without the limits that have ended, and with this router's share of the permits for the time since the last
 * tick, if it acts alone.
 */
internal fun RoutingState.updateLimits(now: Timestamp): RoutingState {
    val limited = endpoints.values.filter { it.limit != null }
    if (limited.isEmpty()) return this
    val isAlone = isWithoutControl(now)
    return limited.fold(this) { state, endpoint ->
        state.withEndpoint(endpoint.endpoint.name) { it.copy(limit = it.limit?.confirmed(isAlone, now)?.accrue(isAlone, routers, now)) }
    }
}

private fun RouterRequestLimit.confirmed(isAlone: Boolean, now: Timestamp): RouterRequestLimit? = when {
    isAlone -> copy(confirmedAt = now)
    now - confirmedAt > CONFIRMATION_LIFETIME -> null
    else -> this
}

private fun RouterRequestLimit.accrue(isAlone: Boolean, routers: Int, now: Timestamp): RouterRequestLimit {
    if (!isAlone) return copy(accrued = 0.0, accruedTo = now)
    val seconds = if (accruedTo == Timestamp.EARLIEST) 0.0 else (now - accruedTo).toDouble(DurationUnit.SECONDS)
    val total = accrued + perSecond * seconds / routers.coerceAtLeast(1)
    if (total < 1) return copy(accrued = total, accruedTo = now)
    val kept = (permits.valid(now) + (now + PERMIT_LIFETIME)).toPersistentList()
    return copy(permits = kept, accrued = 0.0, accruedTo = now)
}

/** How often a router reports the limits that it knows from answers, so that a new leader learns them. */
private val REPORT_INTERVAL: Duration = 1.seconds

/** Returns the state after the endpoint [name] named [named] in an answer; a limit that begins, changes or ends is reported at once. */
internal fun RoutingState.onNamedLimit(name: EndpointName, named: NamedLimit, now: Timestamp): RoutingStep {
    val isKnown = endpoints[name]?.limit?.perSecond == named.perSecond
    val next = withEndpoint(name) { it.withNamedLimit(named, now) }.unchanged()
    return if (isKnown) next else next.emit(ReportRequestLimits(RequestLimitReport(persistentListOf(RequestLimit(name, named.perSecond)))))
}

/** Returns the state after all limits that answers named to this router were reported, if that is due. */
internal fun RoutingState.reportLimits(now: Timestamp): RoutingStep {
    if (now < nextLimitReport) return unchanged()
    val next = copy(nextLimitReport = now + REPORT_INTERVAL)
    val known = endpoints.values.mapNotNull { it.namedLimitOrNull(now) }.toPersistentList()
    return if (known.isEmpty()) next.unchanged() else next.unchanged().emit(ReportRequestLimits(RequestLimitReport(known)))
}

private fun EndpointState.namedLimitOrNull(now: Timestamp): RequestLimit? =
    limit
        ?.takeIf { it.namedAt != Timestamp.EARLIEST }
        ?.let { RequestLimit(endpoint.name, it.perSecond, (now - it.namedAt).inWholeMilliseconds) }
