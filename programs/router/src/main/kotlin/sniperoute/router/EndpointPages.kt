/**
 * The administration page that shows the state of endpoints at this router.
 */
package sniperoute.router

import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.Serializable
import sniperoute.common.administrationJson
import sniperoute.connection.http.HttpStatus
import sniperoute.connection.http.codec.WholeResponse
import sniperoute.connection.http.codec.jsonResponse
import sniperoute.process.clock.Timestamp
import sniperoute.process.codec.SerializableList
import sniperoute.request.routing.decision.EndpointState
import sniperoute.request.routing.decision.RoutingState
import sniperoute.request.routing.decision.freeSlots
import sniperoute.request.routing.decision.isEvacuated
import sniperoute.request.routing.decision.isUsable

/** The state of one endpoint at a router. */
@Serializable
public data class EndpointView(
    public val endpoint: String,
    public val service: String,
    public val usable: Boolean,
    public val leaving: Boolean,
    public val incarnation: String?,
    public val weights: String?,
    public val running: Int,
    public val freeSlots: Int,
    public val failures: Int,
    public val evacuated: Boolean = false,
)

/** The state of all endpoints at a router. */
@Serializable
public data class EndpointsReply(public val endpoints: SerializableList<EndpointView>)

/** Returns the page that shows the endpoints of [state] at [now]. */
internal fun endpointsPage(state: RoutingState, now: Timestamp): WholeResponse {
    val views = state.endpoints.values
        .map { it.toView(now, state.isEvacuated(it)) }
        .sortedBy { it.endpoint }
        .toPersistentList()
    return jsonResponse(HttpStatus.OK, administrationJson.encodeToString(EndpointsReply.serializer(), EndpointsReply(views)))
}

private fun EndpointState.toView(now: Timestamp, isEvacuated: Boolean): EndpointView = EndpointView(
    endpoint = endpoint.name.text,
    service = service.text,
    usable = isUsable(now),
    leaving = isLeaving,
    incarnation = incarnation,
    weights = weights?.text,
    running = ownRequests.size,
    freeSlots = freeSlots(now),
    failures = failures,
    evacuated = isEvacuated,
)
