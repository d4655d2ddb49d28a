/**
 * The run of one request, from its admission to the last byte of its answer. It lives on the thread of the caller's
 * connection; routing, the ledger and the endpoint's connection are met through function types.
 */
package sniperoute.request.run

import kotlinx.collections.immutable.persistentListOf
import sniperoute.connection.endpoint.CallEndpoint
import sniperoute.connection.endpoint.message.CallEvent
import sniperoute.connection.endpoint.message.EndpointAddress
import sniperoute.connection.endpoint.message.EndpointCall
import sniperoute.connection.endpoint.message.ResponseStarted
import sniperoute.connection.endpoint.message.RunningCall
import sniperoute.connection.http.CallerConnectionListener
import sniperoute.connection.http.CancelTimer
import sniperoute.connection.http.Exchange
import sniperoute.connection.http.Header
import sniperoute.connection.http.ResponseHead
import sniperoute.connection.http.codec.OUTCOME_HEADER
import sniperoute.connection.http.isServerError
import sniperoute.connection.http.valueOrNull
import sniperoute.process.clock.Clock
import sniperoute.process.clock.Timestamp
import sniperoute.process.timeline.RecordEvent
import sniperoute.process.timeline.message.EventKind
import sniperoute.process.timeline.message.EventSubject
import sniperoute.request.admission.decision.Outcome
import sniperoute.request.admission.decision.Refusal
import sniperoute.request.admission.decision.RefusalKind
import sniperoute.request.ledger.message.*
import sniperoute.request.routing.message.*
import sniperoute.request.run.decision.*
import sniperoute.request.run.message.FrontEndProtocol
import sniperoute.request.run.message.OutgoingRequest
import sniperoute.request.run.message.ResponseParser
import sniperoute.version.message.Repetition
import kotlin.time.Duration

/** Hands [input] to the routing duty, or returns `false` when it can't take more. */
public typealias TellRouting = (input: RoutingInput) -> Boolean

/** Asks the ledger; [onReply] is called once. A lasting question is asked until it is answered. */
public typealias AskLedger = (request: LedgerRequest, retryUntilAnswered: Boolean, onReply: (LedgerReply) -> Unit) -> Unit

/** Is told how a request ended: with which outcome, and when its first token came, if it did. */
public typealias OnRunEnd = (run: RequestRun, outcome: Outcome, firstToken: Timestamp?) -> Unit

/** What a run needs of the rest of the process. */
public class RequestRunDependencies(
    public val sendToRouting: TellRouting,
    public val call: CallEndpoint,
    public val requestLedger: AskLedger,
    public val record: RecordEvent,
    public val clock: Clock,
    public val ended: OnRunEnd,
)

/** What a front end made of a request; at [answerDeadline], if that is set, its caller gets an answer whatever has come by then. */
public class RequestContext(
    public val rules: ResponseParser,
    public val dialect: FrontEndProtocol,
    public val wantsStream: Boolean,
    public val cacheSalt: Long,
    public val ledgerKey: LedgerKey?,
    public val owner: LedgerOwner,
    public val configuration: Long,
    public val answerDeadline: Timestamp? = null,
)

private const val LONGEST_RECORDED_ANSWER = 16 * 1024

/** One request under way. Every function runs on the thread of the caller's connection. */
public class RequestRun internal constructor(
    public val admitted: AdmittedRequest,
    private val passed: RequestContext,
    private val exchange: Exchange,
    private val dependencies: RequestRunDependencies,
) {
    private var assembly = newAssembly(passed.rules)
    private var call: RunningCall? = null
    private var placed: Dispatch? = null
    private var sentAt = Timestamp.EARLIEST
    private var firstToken: Timestamp? = null
    private var faultAnswer: CompleteWhole? = null
    private var cancelTimer: CancelTimer = {}
    private var mayHaveRun = false
    private var isOver = false
    private var isCallerGone = false

    /** Once the run was given up for its caller, a dispatch that routing had ordered before must not go out. */
    private var isAbandoned = false

    /** Begins: with the ledger, when the call may run only once and carries a key, else with routing. */
    public fun begin() {
        exchange.setListener(CallerConnectionListener(onWritabilityChanged = { call?.setReading(it) }, onDisconnected = ::callerGone))
        record(EventKind.REQUEST_ADMITTED, detail = describeFacts())
        passed.answerDeadline?.let { cancelTimer = exchange.after(it - dependencies.clock(), ::timeOver) }
        val key = passed.ledgerKey
        if (key == null) arrive() else dependencies.requestLedger(BeginCall(key, passed.owner, admitted.digest), false, ::onLedger)
    }

    /** Carries out what routing decided. */
    public fun perform(effect: RoutingEffect) {
        if (isOver || isAbandoned) return
        when (effect) {
            is Dispatch -> dispatch(effect)
            is Refuse -> refuse(effect.refusal)
            is GiveUp -> giveUp(effect.reason)
            else -> Unit
        }
    }

    private fun arrive() {
        if (!dependencies.sendToRouting(Arrived(admitted))) refuse(Refusal(RefusalKind.OVERLOADED, "this router is too busy"))
    }

    private fun onLedger(reply: LedgerReply) = exchange.onConnectionThread {
        when (reply) {
            is CallGranted -> {
                record(EventKind.ONCE_ONLY_BEGUN)
                if (isCallerGone) release { end(Outcome.NOT_RUN) } else arrive()
            }
            is CallRan -> replay(reply.answer)
            is CallIsRunning -> tell(RefusalKind.RUNNING_ALREADY, "the same call is running; ask again", Outcome.MAY_HAVE_RUN)
            is CallMayHaveRun -> tell(RefusalKind.UNKNOWN_OUTCOME, "the same call was sent before and may have run", Outcome.MAY_HAVE_RUN)
            is CallDiffers -> tell(RefusalKind.KEY_REUSED, "the idempotency key was used for another call", Outcome.NOT_RUN)
            is LedgerIsFull -> tell(RefusalKind.OVER_RATE, "too many idempotency keys are kept for this workspace", Outcome.NOT_RUN)
            is LedgerUnavailable, is CallAcknowledged -> abandonLedger()
        }
    }

    /** The question may still be agreed on later; the release makes sure that the call can then be begun again. */
    private fun abandonLedger() {
        passed.ledgerKey?.let { dependencies.requestLedger(ReleaseCall(it, passed.owner), true) {} }
        tell(RefusalKind.NOT_READY, "the once-only ledger can't be reached", Outcome.NOT_RUN)
    }

    private fun replay(answer: RecordedAnswer) {
        val headers = persistentListOf(
            Header("content-type", answer.contentType),
            Header(OUTCOME_HEADER, Outcome.RAN.text),
            Header("sniperoute-replayed", if (answer.isWhole) "whole" else "status-only"),
        )
        exchange.answer(ResponseHead(answer.status, headers), answer.body)
        record(EventKind.REQUEST_ANSWERED, Outcome.RAN, "replayed")
        end(Outcome.RAN)
    }

    private fun dispatch(effect: Dispatch) {
        placed = effect
        sentAt = dependencies.clock()
        assembly = assembly.nextAttempt()
        val kind = when {
            effect.attempt == 1 -> EventKind.REQUEST_PLACED
            assembly.delivered > 0 -> EventKind.REQUEST_RESUMED
            else -> EventKind.REQUEST_RETRIED
        }
        record(kind, detail = "attempt ${effect.attempt} ${effect.reason}")
        call = dependencies.call(effect.toCall()) { event -> onCallEvent(effect, event) }
    }

    private fun Dispatch.toCall(): EndpointCall {
        val left = admitted.deadline - dependencies.clock()
        return EndpointCall(
            address = EndpointAddress(endpoint.host, endpoint.port),
            requestId = passed.dialect.externalRequestId(exchange.head, admitted.id),
            method = exchange.head.method,
            target = if (exchange.head.query.isEmpty()) exchange.head.path else "${exchange.head.path}?${exchange.head.query}",
            headers = passed.dialect.requestHeaders(
                OutgoingRequest(exchange.head, admitted, this, assembly.lastId, passed.cacheSalt, left),
            ),
            body = exchange.body,
            idleTimeout = passed.dialect.idleTimeout(admitted, passed.wantsStream, left),
            requiresNewConnection = isFresh || admitted.route.repetition == Repetition.ONCE_ONLY,
        )
    }

    private fun onCallEvent(dispatch: Dispatch, event: CallEvent) = exchange.onConnectionThread {
        if (!isOver && placed === dispatch) {
            if (event is ResponseStarted) tellSigns(event.head)
            val step = assembly.take(event)
            assembly = step.assembly
            step.effects.forEach { if (placed === dispatch) perform(it) }
        }
    }

    private fun tellSigns(head: ResponseHead) {
        passed.dialect.parseLoadReport(head)?.let { dependencies.sendToRouting(AnswerHeadCame(admitted.id, it)) }
    }

    private fun perform(effect: AssemblyEffect) {
        when (effect) {
            is NoteFirst -> noteFirst()
            is BeginAnswer -> exchange.begin(effect.head.worded(null))
            is PassOn -> exchange.send(effect.bytes)
            is CompleteStream -> completeStream()
            is CompleteWhole -> completeWhole(effect)
            is FailAttempt -> failAttempt(effect)
        }
    }

    private fun noteFirst() {
        val now = dependencies.clock()
        if (firstToken == null) firstToken = now
        dependencies.sendToRouting(FirstTokenCame(admitted.id, now - sentAt))
    }

    private fun completeStream() {
        exchange.end()
        answered(isFault = false)
    }

    private fun completeWhole(effect: CompleteWhole) {
        if (!isCallerGone) exchange.answer(effect.head.worded(Outcome.RAN), effect.content)
        passed.ledgerKey?.let { key -> finishCall(key, effect) }
        answered(isFault = effect.head.isServerError)
    }

    private fun finishCall(key: LedgerKey, effect: CompleteWhole) {
        val type = effect.head.headers.valueOrNull("content-type") ?: "application/octet-stream"
        val isWhole = effect.content.size <= LONGEST_RECORDED_ANSWER
        val answer = RecordedAnswer(effect.head.status, type, if (isWhole) effect.content else ByteArray(0), isWhole)
        dependencies.requestLedger(FinishCall(key, passed.owner, answer), true) { record(EventKind.ONCE_ONLY_FINISHED, Outcome.RAN) }
    }

    private fun answered(isFault: Boolean) {
        val usage = assembly.usage
        dependencies.sendToRouting(
            AttemptEnded(admitted.id, Answered(usage?.promptTokens, usage?.cachedTokens, usage?.answerTokens, isFault)),
        )
        record(EventKind.REQUEST_ANSWERED, Outcome.RAN)
        end(Outcome.RAN)
    }

    private fun failAttempt(effect: FailAttempt) {
        if (!effect.reach.isNotRun) mayHaveRun = true
        faultAnswer = effect.answer ?: faultAnswer
        call?.cancel()
        call = null
        noteFailure(effect)
        placed = null
        dependencies.sendToRouting(AttemptEnded(admitted.id, Unanswered(effect.reach, effect.mayRepeat && !isCallerGone, effect.reason)))
    }

    private fun noteFailure(effect: FailAttempt) = when (effect.reach) {
        Reach.SILENT -> record(EventKind.ENDPOINT_SILENT, detail = effect.reason)
        Reach.WRONG -> record(EventKind.ENDPOINT_CROSSED_ANSWER, detail = effect.reason)
        else -> record(EventKind.REQUEST_BROKEN, detail = "${effect.reach}: ${effect.reason}")
    }

    private fun refuse(refusal: Refusal) {
        if (passed.ledgerKey == null) return tell(refusal.kind, refusal.message, refusal.outcome, refusal.retryAfter)
        release { tell(refusal.kind, refusal.message, refusal.outcome, refusal.retryAfter) }
    }

    /** The ledger is told before the caller, so that a caller who sends the call again at once finds it free. */
    private fun release(andThen: () -> Unit) {
        val key = passed.ledgerKey ?: return andThen()
        dependencies.requestLedger(ReleaseCall(key, passed.owner), true) {
            exchange.onConnectionThread {
                record(EventKind.ONCE_ONLY_RELEASED, Outcome.NOT_RUN)
                andThen()
            }
        }
    }

    private fun giveUp(reason: String) {
        val outcome = if (mayHaveRun) Outcome.MAY_HAVE_RUN else Outcome.NOT_RUN
        val fault = faultAnswer
        when {
            assembly.hasStarted -> breakOff(reason)
            fault != null -> passFault(fault)
            outcome == Outcome.NOT_RUN -> refuse(Refusal(RefusalKind.NO_ENDPOINT, reason))
            else -> loseCall(RefusalKind.ENDPOINT_FAILED, reason)
        }
    }

    private fun loseCall(kind: RefusalKind, reason: String) {
        passed.ledgerKey?.let {
            dependencies.requestLedger(LoseCall(it, passed.owner), true) { record(EventKind.ONCE_ONLY_UNKNOWN, Outcome.MAY_HAVE_RUN) }
        }
        tell(kind, reason, Outcome.MAY_HAVE_RUN)
    }

    /** Nothing better came than what an endpoint said of its failure: that is for the caller, as it is. */
    private fun passFault(answer: CompleteWhole) {
        if (!isCallerGone) exchange.answer(answer.head.worded(Outcome.RAN), answer.content)
        passed.ledgerKey?.let { key -> finishCall(key, answer) }
        record(EventKind.REQUEST_ANSWERED, Outcome.RAN, "the endpoint's failure ${answer.head.status}")
        end(Outcome.RAN)
    }

    /** The caller's time is over: it gets its answer now, whatever the endpoint may still say. */
    private fun timeOver() {
        if (isOver || isCallerGone) return
        isAbandoned = true
        val wasPlaced = placed != null
        call?.cancel()
        placed = null
        dependencies.sendToRouting(Cancelled(admitted.id))
        mayHaveRun = mayHaveRun || wasPlaced
        when {
            assembly.hasStarted -> breakOff("the deadline passed")
            mayHaveRun -> loseCall(RefusalKind.DEADLINE, "the deadline passed")
            else -> refuse(Refusal(RefusalKind.DEADLINE, "the deadline passed"))
        }
    }

    /** A stream that can't go on is cut without its last chunk, which no client takes for complete. */
    private fun breakOff(reason: String) {
        exchange.abort()
        record(EventKind.REQUEST_BROKEN, Outcome.MAY_HAVE_RUN, reason)
        end(Outcome.MAY_HAVE_RUN)
    }

    private fun tell(kind: RefusalKind, message: String, outcome: Outcome, retryAfter: Duration? = null) {
        val answer = passed.dialect.refusalResponse(Refusal(kind, message, outcome, retryAfter), admitted.id)
        exchange.answer(answer.head, answer.content)
        record(EventKind.REQUEST_REFUSED, outcome, "${kind.text}: $message")
        end(outcome)
    }

    /** A call that may run only once goes on without its caller, so that its outcome is known; a stream without listener ends. */
    private fun callerGone() {
        isCallerGone = true
        val isKept = admitted.route.repetition == Repetition.ONCE_ONLY && !passed.wantsStream && placed != null
        if (isOver || isKept) return
        isAbandoned = true
        call?.cancel()
        placed = null
        dependencies.sendToRouting(Cancelled(admitted.id))
        record(EventKind.REQUEST_CANCELLED)
        if (mayHaveRun) end(Outcome.MAY_HAVE_RUN) else release { end(Outcome.NOT_RUN) }
    }

    private fun end(outcome: Outcome) {
        if (isOver) return
        isOver = true
        cancelTimer()
        dependencies.ended(this, outcome, firstToken)
    }

    /** Runs [action] on the thread that owns this run. */
    public fun onThread(action: () -> Unit): Unit = exchange.onConnectionThread(action)

    private fun record(kind: EventKind, outcome: Outcome? = null, detail: String = "") {
        val subject = EventSubject(
            request = admitted.id.text,
            workspace = admitted.workspace?.text,
            endpoint = placed?.endpoint?.name?.text,
            weights = placed?.weights?.text,
            configuration = passed.configuration,
            outcome = outcome?.text,
        )
        dependencies.record(kind, subject, detail)
    }

    private fun ResponseHead.worded(outcome: Outcome?) = ResponseHead(status, passed.dialect.responseHeaders(this, admitted.id, outcome))

    private fun describeFacts(): String =
        "route ${admitted.route.name}, service ${admitted.service}, rank ${admitted.rank}, " +
            "${admitted.promptTokens} + ${admitted.answerTokens} tokens, " +
            "${(admitted.deadline - admitted.arrived).inWholeMilliseconds} ms left"
}

/** Returns the run of a request that was admitted; nothing happens before [RequestRun.begin]. */
public fun requestRun(
    admitted: AdmittedRequest,
    passed: RequestContext,
    exchange: Exchange,
    dependencies: RequestRunDependencies,
): RequestRun =
    RequestRun(admitted, passed, exchange, dependencies)
