/**
 * The wording of the own interface: bearer keys, errors in JSON, and headers for priority, weights and salt.
 */
package sniperoute.request.run.codec

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import sniperoute.connection.http.Header
import sniperoute.connection.http.ResponseHead
import sniperoute.connection.http.codec.OUTCOME_HEADER
import sniperoute.connection.http.codec.WholeResponse
import sniperoute.connection.http.codec.errorResponse
import sniperoute.connection.http.withoutConnectionHeaders
import sniperoute.request.admission.decision.Outcome
import sniperoute.request.admission.decision.Refusal
import sniperoute.request.routing.message.AdmittedRequest
import sniperoute.request.routing.message.RequestId
import sniperoute.request.run.message.FrontEndProtocol
import sniperoute.request.run.message.OutgoingRequest
import sniperoute.version.message.Repetition
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A caller's keys go no further, and what the router says itself to an endpoint is not taken from a caller. */
private val NEVER_PASSED = setOf("authorization", "x-api-key", "cookie", "host", "x-request-id", "last-event-id")

private val SHORTEST_WAIT = 10.milliseconds

/** Returns the wording of the own interface. */
public fun nativeProtocol(): FrontEndProtocol = FrontEndProtocol(
    requestHeaders = ::requestHeaders,
    responseHeaders = ::answerHeaders,
    refusalResponse = ::refusalAnswer,
    parseLoadReport = { null },
    idleTimeout = ::idleTimeout,
    externalRequestId = { _, id -> id.text },
)

private fun requestHeaders(request: OutgoingRequest): ImmutableList<Header> = buildList {
    val weights = request.dispatch.weights
    addAll(
        request.head.headers
            .withoutConnectionHeaders()
            .filter { it.name !in NEVER_PASSED },
    )
    add(Header("x-priority", request.admitted.requestClass.text))
    if (weights != null) {
        add(Header("x-weights-version", weights.text))
        add(Header("x-cache-salt", request.cacheSalt.toString()))
    }
    request.lastEventId?.let { add(Header("last-event-id", it)) }
}.toImmutableList()

private fun answerHeaders(head: ResponseHead, id: RequestId, outcome: Outcome?): ImmutableList<Header> {
    val passed = head.headers.withoutConnectionHeaders().filter { it.name != "x-request-id" } + Header("x-request-id", id.text)
    return (if (outcome == null) passed else passed + Header(OUTCOME_HEADER, outcome.text)).toImmutableList()
}

private fun refusalAnswer(refusal: Refusal, id: RequestId): WholeResponse {
    val more = listOfNotNull(
        refusal.retryAfter?.let { Header("retry-after", it.inWholeSeconds.coerceAtLeast(1).toString()) },
        Header("x-request-id", id.text),
    )
    return errorResponse(refusal.kind.status, refusal.kind.text, refusal.message, refusal.outcome.text, more.toImmutableList())
}

/**
 * A streamed answer must go on within the route's gap. A whole one may take until the deadline; if it may be repeated, half
 * of the time left, so that there is time for another attempt.
 */
private fun idleTimeout(admitted: AdmittedRequest, wantsStream: Boolean, left: Duration): Duration {
    val gap = admitted.route.gapMilliseconds.milliseconds
    val wait = left.coerceAtLeast(SHORTEST_WAIT)
    return when {
        wantsStream -> gap
        admitted.route.repetition == Repetition.REPEATABLE -> maxOf(gap, wait / 2)
        else -> wait
    }
}
