/**
 * The step of the agreement: one pure function from a state and an input to the next state and its effects. The protocol is
 * Raft with trial votes, a quorum check on the leader, a leader lease, learners and single-server changes of membership; a
 * replica is identified by VM and disk.
 *
 * Source: D. Ongaro, "Consensus: Bridging Theory and Practice", 2014, chapters 3, 4, 6.4 and 9.6.
 */
package sniperoute.process.agreement.decision

import kotlinx.collections.immutable.persistentListOf
import sniperoute.process.agreement.message.*
import sniperoute.process.clock.Timestamp

/** Returns the state of [self] after a start at [now] with what its disk holds. It gives no vote until a leader could have been heard. */
public fun recoverAgreementState(
    self: ReplicaIdentity,
    settings: AgreementSettings,
    seed: Int,
    term: Long,
    votedFor: ReplicaIdentity?,
    log: ReplicaLog,
    now: Timestamp,
): AgreementState {
    require(settings.minimumElectionTimeout > settings.heartbeatInterval * 2) { "two heartbeats must fit in an election timeout" }
    require(settings.maximumElectionTimeout >= settings.minimumElectionTimeout) { "the longest election timeout is below the shortest" }
    val state = AgreementState(
        self = self,
        settings = settings,
        seed = seed,
        term = term,
        votedFor = votedFor,
        log = log,
        syncedIndex = log.lastIndex,
        commitIndex = log.snapshot.index,
        role = Follower(null),
        leaderHeard = now,
        electionDue = now,
        nextJoin = now,
    )
    return state.copy(electionDue = now + state.electionTimeout(now))
}

/** Returns the log of a replica that belongs to no membership yet. */
public fun emptyLog(): ReplicaLog = bootstrapLog(Membership(persistentListOf()))

/** Returns the log from which the first replicas start: no entries, and [membership] in force. */
public fun bootstrapLog(membership: Membership): ReplicaLog = replicaLog(Snapshot(0, 0, membership, ByteArray(0)))

/** Returns the next state and the effects of [input] at [now]. */
public fun AgreementState.step(now: Timestamp, input: AgreementInput): Transition = when (input) {
    is Tick -> onTick(now)
    is MessageReceived -> onReceived(input.from, input.message, now)
    is Propose -> onPropose(input, now)
    is Synced -> onSynced(input)
    is SnapshotTaken -> onSnapshotTaken(input)
    is TransferLeadership -> onHandOver(now)
    is DiskWriteFailed -> onDiskFailed(now)
}

private fun AgreementState.onTick(now: Timestamp): Transition = when (role) {
    is Leader -> onLeaderTick(role, now)
    else -> onFollowerTick(now)
}

private fun AgreementState.onLeaderTick(leader: Leader, now: Timestamp): Transition {
    if (now - quorumContact(leader, now) > settings.maximumElectionTimeout) return follow(term, null, now)
    val handoverUntil = leader.handoverUntil?.takeIf { it > now }
    val current = copy(role = leader.copy(handoverUntil = handoverUntil))
    if (now < leader.nextHeartbeat) return current.unchanged()
    return current
        .copy(role = leader.copy(handoverUntil = handoverUntil, nextHeartbeat = now + settings.heartbeatInterval))
        .sendToAll(now, heartbeat = true)
        .then { it.reconcileMembership(now) }
}

private fun AgreementState.onFollowerTick(now: Timestamp): Transition = when {
    (self !in log.membership.members || now < outsideUntil) && now >= nextJoin ->
        copy(nextJoin = now + settings.joinInterval).unchanged().emit(BroadcastMessage(JoinRequest(term)))
    now >= electionDue && now >= outsideUntil -> startTrial(now)
    else -> unchanged()
}

private fun AgreementState.onReceived(from: ReplicaIdentity, message: AgreementMessage, now: Timestamp): Transition = when (message) {
    is VoteRequest -> onVoteRequest(from, message, now)
    is VoteReply -> onVoteReply(from, message, now)
    is AppendRequest -> onAppendRequest(from, message, now)
    is AppendReply -> onAppendReply(from, message, now)
    is SnapshotRequest -> onSnapshotRequest(from, message, now)
    is HandoverRequest -> if (message.term == term && leaderOrNull == from) stand(handover = true, now) else unchanged()
    is JoinRequest -> onJoinRequest(from, now)
    is MembersNotice -> onMembersNotice(message, now)
}

private fun AgreementState.onPropose(input: Propose, now: Timestamp): Transition {
    val leader = role as? Leader
    return if (leader == null || leader.handoverUntil != null) {
        unchanged().emit(RejectProposal(input.proposal, leaderOrNull))
    } else {
        appendAsLeader(CommandEntry(input.proposal, input.bytes), now)
    }
}

private fun AgreementState.onDiskFailed(now: Timestamp): Transition =
    if (role is Leader) follow(term, null, now).update { copy(electionDue = now + settings.maximumElectionTimeout * 2) } else unchanged()
