/**
 * Workload reports, which routers exchange through the leader: the load that each router puts on endpoints, so that all see the same
 * load, and where blocks of prompts were computed, so that none is computed twice because a router did not know.
 */
package sniperoute.request.routing.decision

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import sniperoute.process.clock.Timestamp
import sniperoute.request.routing.message.FleetWorkloadReceived
import sniperoute.request.routing.message.ReportWorkload
import sniperoute.version.message.EndpointWorkload
import sniperoute.version.message.WorkloadReport
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The shortest time between two reports of a router. */
private val REPORT_INTERVAL: Duration = 50.milliseconds

/** How often a router reports its workload at all endpoints, since reports of changes may be lost. */
private val COMPLETE_REPORT_INTERVAL: Duration = 1.seconds

/** Returns the state after a report, if one is due: of all endpoints with requests, or of the changes since the last report, if any. */
internal fun RoutingState.reportWorkload(now: Timestamp): RoutingStep {
    if (now < nextWorkloadReport) return unchanged()
    val isComplete = now >= nextCompleteReport
    val workloads = endpoints.values.map { it.workload() }
    val reported = workloads.filter {
        if (isComplete) it.running > 0 else it != (reportedWorkloads[it.endpoint] ?: EndpointWorkload(it.endpoint, 0, 0))
    }
    if (!isComplete && reported.isEmpty() && newlyCached.isEmpty()) return unchanged()
    val next = copy(
        reportedWorkloads = reported.fold(if (isComplete) reportedWorkloads.clear() else reportedWorkloads) { all, workload ->
            all.put(workload.endpoint, workload)
        },
        newlyCached = persistentListOf(),
        nextWorkloadReport = now + REPORT_INTERVAL,
        nextCompleteReport = if (isComplete) now + COMPLETE_REPORT_INTERVAL else nextCompleteReport,
    )
    return next.unchanged().emit(ReportWorkload(WorkloadReport(reported.toPersistentList(), newlyCached, isComplete)))
}

private fun EndpointState.workload(): EndpointWorkload = EndpointWorkload(endpoint.name, ownRequests.size, ownWaitingTokens())

/** Returns the state after the leader sent the workload of all routers, which includes what this router reported last. */
internal fun RoutingState.onFleetWorkload(input: FleetWorkloadReceived, now: Timestamp): RoutingState {
    val loaded = input.message.work.fold(this) { state, total ->
        val own = reportedWorkloads[total.endpoint]
        val report = LoadReport(now, total.running, total.waitingTokens, own?.running ?: 0, own?.waitingTokens ?: 0)
        state.withEndpoint(total.endpoint) { it.copy(report = report, isReportShared = true) }
    }
    val index = input.message.held.fold(loaded.cacheIndex) { all, blocks -> all.addBlocks(blocks.endpoint, blocks.keys, now) }
    return loaded.copy(cacheIndex = index)
}
