/**
 * Evacuated failure domains: their endpoints get no new requests, while those that run there are left to end.
 */
package sniperoute.request.routing.decision

import sniperoute.request.admission.decision.Refusal
import sniperoute.request.admission.decision.RefusalKind
import sniperoute.request.routing.message.AdmittedRequest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Whether [endpoint] may get no new request because its failure domain is evacuated. */
public fun RoutingState.isEvacuated(endpoint: EndpointState): Boolean = endpoint.endpoint.failureDomain in view.catalogue.evacuated

/** An operator ends an evacuation after seconds at the earliest, so callers gain nothing by returning sooner. */
private val MIN_RETURN_DELAY: Duration = 2.seconds

/** The time over which callers are sent back, so that they don't return all at once, and its divisions. */
private val RETURN_TIME: Duration = 2.seconds
private const val RETURN_STEPS = 1_000

/**
 * Returns the refusal of a request for which there is no endpoint outside the evacuated failure domains, or `null` if there is one.
 * Endpoints that leave don't count. Where a service has no endpoint at all, its requests wait, as they do without an evacuation.
 */
internal fun RoutingState.evacuatedRefusalOrNull(request: AdmittedRequest): Refusal? {
    if (view.catalogue.evacuated.isEmpty()) return null
    val staying = stayingEndpoints(request.service)
    if (staying.isEmpty() || staying.any { !isEvacuated(it) }) return null
    val position = Math.floorMod(request.hash, RETURN_STEPS) / RETURN_STEPS.toDouble()
    val message = "all endpoints of service ${request.service} are in failure domains that are evacuated"
    return Refusal(RefusalKind.NO_ENDPOINT, message, retryAfter = MIN_RETURN_DELAY + RETURN_TIME * position)
}
