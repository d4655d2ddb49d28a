/**
 * Single-server membership changes, each committed before the next one: a new disk joins as a learner, the lost disk of the
 * same VM is removed from the voters, and a learner becomes a voter only after it has caught up on its disk.
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

/** Returns the step that adds a replica outside the membership as a learner, in place of an older learner of its VM. */
internal fun AgreementState.onJoinRequest(from: ReplicaIdentity, now: Timestamp): AgreementStep {
    val membership = log.membership
    if (from in membership.members) return unchanged()
    if (!mayChangeMembership()) return unchanged().emit(membersNotice(from))
    val others = membership.learners.filter { it.vm != from.vm }
    return changeMembership(Membership(membership.voters, (others + from).toPersistentList()), now)
}

internal fun AgreementState.membersNotice(to: ReplicaIdentity): AgreementEffect =
    SendMessage(to, MembersNotice(term, log.membership.members.toPersistentList()))

/**
 * Returns the step that takes over a member list. A replica that it does not name treats itself as no member for two maximum
 * election timeouts: it asks to join and starts no elections.
 */
internal fun AgreementState.onMembersNotice(notice: MembersNotice, now: Timestamp): AgreementStep {
    val isNonMember = notice.members.isNotEmpty() && self !in notice.members && role !is Leader
    val next = if (isNonMember) copy(nonMemberUntil = now + settings.maximumElectionTimeout * 2) else this
    val vms = notice.members
        .map { it.vm }
        .distinct()
        .toPersistentList()
    return next.unchanged().emit(AddKnownMembers(vms))
}

/** Returns the step that starts the next membership change that a caught-up learner needs, if there is one. */
internal fun AgreementState.reconcileMembership(now: Timestamp): AgreementStep {
    if (!mayChangeMembership()) return unchanged()
    val leader = role as Leader
    val next = log.membership.learners
        .filter { settings.mayBeVoter(it.vm) && hasCaughtUp(leader, it, now) }
        .firstNotNullOfOrNull { membershipWithOrNull(leader, it, now) }
    return if (next == null) unchanged() else changeMembership(next, now)
}

private fun AgreementSettings.mayBeVoter(vm: VmName): Boolean = voterVms.isEmpty() || vm in voterVms

private fun AgreementState.mayChangeMembership(): Boolean {
    val leader = role as? Leader ?: return false
    return leader.transferDeadline == null && commitIndex >= leader.firstIndex && log.membershipIndex <= commitIndex
}

private fun AgreementState.hasCaughtUp(leader: Leader, learner: ReplicaIdentity, now: Timestamp): Boolean {
    val progress = leader.progress[learner] ?: return false
    return progress.matchIndex >= commitIndex && now - progress.lastContact < settings.minimumElectionTimeout
}

/**
 * Returns the next membership on the way to [learner] as a voter, or `null`. Without a predecessor on its VM the learner
 * becomes a voter while voters are missing. Otherwise an unreachable voter is removed first: the learner's predecessor, or
 * else any voter that has been unreachable for the replacement delay.
 */
private fun AgreementState.membershipWithOrNull(leader: Leader, learner: ReplicaIdentity, now: Timestamp): Membership? {
    val membership = log.membership
    val predecessor = membership.voters.firstOrNull { it.vm == learner.vm }
    val replaced = if (predecessor == null) {
        membership.voters.firstOrNull { isUnreachable(leader, it, settings.voterReplacementDelay, now) }
    } else {
        predecessor.takeIf { isUnreachable(leader, it, settings.maximumElectionTimeout, now) }
    }
    return when {
        predecessor == null && membership.voters.size < maxOf(settings.targetVoterCount, settings.voterVms.size) ->
            Membership((membership.voters + learner).toPersistentList(), (membership.learners - learner).toPersistentList())
        replaced != null -> membership.copy(voters = (membership.voters - replaced).toPersistentList())
        else -> null
    }
}

private fun AgreementState.isUnreachable(leader: Leader, replica: ReplicaIdentity, timeout: Duration, now: Timestamp): Boolean =
    replica != self && leader.progress[replica]?.let { now - it.lastContact > timeout } ?: true

private fun AgreementState.changeMembership(membership: Membership, now: Timestamp): AgreementStep =
    appendAsLeader(MembershipEntry(membership), now).emit(ReportMembershipChange(membership))

/** Whether the group would survive the loss of a voter. */
public enum class Redundancy {
    /** All wanted voters are reachable and have every committed entry on disk. */
    FULL,

    /** All wanted voters are reachable, but at least one lacks committed entries on disk. */
    CATCHING_UP,

    /** A voter is missing or unreachable, or a membership change is not committed: losing another VM may stop the agreement. */
    REDUCED,

    /** This replica does not lead, so it does not know. */
    UNKNOWN,
}

/** Returns the redundancy of the group at [now] as the leader sees it. */
public fun AgreementState.redundancy(now: Timestamp): Redundancy {
    val leader = role as? Leader ?: return Redundancy.UNKNOWN
    val voters = log.membership.voters
    val isComplete = voters.size >= settings.targetVoterCount && voters.map { it.vm }.containsAll(settings.voterVms)
    val others = voters.filter { it != self }.map { leader.progress[it] }
    val areReachable = others.all { it != null && now - it.lastContact < settings.maximumElectionTimeout }
    return when {
        !isComplete || !areReachable || log.membershipIndex > commitIndex -> Redundancy.REDUCED
        others.all { it != null && it.matchIndex >= commitIndex } -> Redundancy.FULL
        else -> Redundancy.CATCHING_UP
    }
}
