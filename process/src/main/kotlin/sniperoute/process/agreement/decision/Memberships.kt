/**
 * Changes of membership, one at a time, each committed before the next: a new disk joins as a learner, the lost disk of the
 * same VM is removed, and only a learner that has caught up on its disk gets the vote.
 */
package sniperoute.process.agreement.decision

import kotlinx.collections.immutable.toPersistentList
import sniperoute.process.agreement.message.Membership
import sniperoute.process.agreement.message.MembershipEntry
import sniperoute.process.agreement.message.ReplicaIdentity
import sniperoute.process.clock.Moment

/** Returns the state after a replica outside the membership asked to join. */
internal fun AgreementState.onJoinRequest(from: ReplicaIdentity, now: Moment): Transition {
    val membership = log.membership
    if (!mayChangeMembership() || from in membership.everyone) return unchanged()
    val others = membership.learners.filter { it.vm != from.vm }
    return changeMembership(Membership(membership.voters, (others + from).toPersistentList()), now)
}

/** Returns the state after the next due change of membership, if there is one. */
internal fun AgreementState.reconcileMembership(now: Moment): Transition {
    if (!mayChangeMembership()) return unchanged()
    val leader = role as Leader
    val learner = log.membership.learners.firstOrNull { it.vm in settings.voterVms && hasCaughtUp(leader, it, now) }
    val next = learner?.let { nextMembershipOrNull(leader, it, now) }
    return if (next == null) unchanged() else changeMembership(next, now)
}

private fun AgreementState.mayChangeMembership(): Boolean {
    val leader = role as? Leader ?: return false
    return leader.handoverUntil == null && committed >= leader.firstIndex && log.membershipIndex <= committed
}

private fun AgreementState.hasCaughtUp(leader: Leader, learner: ReplicaIdentity, now: Moment): Boolean {
    val progress = leader.progress[learner] ?: return false
    return progress.matched >= committed && now - progress.answered < settings.electionMinimum
}

private fun AgreementState.nextMembershipOrNull(leader: Leader, learner: ReplicaIdentity, now: Moment): Membership? {
    val membership = log.membership
    val predecessor = membership.voters.firstOrNull { it.vm == learner.vm }
    return when {
        predecessor == null ->
            Membership((membership.voters + learner).toPersistentList(), (membership.learners - learner).toPersistentList())
        isSilent(leader, predecessor, now) ->
            membership.copy(voters = (membership.voters - predecessor).toPersistentList())
        else -> null
    }
}

private fun AgreementState.isSilent(leader: Leader, replica: ReplicaIdentity, now: Moment): Boolean =
    replica != self && leader.progress[replica]?.let { now - it.answered > settings.electionMaximum } ?: true

private fun AgreementState.changeMembership(membership: Membership, now: Moment): Transition =
    appendAsLeader(MembershipEntry(membership), now).order(MembershipProposed(membership))

/** Whether the agreement would survive the loss of a replica. */
public enum class Redundancy {
    /** Every voter that should be there is there and holds on its disk all that is committed. */
    FULL,

    /** Every voter is there, but one still lacks entries that were committed. */
    CATCHING_UP,

    /** A voter is missing: losing another VM may stop the agreement. */
    REDUCED,

    /** This replica does not lead, so it can't tell. */
    UNKNOWN,
}

/** Returns how redundant the agreement is at [now], as far as a leader can tell. */
public fun AgreementState.redundancy(now: Moment): Redundancy {
    val leader = role as? Leader ?: return Redundancy.UNKNOWN
    val voters = log.membership.voters
    val isComplete = voters.map { it.vm }.containsAll(settings.voterVms)
    val others = voters.filter { it != self }.map { leader.progress[it] }
    val areHeard = others.all { it != null && now - it.answered < settings.electionMaximum }
    return when {
        !isComplete || !areHeard || log.membershipIndex > committed -> Redundancy.REDUCED
        others.all { it != null && it.matched >= committed } -> Redundancy.FULL
        else -> Redundancy.CATCHING_UP
    }
}
