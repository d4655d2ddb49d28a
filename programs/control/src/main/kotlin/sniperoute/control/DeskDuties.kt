/**
 * The duty of the control desk: owns its state, and carries out the orders of its step.
 */
package sniperoute.control

import kotlinx.collections.immutable.persistentListOf
import sniperoute.connection.endpoint.collecting
import sniperoute.connection.endpoint.message.EndpointAddress
import sniperoute.connection.endpoint.message.EndpointCall
import sniperoute.connection.endpoint.message.OnCallEvent
import sniperoute.connection.http.Header
import sniperoute.connection.http.HttpStatus
import sniperoute.control.codec.encode
import sniperoute.control.codec.orderBody
import sniperoute.control.codec.weightsIn
import sniperoute.control.decision.AgreementStatus
import sniperoute.control.decision.DeskState
import sniperoute.control.decision.step
import sniperoute.control.message.*
import sniperoute.process.agreement.decision.AgreementInput
import sniperoute.process.agreement.decision.Propose
import sniperoute.process.agreement.decision.SnapshotTaken
import sniperoute.process.clock.Clock
import sniperoute.process.duty.Duty
import sniperoute.process.duty.DutyFailure
import sniperoute.process.duty.startStateDuty
import sniperoute.process.ring.Ring
import sniperoute.process.timeline.Recorder
import sniperoute.process.timeline.message.EventKind
import sniperoute.process.timeline.message.EventSubject
import sniperoute.version.decision.OrderEndpoint
import sniperoute.version.decision.OrderOutcome
import sniperoute.version.decision.ReadEndpoint
import sniperoute.version.message.STORE_IS_DOWN
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration.Companion.milliseconds

private val TICK = 50.milliseconds
private val ENDPOINT_PATIENCE = 2_000.milliseconds
private const val WEIGHTS_PAGE = "/weights"

/** Is told what became of an operator's command. */
public typealias OnCommandResult = (AnswerOperator) -> Unit

/** The control desk as the rest of the process sees it. */
public class DeskDuty internal constructor(
    private val inbox: Ring<DeskInput>,
    public val status: AtomicReference<AgreementStatus>,
    public val published: AtomicReference<DeskState>,
) {
    private val waiting = ConcurrentHashMap<OperatorWait, OnCommandResult>()
    internal var duty: Duty? = null
    private val lastWait = AtomicLong()

    /** Hands [command] on; [onResult] is told once, unless the process is too busy to take it, which `false` says. */
    public fun command(command: Command, onResult: OnCommandResult): Boolean {
        val wait = OperatorWait(lastWait.incrementAndGet())
        waiting[wait] = onResult
        val taken = inbox.offer(OperatorCommanded(wait, command))
        if (!taken) waiting.remove(wait)
        return taken
    }

    internal fun answer(order: AnswerOperator) {
        waiting.remove(order.wait)?.invoke(order)
    }
}

/** Returns the running desk. */
@Suppress("LongParameterList")
internal fun startDeskDuty(
    inbox: Ring<DeskInput>,
    agreement: Ring<AgreementInput>,
    initial: DeskState,
    status: AtomicReference<AgreementStatus>,
    links: ControlLinks,
    endpoints: EndpointOffice,
    recorder: Recorder,
    clock: Clock,
    onFailure: DutyFailure,
): DeskDuty {
    val duty = DeskDuty(inbox, status, AtomicReference(initial))
    val outlets = DeskOutlets(duty, inbox, agreement, links, endpoints, recorder)
    duty.duty = startStateDuty(inbox, TICK, clock, onFailure, initial) { state, now, input ->
        val step = state.step(status.get(), now, input)
        duty.published.set(step.state)
        step.orders.forEach(outlets::carryOut)
        step.state
    }
    return duty
}

private class DeskOutlets(
    private val duty: DeskDuty,
    private val inbox: Ring<DeskInput>,
    private val agreement: Ring<AgreementInput>,
    private val links: ControlLinks,
    private val endpoints: EndpointOffice,
    private val recorder: Recorder,
) {
    fun carryOut(order: DeskOrder) {
        when (order) {
            is ProposeCommand -> propose(order)
            is ReplySession -> links.reply(order.to, order.message)
            is ReplyLedger -> links.reply(order.to, order.reply)
            is NotifyRouters -> order.links.forEach { links.reply(ReplyAddress(it, 0), order.message) }
            is AnswerOperator -> duty.answer(order)
            is ReadWeights -> read(order)
            is OrderWeights -> order(order)
            is KeepSnapshot -> keep(order)
            is ReadList -> endpoints.list { listed -> inbox.offer(EndpointsListed(listed)) }
            is AskEndpoint -> ask(order)
            is ReadStore -> endpoints.readStore(order.place) { run -> inbox.offer(StoreSeen(order.service, run ?: STORE_IS_DOWN)) }
            is NoteEvent -> recorder.record(order.kind, order.subject, order.detail)
        }
    }

    /** A proposal that finds the ring full is refused, as one that finds no leader; blocking here could block the agreement. */
    private fun propose(order: ProposeCommand) {
        if (!agreement.offer(Propose(order.proposal, order.command.encode()))) inbox.offer(ProposalRefused(order.proposal, null))
    }

    private fun keep(order: KeepSnapshot) {
        val state = order.machine.encode()
        agreement.offer(SnapshotTaken(order.index, state))
        recorder.record(EventKind.SNAPSHOT_WRITTEN, detail = "at entry ${order.index}, ${state.size} bytes")
    }

    private fun ask(order: AskEndpoint) {
        val name = order.action.listed.endpoint.name
        when (val action = order.action) {
            is ReadEndpoint -> endpoints.read(action.listed) { report -> inbox.offer(EndpointRead(name, report)) }
            is OrderEndpoint -> {
                val subject = EventSubject(endpoint = name.text, weights = "${action.model} ${action.number}")
                recorder.record(EventKind.LOAD_ORDERED, subject, "fence ${order.fence}, after ${action.count} orders")
                endpoints.order(action, order.fence) { outcome, grounds ->
                    if (outcome != OrderOutcome.TAKEN) {
                        recorder.record(EventKind.LOAD_ORDER_REFUSED, subject, "fence ${order.fence}: $outcome, $grounds")
                    }
                    inbox.offer(EndpointOrdered(name, action.number, outcome))
                }
            }
        }
    }

    private fun read(order: ReadWeights) {
        val request = endpointCall(order.host, order.port, "GET", ByteArray(0))
        endpoints.call(request, collect { body -> inbox.offer(WeightsRead(order.endpoint, body?.let(::weightsIn))) })
    }

    private fun order(order: OrderWeights) {
        val subject = EventSubject(endpoint = order.endpoint.text, weights = order.weights.text)
        recorder.record(EventKind.LOAD_ORDERED, subject, "fence ${order.fence}")
        val request = endpointCall(order.host, order.port, "POST", orderBody(order.weights, order.fence))
        endpoints.call(
            request,
            collect { body ->
                if (body == null) {
                    recorder.record(EventKind.LOAD_ORDER_REFUSED, subject, "fence ${order.fence}")
                } else {
                    inbox.offer(WeightsRead(order.endpoint, weightsIn(body)))
                }
            },
        )
    }
}

private fun endpointCall(host: String, port: Int, method: String, body: ByteArray) = EndpointCall(
    address = EndpointAddress(host, port),
    requestId = "control",
    method = method,
    target = WEIGHTS_PAGE,
    headers = persistentListOf(Header("content-type", "application/json")),
    body = body,
    gap = ENDPOINT_PATIENCE,
    fresh = true,
)

/** Hands on the content of a good answer, or `null` when there is none. */
private fun collect(onBody: (ByteArray?) -> Unit): OnCallEvent = collecting { answer ->
    onBody(answer.getOrNull()?.takeIf { it.head.status == HttpStatus.OK }?.content)
}
