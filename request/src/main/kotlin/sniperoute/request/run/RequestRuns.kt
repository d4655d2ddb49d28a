/**
 * The run of one request, from its admission to the last byte of its answer. It lives on the thread of the caller's
 * connection; routing, the ledger and the endpoint's connection are met through function types.
 */
package sniperoute.request.run

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList
import sniperoute.connection.endpoint.CallEndpoint
import sniperoute.connection.endpoint.message.CallEvent
import sniperoute.connection.endpoint.message.EndpointAddress
import sniperoute.connection.endpoint.message.EndpointCall
import sniperoute.connection.endpoint.message.RunningCall
import sniperoute.connection.http.AnswerHead
import sniperoute.connection.http.Exchange
import sniperoute.connection.http.ExchangeWatch
import sniperoute.connection.http.Header
import sniperoute.connection.http.codec.OUTCOME_HEADER
import sniperoute.connection.http.codec.errorAnswer
import sniperoute.connection.http.valueOrNull
import sniperoute.process.clock.Clock
import sniperoute.process.clock.Moment
import sniperoute.process.timeline.Record
import sniperoute.process.timeline.message.EventKind
import sniperoute.process.timeline.message.EventSubject
import sniperoute.request.admission.decision.Outcome
import sniperoute.request.admission.decision.Refusal
import sniperoute.request.admission.decision.RefusalKind
import sniperoute.request.ledger.message.*
import sniperoute.request.routing.message.*
import sniperoute.request.run.decision.*
import sniperoute.version.message.Repetition
import sniperoute.version.message.ServiceKind
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Hands [input] to the routing duty, or returns `false` when it can't take more. */
public typealias TellRouting = (input: RoutingInput) -> Boolean

/** Asks the ledger; [onReply] is called once. A lasting question is asked until it is answered. */
public typealias AskLedger = (request: LedgerRequest, isLasting: Boolean, onReply: (LedgerReply) -> Unit) -> Unit

/** Is told how a request ended: with which outcome, and when its first token came, if it did. */
public typealias OnRunEnd = (run: RequestRun, outcome: Outcome, firstToken: Moment?) -> Unit

/** What a run needs of the rest of the process. */
public class RunOutlets(
    public val tellRouting: TellRouting,
    public val call: CallEndpoint,
    public val askLedger: AskLedger,
    public val record: Record,
    public val clock: Clock,
    public val ended: OnRunEnd,
)

/** The parts of a request that are passed to an endpoint. */
public class PassedRequest(
    public val kind: ServiceKind,
    public val wantsStream: Boolean,
    public val cacheSalt: Long,
    public val ledgerKey: LedgerKey?,
    public val owner: LedgerOwner,
    public val configuration: Long,
)

private const val LONGEST_RECORDED_ANSWER = 16 * 1024
private val SHORTEST_WAIT = 10.milliseconds
private val NEVER_PASSED = setOf(
    "authorization",
    "x-api-key",
    "proxy-authorization",
    "cookie",
    "host",
    "connection",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
    "x-request-id",
    "last-event-id",
)
private val NEVER_RETURNED = setOf("connection", "keep-alive", "transfer-encoding", "content-length", "x-request-id", "trailer", "upgrade")

/** One request under way. Every function runs on the thread of the caller's connection. */
public class RequestRun internal constructor(
    public val facts: RequestFacts,
    private val passed: PassedRequest,
    private val exchange: Exchange,
    private val outlets: RunOutlets,
) {
    private var assembly = newAssembly(passed.kind, passed.wantsStream)
    private var call: RunningCall? = null
    private var placed: Dispatch? = null
    private var sentAt = Moment.EARLIEST
    private var firstToken: Moment? = null
    private var mayHaveRun = false
    private var isOver = false
    private var isCallerGone = false

    /** Once the run was given up for its caller, a dispatch that routing had ordered before must not go out. */
    private var isAbandoned = false

    /** Begins: with the ledger, when the call may run only once and carries a key, else with routing. */
    public fun begin() {
        exchange.watch(ExchangeWatch(writable = { call?.read(it) }, gone = ::callerGone))
        record(EventKind.REQUEST_ADMITTED, detail = "route ${facts.route.name}")
        val key = passed.ledgerKey
        if (key == null) arrive() else outlets.askLedger(BeginCall(key, passed.owner, facts.digest), false, ::onLedger)
    }

    /** Carries out what routing decided. */
    public fun onOrder(order: RoutingOrder) {
        if (isOver || isAbandoned) return
        when (order) {
            is Dispatch -> dispatch(order)
            is Refuse -> refuse(order.refusal)
            is GiveUp -> giveUp(order.reason)
            else -> Unit
        }
    }

    private fun arrive() {
        if (!outlets.tellRouting(Arrived(facts))) refuse(Refusal(RefusalKind.OVERLOADED, "this router is too busy"))
    }

    private fun onLedger(reply: LedgerReply) = exchange.onConnectionThread {
        when (reply) {
            is CallIsYours -> {
                record(EventKind.ONCE_ONLY_BEGUN)
                if (isCallerGone) release { end(Outcome.NOT_RUN) } else arrive()
            }
            is CallRan -> replay(reply.answer)
            is CallIsRunning -> tell(RefusalKind.RUNNING_ALREADY, "the same call is running; ask again", Outcome.MAY_HAVE_RUN)
            is CallMayHaveRun -> tell(RefusalKind.UNKNOWN_OUTCOME, "the same call was sent before and may have run", Outcome.MAY_HAVE_RUN)
            is CallDiffers -> tell(RefusalKind.KEY_REUSED, "the idempotency key was used for another call", Outcome.NOT_RUN)
            is LedgerIsFull -> tell(RefusalKind.OVER_RATE, "too many idempotency keys are kept for this workspace", Outcome.NOT_RUN)
            is LedgerNotHere, is CallNoted -> abandonLedger()
        }
    }

    /** The question may still be agreed on later; the release makes sure that the call can then be begun again. */
    private fun abandonLedger() {
        passed.ledgerKey?.let { outlets.askLedger(ReleaseCall(it, passed.owner), true) {} }
        tell(RefusalKind.NOT_READY, "the once-only ledger can't be reached", Outcome.NOT_RUN)
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

    private fun dispatch(order: Dispatch) {
        placed = order
        sentAt = outlets.clock()
        assembly = assembly.nextAttempt()
        val kind = when {
            order.attempt == 1 -> EventKind.REQUEST_PLACED
            assembly.delivered > 0 -> EventKind.REQUEST_RESUMED
            else -> EventKind.REQUEST_RETRIED
        }
        record(kind, detail = "attempt ${order.attempt}")
        call = outlets.call(order.toCall()) { event -> onCallEvent(order, event) }
    }

    private fun Dispatch.toCall(): EndpointCall = EndpointCall(
        address = EndpointAddress(endpoint.host, endpoint.port),
        requestId = facts.id.text,
        method = exchange.head.method,
        target = if (exchange.head.query.isEmpty()) exchange.head.path else "${exchange.head.path}?${exchange.head.query}",
        headers = passedHeaders(this),
        body = exchange.body,
        gap = gap(),
        fresh = isFresh || facts.route.repetition == Repetition.ONCE_ONLY,
    )

    /**
     * A streamed answer must go on within the route's gap. A whole one may take until the deadline; if it may be repeated, half
     * of the time left, so that there is time for another attempt.
     */
    private fun gap(): Duration {
        val gap = facts.route.gapMilliseconds.milliseconds
        val left = (facts.deadline - outlets.clock()).coerceAtLeast(SHORTEST_WAIT)
        return when {
            passed.wantsStream -> gap
            facts.route.repetition == Repetition.REPEATABLE -> maxOf(gap, left / 2)
            else -> left
        }
    }

    private fun passedHeaders(dispatch: Dispatch) = buildList {
        addAll(exchange.head.headers.filter { it.name !in NEVER_PASSED })
        add(Header("x-priority", facts.requestClass.text))
        if (dispatch.weights != null) {
            add(Header("x-weights-version", dispatch.weights.text))
            add(Header("x-cache-salt", passed.cacheSalt.toString()))
        }
        if (assembly.delivered > 0) add(Header("last-event-id", assembly.delivered.toString()))
    }.toImmutableList()

    private fun onCallEvent(dispatch: Dispatch, event: CallEvent) = exchange.onConnectionThread {
        if (!isOver && placed === dispatch) {
            val step = assembly.take(event)
            assembly = step.assembly
            step.actions.forEach { if (placed === dispatch) carryOut(it) }
        }
    }

    private fun carryOut(action: AssemblyAction) {
        when (action) {
            is NoteFirst -> noteFirst()
            is BeginAnswer -> exchange.begin(AnswerHead(action.head.status, action.head.returnedHeaders()))
            is PassOn -> exchange.send(action.bytes)
            is CompleteStream -> completeStream()
            is CompleteWhole -> completeWhole(action)
            is FailAttempt -> failAttempt(action)
        }
    }

    private fun noteFirst() {
        val now = outlets.clock()
        if (firstToken == null) firstToken = now
        outlets.tellRouting(FirstTokenCame(facts.id, now - sentAt))
    }

    private fun completeStream() {
        exchange.end()
        answered(isFault = false)
    }

    private fun completeWhole(action: CompleteWhole) {
        val headers = action.head.returnedHeaders() + Header(OUTCOME_HEADER, Outcome.RAN.text)
        if (!isCallerGone) exchange.answer(AnswerHead(action.head.status, headers.toImmutableList()), action.content)
        passed.ledgerKey?.let { key -> finishCall(key, action) }
        answered(isFault = action.head.status >= SERVER_ERRORS)
    }

    private fun finishCall(key: LedgerKey, action: CompleteWhole) {
        val type = action.head.headers.valueOrNull("content-type") ?: "application/octet-stream"
        val isWhole = action.content.size <= LONGEST_RECORDED_ANSWER
        val answer = RecordedAnswer(action.head.status, type, if (isWhole) action.content else ByteArray(0), isWhole)
        outlets.askLedger(FinishCall(key, passed.owner, answer), true) { record(EventKind.ONCE_ONLY_FINISHED, Outcome.RAN) }
    }

    private fun answered(isFault: Boolean) {
        val usage = assembly.usage
        outlets.tellRouting(AttemptEnded(facts.id, Answered(usage?.promptTokens, usage?.cachedTokens, usage?.answerTokens, isFault)))
        record(EventKind.REQUEST_ANSWERED, Outcome.RAN)
        end(Outcome.RAN)
    }

    private fun failAttempt(action: FailAttempt) {
        if (action.reach != Reach.NOT_RUN && action.reach != Reach.REJECTED) mayHaveRun = true
        call?.cancel()
        call = null
        noteFailure(action)
        placed = null
        outlets.tellRouting(AttemptEnded(facts.id, Unanswered(action.reach, action.mayRepeat && !isCallerGone, action.reason)))
    }

    private fun noteFailure(action: FailAttempt) = when (action.reach) {
        Reach.SILENT -> record(EventKind.ENDPOINT_SILENT, detail = action.reason)
        Reach.WRONG -> record(EventKind.ENDPOINT_CROSSED_ANSWER, detail = action.reason)
        else -> record(EventKind.REQUEST_BROKEN, detail = "${action.reach}: ${action.reason}")
    }

    private fun refuse(refusal: Refusal) {
        if (passed.ledgerKey == null) return tell(refusal.kind, refusal.message, refusal.outcome, refusal.retryAfter)
        release { tell(refusal.kind, refusal.message, refusal.outcome, refusal.retryAfter) }
    }

    /** The ledger is told before the caller, so that a caller who sends the call again at once finds it free. */
    private fun release(andThen: () -> Unit) {
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
        when {
            assembly.hasStarted -> breakOff(reason)
            outcome == Outcome.NOT_RUN -> refuse(Refusal(RefusalKind.NO_ENDPOINT, reason))
            else -> {
                passed.ledgerKey?.let {
                    outlets.askLedger(
                        LoseCall(it, passed.owner),
                        true,
                    ) { record(EventKind.ONCE_ONLY_UNKNOWN, outcome) }
                }
                tell(RefusalKind.ENDPOINT_FAILED, reason, outcome)
            }
        }
    }

    /** A stream that can't go on is cut without its last chunk, which no client takes for complete. */
    private fun breakOff(reason: String) {
        exchange.abort()
        record(EventKind.REQUEST_BROKEN, Outcome.MAY_HAVE_RUN, reason)
        end(Outcome.MAY_HAVE_RUN)
    }

    private fun tell(kind: RefusalKind, message: String, outcome: Outcome, retryAfter: Duration? = null) {
        val more = listOfNotNull(
            retryAfter?.let { Header("retry-after", it.inWholeSeconds.coerceAtLeast(1).toString()) },
            Header("x-request-id", facts.id.text),
        )
        val answer = errorAnswer(kind.status, kind.text, message, outcome.text, more.toImmutableList())
        exchange.answer(answer.head, answer.content)
        record(EventKind.REQUEST_REFUSED, outcome, "${kind.text}: $message")
        end(outcome)
    }

    /** A call that may run only once goes on without its caller, so that its outcome is known. */
    private fun callerGone() {
        isCallerGone = true
        if (isOver || (facts.route.repetition == Repetition.ONCE_ONLY && placed != null)) return
        isAbandoned = true
        call?.cancel()
        placed = null
        outlets.tellRouting(Cancelled(facts.id))
        record(EventKind.REQUEST_CANCELLED)
        if (mayHaveRun) end(Outcome.MAY_HAVE_RUN) else release { end(Outcome.NOT_RUN) }
    }

    private fun end(outcome: Outcome) {
        if (isOver) return
        isOver = true
        outlets.ended(this, outcome, firstToken)
    }

    /** Runs [action] on the thread that owns this run. */
    public fun onThread(action: () -> Unit): Unit = exchange.onConnectionThread(action)

    private fun record(kind: EventKind, outcome: Outcome? = null, detail: String = "") {
        val subject = EventSubject(
            request = facts.id.text,
            workspace = facts.workspace?.text,
            endpoint = placed?.endpoint?.name?.text,
            weights = placed?.weights?.text,
            configuration = passed.configuration,
            outcome = outcome?.text,
        )
        outlets.record(kind, subject, detail)
    }

    private fun AnswerHead.returnedHeaders() =
        (headers.filter { it.name !in NEVER_RETURNED } + Header("x-request-id", facts.id.text)).toImmutableList()
}

private const val SERVER_ERRORS = 500

/** Returns the run of a request that was admitted; nothing happens before [RequestRun.begin]. */
public fun requestRun(facts: RequestFacts, passed: PassedRequest, exchange: Exchange, outlets: RunOutlets): RequestRun =
    RequestRun(facts, passed, exchange, outlets)
