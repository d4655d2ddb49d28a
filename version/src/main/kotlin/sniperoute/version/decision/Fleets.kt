/**
 * The fleet view: all endpoints of the listed services. Views are numbered, so that routers receive only the differences.
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

/** The endpoints and the incarnations of the [stores] in the view [number]. Numbers increase across changes of the leader as well. */
public data class FleetView(
    public val number: Long,
    public val endpoints: PersistentMap<EndpointName, FleetEndpoint>,
    public val stores: PersistentMap<ServiceName, Long> = persistentMapOf(),
)

/** Returns the view before the platform's list was read. */
public fun emptyFleetView(): FleetView = FleetView(0, persistentMapOf())

private const val TERM_SHIFT = 32

/** Returns the first view number of the leader of [term]; it is higher than all view numbers of earlier leaders. */
public fun firstFleetNumber(term: Long): Long = term shl TERM_SHIFT

/** Returns the term of the leader that numbered a fleet view [number]; 0 for the platform's list. */
public fun termOf(number: Long): Long = number shr TERM_SHIFT

/** Returns the view with [endpoints] and [stores] under the next number, or this view when nothing differs. */
public fun FleetView.next(endpoints: PersistentMap<EndpointName, FleetEndpoint>, stores: PersistentMap<ServiceName, Long>): FleetView =
    if (endpoints == this.endpoints && stores == this.stores) this else FleetView(number + 1, endpoints, stores)

/** Returns the notice with the differences from [older] to this view. */
public fun FleetView.noticeSince(older: FleetView): FleetNotice = FleetNotice(
    number = number,
    follows = older.number,
    changed = endpoints.values.filter { older.endpoints[it.name] != it }.toPersistentList(),
    gone = older.endpoints.keys
        .filter { it !in endpoints }
        .toPersistentList(),
    stores = stores,
)

/** Returns the notice that replaces any other view by this one. */
public fun FleetView.fullNotice(): FleetNotice = emptyFleetView().let { noticeSince(it) }

/** Returns the view with [notice] applied, or `null` when the notice follows a view other than this one. */
public fun FleetView.applyOrNull(notice: FleetNotice): FleetView? = when {
    notice.number <= number -> this
    notice.follows == 0L -> FleetView(notice.number, notice.changed.addTo(persistentMapOf()), notice.stores.toPersistentMap())
    notice.follows == number -> FleetView(
        notice.number,
        notice.changed.addTo(notice.gone.fold(endpoints) { all, name -> all.remove(name) }),
        notice.stores.toPersistentMap(),
    )
    else -> null
}

private fun List<FleetEndpoint>.addTo(known: PersistentMap<EndpointName, FleetEndpoint>): PersistentMap<EndpointName, FleetEndpoint> =
    fold(known) { all, endpoint -> all.put(endpoint.name, endpoint) }
