/**
 * The workload of all routers together at each endpoint, as the leader sums it from their reports.
 */
package sniperoute.version.decision

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import sniperoute.process.clock.Timestamp
import sniperoute.version.message.CachedBlocks
import sniperoute.version.message.EndpointName
import sniperoute.version.message.EndpointWorkload
import sniperoute.version.message.FleetWorkload
import sniperoute.version.message.WorkloadReport
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The shortest time between two messages to routers, and what each router adds to it. */
private val MIN_UPDATE_INTERVAL: Duration = 50.milliseconds
private val UPDATE_INTERVAL_PER_ROUTER: Duration = 1.milliseconds

/**
 * Returns the time between two messages to each of [routers]. It grows with their number, so that the leader sends about as many messages
 * a second in a fleet of any size, and each router receives fewer in a large one.
 */
private fun updateInterval(routers: Int): Duration = maxOf(MIN_UPDATE_INTERVAL, UPDATE_INTERVAL_PER_ROUTER * routers)

/** How often the workload of all endpoints is sent, changed or not, so that routers know that it is current. */
private val FULL_UPDATE_INTERVAL: Duration = 1_000.milliseconds

/**
 * The last reported workload of each router, the endpoints whose workload [changed] since the last message to routers, and the
 * reported cache blocks, [held] by endpoints and stores, and times in percent, [stated] by endpoints, that are still to be sent to routers.
 * No message is due before [nextUpdate].
 */
public data class FleetWorkloads(
    public val byRouter: PersistentMap<RouterName, PersistentMap<EndpointName, EndpointWorkload>>,
    public val changed: PersistentSet<EndpointName>,
    public val held: PersistentList<CachedBlocks>,
    public val nextFullUpdate: Timestamp,
    public val nextUpdate: Timestamp,
    public val stated: PersistentMap<EndpointName, Int> = persistentMapOf(),
)

/** Returns the state of a leader that has received no report yet. */
public fun noFleetWorkloads(): FleetWorkloads =
    FleetWorkloads(persistentMapOf(), persistentSetOf(), persistentListOf(), Timestamp.EARLIEST, Timestamp.EARLIEST)

/**
 * Returns the state with the [report] of [router] applied. A complete one corrects what lost reports have left behind; of its
 * endpoints, only those that it changes are sent on.
 */
public fun FleetWorkloads.recordReport(router: RouterName, report: WorkloadReport): FleetWorkloads {
    val before = byRouter[router] ?: persistentMapOf()
    val workloads = report.work.fold(if (report.isComplete) before.clear() else before) { all, workload ->
        if (workload.running == 0) all.remove(workload.endpoint) else all.put(workload.endpoint, workload.copy(timePercent = 0))
    }
    val statedNow = report.work.filter { it.timePercent > 0 }.fold(stated) { all, workload ->
        all.put(workload.endpoint, workload.timePercent)
    }
    val reported = report.work.map { it.endpoint }
    val endpoints = if (report.isComplete) (before.keys + reported).filter { before[it] != workloads[it] } else reported
    return copy(
        byRouter = byRouter.put(router, workloads),
        changed = changed.addAll(endpoints).addAll(statedNow.keys),
        held = held.addAll(report.held),
        stated = statedNow,
    )
}

/** Returns the state without routers that are not in [live]; their requests have ended or will be reported again. */
public fun FleetWorkloads.keepOnly(live: Set<RouterName>): FleetWorkloads {
    val removed = byRouter.keys.filter { it !in live }
    if (removed.isEmpty()) return this
    val endpoints = removed.flatMap { byRouter.getValue(it).keys }
    return copy(byRouter = removed.fold(byRouter) { all, router -> all.remove(router) }, changed = changed.addAll(endpoints))
}

/** Returns the requests that all routers have in flight at each endpoint that has any. */
public fun FleetWorkloads.runningByEndpoint(): Map<EndpointName, Int> =
    byRouter.values
        .flatMap { it.values }
        .groupingBy { it.endpoint }
        .fold(0) { sum, workload -> sum + workload.running }

/** The [message] to send to all routers, or `null` when none is due, and the state after it was sent. */
public data class FleetWorkloadStep(public val workloads: FleetWorkloads, public val message: FleetWorkload?)

/** Returns the message for routers that is due at [now], if any. */
public fun FleetWorkloads.nextMessage(now: Timestamp): FleetWorkloadStep {
    if (now < nextUpdate) return FleetWorkloadStep(this, null)
    val isFullUpdate = now >= nextFullUpdate
    val endpoints = if (isFullUpdate) byRouter.values.flatMap { it.keys }.toSet() + changed else changed
    if (endpoints.isEmpty() && held.isEmpty()) return FleetWorkloadStep(this, null)
    val message = FleetWorkload(endpoints.sorted().map(::total).toPersistentList(), held)
    val next = FleetWorkloads(
        byRouter = byRouter,
        changed = persistentSetOf(),
        held = persistentListOf(),
        nextFullUpdate = if (isFullUpdate) now + FULL_UPDATE_INTERVAL else nextFullUpdate,
        nextUpdate = now + updateInterval(byRouter.size),
    )
    return FleetWorkloadStep(next, message)
}

private fun FleetWorkloads.total(endpoint: EndpointName): EndpointWorkload {
    val workloads = byRouter.values.mapNotNull { it[endpoint] }
    return EndpointWorkload(
        endpoint = endpoint,
        running = workloads.sumOf { it.running },
        waitingTokens = workloads.sumOf { it.waitingTokens },
        heldTokens = workloads.sumOf { it.heldTokens },
        waitingByRank = workloads.flatMap { it.waitingByRank.entries }.fold(persistentMapOf()) { all, (rank, tokens) ->
            all.put(rank, (all[rank] ?: 0) + tokens)
        },
        timePercent = stated[endpoint] ?: 0,
    )
}
