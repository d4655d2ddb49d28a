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
import sniperoute.process.clock.Moment
import sniperoute.version.message.EndpointName
import sniperoute.version.message.EndpointWork
import sniperoute.version.message.FleetWork
import sniperoute.version.message.HeldParts
import sniperoute.version.message.WorkNote
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** After this long everything is told again, so that routers know that it still holds. */
private val REPEAT_INTERVAL: Duration = 1_000.milliseconds

/** Each router's work, the endpoints at which it changed since the last word to routers, and parts not told yet. */
public data class FleetWorks(
    public val byRouter: PersistentMap<RouterName, PersistentMap<EndpointName, EndpointWork>>,
    public val changed: PersistentSet<EndpointName>,
    public val held: PersistentList<HeldParts>,
    public val nextRepeat: Moment,
)

/** Returns the state of a leader that was told nothing yet. */
public fun noFleetWorks(): FleetWorks = FleetWorks(persistentMapOf(), persistentSetOf(), persistentListOf(), Moment.EARLIEST)

/** Returns the state after [router] sent [note]. */
public fun FleetWorks.noted(router: RouterName, note: WorkNote): FleetWorks {
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
public fun FleetWorks.keepOnly(live: Set<RouterName>): FleetWorks {
    val gone = byRouter.keys.filter { it !in live }
    if (gone.isEmpty()) return this
    val endpoints = gone.flatMap { byRouter.getValue(it).keys }
    return copy(byRouter = gone.fold(byRouter) { all, router -> all.remove(router) }, changed = changed.addAll(endpoints))
}

/** What to tell routers now, if anything, and the state after that. */
public data class WorkStep(public val works: FleetWorks, public val message: FleetWork?)

/** Returns what to tell routers at [now]. */
public fun FleetWorks.tell(now: Moment): WorkStep {
    val isRepeat = now >= nextRepeat
    val endpoints = if (isRepeat) byRouter.values.flatMap { it.keys }.toSet() + changed else changed
    if (endpoints.isEmpty() && held.isEmpty()) return WorkStep(this, null)
    val message = FleetWork(endpoints.sorted().map(::total).toPersistentList(), held)
    val next = FleetWorks(byRouter, persistentSetOf(), persistentListOf(), if (isRepeat) now + REPEAT_INTERVAL else nextRepeat)
    return WorkStep(next, message)
}

private fun FleetWorks.total(endpoint: EndpointName): EndpointWork {
    val parts = byRouter.values.mapNotNull { it[endpoint] }
    return EndpointWork(endpoint, parts.sumOf { it.running }, parts.sumOf { it.waitingTokens })
}
