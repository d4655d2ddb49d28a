/**
 * The run of one request, from its admission to the last byte of its response. It lives on the thread of the caller's connection and
 * reaches routing, the ledger and endpoints through functions.
 */
package sniperoute.request.run

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import sniperoute.connection.endpoint.CallEndpoint
import sniperoute.connection.endpoint.UNREAD_LIMIT
import sniperoute.connection.endpoint.message.CallEvent
import sniperoute.connection.endpoint.message.CallStalled
import sniperoute.connection.endpoint.message.EndpointAddress
import sniperoute.connection.endpoint.message.EndpointCall
import sniperoute.connection.endpoint.message.ProgressSource
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
import sniperoute.process.memory.ByteBudget
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
import kotlin.time.Duration.Companion.milliseconds

/** Sends [input] to the routing duty; returns `false` if it is a new request and the duty's ring is full. */
public typealias SendToRouting = (input: RoutingInput) -> Boolean

/** Sends [request] to the ledger and calls [onReply] once. With [retryUntilAnswered], the request is retried until there is a reply. */
public typealias RequestLedger = (request: LedgerRequest, retryUntilAnswered: Boolean, onReply: (LedgerReply) -> Unit) -> Unit

/** Called at the end of a run; [firstToken] is the time at which the first content was received, `null` if there was none. */
public typealias OnRunEnd = (run: RequestRun, outcome: Outcome, firstToken: Timestamp?) -> Unit

/** Where a request was when it was seen to be no longer wanted. */
public enum class UnwantedStage(public val text: String) {
    /** In the ring of the routing duty. */
    ROUTING("routing"),

    /** Placed, and not passed on to a connection. */
    PLACED("placed"),

    /** Waiting for a connection to its endpoint. */
    CONNECTING("connecting"),
}

/** The functions of the process that a run uses, and the budget of the bytes that the buffered responses of all runs hold. */
public class RequestRunDependencies(
    public val sendToRouting: SendToRouting,
    public val call: CallEndpoint,
    public val requestLedger: RequestLedger,
    public val record: RecordEvent,
    public val clock: Clock,
    public val ended: OnRunEnd,
    public val bufferedBytes: ByteBudget,
    public val onUnwanted: (stage: UnwantedStage) -> Unit = {},
)

/**
 * What the front end decided for one request.
 *
 * @property ledgerKey identifies the call in the once-only ledger; `null` if the request does not use the ledger.
 * @property answerDeadline is the time at which the caller gets a response in any case; `null` if there is no such time.
 * @property isCacheSaltInForce returns whether the caller may still reach the cached blocks under [cacheSalt]. It is asked before each
 * attempt, since the request may have waited while the configuration changed.
 */
public class RequestContext(
    public val responseParser: ResponseParser,
    public val protocol: FrontEndProtocol,
    public val wantsStream: Boolean,
    public val cacheSalt: Long,
    public val ledgerKey: LedgerKey?,
    public val owner: LedgerOwner,
    public val configuration: Long,
    public val answerDeadline: Timestamp? = null,
    public val isCacheSaltInForce: () -> Boolean = { true },
)

/** An event at [at] that is recorded later or not at all. */
private class UnrecordedEvent(val kind: EventKind, val subject: EventSubject, val at: Timestamp, val describe: () -> String)

private const val MAX_RECORDED_BYTES = 16 * 1024
private val MIN_IDLE_TIMEOUT = 10.milliseconds

/** The run of one request. All functions run on the thread of the caller's connection. */
public class RequestRun internal constructor(
    public val admitted: AdmittedRequest,
    private val context: RequestContext,
    private val exchange: Exchange,
    private val dependencies: RequestRunDependencies,
) {
    private var assembly = newAssembly(context.responseParser, admitted.route.isResumable)
        set(next) {
            dependencies.bufferedBytes.change(next.contentBytes - field.contentBytes)
            field = next
        }
    private var call: RunningCall? = null
    private var currentDispatch: Dispatch? = null
    private var sentAt = Timestamp.EARLIEST
    private var firstToken: Timestamp? = null
    private var faultResponse: SendResponse? = null
        set(next) {
            dependencies.bufferedBytes.change(next.length - field.length)
            field = next
        }
    private var cancelTimer: CancelTimer = {}
    private var mayHaveRun = false
    private var hasEnded = false
    private var isCallerDisconnected = false

    /** What is recorded of a request only once something goes wrong with it. */
    private var unrecorded: PersistentList<UnrecordedEvent> = persistentListOf()

    /** The events of a stalled call since routing was asked whether another attempt replaces it; `null` while nothing was asked. */
    private var heldEvents: PersistentList<CallEvent>? = null

    /** Set when the run was cancelled; a dispatch that routing emitted before the cancellation must not be sent. */
    private var isCancelled = false

    /** Whether the answer is still wanted. Asked at the last moment before bytes leave for an endpoint, wherever the request waited. */
    private val isWanted: Boolean get() = !hasEnded && !isCancelled && dependencies.clock() < admitted.deadline

    /** Begins the run: at the ledger if the call may run only once and has an idempotency key, else at routing. */
    public fun begin() {
        exchange.setListener(
            CallerConnectionListener(onWritabilityChanged = { call?.setReading(it) }, onDisconnected = ::onCallerDisconnected),
        )
        if (isCallerDisconnected) return
        keep(EventKind.REQUEST_ADMITTED, ::describeRequest)
        context.answerDeadline?.let(::endAtDeadline)
        val key = context.ledgerKey
        if (key == null) route() else dependencies.requestLedger(BeginCall(key, context.owner, admitted.digest), false, ::onLedgerReply)
    }

    /** Performs an effect that routing emitted at [emitted]. */
    public fun perform(effect: RoutingEffect, emitted: Timestamp = dependencies.clock()) {
        if (hasEnded || isCancelled) {
            if (effect is Dispatch) recordUnwanted(effect, UnwantedStage.PLACED)
            return
        }
        when (effect) {
            is Dispatch -> dispatchOnceRead(effect, emitted)
            is Refuse -> refuse(effect.refusal)
            is KeepAttempt -> releaseHeldEvents()
            is GiveUp -> giveUp(effect.reason)
            else -> Unit
        }
    }

    private fun route() {
        if (!dependencies.sendToRouting(RequestAdmitted(admitted))) refuse(Refusal(RefusalKind.OVERLOADED, "this router is too busy"))
    }

    private fun onLedgerReply(reply: LedgerReply) = exchange.onConnectionThread {
        when (reply) {
            is CallGranted -> {
                record(EventKind.ONCE_ONLY_BEGUN)
                if (isCallerDisconnected) releaseCall { end(Outcome.NOT_RUN) } else route()
            }
            is CallRan -> replay(reply.answer)
            is CallIsRunning -> sendRefusal(RefusalKind.RUNNING_ALREADY, "the same call is running; retry later", Outcome.MAY_HAVE_RUN)
            is CallMayHaveRun ->
                sendRefusal(RefusalKind.UNKNOWN_OUTCOME, "the same call was sent before and may have run", Outcome.MAY_HAVE_RUN)
            is CallDiffers -> sendRefusal(RefusalKind.KEY_REUSED, "the idempotency key was used for another call", Outcome.NOT_RUN)
            is LedgerIsFull -> sendRefusal(RefusalKind.OVER_RATE, "this workspace has too many idempotency keys", Outcome.NOT_RUN)
            is LedgerUnavailable, is CallAcknowledged -> refuseWithoutLedger()
        }
    }

    /** The control replicas may still commit the entry later. The release makes sure that the call can be begun again. */
    private fun refuseWithoutLedger() {
        context.ledgerKey?.let { dependencies.requestLedger(ReleaseCall(it, context.owner), true) {} }
        sendRefusal(RefusalKind.NOT_READY, "the once-only ledger cannot be reached", Outcome.NOT_RUN)
    }

    private fun replay(answer: RecordedAnswer) {
        val headers = persistentListOf(
            Header("content-type", answer.contentType),
            Header(OUTCOME_HEADER, Outcome.RAN.text),
            Header("sniperoute-replayed", if (answer.isWhole) "whole" else "status-only"),
        )
        exchange.respond(ResponseHead(answer.status, headers), answer.body)
        record(EventKind.REQUEST_ANSWERED, Outcome.RAN, "replayed")
        end(Outcome.RAN)
    }

    /**
     * Dispatches at once, unless the thread of the caller's connection is late. Then what its connections have received is read before,
     * since the caller may have left.
     */
    private fun dispatchOnceRead(dispatch: Dispatch, emitted: Timestamp) {
        val now = dependencies.clock()
        when {
            !isWanted -> {
                recordUnwanted(dispatch, UnwantedStage.PLACED)
                onDeadline()
            }
            now - emitted > UNREAD_LIMIT -> exchange.after(Duration.ZERO) { perform(dispatch, now) }
            else -> dispatch(dispatch)
        }
    }

    private fun recordUnwanted(dispatch: Dispatch, stage: UnwantedStage) {
        dependencies.onUnwanted(stage)
        dependencies.record(
            EventKind.REQUEST_NOT_SENT,
            EventSubject(request = admitted.id.text, endpoint = dispatch.endpoint.name.text),
            "${stage.text}, no longer wanted ${(dependencies.clock() - admitted.arrived).inWholeMilliseconds} ms after its arrival",
        )
    }

    private fun dispatch(dispatch: Dispatch) {
        if (currentDispatch != null) abandonAttempt()
        heldEvents = null
        currentDispatch = dispatch
        sentAt = dependencies.clock()
        assembly = assembly.nextAttempt()
        val kind = when {
            dispatch.attempt == 1 -> EventKind.REQUEST_PLACED
            assembly.delivered > 0 -> EventKind.REQUEST_RESUMED
            else -> EventKind.REQUEST_RETRIED
        }
        val describe = { "attempt ${dispatch.attempt} ${dispatch.reason?.describe().orEmpty()}" }
        if (kind == EventKind.REQUEST_PLACED) keep(kind, describe) else record(kind, detail = describe())
        call = dependencies.call(dispatch.toCall()) { event -> onCallEvent(dispatch, event) }
    }

    private fun Dispatch.toCall(): EndpointCall {
        val left = admitted.deadline - dependencies.clock()
        return EndpointCall(
            address = EndpointAddress(endpoint.host, endpoint.port),
            requestId = context.protocol.externalRequestId(exchange.head, admitted.id),
            method = exchange.head.method,
            target = if (exchange.head.query.isEmpty()) exchange.head.path else "${exchange.head.path}?${exchange.head.query}",
            headers = context.protocol.requestHeaders(
                OutgoingRequest(exchange.head, admitted, this, assembly.lastId, cacheSaltOrNull(), left),
            ),
            body = exchange.body,
            idleTimeout = left.coerceAtLeast(MIN_IDLE_TIMEOUT),
            requiresNewConnection = isFresh || admitted.route.repetition == Repetition.ONCE_ONLY,
            maxContentBytes = null,
            stallTimeout = context.protocol.stallTimeout(admitted, context.wantsStream, left),
            progress = ProgressSource.REPORTED,
            isWanted = { mayStillSend(this) },
        )
    }

    private fun cacheSaltOrNull(): Long? = context.cacheSalt.takeIf { context.isCacheSaltInForce() }

    private fun mayStillSend(dispatch: Dispatch): Boolean {
        val isCurrent = currentDispatch === dispatch
        if (isWanted && isCurrent) return true
        recordUnwanted(dispatch, UnwantedStage.CONNECTING)
        if (isCurrent) endUnsent()
        return false
    }

    /** Ends a run whose deadline passed before the attempt was sent. No event of its call would end it. */
    private fun endUnsent() {
        currentDispatch = null
        call = null
        exchange.after(Duration.ZERO, ::onDeadline)
    }

    private fun onCallEvent(dispatch: Dispatch, event: CallEvent) = exchange.onConnectionThread {
        val held = heldEvents
        if (!hasEnded && currentDispatch === dispatch && held != null) {
            if (event !is CallStalled) heldEvents = held.add(event)
        } else if (!hasEnded && currentDispatch === dispatch) {
            if (event is ResponseStarted) reportLoad(event.head)
            val step = assembly.take(event, dependencies.bufferedBytes.limitOfHolder)
            if (step.assembly.progressCount > assembly.progressCount) call?.recordProgress()
            assembly = step.assembly
            step.effects.forEach { if (currentDispatch === dispatch) perform(it) }
        }
    }

    private fun reportLoad(head: ResponseHead) {
        context.protocol.parseLoadReport(head)?.let { dependencies.sendToRouting(ResponseHeadReceived(admitted.id, it)) }
    }

    private fun perform(effect: AssemblyEffect) {
        when (effect) {
            is ReportFirstToken -> reportFirstToken()
            is SendHead -> exchange.startResponse(effect.head.forCaller(null))
            is SendContent -> exchange.send(effect.bytes)
            is EndStream -> endStream()
            is SendResponse -> sendResponse(effect)
            is FailAttempt -> failAttempt(effect)
            is ReportStall -> reportStall(effect)
        }
    }

    /** Holds what the call sends from now on until routing has decided, so that no event is lost or sent twice at a replacement. */
    private fun reportStall(stall: ReportStall) {
        record(EventKind.ENDPOINT_SILENT, detail = stall.reason)
        heldEvents = persistentListOf()
        val isSent = dependencies.sendToRouting(AttemptStalled(admitted.id, stall.mayRepeat && !isCallerDisconnected, stall.reason))
        if (!isSent) releaseHeldEvents()
    }

    private fun releaseHeldEvents() {
        val held = heldEvents.orEmpty()
        heldEvents = null
        currentDispatch?.let { dispatch -> held.forEach { onCallEvent(dispatch, it) } }
    }

    private fun reportFirstToken() {
        val now = dependencies.clock()
        if (firstToken == null) firstToken = now
        dependencies.sendToRouting(FirstTokenReceived(admitted.id, now - sentAt))
    }

    private fun endStream() {
        exchange.end()
        endCompleted(isFault = false)
    }

    private fun sendResponse(response: SendResponse) {
        if (!isCallerDisconnected) exchange.respond(response.head.forCaller(Outcome.RAN), response.content)
        context.ledgerKey?.let { key -> finishCall(key, response) }
        endCompleted(isFault = response.head.isServerError)
    }

    private fun finishCall(key: LedgerKey, response: SendResponse) {
        val type = response.head.headers.valueOrNull("content-type") ?: "application/octet-stream"
        val isWhole = response.content.size <= MAX_RECORDED_BYTES
        val recorded = RecordedAnswer(response.head.status, type, if (isWhole) response.content else ByteArray(0), isWhole)
        dependencies.requestLedger(FinishCall(key, context.owner, recorded), true) { record(EventKind.ONCE_ONLY_FINISHED, Outcome.RAN) }
    }

    private fun endCompleted(isFault: Boolean) {
        val usage = assembly.usage
        val result = AttemptCompleted(usage?.promptTokens, usage?.cachedTokens, usage?.answerTokens, isFault)
        dependencies.sendToRouting(AttemptEnded(admitted.id, result))
        recordAnswered()
        end(Outcome.RAN)
    }

    /** Records one event for a request that its first attempt answered. Its admission and placement are part of the detail. */
    private fun recordAnswered() {
        val now = dependencies.clock()
        val placed = if (unrecorded.isEmpty()) "" else ", sent after ${(sentAt - admitted.arrived).inWholeMilliseconds} ms"
        unrecorded = unrecorded.clear()
        record(
            EventKind.REQUEST_ANSWERED,
            Outcome.RAN,
            "route ${admitted.route.name}, ${(now - admitted.arrived).inWholeMilliseconds} ms$placed",
        )
    }

    private fun failAttempt(failure: FailAttempt) {
        if (!failure.kind.isNotRun) mayHaveRun = true
        faultResponse = failure.response ?: faultResponse
        call?.cancel()
        call = null
        recordFailure(failure)
        currentDispatch = null
        assembly = assembly.nextAttempt()
        dependencies.sendToRouting(
            AttemptEnded(
                admitted.id,
                AttemptFailed(failure.kind, failure.mayRepeat && !isCallerDisconnected, failure.reason, failure.progress),
            ),
        )
    }

    private fun recordFailure(failure: FailAttempt) = when (failure.kind) {
        AttemptFailureKind.SILENT -> record(EventKind.ENDPOINT_SILENT, detail = failure.reason)
        AttemptFailureKind.WRONG -> record(EventKind.ENDPOINT_CROSSED_ANSWER, detail = failure.reason)
        AttemptFailureKind.BROKEN -> record(EventKind.REQUEST_BROKEN, detail = "BROKEN: ${failure.reason}; ${describeProgress()}")
        else -> record(EventKind.REQUEST_BROKEN, detail = "${failure.kind}: ${failure.reason}")
    }

    /** Describes how far a broken attempt got and what its prompt shares with others, to tell what a crash of an endpoint has in common. */
    private fun describeProgress(): String =
        "${assembly.delivered} events delivered, ${if (assembly.head == null) "no head" else "head"} received " +
            "${(dependencies.clock() - sentAt).inWholeMilliseconds} ms after dispatch, " +
            "shared blocks ${admitted.sharedBlocks.joinToString(" ").ifEmpty { "none" }}"

    private fun refuse(refusal: Refusal) {
        if (assembly.hasStarted) return abortResponse(refusal.message)
        if (context.ledgerKey == null) return sendRefusal(refusal.kind, refusal.message, refusal.outcome, refusal.retryAfter)
        releaseCall { sendRefusal(refusal.kind, refusal.message, refusal.outcome, refusal.retryAfter) }
    }

    /** Releases the call in the ledger before [andThen] responds to the caller, so that an immediate retry finds the call free. */
    private fun releaseCall(andThen: () -> Unit) {
        val key = context.ledgerKey ?: return andThen()
        dependencies.requestLedger(ReleaseCall(key, context.owner), true) {
            exchange.onConnectionThread {
                record(EventKind.ONCE_ONLY_RELEASED, Outcome.NOT_RUN)
                andThen()
            }
        }
    }

    private fun giveUp(reason: String) {
        if (currentDispatch != null) abandonAttempt()
        val outcome = if (mayHaveRun) Outcome.MAY_HAVE_RUN else Outcome.NOT_RUN
        val fault = faultResponse
        when {
            assembly.hasStarted -> abortResponse(reason)
            fault != null -> sendFaultResponse(fault)
            outcome == Outcome.NOT_RUN -> refuse(Refusal(RefusalKind.NO_ENDPOINT, reason))
            else -> loseCall(RefusalKind.ENDPOINT_FAILED, reason)
        }
    }

    /** Cancels an attempt that is still in progress; the endpoint may have run the request. */
    private fun abandonAttempt() {
        mayHaveRun = true
        call?.cancel()
        call = null
        currentDispatch = null
    }

    /** Ends a run whose outcome is unknown. */
    private fun loseCall(kind: RefusalKind, reason: String) {
        context.ledgerKey?.let {
            dependencies.requestLedger(MarkCallLost(it, context.owner), true) { record(EventKind.ONCE_ONLY_UNKNOWN, Outcome.MAY_HAVE_RUN) }
        }
        sendRefusal(kind, reason, Outcome.MAY_HAVE_RUN)
    }

    /** Sends the caller an endpoint's error response, unchanged, since no attempt gave a better one. */
    private fun sendFaultResponse(response: SendResponse) {
        if (!isCallerDisconnected) exchange.respond(response.head.forCaller(Outcome.RAN), response.content)
        context.ledgerKey?.let { key -> finishCall(key, response) }
        record(EventKind.REQUEST_ANSWERED, Outcome.RAN, "the endpoint failed with status ${response.head.status}")
        end(Outcome.RAN)
    }

    /** Ends the run because the process stops. The caller learns whether the request may have run. */
    public fun endAtStop(): Unit = endEarly(RefusalKind.NOT_READY, "this router stopped")

    /** Responds to the caller at the deadline, whatever the endpoint may still send. */
    private fun onDeadline() = endEarly(RefusalKind.DEADLINE, "the deadline passed")

    private fun endEarly(notRun: RefusalKind, reason: String) {
        if (hasEnded || isCancelled) return
        isCancelled = true
        val wasDispatched = currentDispatch != null
        call?.cancel()
        currentDispatch = null
        dependencies.sendToRouting(RequestCancelled(admitted.id))
        mayHaveRun = mayHaveRun || wasDispatched
        when {
            assembly.hasStarted -> abortResponse(reason)
            mayHaveRun -> loseCall(RefusalKind.DEADLINE, reason)
            else -> refuse(Refusal(notRun, reason))
        }
    }

    /** Aborts a streamed response without its last chunk, so that no client takes it for complete. */
    private fun abortResponse(reason: String) {
        exchange.abort()
        record(EventKind.REQUEST_BROKEN, Outcome.MAY_HAVE_RUN, reason)
        end(Outcome.MAY_HAVE_RUN)
    }

    private fun sendRefusal(kind: RefusalKind, message: String, outcome: Outcome, retryAfter: Duration? = null) {
        val response = context.protocol.refusalResponse(Refusal(kind, message, outcome, retryAfter), admitted.id)
        if (!isCallerDisconnected) exchange.respond(response.head, response.content)
        record(EventKind.REQUEST_REFUSED, outcome, "${kind.text}: $message")
        end(outcome)
    }

    /**
     * A once-only call that was sent to an endpoint continues without its caller until its deadline, so that its outcome is known. Streams
     * and all other requests are cancelled.
     */
    private fun onCallerDisconnected() {
        isCallerDisconnected = true
        val continues = admitted.route.repetition == Repetition.ONCE_ONLY && !context.wantsStream && currentDispatch != null
        when {
            hasEnded || isCancelled -> return
            continues -> endAtDeadline(admitted.deadline)
            else -> cancelWithoutCaller()
        }
    }

    private fun endAtDeadline(deadline: Timestamp) {
        cancelTimer()
        cancelTimer = exchange.after(deadline - dependencies.clock(), ::onDeadline)
    }

    private fun cancelWithoutCaller() {
        isCancelled = true
        call?.cancel()
        currentDispatch = null
        dependencies.sendToRouting(RequestCancelled(admitted.id))
        record(EventKind.REQUEST_CANCELLED)
        if (mayHaveRun) end(Outcome.MAY_HAVE_RUN) else releaseCall { end(Outcome.NOT_RUN) }
    }

    private fun end(outcome: Outcome) {
        if (hasEnded) return
        hasEnded = true
        assembly = assembly.nextAttempt()
        faultResponse = null
        cancelTimer()
        dependencies.ended(this, outcome, firstToken)
    }

    private val SendResponse?.length: Long get() = this?.content?.size?.toLong() ?: 0

    /** Runs [action] on the thread of the caller's connection. */
    public fun onThread(action: () -> Unit): Unit = exchange.onConnectionThread(action)

    private fun record(kind: EventKind, outcome: Outcome? = null, detail: String = "") {
        val kept = unrecorded
        unrecorded = kept.clear()
        val now = dependencies.clock()
        kept.forEach { dependencies.record(it.kind, it.subject, "${it.describe()}; ${(now - it.at).inWholeMilliseconds} ms ago") }
        dependencies.record(kind, subject(outcome), detail)
    }

    private fun keep(kind: EventKind, describe: () -> String) {
        unrecorded = unrecorded.add(UnrecordedEvent(kind, subject(null), dependencies.clock(), describe))
    }

    private fun subject(outcome: Outcome?) = EventSubject(
        request = admitted.id.text,
        workspace = admitted.workspace?.text,
        endpoint = currentDispatch?.endpoint?.name?.text,
        weights = currentDispatch?.weights?.text,
        configuration = context.configuration,
        outcome = outcome?.text,
    )

    private fun ResponseHead.forCaller(outcome: Outcome?) = ResponseHead(
        status,
        context.protocol.responseHeaders(this, admitted.id, outcome),
    )

    private fun describeRequest(): String =
        "route ${admitted.route.name}, service ${admitted.service}, rank ${admitted.rank}, " +
            "${admitted.promptTokens} + ${admitted.answerTokens} tokens, " +
            "${(admitted.deadline - admitted.arrived).inWholeMilliseconds} ms left"
}

/** Returns the run of an admitted request; it does nothing before [RequestRun.begin]. */
public fun requestRun(
    admitted: AdmittedRequest,
    context: RequestContext,
    exchange: Exchange,
    dependencies: RequestRunDependencies,
): RequestRun =
    RequestRun(admitted, context, exchange, dependencies)
