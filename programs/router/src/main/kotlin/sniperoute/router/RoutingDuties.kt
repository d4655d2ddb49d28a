/**
 * The routing duty: owns the routing state, and passes its effects to the runs and to the session with the control replicas.
 */
package sniperoute.router

import sniperoute.process.clock.Clock
import sniperoute.process.duty.Duty
import sniperoute.process.duty.OnDutyFailure
import sniperoute.process.duty.startStateDuty
import sniperoute.process.ring.Ring
import sniperoute.request.ledger.message.CrashNotice
import sniperoute.request.ledger.message.LedgerRequest
import sniperoute.request.routing.decision.PlacementPolicy
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

/** Where the effects of the routing duty go. */
internal class RoutingEffectHandlers(
    val runs: RunRegistry,
    val session: Ring<SessionInput>,
    val requestLedger: (LedgerRequest) -> Unit,
    val published: AtomicReference<RoutingState>,
)

/** Returns the running duty. */
internal fun startRoutingDuty(
    inbox: Ring<RoutingInput>,
    place: PlacementPolicy,
    initial: RoutingState,
    outlets: RoutingEffectHandlers,
    clock: Clock,
    onFailure: OnDutyFailure,
): Duty = startStateDuty(inbox, TICK, clock, onFailure, initial) { state, now, input ->
    val step = state.step(place, now, input)
    outlets.published.set(step.state)
    step.effects.forEach(outlets::perform)
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

private fun RoutingEffectHandlers.perform(effect: RoutingEffect) {
    when (effect) {
        is Dispatch -> tell(effect.id, effect)
        is Refuse -> tell(effect.id, effect)
        is GiveUp -> tell(effect.id, effect)
        is RequestTokens -> session.offer(RoutingSaid(TokenRequest(effect.workspace, effect.tokens)))
        is ReturnTokens -> session.offer(RoutingSaid(TokenReturn(effect.workspace, effect.tokens)))
        is ReportWorkload -> session.offer(RoutingSaid(effect.report))
        is ReportCrash -> requestLedger(CrashNotice(effect.endpoint, effect.incarnation, effect.digests))
    }
}

private fun RoutingEffectHandlers.tell(id: RequestId, effect: RoutingEffect) {
    val run = runs[id] ?: return
    run.onThread { run.perform(effect) }
}
