/**
 * Elections with pre-vote: votes are refused while the replica is in contact with a leader. Also the leader lease and the
 * leadership transfer.
 */
package sniperoute.process.agreement.decision

import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentMap
import sniperoute.process.agreement.message.*
import sniperoute.process.clock.Timestamp
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds

private const val SEED_MULTIPLIER = 31

/** Returns a pseudo-random election timeout that differs between replicas and between attempts. */
internal fun AgreementState.electionTimeout(now: Timestamp): Duration {
    val random = Random((seed * SEED_MULTIPLIER + term) * SEED_MULTIPLIER + now.microseconds)
    val spread = (settings.maximumElectionTimeout - settings.minimumElectionTimeout).inWholeMicroseconds
    return settings.minimumElectionTimeout + random.nextLong(spread.coerceAtLeast(1)).microseconds
}

/** Returns the step to following [leader] in [newTerm]; a new term clears the vote. */
internal fun AgreementState.becomeFollower(newTerm: Long, leader: ReplicaIdentity?, now: Timestamp): AgreementStep {
    val newVote = if (newTerm > term) null else votedFor
    val next = copy(
        term = newTerm,
        votedFor = newVote,
        role = Follower(leader),
        electionDeadline = now + electionTimeout(now),
    )
    val step = if (newTerm > term) next.unchanged().emit(Persist(newTerm, newVote)) else next.unchanged()
    return if (next.role == role) step else step.emit(ReportRoleChange(next.role, newTerm))
}

/** Returns the step that starts a pre-vote, which only voters do, and sets the next election deadline. */
internal fun AgreementState.startPreVote(now: Timestamp): AgreementStep {
    val waiting = copy(electionDeadline = now + electionTimeout(now))
    if (!isVoter) return waiting.unchanged()
    val preCandidate = waiting.copy(role = PreCandidate(persistentSetOf(self)))
    val request = VoteRequest(term + 1, isPreVote = true, isLeadershipTransfer = false, log.lastIndex, log.lastTerm)
    return preCandidate.requestVotes(request).then { it.countPreVotes(now) }
}

/** Returns the step that starts an election in the next term, in which this replica votes for itself. */
internal fun AgreementState.startElection(isLeadershipTransfer: Boolean, now: Timestamp): AgreementStep {
    if (!isVoter) return unchanged()
    val candidate = copy(
        term = term + 1,
        votedFor = self,
        role = Candidate(persistentSetOf(self)),
        electionDeadline = now + electionTimeout(now),
    )
    val request = VoteRequest(candidate.term, isPreVote = false, isLeadershipTransfer, log.lastIndex, log.lastTerm)
    return candidate
        .unchanged()
        .emit(Persist(candidate.term, self))
        .then { it.requestVotes(request) }
        .then { it.countVotes(now) }
}

private fun AgreementState.requestVotes(request: VoteRequest): AgreementStep =
    log.membership.voters
        .filter { it != self }
        .fold(unchanged()) { step, voter -> step.emit(SendMessageAfterSync(voter, request)) }

/**
 * Returns the step that replies to a vote request. A replica in contact with another leader refuses, and sends the member list
 * to a candidate that is not a member, so that it asks to join instead.
 */
internal fun AgreementState.onVoteRequest(from: ReplicaIdentity, request: VoteRequest, now: Timestamp): AgreementStep {
    val isLeaderActive = leaderOrNull != from && !request.isLeadershipTransfer && hasRecentLeaderContact(now)
    return when {
        isLeaderActive && from !in log.membership.members -> refuseVote(from, request).emit(membersNotice(from))
        isLeaderActive -> refuseVote(from, request)
        request.isPreVote -> replyToPreVote(from, request)
        request.term > term -> becomeFollower(request.term, null, now).then { it.replyToVote(from, request, now) }
        else -> replyToVote(from, request, now)
    }
}

private fun AgreementState.hasRecentLeaderContact(now: Timestamp): Boolean = when (role) {
    is Leader -> now - lastQuorumContact(role, now) < settings.minimumElectionTimeout
    else -> now - lastLeaderContact < settings.minimumElectionTimeout
}

private fun AgreementState.refuseVote(from: ReplicaIdentity, request: VoteRequest): AgreementStep =
    unchanged().emit(SendMessageAfterSync(from, VoteReply(term, request.term, request.isPreVote, granted = false)))

private fun AgreementState.replyToPreVote(from: ReplicaIdentity, request: VoteRequest): AgreementStep {
    val granted = request.term > term && isUpToDate(request)
    return unchanged().emit(SendMessageAfterSync(from, VoteReply(term, request.term, isPreVote = true, granted)))
}

private fun AgreementState.replyToVote(from: ReplicaIdentity, request: VoteRequest, now: Timestamp): AgreementStep {
    val hasVote = votedFor == null || votedFor == from
    val granted = request.term == term && hasVote && isUpToDate(request)
    val reply = SendMessageAfterSync(from, VoteReply(term, request.term, isPreVote = false, granted))
    if (!granted) return unchanged().emit(reply)
    return copy(votedFor = from, electionDeadline = now + electionTimeout(now))
        .unchanged()
        .emit(Persist(term, from))
        .emit(reply)
}

private fun AgreementState.isUpToDate(request: VoteRequest): Boolean =
    request.lastLogTerm > log.lastTerm || (request.lastLogTerm == log.lastTerm && request.lastLogIndex >= log.lastIndex)

/** Returns the step that counts the reply to a vote request. */
internal fun AgreementState.onVoteReply(from: ReplicaIdentity, reply: VoteReply, now: Timestamp): AgreementStep {
    if (reply.term > term) return becomeFollower(reply.term, null, now)
    if (!reply.granted) return unchanged()
    val preCandidate = role as? PreCandidate
    val candidate = role as? Candidate
    return when {
        preCandidate != null && reply.isPreVote && reply.votedTerm == term + 1 ->
            copy(role = PreCandidate(preCandidate.granted.add(from))).countPreVotes(now)
        candidate != null && !reply.isPreVote && reply.votedTerm == term ->
            copy(role = Candidate(candidate.granted.add(from))).countVotes(now)
        else -> unchanged()
    }
}

private fun AgreementState.countPreVotes(now: Timestamp): AgreementStep {
    val granted = (role as PreCandidate).granted
    return if (isQuorum(granted)) startElection(isLeadershipTransfer = false, now) else unchanged()
}

private fun AgreementState.countVotes(now: Timestamp): AgreementStep {
    val granted = (role as Candidate).granted
    return if (isQuorum(granted)) becomeLeader(now) else unchanged()
}

private fun AgreementState.isQuorum(replicas: Set<ReplicaIdentity>): Boolean =
    log.membership.voters.count { it in replicas } >= log.membership.quorum

private fun AgreementState.becomeLeader(now: Timestamp): AgreementStep {
    val progress = log.membership.members
        .filter { it != self }
        .associateWith { Progress(log.lastIndex + 1, 0, now) }
        .toPersistentMap()
    val leader = Leader(progress, log.lastIndex + 1, now)
    return copy(role = leader)
        .unchanged()
        .emit(ReportRoleChange(leader, term))
        .then { it.appendAsLeader(NoOpEntry, now) }
}

/** Returns the latest time such that a quorum, this replica included, has replied to a request sent at or after it. */
internal fun AgreementState.lastQuorumContact(leader: Leader, now: Timestamp): Timestamp =
    log.membership.voters
        .map { voter -> if (voter == self) now else leader.progress[voter]?.lastContact ?: Timestamp.EARLIEST }
        .sortedDescending()[log.membership.quorum - 1]

/**
 * Returns the end of the leader lease, until which no other replica can have been elected, or `null` when this replica does
 * not lead, has not committed an entry of its term yet, or is transferring leadership.
 */
public fun AgreementState.leaseEndOrNull(now: Timestamp): Timestamp? {
    val leader = role as? Leader ?: return null
    if (leader.transferDeadline != null || commitIndex < leader.firstIndex) return null
    return lastQuorumContact(leader, now) + settings.minimumElectionTimeout - settings.leaseMargin
}

/** Returns the step that asks the voter with a complete log and the latest contact to start an election at once. */
internal fun AgreementState.onTransferLeadership(now: Timestamp): AgreementStep {
    val leader = role as? Leader ?: return unchanged()
    val successor = log.membership.voters
        .filter { it != self }
        .mapNotNull { voter -> leader.progress[voter]?.let { voter to it } }
        .filter { (_, progress) -> progress.matchIndex == log.lastIndex && now - progress.lastContact < settings.minimumElectionTimeout }
        .maxByOrNull { (_, progress) -> progress.lastContact }
        ?.first
        ?: return unchanged()
    return copy(role = leader.copy(transferDeadline = now + settings.minimumElectionTimeout))
        .unchanged()
        .emit(SendMessage(successor, TimeoutNowRequest(term)))
}
