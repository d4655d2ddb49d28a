/**
 * Answers in the common JSON form, as engines give them behind the own interface: a stream ends with its own mark, and each event
 * holds a JSON object and the number that follows the one before.
 */
package sniperoute.request.run.codec

import sniperoute.connection.endpoint.decision.ServerSentEvent
import sniperoute.connection.http.AnswerHead
import sniperoute.connection.http.HttpStatus
import sniperoute.connection.http.isServerError
import sniperoute.connection.http.valueOrNull
import sniperoute.request.run.message.*
import sniperoute.version.message.ServiceKind

private const val END_MARKER = "[DONE]"
private val REJECTIONS = setOf(HttpStatus.CONFLICT, HttpStatus.TOO_MANY_REQUESTS, HttpStatus.UNAVAILABLE)

/** Returns how answers of a service of [kind] are read, for a caller that [wantsStream] or a whole answer. */
public fun jsonAnswerRules(kind: ServiceKind, wantsStream: Boolean): AnswerRules = AnswerRules(
    readHead = { head -> readHead(head, kind, wantsStream) },
    readEvent = ::readEvent,
    readWhole = { head, content -> readWhole(head, content, kind) },
    endsWithMark = true,
)

private fun readHead(head: AnswerHead, kind: ServiceKind, wantsStream: Boolean): HeadReading {
    val isModel = kind == ServiceKind.MODEL
    return when {
        isModel && head.status in REJECTIONS -> NotTaken(isElsewhere = false, "the endpoint did not take the request: ${head.status}")
        isModel && head.isServerError -> NotAnAnswer("the endpoint answered ${head.status}")
        wantsStream && head.isEventStream && head.status == HttpStatus.OK -> StreamBegins
        else -> WholeBegins
    }
}

/** Whether the answer's content is a stream of events. */
public val AnswerHead.isEventStream: Boolean
    get() = headers
        .valueOrNull("content-type")
        .orEmpty()
        .startsWith("text/event-stream")

private fun readEvent(event: ServerSentEvent, lastId: String?, count: Long): EventReading {
    if (event.data == END_MARKER) return EndMark
    val finding = inspectJson(event.data)
    return when {
        !finding.isObject -> BadPiece("an event of the stream holds no JSON object")
        event.id != null && event.id?.toLongOrNull() != count + 1 -> BadPiece("event ${event.id} came in place of ${count + 1}")
        event.id == null && lastId != null -> BadPiece("an event without number follows numbered ones")
        else -> Piece(event.id, finding.usage)
    }
}

private fun readWhole(head: AnswerHead, content: ByteArray, kind: ServiceKind): WholeReading {
    if (kind != ServiceKind.MODEL || head.status != HttpStatus.OK) return GoodWhole()
    val finding = inspectJson(content.decodeToString())
    return if (finding.isObject) GoodWhole(finding.usage) else BadWhole("the answer is not a JSON object")
}
