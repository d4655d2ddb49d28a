/**
 * Decodes committed log entries and snapshots of the agreement for the control duty.
 *
 * Content that can't be decoded is a program fault and fails the duty: a replica that skipped it would diverge from the others.
 */
package sniperoute.control.codec

import kotlinx.collections.immutable.persistentListOf
import sniperoute.control.message.CommittedEntry
import sniperoute.control.message.ControlInput
import sniperoute.control.message.EncodedEntries
import sniperoute.control.message.EncodedSnapshot
import sniperoute.control.message.EntriesCommitted
import sniperoute.control.message.QueuedControlInput
import sniperoute.control.message.SnapshotRestored
import sniperoute.process.agreement.message.CommandEntry
import sniperoute.process.agreement.message.LogEntry
import sniperoute.process.agreement.message.Snapshot

/** Returns the inputs that this item stands for; each is decoded when the sequence reaches it. */
internal fun QueuedControlInput.decode(): Sequence<ControlInput> = when (this) {
    is EncodedEntries -> entries.asSequence().map { EntriesCommitted(persistentListOf(it.toCommitted())) }
    is EncodedSnapshot -> sequenceOf(decodeSnapshot(snapshot))
    is ControlInput -> sequenceOf(this)
}

private fun LogEntry.toCommitted(): CommittedEntry {
    val content = content as? CommandEntry ?: return CommittedEntry(index, 0, null)
    val command = decodeCommand(content.bytes).fold({ error("log entry $index is not a command: ${it.reason}") }, { it })
    return CommittedEntry(index, content.proposal, command, content.bytes.size)
}

/** Returns the input for [snapshot]; the one of a group that has just formed has no state. */
private fun decodeSnapshot(snapshot: Snapshot): SnapshotRestored {
    if (snapshot.state.isEmpty()) return SnapshotRestored(snapshot.index, null)
    val state = decodeControlState(snapshot.state)
        .fold({ error("the snapshot at index ${snapshot.index} is not a control state: ${it.reason}") }, { it })
    return SnapshotRestored(snapshot.index, state)
}
