/**
 * The control duty: owns the state of the control replica, and performs the effects of its steps.
 */
package sniperoute.control

import kotlinx.collections.immutable.persistentListOf
import sniperoute.connection.endpoint.collectResponse
import sniperoute.connection.endpoint.message.EndpointAddress
import sniperoute.connection.endpoint.message.EndpointCall
import sniperoute.connection.endpoint.message.OnCallEvent
import sniperoute.connection.http.Header
import sniperoute.connection.http.HttpStatus
import sniperoute.control.codec.decode
import sniperoute.control.codec.encode
import sniperoute.control.codec.loadCommandBody
import sniperoute.control.codec.weightsOrNull
import sniperoute.control.decision.AgreementStatus
import sniperoute.control.decision.ControlDutyState
import sniperoute.control.decision.maySendLoadCommand
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
private val ENDPOINT_CALL_TIMEOUT = 2_000.milliseconds
private const val WEIGHTS_PAGE = "/weights"

/** Receives the result of an operator's command. */
public typealias OnCommandResult = (SendOperatorReply) -> Unit

/** The control duty as the rest of the process sees it: the agreement's [status], and the last state that the duty published. */
public class ControlDuty internal constructor(
    private val inbox: Ring<QueuedControlInput>,
    public val status: AtomicReference<AgreementStatus>,
    public val latestState: AtomicReference<ControlDutyState>,
) {
    private val openRequests = ConcurrentHashMap<OperatorRequestId, OnCommandResult>()
    internal var duty: Duty? = null
    private val lastRequestId = AtomicLong()

    /**
     * Sends [command] to the duty; [onResult] is called once. Returns `false`, without a call of [onResult], when the duty's ring is
     * full.
     */
    public fun submit(command: Command, onResult: OnCommandResult): Boolean {
        val requestId = OperatorRequestId(lastRequestId.incrementAndGet())
        openRequests[requestId] = onResult
        val isAccepted = inbox.offer(OperatorCommandReceived(requestId, command))
        if (!isAccepted) openRequests.remove(requestId)
        return isAccepted
    }

    internal fun complete(reply: SendOperatorReply) {
        openRequests.remove(reply.requestId)?.invoke(reply)
    }
}

/** Returns the running control duty. */
@Suppress("LongParameterList")
internal fun startControlDuty(
    inbox: Ring<QueuedControlInput>,
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
    val handlers = ControlEffectHandlers(duty, inbox, agreement, links, endpoints, recorder, clock)
    duty.duty = startStateDuty(inbox, TICK, clock, onFailure, initial) { state, now, input ->
        val inputs = input?.decode() ?: sequenceOf<ControlInput?>(null)
        inputs.fold(state) { current, decoded ->
            val step = current.step(status.get(), now, decoded)
            duty.latestState.set(step.state)
            step.effects.forEach(handlers::perform)
            step.state
        }
    }
    return duty
}

private class ControlEffectHandlers(
    private val duty: ControlDuty,
    private val inbox: Ring<QueuedControlInput>,
    private val agreement: Ring<AgreementInput>,
    private val links: ControlLinks,
    private val endpoints: EndpointGateway,
    private val recorder: EventRecorder,
    private val clock: Clock,
) {
    fun perform(effect: ControlEffect) {
        when (effect) {
            is ProposeCommand -> propose(effect)
            is SendSessionReply -> links.reply(effect.to, effect.message)
            is SendLedgerReply -> links.reply(effect.to, effect.reply)
            is NotifyRouters -> links.notify(effect.links, effect.message)
            is SendOperatorReply -> duty.complete(effect)
            is ReadWeights -> readWeights(effect)
            is LoadWeights -> loadWeights(effect)
            is StoreSnapshot -> storeSnapshot(effect)
            is ReadPlatformList -> endpoints.list { listed -> inbox.offer(PlatformListRead(listed)) }
            is CheckEndpoint -> endpoints.read(effect.listed) { report ->
                inbox.offer(EndpointChecked(effect.listed.endpoint.name, effect.startedAt, report?.incarnation))
            }
            is PerformLoadEffect -> performLoadEffect(effect)
            is CheckStore -> endpoints.readStore(
                effect.address,
            ) { incarnation ->
                inbox.offer(StoreChecked(effect.service, incarnation ?: STORE_UNREACHABLE))
            }
            is RecordTimelineEvent -> recorder.record(effect.kind, effect.subject, effect.detail)
        }
    }

    /**
     * Offers a proposal to the agreement; one that finds the ring full is rejected, as without a leader. Blocking here could deadlock
     * with the agreement duty, which blocks when the control duty's ring is full.
     */
    private fun propose(effect: ProposeCommand) {
        if (!agreement.offer(Propose(effect.proposal, effect.command.encode()))) inbox.offer(ProposalRejected(effect.proposal, null))
    }

    private fun storeSnapshot(effect: StoreSnapshot) {
        val state = effect.replicatedState.encode()
        agreement.offer(SnapshotTaken(effect.index, state))
        recorder.record(EventKind.SNAPSHOT_WRITTEN, detail = "at entry ${effect.index}, ${state.size} bytes")
    }

    private fun performLoadEffect(effect: PerformLoadEffect) {
        val name = effect.load.listed.endpoint.name
        when (val load = effect.load) {
            is ReadEndpoint -> endpoints.read(load.listed) { report -> inbox.offer(EndpointReportRead(name, report)) }
            is SendLoadCommand -> {
                val subject = EventSubject(endpoint = name.text, weights = "${load.model} ${load.number}")
                recorder.record(EventKind.LOAD_ORDERED, subject, "fence ${effect.fence}, after ${load.count} load commands")
                endpoints.sendLoadCommand(load, effect.fence, { mayLeave(effect.fence) }) { outcome, reason ->
                    if (outcome != LoadCommandOutcome.TAKEN) {
                        recorder.record(EventKind.LOAD_ORDER_REFUSED, subject, "fence ${effect.fence}: $outcome, $reason")
                    }
                    inbox.offer(LoadCommandEnded(name, load.number, outcome))
                }
            }
        }
    }

    /** Asked right before a command's first byte is written, since it may have waited for its connection. */
    private fun mayLeave(term: Long): Boolean = duty.status.get().maySendLoadCommand(term, clock())

    private fun readWeights(effect: ReadWeights) {
        val request = weightsCall(effect.host, effect.port, "GET", ByteArray(0))
        endpoints.call(request, collectContent { body -> inbox.offer(WeightsRead(effect.endpoint, body?.let(::weightsOrNull))) })
    }

    private fun loadWeights(effect: LoadWeights) {
        val subject = EventSubject(endpoint = effect.endpoint.text, weights = effect.weights.text)
        recorder.record(EventKind.LOAD_ORDERED, subject, "fence ${effect.fence}")
        val term = duty.latestState
            .get()
            .leaderState
            ?.term ?: return
        val body = loadCommandBody(effect.weights, effect.fence)
        val request = weightsCall(effect.host, effect.port, "POST", body) { mayLeave(term) }
        endpoints.call(
            request,
            collectContent { body ->
                if (body == null) {
                    recorder.record(EventKind.LOAD_ORDER_REFUSED, subject, "fence ${effect.fence}")
                } else {
                    inbox.offer(WeightsRead(effect.endpoint, weightsOrNull(body)))
                }
            },
        )
    }
}

private fun weightsCall(host: String, port: Int, method: String, body: ByteArray, isWanted: () -> Boolean = { true }) = EndpointCall(
    address = EndpointAddress(host, port),
    requestId = "control",
    method = method,
    target = WEIGHTS_PAGE,
    headers = persistentListOf(Header("content-type", "application/json")),
    body = body,
    idleTimeout = ENDPOINT_CALL_TIMEOUT,
    requiresNewConnection = true,
    isWanted = isWanted,
)

/** Calls [onBody] once with the content of a response of status 200, or with `null` for any other end of the call. */
private fun collectContent(onBody: (ByteArray?) -> Unit): OnCallEvent = collectResponse { response ->
    onBody(response.getOrNull()?.takeIf { it.head.status == HttpStatus.OK }?.content)
}
