/**
 * The log of a replica: a snapshot and the entries after it.
 */
package sniperoute.process.agreement.decision

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import sniperoute.process.agreement.message.LogEntry
import sniperoute.process.agreement.message.Membership
import sniperoute.process.agreement.message.MembershipEntry
import sniperoute.process.agreement.message.Snapshot

/**
 * A [snapshot] and the [entries] after it, whose indexes have no gaps. [membership] is that of the latest membership entry,
 * committed or not, or else the snapshot's; [membershipIndex] is the index at which it was set.
 */
public data class ReplicaLog internal constructor(
    public val snapshot: Snapshot,
    public val entries: PersistentList<LogEntry>,
    public val membership: Membership,
    public val membershipIndex: Long,
) {
    /** The index of the last entry. */
    public val lastIndex: Long get() = snapshot.index + entries.size

    /** The term of the last entry. */
    public val lastTerm: Long get() = entries.lastOrNull()?.term ?: snapshot.term
}

/** Returns the log of [snapshot] and the [entries] after it. */
public fun replicaLog(snapshot: Snapshot, entries: PersistentList<LogEntry> = persistentListOf()): ReplicaLog {
    val newest = entries.lastOrNull { it.content is MembershipEntry }
    val membership = (newest?.content as? MembershipEntry)?.membership ?: snapshot.membership
    return ReplicaLog(snapshot, entries, membership, newest?.index ?: snapshot.index)
}

/** Returns the term of the entry at [index], which may be the snapshot's last one, or `null` when the log does not know it. */
public fun ReplicaLog.termAtOrNull(index: Long): Long? = when {
    index == snapshot.index -> snapshot.term
    index < snapshot.index || index > lastIndex -> null
    else -> entries[positionOf(index)].term
}

/** Returns up to [limit] entries from [index] on. */
public fun ReplicaLog.entriesFrom(index: Long, limit: Int): PersistentList<LogEntry> {
    require(index > snapshot.index) { "entry $index is in the snapshot at ${snapshot.index}" }
    if (index > lastIndex) return persistentListOf()
    val first = positionOf(index)
    return entries.subList(first, minOf(entries.size, first + limit)).toPersistentList()
}

/** Returns this log with [entry] appended; its index must be the next one. */
public fun ReplicaLog.append(entry: LogEntry): ReplicaLog {
    require(entry.index == lastIndex + 1) { "entry ${entry.index} can't follow $lastIndex" }
    val content = entry.content
    val longer = copy(entries = entries.add(entry))
    return if (content is MembershipEntry) longer.copy(membership = content.membership, membershipIndex = entry.index) else longer
}

/** Returns this log without the entries from [index] on. */
public fun ReplicaLog.truncateFrom(index: Long): ReplicaLog {
    require(index > snapshot.index) { "entry $index is in the snapshot at ${snapshot.index}" }
    if (index > lastIndex) return this
    val kept = entries.subList(0, positionOf(index)).toPersistentList()
    return if (membershipIndex < index) copy(entries = kept) else replicaLog(snapshot, kept)
}

/** Returns this log with all entries up to the index of [newSnapshot] replaced by it. */
public fun ReplicaLog.compact(newSnapshot: Snapshot): ReplicaLog {
    require(newSnapshot.index >= snapshot.index) { "a snapshot at ${newSnapshot.index} is older than ${snapshot.index}" }
    val kept = if (newSnapshot.index >= lastIndex) {
        persistentListOf()
    } else {
        entriesFrom(newSnapshot.index + 1, Int.MAX_VALUE / 2)
    }
    return replicaLog(newSnapshot, kept)
}

/** Returns the membership in effect after the entry at [index]. */
public fun ReplicaLog.membershipAt(index: Long): Membership =
    entries
        .lastOrNull { it.index <= index && it.content is MembershipEntry }
        ?.let { (it.content as MembershipEntry).membership }
        ?: snapshot.membership

private fun ReplicaLog.positionOf(index: Long): Int = (index - snapshot.index - 1).toInt()
