/**
 * The step function of the agreement: a pure function from a state and an input to the next state and its effects. The
 * protocol is Raft with pre-vote, check-quorum, leader lease, leadership transfer, learners and single-server membership
 * changes. A replica is identified by its VM and disk.
 *
 * Source: D. Ongaro, "Consensus: Bridging Theory and Practice", 2014, chapters 3, 4, 6.4 and 9.6.
 */
package sniperoute.process.agreement.decision

import kotlinx.collections.immutable.persistentListOf
import sniperoute.process.agreement.message.*
import sniperoute.process.clock.Timestamp

/**
 * Returns the state of [self] started at [now] with the term, vote and log read from its disk. The start counts as contact with
 * a leader: for the minimum election timeout the replica refuses its vote, since a live leader would contact it in that time.
 */
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
    require(settings.maximumElectionTimeout >= settings.minimumElectionTimeout) { "the maximum election timeout is below the minimum" }
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
        lastLeaderContact = now,
        electionDeadline = now,
        nextJoinRequest = now,
    )
    return state.copy(electionDeadline = now + state.electionTimeout(now))
}

/** Returns the log of a replica that does not belong to a group yet. */
public fun emptyLog(): ReplicaLog = bootstrapLog(Membership(persistentListOf()))

/** Returns the initial log of the founding members of a group: a snapshot at index 0 with [membership], and no entries. */
public fun bootstrapLog(membership: Membership): ReplicaLog = replicaLog(Snapshot(0, 0, membership, ByteArray(0)))

/** Returns the next state and the effects of [input] at [now]. */
public fun AgreementState.step(now: Timestamp, input: AgreementInput): AgreementStep = when (input) {
    is Tick -> onTick(now)
    is MessageReceived -> onMessage(input.from, input.message, now)
    is Propose -> onPropose(input, now)
    is Synced -> onSynced(input)
    is SnapshotTaken -> onSnapshotTaken(input)
    is TransferLeadership -> onTransferLeadership(now)
    is DiskWriteFailed -> onDiskWriteFailed(now)
}

private fun AgreementState.onTick(now: Timestamp): AgreementStep = when (role) {
    is Leader -> onLeaderTick(role, now)
    else -> onFollowerTick(now)
}

/** Steps down when no quorum has replied for the maximum election timeout (check-quorum), and sends heartbeats when due. */
private fun AgreementState.onLeaderTick(leader: Leader, now: Timestamp): AgreementStep {
    if (now - lastQuorumContact(leader, now) > settings.maximumElectionTimeout) return becomeFollower(term, null, now)
    val transferDeadline = leader.transferDeadline?.takeIf { it > now }
    val current = copy(role = leader.copy(transferDeadline = transferDeadline))
    if (now < leader.nextHeartbeat) return current.unchanged()
    return current
        .copy(role = leader.copy(transferDeadline = transferDeadline, nextHeartbeat = now + settings.heartbeatInterval))
        .sendToAll(now, isHeartbeat = true)
        .then { it.reconcileMembership(now) }
}

private fun AgreementState.onFollowerTick(now: Timestamp): AgreementStep = when {
    (self !in log.membership.members || now < nonMemberUntil) && now >= nextJoinRequest ->
        copy(nextJoinRequest = now + settings.joinRequestInterval).unchanged().emit(BroadcastMessage(JoinRequest(term)))
    now >= electionDeadline && now >= nonMemberUntil -> startPreVote(now)
    else -> unchanged()
}

private fun AgreementState.onMessage(from: ReplicaIdentity, message: AgreementMessage, now: Timestamp): AgreementStep = when (message) {
    is VoteRequest -> onVoteRequest(from, message, now)
    is VoteReply -> onVoteReply(from, message, now)
    is AppendEntriesRequest -> onAppendEntriesRequest(from, message, now)
    is AppendEntriesReply -> onAppendEntriesReply(from, message, now)
    is InstallSnapshotRequest -> onInstallSnapshotRequest(from, message, now)
    is TimeoutNowRequest ->
        if (message.term == term && leaderOrNull == from) startElection(isLeadershipTransfer = true, now) else unchanged()
    is JoinRequest -> onJoinRequest(from, now)
    is MembersNotice -> onMembersNotice(message, now)
}

private fun AgreementState.onPropose(input: Propose, now: Timestamp): AgreementStep {
    val leader = role as? Leader
    return if (leader == null || leader.transferDeadline != null) {
        unchanged().emit(RejectProposal(input.proposal, leaderOrNull))
    } else {
        appendAsLeader(CommandEntry(input.proposal, input.bytes), now)
    }
}

/** Steps down, and waits longer than the other replicas before the next election, so that one with a working disk leads. */
private fun AgreementState.onDiskWriteFailed(now: Timestamp): AgreementStep =
    if (role is Leader) {
        becomeFollower(term, null, now).update { copy(electionDeadline = now + settings.maximumElectionTimeout * 2) }
    } else {
        unchanged()
    }
