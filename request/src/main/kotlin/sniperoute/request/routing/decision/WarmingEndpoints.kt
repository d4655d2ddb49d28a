/**
 * A router's part in the warm-up of endpoints. A request to an endpoint that may be cold needs a permit of the leader. There are no
 * permits without contact to a leader: what a cold endpoint takes must not depend on how many routers are cut off.
 *
 * An endpoint may be cold if the fleet view says so, and after a call to it failed in a way that may mean a restart. Such a doubt ends
 * when the leader says so, when the view names another incarnation, or when this router has read the platform's list itself for
 * [DOUBT_LIFETIME] without another failure.
 */
package sniperoute.request.routing.decision

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import sniperoute.process.clock.Timestamp
import sniperoute.request.routing.message.AttemptFailureKind
import sniperoute.request.routing.message.DoubtsSettled
import sniperoute.request.routing.message.ReportDoubts
import sniperoute.version.decision.DOUBT_LIFETIME
import sniperoute.version.decision.PERMIT_TIME
import sniperoute.version.decision.termOf
import sniperoute.version.message.EndpointDoubt
import sniperoute.version.message.EndpointName
import sniperoute.version.message.FleetEndpoint
import sniperoute.version.message.RequestLimitNotice

/**
 * An endpoint that may be cold, since the fleet view of the term [listedIn] says so, or since a call failed there at [doubtedAt]. The term
 * is 0 for the platform's list. [permits] are the times at which unused permits expire, the earliest first.
 */
public data class EndpointWarming(
    public val listedIn: Long?,
    public val doubtedAt: Timestamp?,
    public val permits: PersistentList<Timestamp> = persistentListOf(),
)

private val noWarming = EndpointWarming(listedIn = null, doubtedAt = null)

/** Whether a request may be sent to the endpoint at [now], as far as its warm-up is concerned. */
internal fun EndpointState.isWarmOrPermitted(now: Timestamp): Boolean = warming == null || warming.permits.any { now < it }

/** Returns the endpoint after a request was sent there at [now], which uses the permit that expires first. */
internal fun EndpointState.useWarmingPermit(now: Timestamp): EndpointState {
    val rest = warming?.permits?.filter { now < it }?.drop(1) ?: return this
    return copy(warming = warming.copy(permits = rest.toPersistentList()))
}

/**
 * Returns [endpoint] as the fleet view lists it in [listed]. Where it was listed as cold before, only the leader that listed it can tell
 * that it is warm: the platform's list lags and names endpoints that are down, and a new leader has nothing but that list at first. Such an
 * endpoint is in doubt, of which the new leader is told.
 */
internal fun RoutingState.withListedWarming(endpoint: EndpointState, listed: FleetEndpoint, now: Timestamp): EndpointState {
    if (view.catalogue.services[endpoint.service]?.warmUp == null) return endpoint.copy(warming = null)
    val known = endpoint.warming ?: noWarming
    val term = termOf(fleet.number)
    val isProved = term != 0L && known.listedIn == term
    val doubtedAt = if (known.listedIn != null && !listed.isWarming && !isProved) now else known.doubtedAt
    return endpoint.copy(warming = known.copy(listedIn = term.takeIf { listed.isWarming }, doubtedAt = doubtedAt).orNull())
}

private fun EndpointWarming.orNull(): EndpointWarming? = takeIf { listedIn != null || doubtedAt != null }

/** Whether a failure of this kind may mean that the endpoint has restarted. */
internal val AttemptFailureKind.mayBeRestart: Boolean
    get() = this == AttemptFailureKind.NOT_RUN || this == AttemptFailureKind.BROKEN || this == AttemptFailureKind.SILENT

/** Returns the state after a call to the endpoint [name] failed at [now], so that it may have restarted. */
internal fun RoutingState.doubt(name: EndpointName, now: Timestamp): RoutingStep {
    val endpoint = endpoints[name] ?: return unchanged()
    if (view.catalogue.services[endpoint.service]?.warmUp == null) return unchanged()
    return withEndpoint(name) { it.copy(warming = (it.warming ?: noWarming).copy(doubtedAt = now)) }.reportDoubts()
}

private fun RoutingState.reportDoubts(): RoutingStep = unchanged().emit(ReportDoubts(doubts()))

private fun RoutingState.doubts(): PersistentList<EndpointDoubt> = endpoints.values.mapNotNull { it.doubtOrNull() }.toPersistentList()

/** Reports the doubts if there are others than in the state [before]. */
internal fun RoutingState.reportDoubtsSince(before: RoutingState): RoutingStep =
    if (doubts() == before.doubts()) unchanged() else reportDoubts()

private fun EndpointState.doubtOrNull(): EndpointDoubt? = warming?.doubtedAt?.let { EndpointDoubt(endpoint.name, it.microseconds) }

/** Returns the state after the leader settled doubts; those that have been renewed since stay. */
internal fun RoutingState.onDoubtsSettled(input: DoubtsSettled): RoutingStep =
    input.doubts
        .filter { endpoints[it.endpoint]?.doubtOrNull() == it }
        .fold(this) { state, doubt -> state.withEndpoint(doubt.endpoint) { it.withoutDoubt() } }
        .reportDoubts()

private fun EndpointState.withoutDoubt(): EndpointState = copy(warming = warming?.copy(doubtedAt = null)?.orNull())

/** Returns the state at a tick: without old doubts, if this router reads the platform's list itself. */
internal fun RoutingState.endOldDoubts(now: Timestamp): RoutingStep {
    val old = if (fleet.number == 0L) endpoints.values.filter { it.hasOldDoubt(now) } else emptyList()
    if (old.isEmpty()) return unchanged()
    return old.fold(this) { state, endpoint -> state.withEndpoint(endpoint.endpoint.name) { it.withoutDoubt() } }.reportDoubts()
}

private fun EndpointState.hasOldDoubt(now: Timestamp): Boolean = warming?.doubtedAt?.let { now - it > DOUBT_LIFETIME } ?: false

/** Returns the state with the permits for cold endpoints in [notice]. */
internal fun RoutingState.withWarmingPermits(notice: RequestLimitNotice, now: Timestamp): RoutingState {
    val expiry = Timestamp(notice.renewalMicroseconds) + PERMIT_TIME
    return notice.warmingPermits.fold(this) { state, permits ->
        state.withEndpoint(permits.endpoint) { it.withWarmingPermits(permits.count, expiry, now) }
    }
}

private fun EndpointState.withWarmingPermits(count: Int, expiry: Timestamp, now: Timestamp): EndpointState {
    val kept = warming?.permits?.filter { now < it } ?: return this
    return copy(warming = warming.copy(permits = (kept + List(count) { expiry }).sorted().toPersistentList()))
}
