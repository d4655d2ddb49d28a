/**
 * What all routers together have at each endpoint, as the leader adds it up from their notes.
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

/** After this long everything is told again, so that routers know that it still holds. */
private val REPEAT_INTERVAL: Duration = 1_000.milliseconds

/** Each router's work, the endpoints at which it changed since the last word to routers, and parts not told yet. */
public data class FleetWorkloads(
    public val byRouter: PersistentMap<RouterName, PersistentMap<EndpointName, EndpointWorkload>>,
    public val changed: PersistentSet<EndpointName>,
    public val held: PersistentList<CachedBlocks>,
    public val nextRepeat: Timestamp,
)

/** Returns the state of a leader that was told nothing yet. */
public fun noFleetWorkloads(): FleetWorkloads = FleetWorkloads(persistentMapOf(), persistentSetOf(), persistentListOf(), Timestamp.EARLIEST)

/** Returns the state after [router] sent [note]. */
public fun FleetWorkloads.recordReport(router: RouterName, note: WorkloadReport): FleetWorkloads {
    val known = note.work.fold(byRouter[router] ?: persistentMapOf()) { all, work ->
        if (work.running == 0) all.remove(work.endpoint) else all.put(work.endpoint, work)
    }
    return copy(
        byRouter = byRouter.put(router, known),
        changed = changed.addAll(note.work.map { it.endpoint }),
        held = held.addAll(note.held),
    )
}

/** Returns the state without the routers that are not among [live]: what they had is over or will be told anew. */
public fun FleetWorkloads.keepOnly(live: Set<RouterName>): FleetWorkloads {
    val gone = byRouter.keys.filter { it !in live }
    if (gone.isEmpty()) return this
    val endpoints = gone.flatMap { byRouter.getValue(it).keys }
    return copy(byRouter = gone.fold(byRouter) { all, router -> all.remove(router) }, changed = changed.addAll(endpoints))
}

/** What to tell routers now, if anything, and the state after that. */
public data class FleetWorkloadStep(public val works: FleetWorkloads, public val message: FleetWorkload?)

/** Returns what to tell routers at [now]. */
public fun FleetWorkloads.nextMessage(now: Timestamp): FleetWorkloadStep {
    val isRepeat = now >= nextRepeat
    val endpoints = if (isRepeat) byRouter.values.flatMap { it.keys }.toSet() + changed else changed
    if (endpoints.isEmpty() && held.isEmpty()) return FleetWorkloadStep(this, null)
    val message = FleetWorkload(endpoints.sorted().map(::total).toPersistentList(), held)
    val next = FleetWorkloads(byRouter, persistentSetOf(), persistentListOf(), if (isRepeat) now + REPEAT_INTERVAL else nextRepeat)
    return FleetWorkloadStep(next, message)
}

private fun FleetWorkloads.total(endpoint: EndpointName): EndpointWorkload {
    val parts = byRouter.values.mapNotNull { it[endpoint] }
    return EndpointWorkload(endpoint, parts.sumOf { it.running }, parts.sumOf { it.waitingTokens })
}
