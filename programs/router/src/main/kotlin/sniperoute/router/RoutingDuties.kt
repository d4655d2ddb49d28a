/**
 * The routing duty: owns the routing state, and performs its effects on request runs and the session with the control replicas.
 */
package sniperoute.router

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import sniperoute.process.clock.Clock
import sniperoute.process.duty.Duty
import sniperoute.process.duty.OnDutyFailure
import sniperoute.process.duty.TakenItem
import sniperoute.process.duty.WorkOrder
import sniperoute.process.duty.startOrderedStateDuty
import sniperoute.process.ring.Ring
import sniperoute.request.ledger.message.CrashNotice
import sniperoute.request.ledger.message.InterruptionNotice
import sniperoute.request.ledger.message.LedgerRequest
import sniperoute.request.ledger.message.ServedBlocksNotice
import sniperoute.request.routing.decision.PlacementPolicy
import sniperoute.request.routing.decision.RoutingBacklog
import sniperoute.request.routing.decision.RoutingState
import sniperoute.request.routing.decision.add
import sniperoute.request.routing.decision.dueOrNull
import sniperoute.request.routing.decision.step
import sniperoute.request.routing.message.*
import sniperoute.request.run.RequestRun
import sniperoute.router.message.DoubtsChanged
import sniperoute.router.message.EvidenceChanged
import sniperoute.router.message.RoutingMessageSent
import sniperoute.router.message.SessionInput
import sniperoute.version.decision.EvidenceTable
import sniperoute.version.decision.isRunning
import sniperoute.version.decision.toReport
import sniperoute.version.message.TokenRequest
import sniperoute.version.message.TokenReturn
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration.Companion.milliseconds

private val TICK = 50.milliseconds

/** The open request runs, by request. */
internal typealias RunRegistry = ConcurrentHashMap<RequestId, RequestRun>

/** The rings and functions that the effects of the routing duty go to. */
internal class RoutingEffectHandlers(
    val runs: RunRegistry,
    val session: Ring<SessionInput>,
    val requestLedger: (LedgerRequest) -> Unit,
    val latestState: AtomicReference<RoutingState>,
    val lateness: RouterLateness,
)

/** Returns the running duty. */
internal fun startRoutingDuty(
    inbox: Ring<RoutingInput>,
    policy: PlacementPolicy,
    initial: RoutingState,
    handlers: RoutingEffectHandlers,
    clock: Clock,
    onFailure: OnDutyFailure,
): Duty = startOrderedStateDuty(inbox, handlers.lateness.workOrder(), TICK, clock, onFailure, initial) { state, now, input ->
    val step = state.step(policy, now, input)
    handlers.latestState.set(step.state)
    if (input is RequestAdmitted) handlers.lateness.onTaken()
    step.effects.forEach(handlers::perform)
    if (step.state.evidence !== state.evidence) handlers.session.offer(EvidenceChanged(step.state.evidenceOfMoves().toReport()))
    step.state
}

private fun RouterLateness.workOrder() = WorkOrder<RoutingBacklog, RoutingInput>(
    empty = RoutingBacklog(),
    add = RoutingBacklog::add,
    takeOrNull = { backlog ->
        backlog.dueOrNull()?.let { due ->
            if (due.input == null) onDropped()
            TakenItem(due.input, due.rest)
        }
    },
    sizeOf = RoutingBacklog::size,
)

/**
 * Sends [input] to the routing duty and returns whether it will arrive. A new request that finds the ring full is refused. Whatever else
 * happens to a request waits for room: routing would count the request as in flight for good without it.
 */
public fun Ring<RoutingInput>.send(input: RoutingInput): Boolean {
    if (input is RequestAdmitted) return offer(input)
    put(input)
    return true
}

/** Returns the evidence about services that are being moved; that about the others isn't reported, to keep renewals small. */
private fun RoutingState.evidenceOfMoves(): EvidenceTable {
    val moving = view.catalogue.moves.values
        .filter { it.isRunning }
        .map { it.service }
        .toSet()
    return evidence.keys.filter { it.service !in moving }.fold(evidence) { table, key -> table.remove(key) }
}

private fun RoutingEffectHandlers.perform(effect: RoutingEffect) {
    when (effect) {
        is Dispatch -> performAtRun(effect.id, effect)
        is Refuse -> performAtRun(effect.id, effect)
        is KeepAttempt -> performAtRun(effect.id, effect)
        is GiveUp -> performAtRun(effect.id, effect)
        is RequestTokens -> session.offer(RoutingMessageSent(TokenRequest(effect.workspace, effect.tokens)))
        is ReturnTokens -> session.offer(RoutingMessageSent(TokenReturn(effect.workspace, effect.tokens)))
        is ReportDoubts -> session.offer(DoubtsChanged(effect.doubts))
        is ReportRequestLimits -> session.offer(RoutingMessageSent(effect.report))
        is ReportWorkload -> session.offer(RoutingMessageSent(effect.report))
        is QuarantineReport -> requestLedger(effect.toNotice())
    }
}

/** Returns the message by which the control replicas learn of this report. */
internal fun QuarantineReport.toNotice(): LedgerRequest = when (this) {
    is ReportCrash -> CrashNotice(endpoint, incarnation, digests)
    is ReportEndpointGone -> CrashNotice(endpoint, incarnation, persistentListOf())
    is ReportInterruption -> InterruptionNotice(endpoint, incarnation, blocks.toPersistentList(), hasBegun)
    is ReportServedBlocks -> ServedBlocksNotice(blocks.toPersistentList())
}

private fun RoutingEffectHandlers.performAtRun(id: RequestId, effect: RoutingEffect) {
    val run = runs[id] ?: return
    val emitted = lateness.now()
    run.onThread {
        lateness.onHandedOver(emitted)
        run.perform(effect, emitted)
    }
}
