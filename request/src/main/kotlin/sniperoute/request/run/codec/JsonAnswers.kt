/**
 * Parses answers of endpoints behind the native interface. They have the common JSON form: a stream ends with a marker, and each of
 * its events holds a JSON object and has the next number as its ID.
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
private val REJECTION_STATUSES = setOf(HttpStatus.CONFLICT, HttpStatus.TOO_MANY_REQUESTS, HttpStatus.UNAVAILABLE)

/** Returns the parser for answers of a service of [kind]; [wantsStream] is `true` if the caller asked for a stream. */
public fun jsonAnswerRules(kind: ServiceKind, wantsStream: Boolean): AnswerRules = AnswerRules(
    readHead = { head -> readHead(head, kind, wantsStream) },
    readEvent = ::readEvent,
    readWhole = { head, content -> readWhole(head, content, kind) },
    endsWithMark = true,
)

private fun readHead(head: AnswerHead, kind: ServiceKind, wantsStream: Boolean): HeadReading {
    val isModel = kind == ServiceKind.MODEL
    return when {
        isModel && head.status in REJECTION_STATUSES -> NotTaken(
            isElsewhere = false,
            "the endpoint rejected the request with status ${head.status}",
        )
        isModel && head.isServerError -> NotAnAnswer("the endpoint answered with status ${head.status}")
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
    val inspection = inspectJson(event.data)
    return when {
        !inspection.isObject -> BadPiece("an event of the stream holds no JSON object")
        event.id != null && event.id?.toLongOrNull() != count + 1 -> BadPiece("event ${event.id} arrived instead of ${count + 1}")
        event.id == null && lastId != null -> BadPiece("an event without an ID follows numbered events")
        else -> Piece(event.id, inspection.usage)
    }
}

private fun readWhole(head: AnswerHead, content: ByteArray, kind: ServiceKind): WholeReading {
    if (kind != ServiceKind.MODEL || head.status != HttpStatus.OK) return GoodWhole()
    val inspection = inspectJson(content.decodeToString())
    return if (inspection.isObject) GoodWhole(inspection.usage) else BadWhole("the answer is not a JSON object")
}
