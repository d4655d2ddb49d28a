/**
 * Changes of membership, one at a time, each committed before the next: a new disk joins as a learner, the lost disk of the
 * same VM is removed, and only a learner that has caught up on its disk gets the vote.
 */
package sniperoute.process.agreement.decision

import kotlinx.collections.immutable.toPersistentList
import sniperoute.process.agreement.message.MembersNotice
import sniperoute.process.agreement.message.Membership
import sniperoute.process.agreement.message.MembershipEntry
import sniperoute.process.agreement.message.ReplicaIdentity
import sniperoute.process.clock.Timestamp
import sniperoute.process.identity.VmName
import kotlin.time.Duration

/** Returns the state after a replica outside the membership asked to join. */
internal fun AgreementState.onJoinRequest(from: ReplicaIdentity, now: Timestamp): Transition {
    val membership = log.membership
    if (from in membership.members) return unchanged()
    if (!mayChangeMembership()) return unchanged().emit(membersNotice(from))
    val others = membership.learners.filter { it.vm != from.vm }
    return changeMembership(Membership(membership.voters, (others + from).toPersistentList()), now)
}

internal fun AgreementState.membersNotice(to: ReplicaIdentity): AgreementEffect =
    SendMessage(to, MembersNotice(term, log.membership.members.toPersistentList()))

/** Returns the state after a member said who belongs to the group; a replica that does not asks to join for a while. */
internal fun AgreementState.onMembersNotice(notice: MembersNotice, now: Timestamp): Transition {
    val isOutside = notice.members.isNotEmpty() && self !in notice.members && role !is Leader
    val next = if (isOutside) copy(outsideUntil = now + settings.maximumElectionTimeout * 2) else this
    val vms = notice.members
        .map { it.vm }
        .distinct()
        .toPersistentList()
    return next.unchanged().emit(AddKnownMembers(vms))
}

/** Returns the state after the next due change of membership, if there is one. */
internal fun AgreementState.reconcileMembership(now: Timestamp): Transition {
    if (!mayChangeMembership()) return unchanged()
    val leader = role as Leader
    val next = log.membership.learners
        .filter { settings.mayVote(it.vm) && hasCaughtUp(leader, it, now) }
        .firstNotNullOfOrNull { nextMembershipOrNull(leader, it, now) }
    return if (next == null) unchanged() else changeMembership(next, now)
}

private fun AgreementSettings.mayVote(vm: VmName): Boolean = voterVms.isEmpty() || vm in voterVms

private fun AgreementState.mayChangeMembership(): Boolean {
    val leader = role as? Leader ?: return false
    return leader.handoverUntil == null && commitIndex >= leader.firstIndex && log.membershipIndex <= commitIndex
}

private fun AgreementState.hasCaughtUp(leader: Leader, learner: ReplicaIdentity, now: Timestamp): Boolean {
    val progress = leader.progress[learner] ?: return false
    return progress.matched >= commitIndex && now - progress.answered < settings.minimumElectionTimeout
}

private fun AgreementState.nextMembershipOrNull(leader: Leader, learner: ReplicaIdentity, now: Timestamp): Membership? {
    val membership = log.membership
    val predecessor = membership.voters.firstOrNull { it.vm == learner.vm }
    val replaced = if (predecessor == null) {
        membership.voters.firstOrNull { isSilent(leader, it, settings.replaceAfter, now) }
    } else {
        predecessor.takeIf { isSilent(leader, it, settings.maximumElectionTimeout, now) }
    }
    return when {
        predecessor == null && membership.voters.size < maxOf(settings.targetVoterCount, settings.voterVms.size) ->
            Membership((membership.voters + learner).toPersistentList(), (membership.learners - learner).toPersistentList())
        replaced != null -> membership.copy(voters = (membership.voters - replaced).toPersistentList())
        else -> null
    }
}

private fun AgreementState.isSilent(leader: Leader, replica: ReplicaIdentity, patience: Duration, now: Timestamp): Boolean =
    replica != self && leader.progress[replica]?.let { now - it.answered > patience } ?: true

private fun AgreementState.changeMembership(membership: Membership, now: Timestamp): Transition =
    appendAsLeader(MembershipEntry(membership), now).emit(ReportMembershipChange(membership))

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
public fun AgreementState.redundancy(now: Timestamp): Redundancy {
    val leader = role as? Leader ?: return Redundancy.UNKNOWN
    val voters = log.membership.voters
    val isComplete = voters.size >= settings.targetVoterCount && voters.map { it.vm }.containsAll(settings.voterVms)
    val others = voters.filter { it != self }.map { leader.progress[it] }
    val areHeard = others.all { it != null && now - it.answered < settings.maximumElectionTimeout }
    return when {
        !isComplete || !areHeard || log.membershipIndex > commitIndex -> Redundancy.REDUCED
        others.all { it != null && it.matched >= commitIndex } -> Redundancy.FULL
        else -> Redundancy.CATCHING_UP
    }
}
