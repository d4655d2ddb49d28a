/**
 * What the agreement carries for the control duty, decoded before the duty receives it. Bytes that were agreed on and hold nothing are
 * a fault of the program: a replica that went on without them would differ from the others.
 */
package sniperoute.control.codec

import kotlinx.collections.immutable.toPersistentList
import sniperoute.control.message.CommittedEntry
import sniperoute.control.message.EntriesCommitted
import sniperoute.control.message.SnapshotRestored
import sniperoute.process.agreement.message.CommandEntry
import sniperoute.process.agreement.message.LogEntry
import sniperoute.process.agreement.message.Snapshot

/** Returns the commands in [entries]. */
internal fun committed(entries: List<LogEntry>): EntriesCommitted = EntriesCommitted(entries.map { it.toCommitted() }.toPersistentList())

private fun LogEntry.toCommitted(): CommittedEntry {
    val content = content as? CommandEntry ?: return CommittedEntry(index, 0, null)
    val command = decodeCommand(content.bytes).fold({ error("entry $index holds no command: ${it.reason}") }, { it })
    return CommittedEntry(index, content.proposal, command)
}

/** Returns the state in [snapshot]. */
internal fun restored(snapshot: Snapshot): SnapshotRestored {
    if (snapshot.state.isEmpty()) return SnapshotRestored(snapshot.index, null)
    val replicatedState = decodeControlState(
        snapshot.state,
    ).fold({ error("the snapshot at ${snapshot.index} holds no state: ${it.reason}") }, { it })
    return SnapshotRestored(snapshot.index, replicatedState)
}
