/**
 * Parses responses of endpoints behind the native interface. They have the common JSON form: a stream ends with a marker, and each of
 * its events holds a JSON object. Event IDs, if an endpoint gives any, are consecutive numbers.
 */
package sniperoute.request.run.codec

import sniperoute.connection.endpoint.decision.ServerSentEvent
import sniperoute.connection.http.HttpStatus
import sniperoute.connection.http.ResponseHead
import sniperoute.connection.http.isServerError
import sniperoute.connection.http.valueOrNull
import sniperoute.request.run.message.*
import sniperoute.version.message.ServiceKind

private const val END_MARKER = "[DONE]"
private val REJECTION_STATUSES = setOf(HttpStatus.CONFLICT, HttpStatus.TOO_MANY_REQUESTS, HttpStatus.UNAVAILABLE)

/** Returns the parser for responses of a service of [kind]; [wantsStream] is `true` if the caller asked for a stream. */
public fun jsonResponseParser(kind: ServiceKind, wantsStream: Boolean): ResponseParser = ResponseParser(
    parseHead = { head -> parseHead(head, kind, wantsStream) },
    parseEvent = ::parseEvent,
    parseBody = { head, content -> parseBody(head, content, kind) },
    hasEndMarker = true,
)

private fun parseHead(head: ResponseHead, kind: ServiceKind, wantsStream: Boolean): ParsedHead {
    val isModel = kind == ServiceKind.MODEL
    return when {
        isModel && head.status in REJECTION_STATUSES -> NotExecuted(
            isMisdirected = false,
            "the endpoint rejected the request with status ${head.status}",
        )
        isModel && head.isServerError -> InvalidHead("the endpoint responded with status ${head.status}")
        wantsStream && head.isEventStream && head.status == HttpStatus.OK -> StreamHead
        else -> BufferedHead
    }
}

/** Whether the response's content is a stream of events. */
public val ResponseHead.isEventStream: Boolean
    get() = headers
        .valueOrNull("content-type")
        .orEmpty()
        .startsWith("text/event-stream")

private fun parseEvent(event: ServerSentEvent, lastId: String?, count: Long): ParsedEvent {
    if (event.data == END_MARKER) return EndMarker
    val inspection = inspectJson(event.data)
    return when {
        !inspection.isObject -> InvalidEvent("an event of the stream holds no JSON object")
        event.id != null && event.id?.toLongOrNull() != count + 1 -> InvalidEvent("event ${event.id} arrived instead of ${count + 1}")
        event.id == null && lastId != null -> InvalidEvent("an event without an ID follows numbered events")
        else -> ContentEvent(event.id, inspection.usage)
    }
}

private fun parseBody(head: ResponseHead, content: ByteArray, kind: ServiceKind): ParsedBody {
    if (kind != ServiceKind.MODEL || head.status != HttpStatus.OK) return ValidBody()
    val inspection = inspectJson(content.decodeToString())
    return if (inspection.isObject) ValidBody(inspection.usage) else InvalidBody("the response is not a JSON object")
}
