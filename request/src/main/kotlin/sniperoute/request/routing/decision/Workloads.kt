/**
 * Workload reports, which routers exchange through the leader: the load that each router puts on endpoints, so that all see the same
 * load, and where blocks of prompts were computed, so that none is computed twice because a router did not know.
 */
package sniperoute.request.routing.decision

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import sniperoute.process.clock.Timestamp
import sniperoute.request.routing.message.FleetWorkloadReceived
import sniperoute.request.routing.message.ReportWorkload
import sniperoute.version.message.EndpointName
import sniperoute.version.message.EndpointWorkload
import sniperoute.version.message.WorkloadReport
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The shortest time between two reports of a router. */
private val REPORT_INTERVAL: Duration = 50.milliseconds

/** How often a router reports its workload at all endpoints, since reports of changes may be lost. */
private val COMPLETE_REPORT_INTERVAL: Duration = 1.seconds

/** Returns the state after a report, if one is due. */
internal fun RoutingState.reportWorkload(now: Timestamp): RoutingStep = when {
    now < nextWorkloadReport -> unchanged()
    now < nextCompleteReport -> reportChangedWorkload(now)
    else -> reportWholeWorkload(now)
}

private fun RoutingState.reportChangedWorkload(now: Timestamp): RoutingStep {
    val changed = ownWorkloads()
        .filter { it != (reportedWorkloads[it.endpoint] ?: EndpointWorkload(it.endpoint, 0, 0)) }
    if (changed.isEmpty() && newlyCached.isEmpty()) return unchanged()
    return report(WorkloadReport(changed.toPersistentList(), newlyCached), reportedWorkloads, now)
}

private fun RoutingState.reportWholeWorkload(now: Timestamp): RoutingStep {
    val whole = ownWorkloads().filter { it.running > 0 }
    return copy(nextCompleteReport = now + COMPLETE_REPORT_INTERVAL)
        .report(WorkloadReport(whole.toPersistentList(), newlyCached, isComplete = true), reportedWorkloads.clear(), now)
}

/**
 * Returns the workloads at the endpoints that have requests of this router, or had some when it last reported, and at those that stated
 * their time since then; all others are 0.
 */
private fun RoutingState.ownWorkloads(): List<EndpointWorkload> =
    (running.values.map { it.endpoint } + reportedWorkloads.keys + newlyStated).distinct().mapNotNull { endpoints[it]?.workload(this) }

private fun RoutingState.report(
    report: WorkloadReport,
    before: PersistentMap<EndpointName, EndpointWorkload>,
    now: Timestamp,
): RoutingStep = copy(
    reportedWorkloads = report.work.fold(before) { all, workload -> all.put(workload.endpoint, workload.copy(timePercent = 0)) },
    newlyCached = persistentListOf(),
    newlyStated = newlyStated.clear(),
    nextWorkloadReport = now + REPORT_INTERVAL,
).unchanged().emit(ReportWorkload(report))

private fun EndpointState.workload(state: RoutingState): EndpointWorkload = EndpointWorkload(
    endpoint = endpoint.name,
    running = ownRequests.size,
    waitingTokens = ownWaitingTokens(),
    heldTokens = if (state.isPlacedByCapacity(service)) ownHeldTokens() else 0,
    waitingByRank = if (state.isPlacedByCapacity(service)) ownWaitingByRank() else persistentMapOf(),
    timePercent = if (endpoint.name in state.newlyStated) statedPercent() else 0,
)

/** Returns the state after the leader sent the workload of all routers, which includes what this router reported last. */
internal fun RoutingState.onFleetWorkload(input: FleetWorkloadReceived, now: Timestamp): RoutingState {
    val loaded = input.message.work.fold(this) { state, total ->
        val own = reportedWorkloads[total.endpoint]
        val report = LoadReport(
            at = now,
            running = total.running,
            waitingTokens = total.waitingTokens,
            ownRunning = own?.running ?: 0,
            ownWaitingTokens = own?.waitingTokens ?: 0,
            heldTokens = total.heldTokens,
            ownHeldTokens = own?.heldTokens ?: 0,
            waitingByRank = total.waitingByRank,
            ownWaitingByRank = own?.waitingByRank ?: persistentMapOf(),
        )
        state.withSharedWorkload(total, report, now)
    }
    val index = input.message.held.fold(loaded.cacheIndex) { all, blocks -> all.addBlocks(blocks.endpoint, blocks.keys, now) }
    return loaded.copy(cacheIndex = index, lastSharedWorkload = now)
}
