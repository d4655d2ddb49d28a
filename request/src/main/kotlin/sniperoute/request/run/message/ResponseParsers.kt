/**
 * How endpoints' answers are read: function types, so that front ends with other forms of answers share one assembly.
 */
package sniperoute.request.run.message

import sniperoute.connection.endpoint.decision.ServerSentEvent
import sniperoute.connection.http.ResponseHead

/** What an engine counted; what it did not say is `null`. */
public data class Usage(public val promptTokens: Long?, public val cachedTokens: Long?, public val answerTokens: Long?)

/** What the head of an answer means. */
public sealed interface ParsedHead

/** A stream of events follows. */
public data object StreamHead : ParsedHead

/** An answer that is passed on as a whole follows. */
public data object BufferedHead : ParsedHead

/** The endpoint failed; what follows tells the caller so, unless another endpoint answers. */
public data object ErrorHead : ParsedHead

/** The endpoint did not run the request; when it [isMisdirected], another endpoint has the address or it serves other weights. */
public data class NotExecuted(public val isMisdirected: Boolean, public val reason: String) : ParsedHead

/** This is no answer to the request. */
public data class InvalidHead(public val reason: String) : ParsedHead

/** What an event of a stream means. */
public sealed interface ParsedEvent

/** Part of the answer; without [id] the stream can't go on elsewhere. */
public data class ContentEvent(public val id: String?, public val usage: Usage? = null) : ParsedEvent

/** The mark that ends the stream. */
public data object EndMark : ParsedEvent

/** The event can't belong to the stream. */
public data class InvalidEvent(public val reason: String) : ParsedEvent

/** What a whole answer means. */
public sealed interface ParsedBody

/** It is an answer. */
public data class ValidBody(public val usage: Usage? = null) : ParsedBody

/** It is none. */
public data class BadWhole(public val reason: String) : ParsedBody

/** Reads the head of an answer. */
public typealias ParseHead = (ResponseHead) -> ParsedHead

/** Reads an event that follows the one with [lastId], of [count] before it. */
public typealias ParseEvent = (event: ServerSentEvent, lastId: String?, count: Long) -> ParsedEvent

/** Reads a whole answer. */
public typealias ParseBody = (head: ResponseHead, content: ByteArray) -> ParsedBody

/** How answers are read. A stream [hasEndMarker], or else with its framing. */
public class ResponseParser(
    public val parseHead: ParseHead,
    public val parseEvent: ParseEvent,
    public val parseBody: ParseBody,
    public val hasEndMarker: Boolean,
)
