/**
 * Limits of endpoints on the requests that they take: the leader collects what routers report and grants them permits.
 */
package sniperoute.control.decision

import kotlinx.collections.immutable.persistentListOf
import sniperoute.control.message.NotifyRouters
import sniperoute.control.message.RecordTimelineEvent
import sniperoute.control.message.ReplyAddress
import sniperoute.control.message.SendSessionReply
import sniperoute.process.clock.Timestamp
import sniperoute.process.timeline.message.EventKind
import sniperoute.process.timeline.message.EventSubject
import sniperoute.version.decision.RequestLimits
import sniperoute.version.decision.RouterName
import sniperoute.version.decision.grant
import sniperoute.version.decision.noticeForNewRouterOrNull
import sniperoute.version.decision.record
import sniperoute.version.message.EndpointName
import sniperoute.version.message.RequestLimitNotice
import sniperoute.version.message.RequestLimitReport
import sniperoute.version.message.ServiceName

internal fun ControlDutyState.recordRequestLimits(report: RequestLimitReport, now: Timestamp): ControlStep {
    val leader = leaderState ?: return unchanged()
    return withRequestLimits(leader.limits.record(report.limits, now)).then { it.grantRequestPermits(now) }
}

/** Sends every live router the limits in force and its permits, when that is due. */
internal fun ControlDutyState.grantRequestPermits(now: Timestamp): ControlStep {
    val leader = leaderState ?: return unchanged()
    val live = leader.links.entries
        .filter { (_, router) -> leader.leases.routers[router]?.let { it.until > now } ?: false }
        .associate { (link, router) -> router to link }
    val routers = live.keys.sortedBy { it.toString() }
    val step = leader.limits.grant(routers, now, leader::demand)
    val warming = leader.warming.grant(routers, now, leader::demand)
    val next = withRequestLimits(step.limits).then { it.withWarming(warming.endpoints) }
    return routers.filter { it in step.notices || it in warming.permits }.fold(next) { all, router ->
        val notice = step.notices[router] ?: RequestLimitNotice(isComplete = false, persistentListOf(), persistentListOf())
        val granted = leader.withWarmingPermits(notice, router, warming.permits[router].orEmpty())
        all.emit(NotifyRouters(persistentListOf(live.getValue(router)), granted))
    }
}

/** Tells a router that has just started which endpoints have a limit. */
internal fun ControlDutyState.sendRequestLimits(to: ReplyAddress): ControlStep {
    val notice = leaderState?.limits?.noticeForNewRouterOrNull() ?: return unchanged()
    return unchanged().emit(SendSessionReply(to, notice))
}

/** Returns how many requests [router] has in flight at endpoints of the service of [endpoint]. */
private fun LeaderState.demand(router: RouterName, endpoint: EndpointName): Int {
    val service = serviceOfOrNull(endpoint)
    return workloads.byRouter[router]
        ?.values
        .orEmpty()
        .filter { serviceOfOrNull(it.endpoint) == service }
        .sumOf { it.running }
}

private fun LeaderState.serviceOfOrNull(endpoint: EndpointName): ServiceName? {
    val known = fleet?.endpoints ?: return null
    return known[endpoint]?.listed?.service
}

/** Records in the time line which limits begin and end with [limits]. */
private fun ControlDutyState.withRequestLimits(limits: RequestLimits): ControlStep {
    val before = leaderState?.limits ?: return unchanged()
    val begun = limits.byEndpoint.keys
        .filter { it !in before.byEndpoint }
        .map { name ->
            val detail = "${limits.byEndpoint.getValue(name).perSecond} requests a second"
            RecordTimelineEvent(EventKind.ENDPOINT_LIMITED, EventSubject(endpoint = name.text), detail)
        }
    val ended = before.byEndpoint.keys
        .filter { it !in limits.byEndpoint }
        .map { RecordTimelineEvent(EventKind.ENDPOINT_LIMIT_ENDED, EventSubject(endpoint = it.text), "") }
    return (begun + ended).fold(updateLeader { copy(limits = limits) }.unchanged()) { step, event -> step.emit(event) }
}
