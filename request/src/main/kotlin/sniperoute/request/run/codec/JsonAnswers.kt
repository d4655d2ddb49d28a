/**
 * Answers in the common JSON form, as engines give them behind the own interface: a stream ends with its own mark, and each event
 * holds a JSON object and the number that follows the one before.
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
private val REJECTIONS = setOf(HttpStatus.CONFLICT, HttpStatus.TOO_MANY_REQUESTS, HttpStatus.UNAVAILABLE)

/** Returns how answers of a service of [kind] are read, for a caller that [wantsStream] or a whole answer. */
public fun jsonAnswerRules(kind: ServiceKind, wantsStream: Boolean): ResponseParser = ResponseParser(
    parseHead = { head -> parseHead(head, kind, wantsStream) },
    parseEvent = ::parseEvent,
    parseBody = { head, content -> parseBody(head, content, kind) },
    hasEndMarker = true,
)

private fun parseHead(head: ResponseHead, kind: ServiceKind, wantsStream: Boolean): ParsedHead {
    val isModel = kind == ServiceKind.MODEL
    return when {
        isModel && head.status in REJECTIONS -> NotExecuted(isMisdirected = false, "the endpoint did not take the request: ${head.status}")
        isModel && head.isServerError -> InvalidHead("the endpoint answered ${head.status}")
        wantsStream && head.isEventStream && head.status == HttpStatus.OK -> StreamHead
        else -> BufferedHead
    }
}

/** Whether the answer's content is a stream of events. */
public val ResponseHead.isEventStream: Boolean
    get() = headers
        .valueOrNull("content-type")
        .orEmpty()
        .startsWith("text/event-stream")

private fun parseEvent(event: ServerSentEvent, lastId: String?, count: Long): ParsedEvent {
    if (event.data == END_MARKER) return EndMark
    val finding = inspectJson(event.data)
    return when {
        !finding.isObject -> InvalidEvent("an event of the stream holds no JSON object")
        event.id != null && event.id?.toLongOrNull() != count + 1 -> InvalidEvent("event ${event.id} came in place of ${count + 1}")
        event.id == null && lastId != null -> InvalidEvent("an event without number follows numbered ones")
        else -> ContentEvent(event.id, finding.usage)
    }
}

private fun parseBody(head: ResponseHead, content: ByteArray, kind: ServiceKind): ParsedBody {
    if (kind != ServiceKind.MODEL || head.status != HttpStatus.OK) return ValidBody()
    val finding = inspectJson(content.decodeToString())
    return if (finding.isObject) ValidBody(finding.usage) else BadWhole("the answer is not a JSON object")
}
