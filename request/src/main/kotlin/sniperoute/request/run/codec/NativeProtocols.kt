/**
 * The protocol of the native interface: bearer keys, errors in JSON, and headers for priority, weights and cache salt.
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

/** Headers of callers that are not forwarded: credentials, and those that the router sets itself. */
private val NOT_FORWARDED = setOf("authorization", "x-api-key", "cookie", "host", "x-request-id", "last-event-id")

/** Returns the protocol of the native interface. */
public fun nativeProtocol(): FrontEndProtocol = FrontEndProtocol(
    requestHeaders = ::requestHeaders,
    responseHeaders = ::responseHeaders,
    refusalResponse = ::refusalResponse,
    parseLoadReport = { null },
    stallTimeout = ::stallTimeout,
    externalRequestId = { _, id -> id.text },
)

private fun requestHeaders(request: OutgoingRequest): ImmutableList<Header> = buildList {
    val weights = request.dispatch.weights
    addAll(
        request.head.headers
            .withoutConnectionHeaders()
            .filter { it.name !in NOT_FORWARDED },
    )
    add(Header("x-priority", request.admitted.requestClass.text))
    if (weights != null) {
        add(Header("x-weights-version", weights.text))
        add(Header("x-cache-salt", request.cacheSalt.toString()))
    }
    request.lastEventId?.let { add(Header("last-event-id", it)) }
}.toImmutableList()

private fun responseHeaders(head: ResponseHead, id: RequestId, outcome: Outcome?): ImmutableList<Header> {
    val forwarded = head.headers.withoutConnectionHeaders().filter { it.name != "x-request-id" } + Header("x-request-id", id.text)
    return (if (outcome == null) forwarded else forwarded + Header(OUTCOME_HEADER, outcome.text)).toImmutableList()
}

private fun refusalResponse(refusal: Refusal, id: RequestId): WholeResponse {
    val headers = listOfNotNull(
        refusal.retryAfter?.let { Header("retry-after", it.inWholeSeconds.coerceAtLeast(1).toString()) },
        Header("x-request-id", id.text),
    )
    return errorResponse(refusal.kind.status, refusal.kind.text, refusal.message, refusal.outcome.text, headers.toImmutableList())
}

/**
 * Returns the stall timeout. A stream may pause for the route's gap. A response that is not streamed may take half of the remaining
 * time, but at least the gap, which leaves time for another attempt.
 */
private fun stallTimeout(admitted: AdmittedRequest, wantsStream: Boolean, remaining: Duration): Duration? {
    val gap = admitted.route.gapMilliseconds.milliseconds
    return when {
        admitted.route.repetition != Repetition.REPEATABLE -> null
        wantsStream -> gap
        else -> maxOf(gap, remaining / 2)
    }
}
