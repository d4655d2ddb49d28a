/**
 * Log replication: the leader sends entries, followers append them and reply after they are synced to disk, and an entry of
 * the leader's term is committed once a quorum has it on disk.
 */
package sniperoute.process.agreement.decision

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import sniperoute.process.agreement.message.*
import sniperoute.process.clock.Timestamp

/** A follower that has not acknowledged all entries sent to it is unresponsive after this many heartbeat intervals without a reply. */
private const val UNRESPONSIVE_HEARTBEATS = 2

/** Returns the step that appends [content] as the leader's next entry and sends it to all members. */
internal fun AgreementState.appendAsLeader(content: EntryContent, now: Timestamp): AgreementStep {
    val entry = LogEntry(log.lastIndex + 1, term, content)
    return copy(log = log.append(entry))
        .unchanged()
        .emit(Persist(term, votedFor, persistentListOf(entry)))
        .then { it.syncProgressWithMembers(now) }
        .then { it.sendToAll(now, isHeartbeat = false) }
}

private fun AgreementState.syncProgressWithMembers(now: Timestamp): AgreementStep {
    val leader = role as Leader
    val members = log.membership.members.filter { it != self }
    val known = members.fold(leader.progress) { progress, member ->
        if (member in progress) progress else progress.put(member, Progress(log.lastIndex + 1, 0, now))
    }
    val removed = known.keys.filter { it !in members }
    return copy(role = leader.copy(progress = removed.fold(known) { progress, member -> progress.remove(member) })).unchanged()
}

/** Returns the step that sends each member the entries that it lacks, and with [isHeartbeat] also a heartbeat to the other members. */
internal fun AgreementState.sendToAll(now: Timestamp, isHeartbeat: Boolean): AgreementStep {
    val leader = role as Leader
    return leader.progress.keys.fold(unchanged()) { step, member ->
        step.then { it.sendTo(member, now, isHeartbeat) }
    }
}

/** An unresponsive member, which may be down, gets only heartbeats; once it replies, it gets the entries that it lacks. */
private fun AgreementState.sendTo(member: ReplicaIdentity, now: Timestamp, isHeartbeat: Boolean): AgreementStep {
    val leader = role as Leader
    val progress = leader.progress.getValue(member)
    val isUnresponsive = progress.isUnresponsive(now, settings)
    return when {
        isUnresponsive && !isHeartbeat -> unchanged()
        isUnresponsive && heartbeatIndex(progress) >= log.snapshot.index ->
            unchanged().emit(SendMessage(member, appendRequest(heartbeatIndex(progress), persistentListOf(), now)))
        progress.nextIndex <= log.snapshot.index -> sendSnapshot(member, progress, now, isHeartbeat)
        progress.nextIndex <= log.lastIndex -> sendEntries(member, progress, now)
        isHeartbeat -> unchanged().emit(SendMessage(member, appendRequest(heartbeatIndex(progress), persistentListOf(), now)))
        else -> unchanged()
    }
}

/** The previous index of a heartbeat: an entry that the member is known to have, or else the one before its next index. */
private fun AgreementState.heartbeatIndex(progress: Progress): Long =
    if (progress.matchIndex >= log.snapshot.index && progress.matchIndex > 0) progress.matchIndex else progress.nextIndex - 1

private fun Progress.isUnresponsive(now: Timestamp, settings: AgreementSettings): Boolean =
    nextIndex > matchIndex + 1 && now - lastContact > settings.heartbeatInterval * UNRESPONSIVE_HEARTBEATS

private fun AgreementState.sendEntries(member: ReplicaIdentity, progress: Progress, now: Timestamp): AgreementStep {
    val entries = log.entriesFrom(progress.nextIndex, settings.maxEntriesPerMessage).firstBatch()
    val request = appendRequest(progress.nextIndex - 1, entries, now)
    val sent = progress.copy(nextIndex = progress.nextIndex + entries.size, entriesSentAt = now)
    return withProgress(member, sent).unchanged().emit(SendMessage(member, request))
}

private fun AgreementState.appendRequest(previous: Long, entries: PersistentList<LogEntry>, now: Timestamp): AppendEntriesRequest {
    val previousTerm = checkNotNull(log.termAtOrNull(previous)) { "no entry $previous after ${log.snapshot.index}" }
    return AppendEntriesRequest(term, previous, previousTerm, entries, commitIndex, now)
}

private fun AgreementState.sendSnapshot(member: ReplicaIdentity, progress: Progress, now: Timestamp, isHeartbeat: Boolean): AgreementStep {
    if (now - progress.snapshotSentAt >= settings.snapshotResendInterval) {
        return withProgress(member, progress.copy(snapshotSentAt = now))
            .unchanged()
            .emit(SendMessage(member, InstallSnapshotRequest(term, log.snapshot, now)))
    }
    if (!isHeartbeat) return unchanged()
    return unchanged().emit(SendMessage(member, appendRequest(log.lastIndex, persistentListOf(), now)))
}

private fun AgreementState.withProgress(member: ReplicaIdentity, progress: Progress): AgreementState {
    val leader = role as Leader
    return copy(role = leader.copy(progress = leader.progress.put(member, progress)))
}

/** Returns the step that replies to entries or a heartbeat from a leader; a request of an older term is rejected. */
internal fun AgreementState.onAppendEntriesRequest(from: ReplicaIdentity, request: AppendEntriesRequest, now: Timestamp): AgreementStep {
    if (request.term < term) return replyToAppend(from, accepted = false, log.lastIndex, request.sentAt)
    return acknowledgeLeader(from, request.term, now).then { it.acceptEntries(from, request) }
}

private fun AgreementState.acknowledgeLeader(from: ReplicaIdentity, leaderTerm: Long, now: Timestamp): AgreementStep =
    becomeFollower(leaderTerm, from, now).update { copy(lastLeaderContact = now, nonMemberUntil = Timestamp.EARLIEST) }

private fun AgreementState.acceptEntries(from: ReplicaIdentity, request: AppendEntriesRequest): AgreementStep {
    val start = maxOf(request.previousIndex, log.snapshot.index)
    val isInSnapshot = request.previousIndex < log.snapshot.index
    if (!isInSnapshot && log.termAtOrNull(request.previousIndex) != request.previousTerm) {
        val retryIndex = minOf(request.previousIndex - 1, log.lastIndex).coerceAtLeast(commitIndex)
        return replyToAppend(from, accepted = false, retryIndex, request.sentAt)
    }
    val offered = request.entries.filter { it.index > start }
    val last = maxOf(request.previousIndex + request.entries.size, log.snapshot.index)
    return replaceConflictingEntries(offered)
        .then { it.commitThrough(minOf(request.leaderCommitIndex, last)) }
        .then { it.replyToAppend(from, accepted = true, last, request.sentAt) }
}

private fun AgreementState.replaceConflictingEntries(offered: List<LogEntry>): AgreementStep {
    val new = offered.dropWhile { log.termAtOrNull(it.index) == it.term }
    val first = new.firstOrNull() ?: return unchanged()
    check(first.index > commitIndex) { "entry ${first.index} would replace a committed one; the commit index is $commitIndex" }
    val kept = log.truncateFrom(first.index)
    return copy(log = new.fold(kept, ReplicaLog::append), syncedIndex = minOf(syncedIndex, first.index - 1))
        .unchanged()
        .emit(Persist(term, votedFor, new.toPersistentList()))
}

private fun AgreementState.replyToAppend(to: ReplicaIdentity, accepted: Boolean, matchIndex: Long, sentAt: Timestamp): AgreementStep =
    unchanged().emit(SendMessageAfterSync(to, AppendEntriesReply(term, accepted, matchIndex, sentAt)))

/** Returns the step that installs the snapshot of a leader, unless this replica has committed its last entry already. */
internal fun AgreementState.onInstallSnapshotRequest(
    from: ReplicaIdentity,
    request: InstallSnapshotRequest,
    now: Timestamp,
): AgreementStep {
    if (request.term < term) return replyToAppend(from, accepted = false, log.lastIndex, request.sentAt)
    val snapshot = request.snapshot
    return acknowledgeLeader(from, request.term, now)
        .then { if (snapshot.index > it.commitIndex) it.install(snapshot) else it.unchanged() }
        .then { it.replyToAppend(from, accepted = true, snapshot.index, request.sentAt) }
}

private fun AgreementState.install(snapshot: Snapshot): AgreementStep {
    val newLog = if (log.termAtOrNull(snapshot.index) == snapshot.term) log.compact(snapshot) else replicaLog(snapshot)
    return copy(log = newLog, commitIndex = snapshot.index, syncedIndex = minOf(syncedIndex, newLog.lastIndex))
        .unchanged()
        .emit(PersistSnapshot(term, votedFor, newLog))
        .emit(RestoreSnapshot(snapshot))
}

/**
 * Returns the step that updates the progress of a follower from its reply. Entries that were sent before the acknowledged request
 * and that the follower lacks are lost, so they are sent again.
 */
internal fun AgreementState.onAppendEntriesReply(from: ReplicaIdentity, reply: AppendEntriesReply, now: Timestamp): AgreementStep {
    if (reply.term > term) return becomeFollower(reply.term, null, now)
    val leader = role as? Leader ?: return unchanged()
    val progress = leader.progress[from] ?: return unchanged()
    if (reply.term < term) return unchanged()
    val lastContact = maxOf(progress.lastContact, reply.sentAt)
    val updated = if (reply.accepted) {
        val matchIndex = maxOf(progress.matchIndex, reply.matchIndex)
        val nextIndexInFlight = if (reply.sentAt > progress.entriesSentAt) 0 else progress.nextIndex
        progress.copy(matchIndex = matchIndex, nextIndex = maxOf(nextIndexInFlight, matchIndex + 1), lastContact = lastContact)
    } else {
        val retryFrom = reply.matchIndex.coerceIn(progress.matchIndex, log.lastIndex) + 1
        progress.copy(nextIndex = minOf(progress.nextIndex, retryFrom), lastContact = lastContact)
    }
    return withProgress(from, updated)
        .advanceCommitIndex()
        .then { it.sendTo(from, now, isHeartbeat = false) }
}

/** Returns the step that advances the synced index, and on the leader the commit index; a replaced entry changes nothing. */
internal fun AgreementState.onSynced(input: Synced): AgreementStep {
    if (log.termAtOrNull(input.index) != input.term) return unchanged()
    val next = copy(syncedIndex = maxOf(syncedIndex, input.index))
    return if (role is Leader) next.advanceCommitIndex() else next.unchanged()
}

private fun AgreementState.advanceCommitIndex(): AgreementStep {
    val leader = role as Leader
    val quorumIndex = log.membership.voters
        .map { voter -> if (voter == self) syncedIndex else leader.progress[voter]?.matchIndex ?: 0 }
        .sortedDescending()[log.membership.quorum - 1]
    return if (quorumIndex > commitIndex && log.termAtOrNull(quorumIndex) == term) commitThrough(quorumIndex) else unchanged()
}

private fun AgreementState.commitThrough(index: Long): AgreementStep {
    val bounded = minOf(index, log.lastIndex)
    if (bounded <= commitIndex) return unchanged()
    val entries = log.entriesFrom(commitIndex + 1, (bounded - commitIndex).toInt())
    return copy(commitIndex = bounded).unchanged().emit(ApplyEntries(entries))
}

/** Returns the step that compacts the log up to a snapshot of the state machine; an outdated snapshot changes nothing. */
internal fun AgreementState.onSnapshotTaken(input: SnapshotTaken): AgreementStep {
    val snapshotTerm = log.termAtOrNull(input.index)
    if (input.index <= log.snapshot.index || input.index > commitIndex || snapshotTerm == null) return unchanged()
    val snapshot = Snapshot(input.index, snapshotTerm, log.membershipAt(input.index), input.state)
    val compacted = copy(log = log.compact(snapshot))
    return compacted.unchanged().emit(PersistSnapshot(term, votedFor, compacted.log))
}
