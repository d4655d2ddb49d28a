/**
 * The parser for endpoints' responses. It consists of functions, so that front ends with different encodings assemble responses in the
 * same way.
 */
package sniperoute.request.run.message

import sniperoute.connection.endpoint.decision.ServerSentEvent
import sniperoute.connection.http.ResponseHead

/** Token counts of an engine; `null` where it gave none. */
public data class Usage(public val promptTokens: Long?, public val cachedTokens: Long?, public val answerTokens: Long?)

/** The parsed head of a response. */
public sealed interface ParsedHead

/** The head of a stream of events. */
public data object StreamHead : ParsedHead

/** The head of a response that is buffered and sent to the caller as a whole. */
public data object BufferedHead : ParsedHead

/**
 * The head of an error response of the endpoint. The caller gets it only if no other endpoint responds, and not unless [mayForward]: its
 * status may promise more than the endpoint states.
 */
public data class ErrorHead(public val mayForward: Boolean) : ParsedHead

/**
 * The endpoint did not run the request. [isMisdirected] means that another endpoint has the address, or that the endpoint serves other
 * weights.
 */
public data class NotExecuted(public val isMisdirected: Boolean, public val reason: String) : ParsedHead

/** Not a valid response to the request. */
public data class InvalidHead(public val reason: String) : ParsedHead

/** A parsed event of a stream. */
public sealed interface ParsedEvent

/** An event with content. Without an [id], the stream cannot be resumed at another endpoint. */
public data class ContentEvent(public val id: String?, public val usage: Usage? = null) : ParsedEvent

/** The marker at the end of a stream. */
public data object EndMarker : ParsedEvent

/** An event that is not valid at this position of the stream. */
public data class InvalidEvent(public val reason: String) : ParsedEvent

/** The parsed body of a buffered response. */
public sealed interface ParsedBody

/** A valid body. */
public data class ValidBody(public val usage: Usage? = null) : ParsedBody

/** An invalid body. */
public data class InvalidBody(public val reason: String) : ParsedBody

/** Parses the head of a response. */
public typealias ParseHead = (ResponseHead) -> ParsedHead

/** Parses an event that comes after the event [lastId]; [count] events precede it. */
public typealias ParseEvent = (event: ServerSentEvent, lastId: String?, count: Long) -> ParsedEvent

/** Parses the body of a buffered response. */
public typealias ParseBody = (head: ResponseHead, content: ByteArray) -> ParsedBody

/** The parser for one kind of response. If [hasEndMarker], a stream is complete only with its end marker, else by its HTTP framing. */
public class ResponseParser(
    public val parseHead: ParseHead,
    public val parseEvent: ParseEvent,
    public val parseBody: ParseBody,
    public val hasEndMarker: Boolean,
)
