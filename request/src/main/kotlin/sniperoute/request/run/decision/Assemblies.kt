/**
 * Assembles one response from one or more attempts. Content is sent to the caller in order, a broken stream is resumed at the next
 * event, and a response is complete only with a proper end. The head of a stream is sent with its first content, so that until then the
 * caller can still get another response; afterwards it gets nothing but that stream.
 */
package sniperoute.request.run.decision

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import sniperoute.connection.endpoint.decision.EventStreamState
import sniperoute.connection.endpoint.decision.ServerSentEvent
import sniperoute.connection.endpoint.decision.hasPartialEvent
import sniperoute.connection.endpoint.decision.joined
import sniperoute.connection.endpoint.decision.newEventStream
import sniperoute.connection.endpoint.decision.parse
import sniperoute.connection.endpoint.message.*
import sniperoute.connection.http.ResponseHead
import sniperoute.connection.http.isFramed
import sniperoute.request.routing.message.AnswerProgress
import sniperoute.request.routing.message.AttemptFailureKind
import sniperoute.request.run.message.*

/** The upper bound on bytes of a buffered response. */
private const val MAX_BUFFERED_BYTES = 16L * 1024 * 1024

/**
 * The state of a response.
 *
 * @property delivered is the number of events that were sent to the caller.
 * @property deliveredBefore is [delivered] at the start of the current attempt.
 * @property mayResume is `true` if the route allows to resume a stream.
 * @property lastId is the ID of the last of them that had one.
 * @property isResumable is `true` while the last of them had an ID, or there are none.
 * @property head is that of the current attempt, as are [isStream], [error], [stream], [content] and [contentBytes].
 * @property error is the parsed head if the current response is an error of the endpoint, else `null`.
 * @property bytesWithoutContent are the bytes of the current attempt's stream since its last event with content.
 * @property isDone is `true` after the end of the response.
 * @property hasStarted is `true` once the head of a streamed response was sent to the caller.
 */
public data class Assembly(
    public val responseParser: ResponseParser,
    public val mayResume: Boolean,
    public val delivered: Long,
    public val lastId: String?,
    public val isResumable: Boolean,
    public val head: ResponseHead?,
    public val isStream: Boolean,
    public val error: ErrorHead?,
    public val stream: EventStreamState,
    public val content: PersistentList<ByteArray>,
    public val contentBytes: Long,
    public val usage: Usage?,
    public val isDone: Boolean,
    public val hasStarted: Boolean,
    public val deliveredBefore: Long = 0,
    public val bytesWithoutContent: Long = 0,
)

/** Returns the assembly of a response before its first attempt; [mayResume] says whether the route allows to resume a stream. */
public fun newAssembly(responseParser: ResponseParser, mayResume: Boolean = true): Assembly = Assembly(
    responseParser = responseParser,
    mayResume = mayResume,
    delivered = 0,
    lastId = null,
    isResumable = true,
    head = null,
    isStream = false,
    error = null,
    stream = newEventStream(),
    content = persistentListOf(),
    contentBytes = 0,
    usage = null,
    isDone = false,
    hasStarted = false,
)

/** Returns the assembly before another attempt; what was delivered stays delivered. */
public fun Assembly.nextAttempt(): Assembly = copy(
    head = null,
    isStream = false,
    error = null,
    stream = newEventStream(),
    content = persistentListOf(),
    contentBytes = 0,
    deliveredBefore = delivered,
    bytesWithoutContent = 0,
)

/** An effect of the assembly. */
public sealed interface AssemblyEffect

/** Report that the first content was received. */
public data object ReportFirstToken : AssemblyEffect

/** Send the caller the head of a streamed response. */
public data class SendHead(public val head: ResponseHead) : AssemblyEffect

/** Send the caller content of a streamed response. */
public class SendContent(public val bytes: ByteArray) : AssemblyEffect

/** End a streamed response, which is complete. */
public data object EndStream : AssemblyEffect

/** Send the caller a buffered response, which is complete. */
public class SendResponse(public val head: ResponseHead, public val content: ByteArray) : AssemblyEffect

/** End a failed attempt; [response] is the endpoint's error response, which the caller gets if no other attempt succeeds. */
public data class FailAttempt(
    public val kind: AttemptFailureKind,
    public val mayRepeat: Boolean,
    public val reason: String,
    public val response: SendResponse? = null,
    public val progress: AnswerProgress = AnswerProgress.NONE,
) : AssemblyEffect

/** Report that the endpoint is silent; [mayRepeat] tells whether another attempt could go on from here. */
public data class ReportStall(public val mayRepeat: Boolean, public val reason: String) : AssemblyEffect

/** An assembly and its effects, in order. */
public data class AssemblyStep(public val assembly: Assembly, public val effects: PersistentList<AssemblyEffect> = persistentListOf())

private fun Assembly.fail(kind: AttemptFailureKind, reason: String, response: SendResponse? = null): AssemblyStep =
    AssemblyStep(this, persistentListOf(FailAttempt(kind, mayRepeat, reason, response, progress)))

/** Grows with each event of a stream and with each byte of a buffered response; bytes that complete no event are no progress. */
internal val Assembly.progressCount: Long get() = delivered + contentBytes

/** Whether another attempt could go on from here. */
private val Assembly.mayRepeat: Boolean get() = !isDone && (delivered == 0L || (mayResume && isResumable))

private val Assembly.progress: AnswerProgress
    get() = when {
        delivered > 0 || contentBytes > 0 -> AnswerProgress.CONTENT
        head != null -> AnswerProgress.BEGUN
        else -> AnswerProgress.NONE
    }

/** Returns the assembly after [event] of the current attempt; a buffered response may have up to [maxBufferedBytes]. */
public fun Assembly.take(event: CallEvent, maxBufferedBytes: Long = MAX_BUFFERED_BYTES): AssemblyStep = when (event) {
    is ResponseStarted -> onHead(event.head)
    is ContentReceived ->
        if (isStream) onStreamContent(event.bytes) else onBufferedContent(event.bytes, minOf(maxBufferedBytes, MAX_BUFFERED_BYTES))
    is CallCompleted -> if (isStream) onStreamEnd() else onBufferedEnd()
    is CallFailed -> if (isStream && isDone) emit(EndStream) else fail(event.failure.toAttemptFailureKind(), event.reason)
    is CallStalled -> AssemblyStep(this, persistentListOf(ReportStall(mayRepeat, event.reason)))
}

private fun CallFailure.toAttemptFailureKind(): AttemptFailureKind = when (this) {
    CallFailure.NOT_SENT -> AttemptFailureKind.NOT_RUN
    CallFailure.BROKEN -> AttemptFailureKind.BROKEN
    CallFailure.SILENT -> AttemptFailureKind.SILENT
    CallFailure.CROSSED, CallFailure.MALFORMED -> AttemptFailureKind.WRONG
}

private fun Assembly.onHead(received: ResponseHead): AssemblyStep = when (val parsed = responseParser.parseHead(received)) {
    is NotExecuted -> fail(if (parsed.isMisdirected) AttemptFailureKind.ELSEWHERE else AttemptFailureKind.REJECTED, parsed.reason)
    is InvalidHead -> fail(AttemptFailureKind.WRONG, parsed.reason)
    is StreamHead -> AssemblyStep(copy(head = received, isStream = true))
    is BufferedHead, is ErrorHead ->
        if (hasStarted) {
            fail(AttemptFailureKind.WRONG, "the endpoint did not resume the stream but responded with status ${received.status}")
        } else {
            AssemblyStep(copy(head = received, error = parsed as? ErrorHead))
        }
}

/** Returns the step with the effect [sent] on the streamed response, and before it the head, unless that was sent already. */
private fun Assembly.emit(sent: AssemblyEffect): AssemblyStep {
    if (hasStarted) return AssemblyStep(this, persistentListOf(sent))
    return AssemblyStep(copy(hasStarted = true), listOfNotNull(head?.let(::SendHead), sent).toPersistentList())
}

private fun Assembly.onStreamContent(bytes: ByteArray): AssemblyStep {
    val step = stream.parse(bytes)
    val start = AssemblyStep(copy(stream = step.state, bytesWithoutContent = bytesWithoutContent + bytes.size))
    if (step.isTooLong) return start.assembly.fail(AttemptFailureKind.WRONG, "an event of the stream is too long")
    val next = step.events.fold(start) { current, event ->
        if (current.hasFailed) current else current.then { it.onEvent(event) }
    }
    val hasContent = next.assembly.bytesWithoutContent <= MAX_BYTES_WITHOUT_CONTENT || next.hasFailed
    return if (hasContent) next else next.then { it.fail(AttemptFailureKind.WRONG, "the stream goes on without content") }
}

/** The upper bound on comments and other bytes between two events with content. */
private const val MAX_BYTES_WITHOUT_CONTENT = 1024 * 1024

/** A failure is the last effect of an attempt. */
private val AssemblyStep.hasFailed: Boolean get() = effects.lastOrNull() is FailAttempt

private fun AssemblyStep.then(step: (Assembly) -> AssemblyStep): AssemblyStep {
    val next = step(assembly)
    return AssemblyStep(next.assembly, effects.addAll(next.effects))
}

private fun Assembly.onEvent(event: ServerSentEvent): AssemblyStep {
    if (isDone) return fail(AttemptFailureKind.WRONG, "the stream continues after its end marker")
    if (event.isComment) return emit(SendContent(event.bytes))
    return when (val parsed = responseParser.parseEvent(event, lastId, delivered)) {
        is EndMarker -> copy(isDone = true).emit(SendContent(event.bytes))
        is InvalidEvent -> fail(AttemptFailureKind.WRONG, parsed.reason)
        is ContentEvent ->
            if (parsed.id == null && isResumedHere) {
                fail(AttemptFailureKind.WRONG, "the first event of the resumed stream has no ID")
            } else {
                deliver(event, parsed)
            }
    }
}

/** Whether the current attempt resumes a stream and has delivered no event yet. */
private val Assembly.isResumedHere: Boolean get() = delivered > 0 && delivered == deliveredBefore

private fun Assembly.deliver(event: ServerSentEvent, content: ContentEvent): AssemblyStep {
    val next =
        copy(
            delivered = delivered + 1,
            lastId = content.id ?: lastId,
            isResumable = content.id != null,
            usage = content.usage ?: usage,
            bytesWithoutContent = 0,
        )
    val sent = next.emit(SendContent(event.bytes))
    return if (delivered > 0) sent else AssemblyStep(sent.assembly, persistentListOf<AssemblyEffect>(ReportFirstToken).addAll(sent.effects))
}

private fun Assembly.onStreamEnd(): AssemblyStep = when {
    isDone -> emit(EndStream)
    responseParser.hasEndMarker -> fail(AttemptFailureKind.BROKEN, "the stream ended without its end marker")
    stream.hasPartialEvent -> fail(AttemptFailureKind.BROKEN, "the stream ended within an event")
    endsWithoutEvent() -> fail(AttemptFailureKind.BROKEN, "the connection ended before an event of the stream")
    else -> copy(isDone = true).emit(EndStream)
}

/** Whether only the end of the connection ended the stream, and no event came before it: the endpoint has not answered. */
private fun Assembly.endsWithoutEvent(): Boolean = delivered == deliveredBefore && head?.isFramed == false

private fun Assembly.onBufferedContent(bytes: ByteArray, maxBytes: Long): AssemblyStep {
    val total = contentBytes + bytes.size
    if (total > maxBytes) return fail(AttemptFailureKind.WRONG, "the response is longer than $maxBytes bytes")
    val first = if (contentBytes == 0L) persistentListOf<AssemblyEffect>(ReportFirstToken) else persistentListOf()
    return AssemblyStep(copy(content = content.add(bytes), contentBytes = total), first)
}

private fun Assembly.onBufferedEnd(): AssemblyStep {
    val received = head ?: return fail(AttemptFailureKind.WRONG, "the response has no head")
    val response = SendResponse(received, content.joined())
    if (error != null) {
        val reason = "the endpoint responded with status ${received.status}"
        return fail(AttemptFailureKind.FAULTED, reason, response.takeIf { error.mayForward })
    }
    return when (val parsed = responseParser.parseBody(received, response.content)) {
        is InvalidBody -> fail(AttemptFailureKind.WRONG, parsed.reason)
        is ValidBody -> AssemblyStep(copy(isDone = true, usage = parsed.usage), persistentListOf(response))
    }
}
