/**
 * The administration page about endpoints, as this router knows them.
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
import sniperoute.request.routing.decision.isUsable

/** One endpoint as a router knows it. */
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
)

/** All endpoints of one router. */
@Serializable
public data class EndpointsReply(public val endpoints: SerializableList<EndpointView>)

/** Returns the page about the endpoints in [state] at [now]. */
internal fun endpointsPage(state: RoutingState, now: Timestamp): WholeResponse {
    val views = state.endpoints.values
        .map { it.toView(now) }
        .sortedBy { it.endpoint }
        .toPersistentList()
    return jsonResponse(HttpStatus.OK, administrationJson.encodeToString(EndpointsReply.serializer(), EndpointsReply(views)))
}

private fun EndpointState.toView(now: Timestamp): EndpointView = EndpointView(
    endpoint = endpoint.name.text,
    service = service.text,
    usable = isUsable(now),
    leaving = isLeaving,
    incarnation = incarnation,
    weights = weights?.text,
    running = own.size,
    freeSlots = freeSlots(now),
    failures = failures,
)
