/**
 * The fleet view: every endpoint of the listed services, numbered so that routers get differences only.
 */
package sniperoute.version.decision

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import sniperoute.version.message.EndpointName
import sniperoute.version.message.FleetEndpoint
import sniperoute.version.message.FleetNotice
import sniperoute.version.message.ServiceName

/** The endpoints, and the runs of the stores, at view [number]; numbers grow, over changes of the leader too. */
public data class FleetView(
    public val number: Long,
    public val endpoints: PersistentMap<EndpointName, FleetEndpoint>,
    public val stores: PersistentMap<ServiceName, Long> = persistentMapOf(),
)

/** Returns the view before the list was read. */
public fun emptyFleetView(): FleetView = FleetView(0, persistentMapOf())

private const val TERM_SHIFT = 32

/** Returns the first view number of the leader of [term], above all of earlier leaders. */
public fun firstFleetNumber(term: Long): Long = term shl TERM_SHIFT

/** Returns the view with [endpoints] and [stores] under the next number, or this one when nothing differs. */
public fun FleetView.next(endpoints: PersistentMap<EndpointName, FleetEndpoint>, stores: PersistentMap<ServiceName, Long>): FleetView =
    if (endpoints == this.endpoints && stores == this.stores) this else FleetView(number + 1, endpoints, stores)

/** Returns what leads from [older] to this view. */
public fun FleetView.noticeSince(older: FleetView): FleetNotice = FleetNotice(
    number = number,
    follows = older.number,
    changed = endpoints.values.filter { older.endpoints[it.name] != it }.toPersistentList(),
    gone = older.endpoints.keys
        .filter { it !in endpoints }
        .toPersistentList(),
    stores = stores,
)

/** Returns all of this view, for a router that has another one. */
public fun FleetView.fullNotice(): FleetNotice = emptyFleetView().let { noticeSince(it) }

/** Returns the view after [notice], or `null` when that follows another one. */
public fun FleetView.applyOrNull(notice: FleetNotice): FleetView? = when {
    notice.number <= number -> this
    notice.follows == 0L -> FleetView(notice.number, notice.changed.byName(persistentMapOf()), notice.stores.toPersistentMap())
    notice.follows == number -> FleetView(
        notice.number,
        notice.changed.byName(notice.gone.fold(endpoints) { all, name -> all.remove(name) }),
        notice.stores.toPersistentMap(),
    )
    else -> null
}

private fun List<FleetEndpoint>.byName(start: PersistentMap<EndpointName, FleetEndpoint>): PersistentMap<EndpointName, FleetEndpoint> =
    fold(start) { all, endpoint -> all.put(endpoint.name, endpoint) }
