/**
 * Elections: trial votes before real ones, votes withheld while a leader is heard, and leadership given up when no quorum
 * answers.
 */
package sniperoute.process.agreement.decision

import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentMap
import sniperoute.process.agreement.message.*
import sniperoute.process.clock.Timestamp
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds

private const val SEED_FACTOR = 31

/** Returns a time-out that differs between replicas and from one attempt to the next. */
internal fun AgreementState.electionTimeout(now: Timestamp): Duration {
    val random = Random((seed * SEED_FACTOR + term) * SEED_FACTOR + now.microseconds)
    val spread = (settings.maximumElectionTimeout - settings.minimumElectionTimeout).inWholeMicroseconds
    return settings.minimumElectionTimeout + random.nextLong(spread.coerceAtLeast(1)).microseconds
}

/** Returns the state in which this replica follows [leader] in [newTerm]; a vote is kept within a term only. */
internal fun AgreementState.follow(newTerm: Long, leader: ReplicaIdentity?, now: Timestamp): Transition {
    val newVote = if (newTerm > term) null else votedFor
    val next = copy(
        term = newTerm,
        votedFor = newVote,
        role = Follower(leader),
        electionDue = now + electionTimeout(now),
    )
    val termChange = if (newTerm > term) next.unchanged().emit(Persist(newTerm, newVote)) else next.unchanged()
    return if (next.role == role) termChange else termChange.emit(ReportRoleChange(next.role, newTerm))
}

/** Returns the outcome of an election timeout: a trial vote, unless this replica has no say. */
internal fun AgreementState.startTrial(now: Timestamp): Transition {
    val waiting = copy(electionDue = now + electionTimeout(now))
    if (!isVoter) return waiting.unchanged()
    val trial = waiting.copy(role = PreCandidate(persistentSetOf(self)))
    val request = VoteRequest(term + 1, trial = true, handover = false, log.lastIndex, log.lastTerm)
    return trial.requestVotes(request).then { it.countTrial(now) }
}

/** Returns the state in which this replica stands for election in the next term. */
internal fun AgreementState.stand(handover: Boolean, now: Timestamp): Transition {
    if (!isVoter) return unchanged()
    val candidate = copy(
        term = term + 1,
        votedFor = self,
        role = Candidate(persistentSetOf(self)),
        electionDue = now + electionTimeout(now),
    )
    val request = VoteRequest(candidate.term, trial = false, handover, log.lastIndex, log.lastTerm)
    return candidate
        .unchanged()
        .emit(Persist(candidate.term, self))
        .then { it.requestVotes(request) }
        .then { it.countVotes(now) }
}

private fun AgreementState.requestVotes(request: VoteRequest): Transition =
    log.membership.voters
        .filter { it != self }
        .fold(unchanged()) { transition, voter -> transition.emit(SendMessageAfterSync(voter, request)) }

/** Returns the answer to a vote request. */
internal fun AgreementState.onVoteRequest(from: ReplicaIdentity, request: VoteRequest, now: Timestamp): Transition {
    val leaderIsHeard = leaderOrNull != from && !request.handover && hearsLeader(now)
    return when {
        leaderIsHeard && from !in log.membership.members -> refuseVote(from, request).emit(membersNotice(from))
        leaderIsHeard -> refuseVote(from, request)
        request.trial -> answerTrial(from, request)
        request.term > term -> follow(request.term, null, now).then { it.answerVote(from, request, now) }
        else -> answerVote(from, request, now)
    }
}

private fun AgreementState.hearsLeader(now: Timestamp): Boolean = when (role) {
    is Leader -> now - quorumContact(role, now) < settings.minimumElectionTimeout
    else -> now - leaderHeard < settings.minimumElectionTimeout
}

private fun AgreementState.refuseVote(from: ReplicaIdentity, request: VoteRequest): Transition =
    unchanged().emit(SendMessageAfterSync(from, VoteReply(term, request.term, request.trial, granted = false)))

private fun AgreementState.answerTrial(from: ReplicaIdentity, request: VoteRequest): Transition {
    val granted = request.term > term && isUpToDate(request)
    return unchanged().emit(SendMessageAfterSync(from, VoteReply(term, request.term, trial = true, granted)))
}

private fun AgreementState.answerVote(from: ReplicaIdentity, request: VoteRequest, now: Timestamp): Transition {
    val free = votedFor == null || votedFor == from
    val granted = request.term == term && free && isUpToDate(request)
    val reply = SendMessageAfterSync(from, VoteReply(term, request.term, trial = false, granted))
    if (!granted) return unchanged().emit(reply)
    return copy(votedFor = from, electionDue = now + electionTimeout(now))
        .unchanged()
        .emit(Persist(term, from))
        .emit(reply)
}

private fun AgreementState.isUpToDate(request: VoteRequest): Boolean =
    request.lastTerm > log.lastTerm || (request.lastTerm == log.lastTerm && request.lastIndex >= log.lastIndex)

/** Returns the state after a vote was answered. */
internal fun AgreementState.onVoteReply(from: ReplicaIdentity, reply: VoteReply, now: Timestamp): Transition {
    if (reply.term > term) return follow(reply.term, null, now)
    if (!reply.granted) return unchanged()
    val trial = role as? PreCandidate
    val candidate = role as? Candidate
    return when {
        trial != null && reply.trial && reply.votedTerm == term + 1 ->
            copy(role = PreCandidate(trial.granted.add(from))).countTrial(now)
        candidate != null && !reply.trial && reply.votedTerm == term ->
            copy(role = Candidate(candidate.granted.add(from))).countVotes(now)
        else -> unchanged()
    }
}

private fun AgreementState.countTrial(now: Timestamp): Transition {
    val granted = (role as PreCandidate).granted
    return if (isQuorum(granted)) stand(handover = false, now) else unchanged()
}

private fun AgreementState.countVotes(now: Timestamp): Transition {
    val granted = (role as Candidate).granted
    return if (isQuorum(granted)) lead(now) else unchanged()
}

private fun AgreementState.isQuorum(replicas: Set<ReplicaIdentity>): Boolean =
    log.membership.voters.count { it in replicas } >= log.membership.quorum

private fun AgreementState.lead(now: Timestamp): Transition {
    val progress = log.membership.members
        .filter { it != self }
        .associateWith { Progress(log.lastIndex + 1, 0, now) }
        .toPersistentMap()
    val leader = Leader(progress, log.lastIndex + 1, now)
    return copy(role = leader)
        .unchanged()
        .emit(ReportRoleChange(leader, term))
        .then { it.appendAsLeader(LeaderStarted, now) }
}

/** Returns the newest moment at which a quorum had been heard, by the times at which the requests it answered were sent. */
internal fun AgreementState.quorumContact(leader: Leader, now: Timestamp): Timestamp =
    log.membership.voters
        .map { voter -> if (voter == self) now else leader.progress[voter]?.answered ?: Timestamp.EARLIEST }
        .sortedDescending()[log.membership.quorum - 1]

/**
 * Returns the moment until which no other replica can have been elected, or `null` when this replica does not lead, or is
 * about to hand over.
 */
public fun AgreementState.leaseEndOrNull(now: Timestamp): Timestamp? {
    val leader = role as? Leader ?: return null
    if (leader.handoverUntil != null || commitIndex < leader.firstIndex) return null
    return quorumContact(leader, now) + settings.minimumElectionTimeout - settings.leaseMargin
}

/** Returns the order to let the most advanced follower lead, for a planned stop. */
internal fun AgreementState.onHandOver(now: Timestamp): Transition {
    val leader = role as? Leader ?: return unchanged()
    val successor = log.membership.voters
        .filter { it != self }
        .mapNotNull { voter -> leader.progress[voter]?.let { voter to it } }
        .filter { (_, progress) -> progress.matched == log.lastIndex && now - progress.answered < settings.minimumElectionTimeout }
        .maxByOrNull { (_, progress) -> progress.answered }
        ?.first
        ?: return unchanged()
    return copy(role = leader.copy(handoverUntil = now + settings.minimumElectionTimeout))
        .unchanged()
        .emit(SendMessage(successor, HandoverRequest(term)))
}
