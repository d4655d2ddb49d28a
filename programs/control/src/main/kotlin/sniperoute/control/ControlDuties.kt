/**
 * The control duty: owns its state, and performs the effects of its step.
 */
package sniperoute.control

import kotlinx.collections.immutable.persistentListOf
import sniperoute.connection.endpoint.collectResponse
import sniperoute.connection.endpoint.message.EndpointAddress
import sniperoute.connection.endpoint.message.EndpointCall
import sniperoute.connection.endpoint.message.OnCallEvent
import sniperoute.connection.http.Header
import sniperoute.connection.http.HttpStatus
import sniperoute.control.codec.encode
import sniperoute.control.codec.orderBody
import sniperoute.control.codec.weightsIn
import sniperoute.control.decision.AgreementStatus
import sniperoute.control.decision.ControlDutyState
import sniperoute.control.decision.step
import sniperoute.control.message.*
import sniperoute.process.agreement.decision.AgreementInput
import sniperoute.process.agreement.decision.Propose
import sniperoute.process.agreement.decision.SnapshotTaken
import sniperoute.process.clock.Clock
import sniperoute.process.duty.Duty
import sniperoute.process.duty.OnDutyFailure
import sniperoute.process.duty.startStateDuty
import sniperoute.process.ring.Ring
import sniperoute.process.timeline.EventRecorder
import sniperoute.process.timeline.message.EventKind
import sniperoute.process.timeline.message.EventSubject
import sniperoute.version.decision.LoadCommandOutcome
import sniperoute.version.decision.ReadEndpoint
import sniperoute.version.decision.SendLoadCommand
import sniperoute.version.message.STORE_UNREACHABLE
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration.Companion.milliseconds

private val TICK = 50.milliseconds
private val ENDPOINT_PATIENCE = 2_000.milliseconds
private const val WEIGHTS_PAGE = "/weights"

/** Is told what became of an operator's command. */
public typealias OnCommandResult = (SendOperatorReply) -> Unit

/** The control duty as the rest of the process sees it. */
public class ControlDuty internal constructor(
    private val inbox: Ring<ControlInput>,
    public val status: AtomicReference<AgreementStatus>,
    public val latestState: AtomicReference<ControlDutyState>,
) {
    private val waiting = ConcurrentHashMap<OperatorRequestId, OnCommandResult>()
    internal var duty: Duty? = null
    private val lastWait = AtomicLong()

    /** Hands [command] on; [onResult] is told once, unless the process is too busy to take it, which `false` says. */
    public fun submit(command: Command, onResult: OnCommandResult): Boolean {
        val wait = OperatorRequestId(lastWait.incrementAndGet())
        waiting[wait] = onResult
        val taken = inbox.offer(OperatorCommanded(wait, command))
        if (!taken) waiting.remove(wait)
        return taken
    }

    internal fun answer(effect: SendOperatorReply) {
        waiting.remove(effect.wait)?.invoke(effect)
    }
}

/** Returns the running duty. */
@Suppress("LongParameterList")
internal fun startControlDuty(
    inbox: Ring<ControlInput>,
    agreement: Ring<AgreementInput>,
    initial: ControlDutyState,
    status: AtomicReference<AgreementStatus>,
    links: ControlLinks,
    endpoints: EndpointGateway,
    recorder: EventRecorder,
    clock: Clock,
    onFailure: OnDutyFailure,
): ControlDuty {
    val duty = ControlDuty(inbox, status, AtomicReference(initial))
    val outlets = ControlEffectHandlers(duty, inbox, agreement, links, endpoints, recorder)
    duty.duty = startStateDuty(inbox, TICK, clock, onFailure, initial) { state, now, input ->
        val step = state.step(status.get(), now, input)
        duty.latestState.set(step.state)
        step.effects.forEach(outlets::perform)
        step.state
    }
    return duty
}

private class ControlEffectHandlers(
    private val duty: ControlDuty,
    private val inbox: Ring<ControlInput>,
    private val agreement: Ring<AgreementInput>,
    private val links: ControlLinks,
    private val endpoints: EndpointGateway,
    private val recorder: EventRecorder,
) {
    fun perform(effect: ControlEffect) {
        when (effect) {
            is ProposeCommand -> propose(effect)
            is SendSessionReply -> links.reply(effect.to, effect.message)
            is SendLedgerReply -> links.reply(effect.to, effect.reply)
            is NotifyRouters -> effect.links.forEach { links.reply(ReplyAddress(it, 0), effect.message) }
            is SendOperatorReply -> duty.answer(effect)
            is ReadWeights -> read(effect)
            is LoadWeights -> load(effect)
            is KeepSnapshot -> keep(effect)
            is ReadList -> endpoints.list { listed -> inbox.offer(EndpointsListed(listed)) }
            is AskEndpoint -> ask(effect)
            is ReadStore -> endpoints.readStore(effect.place) { run -> inbox.offer(StoreSeen(effect.service, run ?: STORE_UNREACHABLE)) }
            is NoteEvent -> recorder.record(effect.kind, effect.subject, effect.detail)
        }
    }

    /** A proposal that finds the ring full is refused, as one that finds no leader; blocking here could block the agreement. */
    private fun propose(effect: ProposeCommand) {
        if (!agreement.offer(Propose(effect.proposal, effect.command.encode()))) inbox.offer(ProposalRejected(effect.proposal, null))
    }

    private fun keep(effect: KeepSnapshot) {
        val state = effect.replicatedState.encode()
        agreement.offer(SnapshotTaken(effect.index, state))
        recorder.record(EventKind.SNAPSHOT_WRITTEN, detail = "at entry ${effect.index}, ${state.size} bytes")
    }

    private fun ask(effect: AskEndpoint) {
        val name = effect.action.listed.endpoint.name
        when (val action = effect.action) {
            is ReadEndpoint -> endpoints.read(action.listed) { report -> inbox.offer(EndpointRead(name, report)) }
            is SendLoadCommand -> {
                val subject = EventSubject(endpoint = name.text, weights = "${action.model} ${action.number}")
                recorder.record(EventKind.LOAD_ORDERED, subject, "fence ${effect.fence}, after ${action.count} orders")
                endpoints.order(action, effect.fence) { outcome, reason ->
                    if (outcome != LoadCommandOutcome.TAKEN) {
                        recorder.record(EventKind.LOAD_ORDER_REFUSED, subject, "fence ${effect.fence}: $outcome, $reason")
                    }
                    inbox.offer(LoadCommandEnded(name, action.number, outcome))
                }
            }
        }
    }

    private fun read(effect: ReadWeights) {
        val request = endpointCall(effect.host, effect.port, "GET", ByteArray(0))
        endpoints.call(request, collect { body -> inbox.offer(WeightsRead(effect.endpoint, body?.let(::weightsIn))) })
    }

    private fun load(effect: LoadWeights) {
        val subject = EventSubject(endpoint = effect.endpoint.text, weights = effect.weights.text)
        recorder.record(EventKind.LOAD_ORDERED, subject, "fence ${effect.fence}")
        val request = endpointCall(effect.host, effect.port, "POST", orderBody(effect.weights, effect.fence))
        endpoints.call(
            request,
            collect { body ->
                if (body == null) {
                    recorder.record(EventKind.LOAD_ORDER_REFUSED, subject, "fence ${effect.fence}")
                } else {
                    inbox.offer(WeightsRead(effect.endpoint, weightsIn(body)))
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
    idleTimeout = ENDPOINT_PATIENCE,
    requiresNewConnection = true,
)

/** Hands on the content of a good answer, or `null` when there is none. */
private fun collect(onBody: (ByteArray?) -> Unit): OnCallEvent = collectResponse { answer ->
    onBody(answer.getOrNull()?.takeIf { it.head.status == HttpStatus.OK }?.content)
}
