/**
 * The parser for endpoints' answers. It consists of functions, so that front ends with different encodings share one assembly of answers.
 */
package sniperoute.request.run.message

import sniperoute.connection.endpoint.decision.ServerSentEvent
import sniperoute.connection.http.AnswerHead

/** Token counts of an engine; `null` where it gave none. */
public data class Usage(public val promptTokens: Long?, public val cachedTokens: Long?, public val answerTokens: Long?)

/** The parsed head of an answer. */
public sealed interface HeadReading

/** The head of a stream of events. */
public data object StreamBegins : HeadReading

/** The head of an answer that is buffered and sent to the caller as a whole. */
public data object WholeBegins : HeadReading

/** The head of an error answer of the endpoint. The caller gets it only if no other endpoint answers. */
public data object FaultBegins : HeadReading

/**
 * The endpoint did not run the request. [isElsewhere] means that another endpoint has the address, or that the endpoint serves other
 * weights.
 */
public data class NotTaken(public val isElsewhere: Boolean, public val reason: String) : HeadReading

/** Not a valid answer to the request. */
public data class NotAnAnswer(public val reason: String) : HeadReading

/** A parsed event of a stream. */
public sealed interface EventReading

/** An event with content. Without an [id], the stream cannot be resumed at another endpoint. */
public data class Piece(public val id: String?, public val usage: Usage? = null) : EventReading

/** The marker at the end of a stream. */
public data object EndMark : EventReading

/** An event that is not valid at this position of the stream. */
public data class BadPiece(public val reason: String) : EventReading

/** The parsed body of a buffered answer. */
public sealed interface WholeReading

/** A valid body. */
public data class GoodWhole(public val usage: Usage? = null) : WholeReading

/** An invalid body. */
public data class BadWhole(public val reason: String) : WholeReading

/** Parses the head of an answer. */
public typealias ReadHead = (AnswerHead) -> HeadReading

/** Parses an event that comes after the event [lastId]; [count] events precede it. */
public typealias ReadEvent = (event: ServerSentEvent, lastId: String?, count: Long) -> EventReading

/** Parses the body of a buffered answer. */
public typealias ReadWhole = (head: AnswerHead, content: ByteArray) -> WholeReading

/** The parser for one kind of answers. If a stream [endsWithMark], it is complete only with its end marker, else with its HTTP framing. */
public class AnswerRules(
    public val readHead: ReadHead,
    public val readEvent: ReadEvent,
    public val readWhole: ReadWhole,
    public val endsWithMark: Boolean,
)
