/**
 * What endpoints say of themselves in the heads of their responses: that they leave, and for how long they want no request from this
 * router. Both bind this router from the response on. An announcement to leave ends with the endpoint's incarnation, a pause with its time.
 */
package sniperoute.request.routing.decision

import sniperoute.process.clock.Timestamp
import sniperoute.request.admission.decision.Refusal
import sniperoute.request.admission.decision.RefusalKind
import sniperoute.request.routing.message.AdmittedRequest
import sniperoute.request.routing.message.ResponseLoadReport
import sniperoute.version.message.ServiceName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

/** An endpoint that asks for a longer pause is tried again after this time. */
private val MAX_PAUSE: Duration = 5.minutes

/** Returns the endpoint after a response whose head was received at [now]. */
internal fun EndpointState.withNotices(load: ResponseLoadReport, now: Timestamp): EndpointState {
    val pause = load.pause?.let { now + minOf(it, MAX_PAUSE) } ?: pausedUntil
    return copy(hasAnnouncedLeaving = hasAnnouncedLeaving || load.isLeaving, pausedUntil = maxOf(pausedUntil, pause))
}

/** Returns the endpoints of [service] that don't leave. */
internal fun RoutingState.stayingEndpoints(service: ServiceName): List<EndpointState> =
    members[service]
        .orEmpty()
        .mapNotNull { endpoints[it] }
        .filter { !it.isLeaving && !it.hasAnnouncedLeaving }

/** The time over which callers return after a pause, as a share of the pause, and the shortest such time. */
private const val RETURN_SHARE = 0.25
private val MIN_RETURN_TIME: Duration = 250.milliseconds
private const val RETURN_STEPS = 1_000

/**
 * Returns the refusal of a request for which no endpoint can be free in time, since all that do not leave want no request until after
 * [queueDeadline]; `null` if one may be. Callers are sent back over some time after the end of the first pause, so that the endpoint does
 * not get them all at once.
 */
internal fun RoutingState.pausedRefusalOrNull(request: AdmittedRequest, queueDeadline: Timestamp, now: Timestamp): Refusal? {
    val pauseEnd = stayingEndpoints(request.service).filter { !isEvacuated(it) }.minOfOrNull { it.pausedUntil } ?: return null
    if (pauseEnd <= maxOf(queueDeadline, now)) return null
    val pause = pauseEnd - now
    val returnTime = maxOf(MIN_RETURN_TIME, pause * RETURN_SHARE)
    val position = Math.floorMod(request.hash, RETURN_STEPS) / RETURN_STEPS.toDouble()
    return Refusal(RefusalKind.OVERLOADED, "all endpoints asked for a pause", retryAfter = pause + returnTime * position)
}
