/**
 * The assembly of one answer from one or more attempts: what came in order is passed on, a broken stream goes on where it
 * broke, and only what has a true end is complete.
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
import sniperoute.connection.http.ResponseHead
import sniperoute.request.routing.message.Reach
import sniperoute.request.run.message.*

/** The most bytes of an answer that is not streamed. */
private const val LONGEST_WHOLE_ANSWER = 16 * 1024 * 1024

/**
 * What of an answer is known so far. [delivered] events were passed to the caller, the last one with [lastId]; it [isResumable]
 * while all had one.
 */
public data class Assembly(
    public val rules: ResponseParser,
    public val delivered: Long,
    public val lastId: String?,
    public val isResumable: Boolean,
    public val head: ResponseHead?,
    public val isStream: Boolean,
    public val isFault: Boolean,
    public val stream: EventStreamState,
    public val content: PersistentList<ByteArray>,
    public val contentBytes: Long,
    public val usage: Usage?,
    public val isDone: Boolean,
    public val hasStarted: Boolean,
)

/** Returns the assembly of an answer of which nothing came yet. */
public fun newAssembly(rules: ResponseParser): Assembly = Assembly(
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

/** Returns the assembly before another attempt: what was delivered stays so. */
public fun Assembly.nextAttempt(): Assembly = copy(
    head = null,
    isStream = false,
    isFault = false,
    stream = newEventStream(),
    content = persistentListOf(),
    contentBytes = 0,
)

/** What to do with what came. */
public sealed interface AssemblyEffect

/** The first part of the content came. */
public data object NoteFirst : AssemblyEffect

/** Send the caller the head of a streamed answer. */
public data class BeginAnswer(public val head: ResponseHead) : AssemblyEffect

/** Send the caller part of a streamed answer. */
public class PassOn(public val bytes: ByteArray) : AssemblyEffect

/** The streamed answer is complete. */
public data object CompleteStream : AssemblyEffect

/** Send the caller a whole answer. */
public class CompleteWhole(public val head: ResponseHead, public val content: ByteArray) : AssemblyEffect

/** The attempt failed; [answer] is what the endpoint said of it, if that is for the caller when nothing better comes. */
public data class FailAttempt(
    public val reach: Reach,
    public val mayRepeat: Boolean,
    public val reason: String,
    public val answer: CompleteWhole? = null,
) : AssemblyEffect

/** An assembly and what to do, in order. */
public data class AssemblyStep(public val assembly: Assembly, public val effects: PersistentList<AssemblyEffect> = persistentListOf())

private fun Assembly.fail(reach: Reach, reason: String, answer: CompleteWhole? = null): AssemblyStep =
    AssemblyStep(this, persistentListOf(FailAttempt(reach, delivered == 0L || isResumable, reason, answer)))

/** Returns the assembly after [event] of the present attempt. */
public fun Assembly.take(event: CallEvent): AssemblyStep = when (event) {
    is ResponseStarted -> onHead(event.head)
    is ContentReceived -> if (isStream) onStreamContent(event.bytes) else onWholeContent(event.bytes)
    is CallCompleted -> if (isStream) onStreamEnd() else onWholeEnd()
    is CallFailed -> fail(event.failure.toReach(), event.reason)
}

private fun CallFailure.toReach(): Reach = when (this) {
    CallFailure.NOT_SENT -> Reach.NOT_RUN
    CallFailure.BROKEN -> Reach.BROKEN
    CallFailure.SILENT -> Reach.SILENT
    CallFailure.CROSSED, CallFailure.MALFORMED -> Reach.WRONG
}

private fun Assembly.onHead(answered: ResponseHead): AssemblyStep = when (val reading = rules.parseHead(answered)) {
    is NotExecuted -> fail(if (reading.isMisdirected) Reach.ELSEWHERE else Reach.REJECTED, reading.reason)
    is InvalidHead -> fail(Reach.WRONG, reading.reason)
    is StreamHead -> onStreamHead(answered)
    is BufferedHead, is ErrorHead ->
        if (delivered > 0) {
            fail(Reach.WRONG, "the endpoint did not resume the stream: ${answered.status}")
        } else {
            AssemblyStep(copy(head = answered, isFault = reading is ErrorHead))
        }
}

private fun Assembly.onStreamHead(answered: ResponseHead): AssemblyStep {
    val next = copy(head = answered, isStream = true, hasStarted = true)
    return AssemblyStep(next, if (hasStarted) persistentListOf() else persistentListOf(BeginAnswer(answered)))
}

private fun Assembly.onStreamContent(bytes: ByteArray): AssemblyStep {
    val step = stream.take(bytes)
    val start = AssemblyStep(copy(stream = step.state))
    if (step.isTooLong) return start.assembly.fail(Reach.WRONG, "an event of the stream is too long")
    return step.events.fold(start) { current, event ->
        if (current.effects.any { it is FailAttempt }) current else current.then { it.onEvent(event) }
    }
}

private fun AssemblyStep.then(step: (Assembly) -> AssemblyStep): AssemblyStep {
    val next = step(assembly)
    return AssemblyStep(next.assembly, effects.addAll(next.effects))
}

private fun Assembly.onEvent(event: ServerSentEvent): AssemblyStep {
    if (isDone) return fail(Reach.WRONG, "the stream goes on after its end")
    if (event.isComment) return AssemblyStep(this, persistentListOf(PassOn(event.bytes)))
    return when (val reading = rules.parseEvent(event, lastId, delivered)) {
        is EndMark -> AssemblyStep(copy(isDone = true), persistentListOf(PassOn(event.bytes)))
        is InvalidEvent -> fail(Reach.WRONG, reading.reason)
        is ContentEvent -> pass(event, reading)
    }
}

private fun Assembly.pass(event: ServerSentEvent, piece: ContentEvent): AssemblyStep {
    val next = copy(delivered = delivered + 1, lastId = piece.id, isResumable = piece.id != null, usage = piece.usage ?: usage)
    val first = if (delivered == 0L) persistentListOf<AssemblyEffect>(NoteFirst) else persistentListOf()
    return AssemblyStep(next, first.add(PassOn(event.bytes)))
}

private fun Assembly.onStreamEnd(): AssemblyStep = when {
    isDone -> AssemblyStep(this, persistentListOf(CompleteStream))
    rules.hasEndMarker -> fail(Reach.BROKEN, "the stream ended without its end marker")
    stream.hasPartialEvent -> fail(Reach.BROKEN, "the stream ended within an event")
    else -> AssemblyStep(copy(isDone = true), persistentListOf(CompleteStream))
}

private fun Assembly.onWholeContent(bytes: ByteArray): AssemblyStep {
    val total = contentBytes + bytes.size
    if (total > LONGEST_WHOLE_ANSWER) return fail(Reach.WRONG, "the answer is longer than $LONGEST_WHOLE_ANSWER bytes")
    val first = if (contentBytes == 0L) persistentListOf<AssemblyEffect>(NoteFirst) else persistentListOf()
    return AssemblyStep(copy(content = content.add(bytes), contentBytes = total), first)
}

private fun Assembly.onWholeEnd(): AssemblyStep {
    val answered = head ?: return fail(Reach.WRONG, "the answer has no head")
    val answer = CompleteWhole(answered, content.fold(ByteArray(0)) { all, part -> all + part })
    if (isFault) return fail(Reach.FAULTED, "the endpoint answered ${answered.status}", answer)
    return when (val reading = rules.parseBody(answered, answer.content)) {
        is BadWhole -> fail(Reach.WRONG, reading.reason)
        is ValidBody -> AssemblyStep(copy(isDone = true, usage = reading.usage), persistentListOf(answer))
    }
}
