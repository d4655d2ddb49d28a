/**
 * The routing duty: owns the routing state, and hands its orders to the runs and to the session with the control replicas.
 */
package sniperoute.router

import sniperoute.process.clock.Clock
import sniperoute.process.duty.Duty
import sniperoute.process.duty.DutyFailure
import sniperoute.process.duty.startStateDuty
import sniperoute.process.ring.Ring
import sniperoute.request.ledger.message.DeathNotice
import sniperoute.request.ledger.message.LedgerRequest
import sniperoute.request.routing.decision.PlaceRequest
import sniperoute.request.routing.decision.RoutingState
import sniperoute.request.routing.decision.step
import sniperoute.request.routing.message.*
import sniperoute.request.run.RequestRun
import sniperoute.router.message.EvidenceChanged
import sniperoute.router.message.RoutingSaid
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

/** The runs under way, by request. */
internal typealias RunRegistry = ConcurrentHashMap<RequestId, RequestRun>

/** Where the routing duty's orders go. */
internal class RoutingOutlets(
    val runs: RunRegistry,
    val session: Ring<SessionInput>,
    val askLedger: (LedgerRequest) -> Unit,
    val published: AtomicReference<RoutingState>,
)

/** Returns the running duty. */
internal fun startRoutingDuty(
    inbox: Ring<RoutingInput>,
    place: PlaceRequest,
    initial: RoutingState,
    outlets: RoutingOutlets,
    clock: Clock,
    onFailure: DutyFailure,
): Duty = startStateDuty(inbox, TICK, clock, onFailure, initial) { state, now, input ->
    val step = state.step(place, now, input)
    outlets.published.set(step.state)
    step.orders.forEach(outlets::carryOut)
    if (step.state.evidence !== state.evidence) outlets.session.offer(EvidenceChanged(step.state.wantedEvidence().toReport()))
    step.state
}

/** Only services that are being moved have their evidence reported, so that a session costs nothing for the others. */
private fun RoutingState.wantedEvidence(): EvidenceTable {
    val moving = view.catalogue.moves.values
        .filter { it.isRunning }
        .map { it.service }
        .toSet()
    return evidence.keys.filter { it.service !in moving }.fold(evidence) { table, key -> table.remove(key) }
}

private fun RoutingOutlets.carryOut(order: RoutingOrder) {
    when (order) {
        is Dispatch -> tell(order.id, order)
        is Refuse -> tell(order.id, order)
        is GiveUp -> tell(order.id, order)
        is AskTokens -> session.offer(RoutingSaid(TokenRequest(order.workspace, order.tokens)))
        is GiveBackTokens -> session.offer(RoutingSaid(TokenReturn(order.workspace, order.tokens)))
        is TellWork -> session.offer(RoutingSaid(order.note))
        is ReportDeath -> askLedger(DeathNotice(order.endpoint, order.incarnation, order.digests))
    }
}

private fun RoutingOutlets.tell(id: RequestId, order: RoutingOrder) {
    val run = runs[id] ?: return
    run.onThread { run.onOrder(order) }
}
