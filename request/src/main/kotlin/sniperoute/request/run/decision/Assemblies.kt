/**
 * Assembles one answer from one or more attempts. Content is sent to the caller in order, a broken stream is resumed at the next
 * event, and an answer is complete only with a proper end.
 */
package sniperoute.request.run.decision

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import sniperoute.connection.endpoint.decision.EventStreamState
import sniperoute.connection.endpoint.decision.ServerSentEvent
import sniperoute.connection.endpoint.decision.hasPartialEvent
import sniperoute.connection.endpoint.decision.newEventStream
import sniperoute.connection.endpoint.decision.take
import sniperoute.connection.endpoint.message.*
import sniperoute.connection.http.AnswerHead
import sniperoute.request.routing.message.AttemptFailureKind
import sniperoute.request.run.message.*

/** The upper bound on bytes of a buffered answer. */
private const val MAX_BUFFERED_BYTES = 16 * 1024 * 1024

/**
 * The state of an answer.
 *
 * @property delivered is the number of events that were sent to the caller.
 * @property lastId is the ID of the last of them.
 * @property isResumable is `true` while the last of them had an ID, or there are none.
 * @property head is that of the current attempt, as are [isStream], [isFault], [stream], [content] and [contentBytes].
 * @property isFault is `true` if the current answer is an error of the endpoint.
 * @property isDone is `true` after the end of the answer.
 * @property hasStarted is `true` once the head of a streamed answer was sent to the caller.
 */
public data class Assembly(
    public val rules: AnswerRules,
    public val delivered: Long,
    public val lastId: String?,
    public val isResumable: Boolean,
    public val head: AnswerHead?,
    public val isStream: Boolean,
    public val isFault: Boolean,
    public val stream: EventStreamState,
    public val content: PersistentList<ByteArray>,
    public val contentBytes: Long,
    public val usage: Usage?,
    public val isDone: Boolean,
    public val hasStarted: Boolean,
)

/** Returns the assembly of an answer before its first attempt. */
public fun newAssembly(rules: AnswerRules): Assembly = Assembly(
    rules = rules,
    delivered = 0,
    lastId = null,
    isResumable = true,
    head = null,
    isStream = false,
    isFault = false,
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
    isFault = false,
    stream = newEventStream(),
    content = persistentListOf(),
    contentBytes = 0,
)

/** An effect of the assembly. */
public sealed interface AssemblyEffect

/** Report that the first content was received. */
public data object ReportFirstToken : AssemblyEffect

/** Send the caller the head of a streamed answer. */
public data class SendHead(public val head: AnswerHead) : AssemblyEffect

/** Send the caller content of a streamed answer. */
public class SendContent(public val bytes: ByteArray) : AssemblyEffect

/** End a streamed answer, which is complete. */
public data object EndStream : AssemblyEffect

/** Send the caller a buffered answer, which is complete. */
public class SendAnswer(public val head: AnswerHead, public val content: ByteArray) : AssemblyEffect

/** End a failed attempt; [answer] is the endpoint's error answer, which the caller gets if no other attempt succeeds. */
public data class FailAttempt(
    public val kind: AttemptFailureKind,
    public val mayRepeat: Boolean,
    public val reason: String,
    public val answer: SendAnswer? = null,
) : AssemblyEffect

/** An assembly and its effects, in order. */
public data class AssemblyStep(public val assembly: Assembly, public val effects: PersistentList<AssemblyEffect> = persistentListOf())

private fun Assembly.fail(kind: AttemptFailureKind, reason: String, answer: SendAnswer? = null): AssemblyStep =
    AssemblyStep(this, persistentListOf(FailAttempt(kind, delivered == 0L || isResumable, reason, answer)))

/** Returns the assembly after [event] of the current attempt. */
public fun Assembly.take(event: CallEvent): AssemblyStep = when (event) {
    is AnswerBegan -> onHead(event.head)
    is ContentCame -> if (isStream) onStreamContent(event.bytes) else onBufferedContent(event.bytes)
    is Ended -> if (isStream) onStreamEnd() else onBufferedEnd()
    is Failed -> fail(event.failure.toAttemptFailureKind(), event.reason)
}

private fun CallFailure.toAttemptFailureKind(): AttemptFailureKind = when (this) {
    CallFailure.NOT_SENT -> AttemptFailureKind.NOT_RUN
    CallFailure.BROKEN -> AttemptFailureKind.BROKEN
    CallFailure.SILENT -> AttemptFailureKind.SILENT
    CallFailure.CROSSED, CallFailure.MALFORMED -> AttemptFailureKind.WRONG
}

private fun Assembly.onHead(received: AnswerHead): AssemblyStep = when (val parsed = rules.readHead(received)) {
    is NotTaken -> fail(if (parsed.isElsewhere) AttemptFailureKind.ELSEWHERE else AttemptFailureKind.REJECTED, parsed.reason)
    is NotAnAnswer -> fail(AttemptFailureKind.WRONG, parsed.reason)
    is StreamBegins -> onStreamHead(received)
    is WholeBegins, is FaultBegins ->
        if (delivered > 0) {
            fail(AttemptFailureKind.WRONG, "the endpoint did not resume the stream but answered with status ${received.status}")
        } else {
            AssemblyStep(copy(head = received, isFault = parsed is FaultBegins))
        }
}

private fun Assembly.onStreamHead(received: AnswerHead): AssemblyStep {
    val next = copy(head = received, isStream = true, hasStarted = true)
    return AssemblyStep(next, if (hasStarted) persistentListOf() else persistentListOf(SendHead(received)))
}

private fun Assembly.onStreamContent(bytes: ByteArray): AssemblyStep {
    val step = stream.take(bytes)
    val start = AssemblyStep(copy(stream = step.state))
    if (step.isTooLong) return start.assembly.fail(AttemptFailureKind.WRONG, "an event of the stream is too long")
    return step.events.fold(start) { current, event ->
        if (current.effects.any { it is FailAttempt }) current else current.then { it.onEvent(event) }
    }
}

private fun AssemblyStep.then(step: (Assembly) -> AssemblyStep): AssemblyStep {
    val next = step(assembly)
    return AssemblyStep(next.assembly, effects.addAll(next.effects))
}

private fun Assembly.onEvent(event: ServerSentEvent): AssemblyStep {
    if (isDone) return fail(AttemptFailureKind.WRONG, "the stream continues after its end marker")
    if (event.isComment) return AssemblyStep(this, persistentListOf(SendContent(event.bytes)))
    return when (val parsed = rules.readEvent(event, lastId, delivered)) {
        is EndMark -> AssemblyStep(copy(isDone = true), persistentListOf(SendContent(event.bytes)))
        is BadPiece -> fail(AttemptFailureKind.WRONG, parsed.reason)
        is Piece -> deliver(event, parsed)
    }
}

private fun Assembly.deliver(event: ServerSentEvent, content: Piece): AssemblyStep {
    val next = copy(delivered = delivered + 1, lastId = content.id, isResumable = content.id != null, usage = content.usage ?: usage)
    val first = if (delivered == 0L) persistentListOf<AssemblyEffect>(ReportFirstToken) else persistentListOf()
    return AssemblyStep(next, first.add(SendContent(event.bytes)))
}

private fun Assembly.onStreamEnd(): AssemblyStep = when {
    isDone -> AssemblyStep(this, persistentListOf(EndStream))
    rules.endsWithMark -> fail(AttemptFailureKind.BROKEN, "the stream ended without its end marker")
    stream.hasPartialEvent -> fail(AttemptFailureKind.BROKEN, "the stream ended within an event")
    else -> AssemblyStep(copy(isDone = true), persistentListOf(EndStream))
}

private fun Assembly.onBufferedContent(bytes: ByteArray): AssemblyStep {
    val total = contentBytes + bytes.size
    if (total > MAX_BUFFERED_BYTES) return fail(AttemptFailureKind.WRONG, "the answer is longer than $MAX_BUFFERED_BYTES bytes")
    val first = if (contentBytes == 0L) persistentListOf<AssemblyEffect>(ReportFirstToken) else persistentListOf()
    return AssemblyStep(copy(content = content.add(bytes), contentBytes = total), first)
}

private fun Assembly.onBufferedEnd(): AssemblyStep {
    val received = head ?: return fail(AttemptFailureKind.WRONG, "the answer has no head")
    val answer = SendAnswer(received, content.fold(ByteArray(0)) { all, part -> all + part })
    if (isFault) return fail(AttemptFailureKind.FAULTED, "the endpoint answered with status ${received.status}", answer)
    return when (val parsed = rules.readWhole(received, answer.content)) {
        is BadWhole -> fail(AttemptFailureKind.WRONG, parsed.reason)
        is GoodWhole -> AssemblyStep(copy(isDone = true, usage = parsed.usage), persistentListOf(answer))
    }
}
