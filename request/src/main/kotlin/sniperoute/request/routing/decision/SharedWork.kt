/**
 * What routers tell each other through the leader: what each has at endpoints, so that all see the same load, and which parts of
 * prompts were computed where, so that none is computed twice for want of knowing.
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

/** A router tells of changes at most this often. */
private val TELLING_INTERVAL: Duration = 50.milliseconds

/** Returns the state after telling what changed since the last time. */
internal fun RoutingState.tellWork(now: Timestamp): RoutingStep {
    if (now < nextTelling) return unchanged()
    val work = endpoints.values.map { it.work() }
    val changed = work.filter { it != (told[it.endpoint] ?: EndpointWorkload(it.endpoint, 0, 0)) }
    if (changed.isEmpty() && newlyHeld.isEmpty()) return unchanged()
    val next = copy(
        told = changed.fold(told) { all, one -> all.put(one.endpoint, one) },
        newlyHeld = persistentListOf(),
        nextTelling = now + TELLING_INTERVAL,
    )
    return next.unchanged().emit(ReportWorkload(WorkloadReport(changed.toPersistentList(), newlyHeld)))
}

private fun EndpointState.work(): EndpointWorkload = EndpointWorkload(endpoint.name, own.size, ownWaitingTokens())

/** Returns the state after the leader told what all routers have; of that, this router's part is what it told last. */
internal fun RoutingState.onFleetWork(input: FleetWorkloadReceived, now: Timestamp): RoutingState {
    val loaded = input.message.work.fold(this) { state, total ->
        val own = told[total.endpoint]
        val report = LoadReport(now, total.running, total.waitingTokens, own?.running ?: 0, own?.waitingTokens ?: 0)
        state.withEndpoint(total.endpoint) { it.copy(report = report, isReportShared = true) }
    }
    val known = input.message.held.fold(loaded.cacheIndex) { all, parts -> all.addBlocks(parts.endpoint, parts.keys, now) }
    return loaded.copy(cacheIndex = known)
}
