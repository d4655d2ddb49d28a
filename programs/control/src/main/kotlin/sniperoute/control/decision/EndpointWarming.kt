/**
 * Cold endpoints at the leader: it learns of starts from the platform's list, from the doubts of routers and from checks of the
 * endpoints in doubt, tells the routers which endpoints are cold, and grants permits for them.
 */
package sniperoute.control.decision

import kotlinx.collections.immutable.toPersistentList
import sniperoute.control.message.*
import sniperoute.process.clock.Timestamp
import sniperoute.process.identity.FailureDomain
import sniperoute.process.timeline.message.EventKind
import sniperoute.process.timeline.message.EventSubject
import sniperoute.version.decision.RouterName
import sniperoute.version.decision.WarmingEndpoints
import sniperoute.version.decision.checksDue
import sniperoute.version.decision.onChecked
import sniperoute.version.decision.onRenewal
import sniperoute.version.decision.withColdEndpoints
import sniperoute.version.decision.withListing
import sniperoute.version.message.*

/** Returns the state with [warming]; the fleet view says which endpoints are cold from now on, and the time line when that changes. */
internal fun ControlDutyState.withWarming(warming: WarmingEndpoints): ControlStep {
    val before = leaderState?.warming ?: return unchanged()
    if (before === warming) return unchanged()
    val begun = warming.byEndpoint
        .filterKeys { it !in before.byEndpoint }
        .map { (name, endpoint) ->
            val detail = "${endpoint.limit.perSecond} permits a second" + if (endpoint.isUnanswered) ", it does not answer" else ""
            RecordTimelineEvent(EventKind.ENDPOINT_COLD, EventSubject(endpoint = name.text), detail)
        }
    val ended = before.byEndpoint.keys
        .filter { it !in warming.byEndpoint }
        .map { RecordTimelineEvent(EventKind.ENDPOINT_WARM, EventSubject(endpoint = it.text), "") }
    val doubted = warming.doubts.keys
        .filter { it !in before.doubts }
        .map { RecordTimelineEvent(EventKind.ENDPOINT_IN_DOUBT, EventSubject(endpoint = it.text), "its incarnation is read") }
    val next = updateLeader { copy(warming = warming) }.unchanged()
    val told = if (before.byEndpoint.keys == warming.byEndpoint.keys) next else next.then { it.publishFleet() }
    return (begun + ended + doubted).fold(told) { step, event -> step.emit(event) }
}

internal fun ControlDutyState.learnStarts(listed: List<ListedEndpoint>, now: Timestamp): ControlStep {
    val leader = leaderState ?: return unchanged()
    return withWarming(leader.warming.withListing(listed, ::warmUpOrNull, now))
}

/** Returns the state in which the endpoints in [domain] are cold: nothing was sent there for as long as it was evacuated. */
internal fun ControlDutyState.withColdDomain(domain: FailureDomain, now: Timestamp): ControlStep {
    val leader = leaderState ?: return unchanged()
    val returning = leader.loads.endpoints.values
        .map { it.listed }
        .filter { it.endpoint.failureDomain == domain }
    return withWarming(leader.warming.withColdEndpoints(returning, ::warmUpOrNull, now))
}

private fun ControlDutyState.warmUpOrNull(name: ServiceName): WarmUp? = replicatedState.serviceOrNull(name)?.warmUp

/** Returns the state after a router's renewal, and the doubts in it that are settled. */
internal fun ControlDutyState.recordDoubts(
    router: RouterName,
    request: RenewRequest,
    now: Timestamp,
): Pair<ControlStep, List<EndpointDoubt>> {
    val leader = leaderState ?: return unchanged() to emptyList()
    val step = leader.warming.onRenewal(router, request.sentMicroseconds, request.doubts, now)
    return withWarming(step.endpoints).then { it.checkDoubted(now) } to step.settled
}

/** Reads the incarnation of the doubted endpoints for which that is due. */
internal fun ControlDutyState.checkDoubted(now: Timestamp): ControlStep {
    val leader = leaderState ?: return unchanged()
    val step = leader.warming.checksDue(now)
    val checks = step.checks.mapNotNull { leader.loads.endpoints[it]?.listed }.map { CheckEndpoint(it, now) }
    return checks.fold(withWarming(step.endpoints)) { all, check -> all.emit(check) }
}

internal fun ControlDutyState.onEndpointChecked(input: EndpointChecked, now: Timestamp): ControlStep {
    val leader = leaderState ?: return unchanged()
    val listed = leader.loads.endpoints[input.endpoint]?.listed ?: return unchanged()
    val warmUp = warmUpOrNull(listed.service)
    return withWarming(leader.warming.onChecked(input.endpoint, warmUp, input.startedAt, input.incarnation, now))
        .then { it.checkDoubted(now) }
}

/** Returns [notice] for [router] with its permits for cold endpoints. */
internal fun LeaderState.withWarmingPermits(
    notice: RequestLimitNotice,
    router: RouterName,
    permits: Map<EndpointName, Int>,
): RequestLimitNotice = notice.copy(
    warmingPermits = permits.map { (name, count) -> RequestPermits(name, count) }.toPersistentList(),
    renewalMicroseconds = warming.renewals[router] ?: 0,
)
