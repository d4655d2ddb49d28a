/**
 * The assembly of one answer from one or more attempts: what came in order is passed on, a broken stream goes on where it
 * broke, and only what carries the end marker is complete.
 */
package sniperoute.request.run.decision

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import sniperoute.connection.endpoint.decision.EventStreamState
import sniperoute.connection.endpoint.decision.ServerSentEvent
import sniperoute.connection.endpoint.decision.newEventStream
import sniperoute.connection.endpoint.decision.take
import sniperoute.connection.endpoint.message.*
import sniperoute.connection.http.AnswerHead
import sniperoute.connection.http.HttpStatus
import sniperoute.connection.http.valueOrNull
import sniperoute.request.routing.message.Reach
import sniperoute.request.run.codec.Usage
import sniperoute.request.run.codec.inspectJson
import sniperoute.version.message.ServiceKind

/** The most bytes of an answer that is not streamed. */
private const val LONGEST_WHOLE_ANSWER = 16 * 1024 * 1024
private const val END_MARKER = "[DONE]"
private const val SERVER_ERRORS = 500

/** What of an answer is known so far. [delivered] events were passed to the caller; [isResumable] while all had numbers. */
public data class Assembly(
    public val kind: ServiceKind,
    public val wantsStream: Boolean,
    public val delivered: Long,
    public val isResumable: Boolean,
    public val head: AnswerHead?,
    public val isStream: Boolean,
    public val stream: EventStreamState,
    public val content: PersistentList<ByteArray>,
    public val contentBytes: Long,
    public val usage: Usage?,
    public val isDone: Boolean,
    public val hasStarted: Boolean,
)

/** Returns the assembly of an answer of which nothing came yet. */
public fun newAssembly(kind: ServiceKind, wantsStream: Boolean): Assembly = Assembly(
    kind = kind,
    wantsStream = wantsStream,
    delivered = 0,
    isResumable = true,
    head = null,
    isStream = false,
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
    stream = newEventStream(),
    content = persistentListOf(),
    contentBytes = 0,
)

/** What to do with what came. */
public sealed interface AssemblyAction

/** The first part of the content came. */
public data object NoteFirst : AssemblyAction

/** Send the caller the head of a streamed answer. */
public data class BeginAnswer(public val head: AnswerHead) : AssemblyAction

/** Send the caller part of a streamed answer. */
public class PassOn(public val bytes: ByteArray) : AssemblyAction

/** The streamed answer is complete. */
public data object CompleteStream : AssemblyAction

/** Send the caller a whole answer. */
public class CompleteWhole(public val head: AnswerHead, public val content: ByteArray) : AssemblyAction

/** The attempt failed. */
public data class FailAttempt(public val reach: Reach, public val mayRepeat: Boolean, public val reason: String) : AssemblyAction

/** An assembly and what to do, in order. */
public data class AssemblyStep(public val assembly: Assembly, public val actions: PersistentList<AssemblyAction> = persistentListOf())

private fun Assembly.fail(reach: Reach, reason: String): AssemblyStep =
    AssemblyStep(this, persistentListOf(FailAttempt(reach, delivered == 0L || isResumable, reason)))

/** Returns the assembly after [event] of the present attempt. */
public fun Assembly.take(event: CallEvent): AssemblyStep = when (event) {
    is AnswerBegan -> onHead(event.head)
    is ContentCame -> if (isStream) onStreamContent(event.bytes) else onWholeContent(event.bytes)
    is Ended -> if (isStream) onStreamEnd() else onWholeEnd()
    is Failed -> fail(event.failure.toReach(), event.reason)
}

private fun CallFailure.toReach(): Reach = when (this) {
    CallFailure.NOT_SENT -> Reach.NOT_RUN
    CallFailure.BROKEN -> Reach.BROKEN
    CallFailure.SILENT -> Reach.SILENT
    CallFailure.CROSSED, CallFailure.MALFORMED -> Reach.WRONG
}

private fun Assembly.onHead(answered: AnswerHead): AssemblyStep {
    val isEventStream = answered.headers
        .valueOrNull("content-type")
        .orEmpty()
        .startsWith("text/event-stream")
    val isModel = kind == ServiceKind.MODEL
    return when {
        isModel && answered.status in REJECTIONS -> fail(Reach.REJECTED, "the endpoint did not take the request: ${answered.status}")
        isModel && answered.status >= SERVER_ERRORS -> fail(Reach.WRONG, "the endpoint answered ${answered.status}")
        delivered > 0 && !isEventStream -> fail(Reach.WRONG, "the endpoint did not resume the stream")
        wantsStream && isEventStream && answered.status == HttpStatus.OK -> onStreamHead(answered)
        else -> AssemblyStep(copy(head = answered))
    }
}

private val REJECTIONS = setOf(HttpStatus.CONFLICT, HttpStatus.TOO_MANY_REQUESTS, HttpStatus.UNAVAILABLE)

private fun Assembly.onStreamHead(answered: AnswerHead): AssemblyStep {
    val next = copy(head = answered, isStream = true, hasStarted = true)
    return AssemblyStep(next, if (hasStarted) persistentListOf() else persistentListOf(BeginAnswer(answered)))
}

private fun Assembly.onStreamContent(bytes: ByteArray): AssemblyStep {
    val step = stream.take(bytes)
    val start = AssemblyStep(copy(stream = step.state))
    if (step.isTooLong) return start.assembly.fail(Reach.WRONG, "an event of the stream is too long")
    return step.events.fold(start) { current, event ->
        if (current.actions.any { it is FailAttempt }) current else current.then { it.onEvent(event) }
    }
}

private fun AssemblyStep.then(step: (Assembly) -> AssemblyStep): AssemblyStep {
    val next = step(assembly)
    return AssemblyStep(next.assembly, actions.addAll(next.actions))
}

private fun Assembly.onEvent(event: ServerSentEvent): AssemblyStep {
    if (isDone) return fail(Reach.WRONG, "the stream goes on after its end")
    if (event.data == END_MARKER) return AssemblyStep(copy(isDone = true), persistentListOf(PassOn(event.bytes)))
    val number = event.id?.toLongOrNull()
    val finding = inspectJson(event.data)
    return when {
        !finding.isObject -> fail(Reach.WRONG, "an event of the stream holds no JSON object")
        event.id != null && number != delivered + 1 -> fail(Reach.WRONG, "event ${event.id} came in place of ${delivered + 1}")
        event.id == null && delivered > 0 && isResumable -> fail(Reach.WRONG, "an event without number follows numbered ones")
        else -> pass(event, finding.usage)
    }
}

private fun Assembly.pass(event: ServerSentEvent, found: Usage?): AssemblyStep {
    val next = copy(delivered = delivered + 1, isResumable = event.id != null, usage = found ?: usage)
    val first = if (delivered == 0L) persistentListOf<AssemblyAction>(NoteFirst) else persistentListOf()
    return AssemblyStep(next, first.add(PassOn(event.bytes)))
}

private fun Assembly.onStreamEnd(): AssemblyStep =
    if (isDone) AssemblyStep(this, persistentListOf(CompleteStream)) else fail(Reach.BROKEN, "the stream ended without its end marker")

private fun Assembly.onWholeContent(bytes: ByteArray): AssemblyStep {
    val total = contentBytes + bytes.size
    if (total > LONGEST_WHOLE_ANSWER) return fail(Reach.WRONG, "the answer is longer than $LONGEST_WHOLE_ANSWER bytes")
    val first = if (contentBytes == 0L) persistentListOf<AssemblyAction>(NoteFirst) else persistentListOf()
    return AssemblyStep(copy(content = content.add(bytes), contentBytes = total), first)
}

private fun Assembly.onWholeEnd(): AssemblyStep {
    val answered = head ?: return fail(Reach.WRONG, "the answer has no head")
    val whole = content.fold(ByteArray(0)) { all, part -> all + part }
    val isAnswer = kind == ServiceKind.MODEL && answered.status == HttpStatus.OK
    val finding = if (isAnswer) inspectJson(whole.decodeToString()) else null
    if (finding != null && !finding.isObject) return fail(Reach.WRONG, "the answer is not a JSON object")
    return AssemblyStep(copy(isDone = true, usage = finding?.usage), persistentListOf(CompleteWhole(answered, whole)))
}
