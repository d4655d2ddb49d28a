/**
 * Replication: the leader sends entries, followers take them over and answer once they are on disk, and what a quorum holds
 * on disk is committed.
 */
package sniperoute.process.agreement.decision

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import sniperoute.process.agreement.message.*
import sniperoute.process.clock.Timestamp

private const val STALE_HEARTBEATS = 2

/** Returns the state with [content] as the leader's next entry, sent to everyone. */
internal fun AgreementState.appendAsLeader(content: EntryContent, now: Timestamp): Transition {
    val entry = LogEntry(log.lastIndex + 1, term, content)
    return copy(log = log.append(entry))
        .unchanged()
        .emit(Persist(term, votedFor, persistentListOf(entry)))
        .then { it.trackMembers(now) }
        .then { it.sendToAll(now, heartbeat = false) }
}

private fun AgreementState.trackMembers(now: Timestamp): Transition {
    val leader = role as Leader
    val members = log.membership.members.filter { it != self }
    val known = members.fold(leader.progress) { progress, member ->
        if (member in progress) progress else progress.put(member, Progress(log.lastIndex + 1, 0, now))
    }
    val gone = known.keys.filter { it !in members }
    return copy(role = leader.copy(progress = gone.fold(known) { progress, member -> progress.remove(member) })).unchanged()
}

/** Returns the state after sending each member what it lacks; a [heartbeat] goes to members that lack nothing, too. */
internal fun AgreementState.sendToAll(now: Timestamp, heartbeat: Boolean): Transition {
    val leader = role as Leader
    return leader.progress.keys.fold(unchanged()) { transition, member ->
        transition.then { it.sendTo(member, now, heartbeat) }
    }
}

/** A member that has not answered for a while gets heartbeats only, and what it lacks once it answers: it may be gone. */
private fun AgreementState.sendTo(member: ReplicaIdentity, now: Timestamp, heartbeat: Boolean): Transition {
    val leader = role as Leader
    val progress = leader.progress.getValue(member)
    val isStale = progress.isStale(now, settings)
    return when {
        isStale && !heartbeat -> unchanged()
        isStale && confirmed(progress) >= log.snapshot.index ->
            unchanged().emit(SendMessage(member, appendRequest(confirmed(progress), persistentListOf(), now)))
        progress.next <= log.snapshot.index -> sendSnapshot(member, progress, now, heartbeat)
        progress.next <= log.lastIndex -> sendEntries(member, progress, now)
        heartbeat -> unchanged().emit(SendMessage(member, appendRequest(confirmed(progress), persistentListOf(), now)))
        else -> unchanged()
    }
}

/** The entry that a heartbeat names: one that the member is known to hold, or the one before what it is sent next. */
private fun AgreementState.confirmed(progress: Progress): Long =
    if (progress.matched >= log.snapshot.index && progress.matched > 0) progress.matched else progress.next - 1

private fun Progress.isStale(now: Timestamp, settings: AgreementSettings): Boolean =
    next > matched + 1 && now - answered > settings.heartbeatInterval * STALE_HEARTBEATS

private fun AgreementState.sendEntries(member: ReplicaIdentity, progress: Progress, now: Timestamp): Transition {
    val entries = log.entriesFrom(progress.next, settings.entriesPerMessage)
    val request = appendRequest(progress.next - 1, entries, now)
    val sent = progress.copy(next = progress.next + entries.size, entriesSent = now)
    return withProgress(member, sent).unchanged().emit(SendMessage(member, request))
}

private fun AgreementState.appendRequest(previous: Long, entries: PersistentList<LogEntry>, now: Timestamp): AppendRequest {
    val previousTerm = checkNotNull(log.termAtOrNull(previous)) { "no entry $previous after ${log.snapshot.index}" }
    return AppendRequest(term, previous, previousTerm, entries, commitIndex, now)
}

private fun AgreementState.sendSnapshot(member: ReplicaIdentity, progress: Progress, now: Timestamp, heartbeat: Boolean): Transition {
    if (now - progress.snapshotSent >= settings.snapshotResend) {
        return withProgress(member, progress.copy(snapshotSent = now))
            .unchanged()
            .emit(SendMessage(member, SnapshotRequest(term, log.snapshot, now)))
    }
    if (!heartbeat) return unchanged()
    return unchanged().emit(SendMessage(member, appendRequest(log.lastIndex, persistentListOf(), now)))
}

private fun AgreementState.withProgress(member: ReplicaIdentity, progress: Progress): AgreementState {
    val leader = role as Leader
    return copy(role = leader.copy(progress = leader.progress.put(member, progress)))
}

/** Returns the state after a request from a leader. */
internal fun AgreementState.onAppendRequest(from: ReplicaIdentity, request: AppendRequest, now: Timestamp): Transition {
    if (request.term < term) return answerAppend(from, accepted = false, log.lastIndex, request.sentAt)
    return heardLeader(from, request.term, now).then { it.takeEntries(from, request) }
}

private fun AgreementState.heardLeader(from: ReplicaIdentity, leaderTerm: Long, now: Timestamp): Transition =
    follow(leaderTerm, from, now).update { copy(leaderHeard = now, outsideUntil = Timestamp.EARLIEST) }

private fun AgreementState.takeEntries(from: ReplicaIdentity, request: AppendRequest): Transition {
    val start = maxOf(request.previousIndex, log.snapshot.index)
    val isInSnapshot = request.previousIndex < log.snapshot.index
    if (!isInSnapshot && log.termAtOrNull(request.previousIndex) != request.previousTerm) {
        val retryAfter = minOf(request.previousIndex - 1, log.lastIndex).coerceAtLeast(commitIndex)
        return answerAppend(from, accepted = false, retryAfter, request.sentAt)
    }
    val offered = request.entries.filter { it.index > start }
    val last = maxOf(request.previousIndex + request.entries.size, log.snapshot.index)
    return storeEntries(offered)
        .then { it.commitUpTo(minOf(request.committed, last)) }
        .then { it.answerAppend(from, accepted = true, last, request.sentAt) }
}

private fun AgreementState.storeEntries(offered: List<LogEntry>): Transition {
    val new = offered.dropWhile { log.termAtOrNull(it.index) == it.term }
    val first = new.firstOrNull() ?: return unchanged()
    check(first.index > commitIndex) { "entry ${first.index} would replace a committed one; committed is $commitIndex" }
    val kept = log.dropFrom(first.index)
    return copy(log = new.fold(kept, ReplicaLog::append), syncedIndex = minOf(syncedIndex, first.index - 1))
        .unchanged()
        .emit(Persist(term, votedFor, new.toPersistentList()))
}

private fun AgreementState.answerAppend(to: ReplicaIdentity, accepted: Boolean, matched: Long, sentAt: Timestamp): Transition =
    unchanged().emit(SendMessageAfterSync(to, AppendReply(term, accepted, matched, sentAt)))

/** Returns the state after a leader replaced this replica's log. */
internal fun AgreementState.onSnapshotRequest(from: ReplicaIdentity, request: SnapshotRequest, now: Timestamp): Transition {
    if (request.term < term) return answerAppend(from, accepted = false, log.lastIndex, request.sentAt)
    val snapshot = request.snapshot
    return heardLeader(from, request.term, now)
        .then { if (snapshot.index > it.commitIndex) it.install(snapshot) else it.unchanged() }
        .then { it.answerAppend(from, accepted = true, snapshot.index, request.sentAt) }
}

private fun AgreementState.install(snapshot: Snapshot): Transition {
    val newLog = if (log.termAtOrNull(snapshot.index) == snapshot.term) log.compact(snapshot) else replicaLog(snapshot)
    return copy(log = newLog, commitIndex = snapshot.index, syncedIndex = minOf(syncedIndex, newLog.lastIndex))
        .unchanged()
        .emit(PersistSnapshot(term, votedFor, newLog))
        .emit(RestoreSnapshot(snapshot))
}

/** Returns the state after a follower answered. Entries that were sent before the request that it answers, and that it lacks, are lost. */
internal fun AgreementState.onAppendReply(from: ReplicaIdentity, reply: AppendReply, now: Timestamp): Transition {
    if (reply.term > term) return follow(reply.term, null, now)
    val leader = role as? Leader ?: return unchanged()
    val progress = leader.progress[from] ?: return unchanged()
    if (reply.term < term) return unchanged()
    val answered = maxOf(progress.answered, reply.sentAt)
    val updated = if (reply.accepted) {
        val matched = maxOf(progress.matched, reply.matched)
        val sentLater = if (reply.sentAt > progress.entriesSent) 0 else progress.next
        progress.copy(matched = matched, next = maxOf(sentLater, matched + 1), answered = answered)
    } else {
        val retry = reply.matched.coerceIn(progress.matched, log.lastIndex) + 1
        progress.copy(next = minOf(progress.next, retry), answered = answered)
    }
    return withProgress(from, updated)
        .commitAsLeader()
        .then { it.sendTo(from, now, heartbeat = false) }
}

/** Returns the state after this replica's own disk caught up. */
internal fun AgreementState.onSynced(input: Synced): Transition {
    if (log.termAtOrNull(input.index) != input.term) return unchanged()
    val next = copy(syncedIndex = maxOf(syncedIndex, input.index))
    return if (role is Leader) next.commitAsLeader() else next.unchanged()
}

private fun AgreementState.commitAsLeader(): Transition {
    val leader = role as Leader
    val held = log.membership.voters
        .map { voter -> if (voter == self) syncedIndex else leader.progress[voter]?.matched ?: 0 }
        .sortedDescending()[log.membership.quorum - 1]
    return if (held > commitIndex && log.termAtOrNull(held) == term) commitUpTo(held) else unchanged()
}

private fun AgreementState.commitUpTo(index: Long): Transition {
    val bounded = minOf(index, log.lastIndex)
    if (bounded <= commitIndex) return unchanged()
    val entries = log.entriesFrom(commitIndex + 1, (bounded - commitIndex).toInt())
    return copy(commitIndex = bounded).unchanged().emit(ApplyEntries(entries))
}

/** Returns the state after the state machine was written down, so that older entries can go. */
internal fun AgreementState.onSnapshotTaken(input: SnapshotTaken): Transition {
    val snapshotTerm = log.termAtOrNull(input.index)
    if (input.index <= log.snapshot.index || input.index > commitIndex || snapshotTerm == null) return unchanged()
    val snapshot = Snapshot(input.index, snapshotTerm, log.membershipAt(input.index), input.state)
    val compacted = copy(log = log.compact(snapshot))
    return compacted.unchanged().emit(PersistSnapshot(term, votedFor, compacted.log))
}
