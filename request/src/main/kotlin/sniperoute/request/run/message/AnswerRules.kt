/**
 * How endpoints' answers are read: function types, so that front ends with other forms of answers share one assembly.
 */
package sniperoute.request.run.message

import sniperoute.connection.endpoint.decision.ServerSentEvent
import sniperoute.connection.http.AnswerHead

/** What an engine counted; what it did not say is `null`. */
public data class Usage(public val promptTokens: Long?, public val cachedTokens: Long?, public val answerTokens: Long?)

/** What the head of an answer means. */
public sealed interface HeadReading

/** A stream of events follows. */
public data object StreamBegins : HeadReading

/** An answer that is passed on as a whole follows. */
public data object WholeBegins : HeadReading

/** The endpoint failed; what follows tells the caller so, unless another endpoint answers. */
public data object FaultBegins : HeadReading

/** The endpoint did not run the request; when it [isElsewhere], another endpoint has the address or it serves other weights. */
public data class NotTaken(public val isElsewhere: Boolean, public val reason: String) : HeadReading

/** This is no answer to the request. */
public data class NotAnAnswer(public val reason: String) : HeadReading

/** What an event of a stream means. */
public sealed interface EventReading

/** Part of the answer; without [id] the stream can't go on elsewhere. */
public data class Piece(public val id: String?, public val usage: Usage? = null) : EventReading

/** The mark that ends the stream. */
public data object EndMark : EventReading

/** The event can't belong to the stream. */
public data class BadPiece(public val reason: String) : EventReading

/** What a whole answer means. */
public sealed interface WholeReading

/** It is an answer. */
public data class GoodWhole(public val usage: Usage? = null) : WholeReading

/** It is none. */
public data class BadWhole(public val reason: String) : WholeReading

/** Reads the head of an answer. */
public typealias ReadHead = (AnswerHead) -> HeadReading

/** Reads an event that follows the one with [lastId], of [count] before it. */
public typealias ReadEvent = (event: ServerSentEvent, lastId: String?, count: Long) -> EventReading

/** Reads a whole answer. */
public typealias ReadWhole = (head: AnswerHead, content: ByteArray) -> WholeReading

/** How answers are read. A stream [endsWithMark], or else with its framing. */
public class AnswerRules(
    public val readHead: ReadHead,
    public val readEvent: ReadEvent,
    public val readWhole: ReadWhole,
    public val endsWithMark: Boolean,
)
