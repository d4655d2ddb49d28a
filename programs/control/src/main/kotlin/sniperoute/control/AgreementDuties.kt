/**
 * The agreement duty: owns the state of the agreement, and performs the effects of its steps.
 */
package sniperoute.control

import sniperoute.control.decision.AgreementStatus
import sniperoute.control.message.EncodedEntries
import sniperoute.control.message.EncodedSnapshot
import sniperoute.control.message.ProposalRejected
import sniperoute.control.message.QueuedControlInput
import sniperoute.process.agreement.decision.*
import sniperoute.process.agreement.message.AgreementMessage
import sniperoute.process.agreement.message.Membership
import sniperoute.process.agreement.message.ReplicaIdentity
import sniperoute.process.clock.Clock
import sniperoute.process.clock.Timestamp
import sniperoute.process.duty.Duty
import sniperoute.process.duty.OnDutyFailure
import sniperoute.process.duty.startStateDuty
import sniperoute.process.identity.VmName
import sniperoute.process.ring.Ring
import sniperoute.process.timeline.EventRecorder
import sniperoute.process.timeline.message.EventKind
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration.Companion.milliseconds

private val TICK = 20.milliseconds

/** The rings and functions that the effects of the agreement go to. */
internal class AgreementEffectHandlers(
    val storage: Ring<AgreementEffect>,
    val control: Ring<QueuedControlInput>,
    val send: (ReplicaIdentity, AgreementMessage) -> Unit,
    val broadcast: (AgreementMessage) -> Unit,
    val onMembersChanged: (List<VmName>) -> Unit,
    val addKnownMembers: (List<VmName>) -> Unit,
    val status: AtomicReference<AgreementStatus>,
    val recorder: EventRecorder,
) {
    /** Whether the redundancy was last known to be reduced. Confined to the agreement duty. */
    var wasReduced: Boolean = false
}

/** Returns the duty that owns [initial]. */
internal fun startAgreementDuty(
    inbox: Ring<AgreementInput>,
    initial: AgreementState,
    handlers: AgreementEffectHandlers,
    clock: Clock,
    onFailure: OnDutyFailure,
): Duty = startStateDuty(inbox, TICK, clock, onFailure, initial) { state, now, input ->
    val transition = state.step(now, input ?: Tick)
    handlers.status.set(transition.state.toStatus(now))
    transition.effects.forEach { handlers.perform(it) }
    handlers.recordRedundancy(transition.state, now)
    if (transition.state.log.membership != state.log.membership) {
        handlers.onMembersChanged(
            transition.state.log.membership.members
                .map { it.vm },
        )
    }
    transition.state
}

/** Returns the status that this state has at [now]. */
internal fun AgreementState.toStatus(now: Timestamp): AgreementStatus = AgreementStatus(
    self = self.vm,
    term = term,
    isLeader = role is Leader,
    leader = leaderOrNull?.vm,
    leaseEnd = leaseEndOrNull(now),
    commitIndex = commitIndex,
    membership = log.membership,
    redundancy = redundancy(now),
    maximumElectionTimeout = settings.maximumElectionTimeout,
    firstIndex = (role as? Leader)?.firstIndex ?: 0,
)

private fun AgreementEffectHandlers.perform(effect: AgreementEffect): Unit = when (effect) {
    is Persist, is PersistSnapshot, is SendMessageAfterSync -> storage.put(effect)
    is SendMessage -> send(effect.to, effect.message)
    is BroadcastMessage -> broadcast(effect.message)
    is AddKnownMembers -> addKnownMembers(effect.vms)
    is ApplyEntries -> control.put(EncodedEntries(effect.entries))
    is RestoreSnapshot -> control.put(EncodedSnapshot(effect.snapshot))
    is RejectProposal -> control.put(ProposalRejected(effect.proposal, effect.leader?.vm))
    is ReportRoleChange -> recorder.recordRole(effect)
    is ReportMembershipChange -> recorder.record(EventKind.MEMBERSHIP_CHANGED, detail = effect.membership.describe())
}

private fun EventRecorder.recordRole(change: ReportRoleChange) = when (val role = change.role) {
    is Leader -> record(EventKind.LEADER_ELECTED, detail = "term ${change.term}")
    is Follower ->
        if (role.leader == null) {
            record(EventKind.LEADER_STEPPED_DOWN, detail = "no leader in term ${change.term}")
        } else {
            record(EventKind.FOLLOWING_LEADER, detail = "${role.leader} in term ${change.term}")
        }
    else -> Unit
}

private fun Membership.describe(): String = "voters ${voters.joinToString()}, learners ${learners.joinToString()}"

private fun AgreementEffectHandlers.recordRedundancy(state: AgreementState, now: Timestamp) {
    when (state.redundancy(now)) {
        Redundancy.REDUCED -> wasReduced = true
        Redundancy.FULL -> {
            if (wasReduced) recorder.record(EventKind.REDUNDANCY_RESTORED, detail = state.log.membership.describe())
            wasReduced = false
        }
        Redundancy.CATCHING_UP, Redundancy.UNKNOWN -> Unit
    }
}
