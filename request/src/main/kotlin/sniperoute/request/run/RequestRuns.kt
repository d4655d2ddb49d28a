/**
 * The run of one request, from its admission to the last byte of its answer. It lives on the thread of the caller's connection and
 * reaches routing, the ledger and endpoints through functions.
 */
package sniperoute.request.run

import kotlinx.collections.immutable.persistentListOf
import sniperoute.connection.endpoint.CallEndpoint
import sniperoute.connection.endpoint.message.AnswerBegan
import sniperoute.connection.endpoint.message.CallEvent
import sniperoute.connection.endpoint.message.EndpointAddress
import sniperoute.connection.endpoint.message.EndpointCall
import sniperoute.connection.endpoint.message.RunningCall
import sniperoute.connection.http.AnswerHead
import sniperoute.connection.http.CancelTimer
import sniperoute.connection.http.Exchange
import sniperoute.connection.http.ExchangeWatch
import sniperoute.connection.http.Header
import sniperoute.connection.http.codec.OUTCOME_HEADER
import sniperoute.connection.http.isServerError
import sniperoute.connection.http.valueOrNull
import sniperoute.process.clock.Clock
import sniperoute.process.clock.Timestamp
import sniperoute.process.timeline.Record
import sniperoute.process.timeline.message.EventKind
import sniperoute.process.timeline.message.EventSubject
import sniperoute.request.admission.decision.Outcome
import sniperoute.request.admission.decision.Refusal
import sniperoute.request.admission.decision.RefusalKind
import sniperoute.request.ledger.message.*
import sniperoute.request.routing.message.*
import sniperoute.request.run.decision.*
import sniperoute.request.run.message.AnswerRules
import sniperoute.request.run.message.Dialect
import sniperoute.request.run.message.OutgoingRequest
import sniperoute.version.message.Repetition
import kotlin.time.Duration

/** Sends [input] to the routing duty; returns `false` if its ring is full. */
public typealias TellRouting = (input: RoutingInput) -> Boolean

/** Sends [request] to the ledger and calls [onReply] once. With [isLasting], the request is retried until there is a reply. */
public typealias AskLedger = (request: LedgerRequest, isLasting: Boolean, onReply: (LedgerReply) -> Unit) -> Unit

/** Called at the end of a run; [firstToken] is the time at which the first content was received, `null` if there was none. */
public typealias OnRunEnd = (run: RequestRun, outcome: Outcome, firstToken: Timestamp?) -> Unit

/** The functions of the process that a run uses. */
public class RunOutlets(
    public val tellRouting: TellRouting,
    public val call: CallEndpoint,
    public val askLedger: AskLedger,
    public val record: Record,
    public val clock: Clock,
    public val ended: OnRunEnd,
)

/**
 * What the front end decided for one request.
 *
 * @property ledgerKey identifies the call in the once-only ledger; `null` if the request does not use the ledger.
 * @property endsAt is the time at which the caller gets an answer in any case; `null` if only routing watches the deadline.
 */
public class PassedRequest(
    public val rules: AnswerRules,
    public val dialect: Dialect,
    public val wantsStream: Boolean,
    public val cacheSalt: Long,
    public val ledgerKey: LedgerKey?,
    public val owner: LedgerOwner,
    public val configuration: Long,
    public val endsAt: Timestamp? = null,
)

private const val MAX_RECORDED_BYTES = 16 * 1024

/** The run of one request. All functions run on the thread of the caller's connection. */
public class RequestRun internal constructor(
    public val facts: RequestFacts,
    private val passed: PassedRequest,
    private val exchange: Exchange,
    private val outlets: RunOutlets,
) {
    private var assembly = newAssembly(passed.rules)
    private var call: RunningCall? = null
    private var currentDispatch: Dispatch? = null
    private var sentAt = Timestamp.EARLIEST
    private var firstToken: Timestamp? = null
    private var faultAnswer: SendAnswer? = null
    private var cancelTimer: CancelTimer = {}
    private var mayHaveRun = false
    private var hasEnded = false
    private var isCallerGone = false

    /** Set when the run was cancelled; a dispatch that routing emitted before the cancellation must not be sent. */
    private var isCancelled = false

    /** Begins the run: at the ledger if the request has a key there, else at routing. */
    public fun begin() {
        exchange.watch(ExchangeWatch(writable = { call?.read(it) }, gone = ::onCallerGone))
        record(EventKind.REQUEST_ADMITTED, detail = describeRequest())
        passed.endsAt?.let { cancelTimer = exchange.after(it - outlets.clock(), ::onDeadline) }
        val key = passed.ledgerKey
        if (key == null) sendToRouting() else outlets.askLedger(BeginCall(key, passed.owner, facts.digest), false, ::onLedgerReply)
    }

    /** Performs an effect of routing. */
    public fun onEffect(effect: RoutingEffect) {
        if (hasEnded || isCancelled) return
        when (effect) {
            is Dispatch -> dispatch(effect)
            is Refuse -> refuse(effect.refusal)
            is GiveUp -> giveUp(effect.reason)
            else -> Unit
        }
    }

    private fun sendToRouting() {
        if (!outlets.tellRouting(RequestAdmitted(facts))) refuse(Refusal(RefusalKind.OVERLOADED, "this router is too busy"))
    }

    private fun onLedgerReply(reply: LedgerReply) = exchange.onConnectionThread {
        when (reply) {
            is CallIsYours -> {
                record(EventKind.ONCE_ONLY_BEGUN)
                if (isCallerGone) releaseCall { end(Outcome.NOT_RUN) } else sendToRouting()
            }
            is CallRan -> replay(reply.answer)
            is CallIsRunning -> answerRefusal(RefusalKind.RUNNING_ALREADY, "the same call is running; retry later", Outcome.MAY_HAVE_RUN)
            is CallMayHaveRun ->
                answerRefusal(RefusalKind.UNKNOWN_OUTCOME, "the same call was sent before and may have run", Outcome.MAY_HAVE_RUN)
            is CallDiffers -> answerRefusal(RefusalKind.KEY_REUSED, "the idempotency key was used for another call", Outcome.NOT_RUN)
            is LedgerIsFull -> answerRefusal(RefusalKind.OVER_RATE, "this workspace has too many idempotency keys", Outcome.NOT_RUN)
            is LedgerNotHere, is CallNoted -> refuseWithoutLedger()
        }
    }

    /** The control replicas may still commit the entry later. The release makes sure that the call can be begun again. */
    private fun refuseWithoutLedger() {
        passed.ledgerKey?.let { outlets.askLedger(ReleaseCall(it, passed.owner), true) {} }
        answerRefusal(RefusalKind.NOT_READY, "the once-only ledger cannot be reached", Outcome.NOT_RUN)
    }

    private fun replay(answer: RecordedAnswer) {
        val headers = persistentListOf(
            Header("content-type", answer.contentType),
            Header(OUTCOME_HEADER, Outcome.RAN.text),
            Header("sniperoute-replayed", if (answer.isWhole) "whole" else "status-only"),
        )
        exchange.answer(AnswerHead(answer.status, headers), answer.body)
        record(EventKind.REQUEST_ANSWERED, Outcome.RAN, "replayed")
        end(Outcome.RAN)
    }

    private fun dispatch(dispatch: Dispatch) {
        currentDispatch = dispatch
        sentAt = outlets.clock()
        assembly = assembly.nextAttempt()
        val kind = when {
            dispatch.attempt == 1 -> EventKind.REQUEST_PLACED
            assembly.delivered > 0 -> EventKind.REQUEST_RESUMED
            else -> EventKind.REQUEST_RETRIED
        }
        record(kind, detail = "attempt ${dispatch.attempt} ${dispatch.grounds}")
        call = outlets.call(dispatch.toCall()) { event -> onCallEvent(dispatch, event) }
    }

    private fun Dispatch.toCall(): EndpointCall {
        val left = facts.deadline - outlets.clock()
        return EndpointCall(
            address = EndpointAddress(endpoint.host, endpoint.port),
            requestId = passed.dialect.outerId(exchange.head, facts.id),
            method = exchange.head.method,
            target = if (exchange.head.query.isEmpty()) exchange.head.path else "${exchange.head.path}?${exchange.head.query}",
            headers = passed.dialect.wordRequest(OutgoingRequest(exchange.head, facts, this, assembly.lastId, passed.cacheSalt, left)),
            body = exchange.body,
            gap = passed.dialect.silencePatience(facts, passed.wantsStream, left),
            fresh = isFresh || facts.route.repetition == Repetition.ONCE_ONLY,
        )
    }

    private fun onCallEvent(dispatch: Dispatch, event: CallEvent) = exchange.onConnectionThread {
        if (!hasEnded && currentDispatch === dispatch) {
            if (event is AnswerBegan) reportLoad(event.head)
            val step = assembly.take(event)
            assembly = step.assembly
            step.effects.forEach { if (currentDispatch === dispatch) perform(it) }
        }
    }

    private fun reportLoad(head: AnswerHead) {
        passed.dialect.readSigns(head)?.let { outlets.tellRouting(AnswerHeadReceived(facts.id, it)) }
    }

    private fun perform(effect: AssemblyEffect) {
        when (effect) {
            is ReportFirstToken -> reportFirstToken()
            is SendHead -> exchange.begin(effect.head.forCaller(null))
            is SendContent -> exchange.send(effect.bytes)
            is EndStream -> endStream()
            is SendAnswer -> sendAnswer(effect)
            is FailAttempt -> failAttempt(effect)
        }
    }

    private fun reportFirstToken() {
        val now = outlets.clock()
        if (firstToken == null) firstToken = now
        outlets.tellRouting(FirstTokenReceived(facts.id, now - sentAt))
    }

    private fun endStream() {
        exchange.end()
        endAnswered(isFault = false)
    }

    private fun sendAnswer(answer: SendAnswer) {
        if (!isCallerGone) exchange.answer(answer.head.forCaller(Outcome.RAN), answer.content)
        passed.ledgerKey?.let { key -> finishCall(key, answer) }
        endAnswered(isFault = answer.head.isServerError)
    }

    private fun finishCall(key: LedgerKey, answer: SendAnswer) {
        val type = answer.head.headers.valueOrNull("content-type") ?: "application/octet-stream"
        val isWhole = answer.content.size <= MAX_RECORDED_BYTES
        val recorded = RecordedAnswer(answer.head.status, type, if (isWhole) answer.content else ByteArray(0), isWhole)
        outlets.askLedger(FinishCall(key, passed.owner, recorded), true) { record(EventKind.ONCE_ONLY_FINISHED, Outcome.RAN) }
    }

    private fun endAnswered(isFault: Boolean) {
        val usage = assembly.usage
        val result = AttemptAnswered(usage?.promptTokens, usage?.cachedTokens, usage?.answerTokens, isFault)
        outlets.tellRouting(AttemptEnded(facts.id, result))
        record(EventKind.REQUEST_ANSWERED, Outcome.RAN)
        end(Outcome.RAN)
    }

    private fun failAttempt(failure: FailAttempt) {
        if (!failure.kind.isNotRun) mayHaveRun = true
        faultAnswer = failure.answer ?: faultAnswer
        call?.cancel()
        call = null
        recordFailure(failure)
        currentDispatch = null
        outlets.tellRouting(AttemptEnded(facts.id, AttemptFailed(failure.kind, failure.mayRepeat && !isCallerGone, failure.reason)))
    }

    private fun recordFailure(failure: FailAttempt) = when (failure.kind) {
        AttemptFailureKind.SILENT -> record(EventKind.ENDPOINT_SILENT, detail = failure.reason)
        AttemptFailureKind.WRONG -> record(EventKind.ENDPOINT_CROSSED_ANSWER, detail = failure.reason)
        else -> record(EventKind.REQUEST_BROKEN, detail = "${failure.kind}: ${failure.reason}")
    }

    private fun refuse(refusal: Refusal) {
        if (passed.ledgerKey == null) return answerRefusal(refusal.kind, refusal.message, refusal.outcome, refusal.retryAfter)
        releaseCall { answerRefusal(refusal.kind, refusal.message, refusal.outcome, refusal.retryAfter) }
    }

    /** Releases the call in the ledger before [andThen] answers the caller, so that an immediate retry finds the call free. */
    private fun releaseCall(andThen: () -> Unit) {
        val key = passed.ledgerKey ?: return andThen()
        outlets.askLedger(ReleaseCall(key, passed.owner), true) {
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
            assembly.hasStarted -> abortAnswer(reason)
            fault != null -> sendFaultAnswer(fault)
            outcome == Outcome.NOT_RUN -> refuse(Refusal(RefusalKind.NO_ENDPOINT, reason))
            else -> loseCall(RefusalKind.ENDPOINT_FAILED, reason)
        }
    }

    /** Ends a run whose outcome is unknown. */
    private fun loseCall(kind: RefusalKind, reason: String) {
        passed.ledgerKey?.let {
            outlets.askLedger(LoseCall(it, passed.owner), true) { record(EventKind.ONCE_ONLY_UNKNOWN, Outcome.MAY_HAVE_RUN) }
        }
        answerRefusal(kind, reason, Outcome.MAY_HAVE_RUN)
    }

    /** Sends the caller an endpoint's error answer, unchanged, since no attempt gave a better one. */
    private fun sendFaultAnswer(answer: SendAnswer) {
        if (!isCallerGone) exchange.answer(answer.head.forCaller(Outcome.RAN), answer.content)
        passed.ledgerKey?.let { key -> finishCall(key, answer) }
        record(EventKind.REQUEST_ANSWERED, Outcome.RAN, "the endpoint failed with status ${answer.head.status}")
        end(Outcome.RAN)
    }

    /** Answers the caller at the deadline, whatever the endpoint may still send. */
    private fun onDeadline() {
        if (hasEnded || isCallerGone) return
        isCancelled = true
        val wasDispatched = currentDispatch != null
        call?.cancel()
        currentDispatch = null
        outlets.tellRouting(RequestCancelled(facts.id))
        mayHaveRun = mayHaveRun || wasDispatched
        when {
            assembly.hasStarted -> abortAnswer("the deadline passed")
            mayHaveRun -> loseCall(RefusalKind.DEADLINE, "the deadline passed")
            else -> refuse(Refusal(RefusalKind.DEADLINE, "the deadline passed"))
        }
    }

    /** Aborts a streamed answer without its last chunk, so that no client takes it for complete. */
    private fun abortAnswer(reason: String) {
        exchange.abort()
        record(EventKind.REQUEST_BROKEN, Outcome.MAY_HAVE_RUN, reason)
        end(Outcome.MAY_HAVE_RUN)
    }

    private fun answerRefusal(kind: RefusalKind, message: String, outcome: Outcome, retryAfter: Duration? = null) {
        val answer = passed.dialect.wordRefusal(Refusal(kind, message, outcome, retryAfter), facts.id)
        exchange.answer(answer.head, answer.content)
        record(EventKind.REQUEST_REFUSED, outcome, "${kind.text}: $message")
        end(outcome)
    }

    /** A once-only call continues without its caller, so that the ledger gets its outcome. All other requests are cancelled. */
    private fun onCallerGone() {
        isCallerGone = true
        val continues = facts.route.repetition == Repetition.ONCE_ONLY && !passed.wantsStream && currentDispatch != null
        if (hasEnded || continues) return
        isCancelled = true
        call?.cancel()
        currentDispatch = null
        outlets.tellRouting(RequestCancelled(facts.id))
        record(EventKind.REQUEST_CANCELLED)
        if (mayHaveRun) end(Outcome.MAY_HAVE_RUN) else releaseCall { end(Outcome.NOT_RUN) }
    }

    private fun end(outcome: Outcome) {
        if (hasEnded) return
        hasEnded = true
        cancelTimer()
        outlets.ended(this, outcome, firstToken)
    }

    /** Runs [action] on the thread of the caller's connection. */
    public fun onThread(action: () -> Unit): Unit = exchange.onConnectionThread(action)

    private fun record(kind: EventKind, outcome: Outcome? = null, detail: String = "") {
        val subject = EventSubject(
            request = facts.id.text,
            workspace = facts.workspace?.text,
            endpoint = currentDispatch?.endpoint?.name?.text,
            weights = currentDispatch?.weights?.text,
            configuration = passed.configuration,
            outcome = outcome?.text,
        )
        outlets.record(kind, subject, detail)
    }

    private fun AnswerHead.forCaller(outcome: Outcome?) = AnswerHead(status, passed.dialect.wordAnswer(this, facts.id, outcome))

    private fun describeRequest(): String =
        "route ${facts.route.name}, service ${facts.service}, rank ${facts.rank}, " +
            "${facts.promptTokens} + ${facts.answerTokens} tokens, ${(facts.deadline - facts.arrived).inWholeMilliseconds} ms left"
}

/** Returns the run of an admitted request; it does nothing before [RequestRun.begin]. */
public fun requestRun(facts: RequestFacts, passed: PassedRequest, exchange: Exchange, outlets: RunOutlets): RequestRun =
    RequestRun(facts, passed, exchange, outlets)
