/**
 * The members of a replica group, and the entries and snapshots of their log.
 */
package sniperoute.process.agreement.message

import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import sniperoute.process.codec.SerializableList
import sniperoute.process.identity.DiskIdentity
import sniperoute.process.identity.VmName

/** Identifies a replica by its VM and the disk that holds its log. The same VM with another disk is another replica. */
@Serializable
public data class ReplicaIdentity(public val vm: VmName, public val disk: DiskIdentity) : Comparable<ReplicaIdentity> {
    override fun compareTo(other: ReplicaIdentity): Int = compareValuesBy(this, other, { it.vm }, { it.disk.bits })

    override fun toString(): String = "$vm/$disk"
}

/** The voters, and the learners, which receive the log without voting. */
@Serializable
public data class Membership(
    public val voters: SerializableList<ReplicaIdentity>,
    public val learners: SerializableList<ReplicaIdentity> = persistentListOf(),
) {
    /** The number of voters in a majority. */
    public val quorum: Int get() = voters.size / 2 + 1

    /** Every replica that receives the log. */
    public val members: List<ReplicaIdentity> get() = voters + learners
}

/** The content of a log entry. */
@Serializable
public sealed interface EntryContent

/** The first entry of each leader's term; committing it commits the entries of earlier terms. */
@Serializable
@SerialName("sniperoute.process.agreement.message.LeaderStarted")
public data object NoOpEntry : EntryContent

/** A membership that takes effect as soon as this entry is appended. */
@Serializable
public data class MembershipEntry(public val membership: Membership) : EntryContent

/** A command for the state machine; [proposal] is the number that its proposer gave it. */
@Serializable
public class CommandEntry(public val proposal: Long, public val bytes: ByteArray) : EntryContent

/** An entry of the log. */
@Serializable
public data class LogEntry(public val index: Long, public val term: Long, public val content: EntryContent) {
    /** The length of its command; entries that only the agreement uses are short and count as empty. */
    public val commandBytes: Int get() = (content as? CommandEntry)?.bytes?.size ?: 0
}

/** The encoded state machine and the membership after the entry [index] was applied. */
@Serializable
public class Snapshot(public val index: Long, public val term: Long, public val membership: Membership, public val state: ByteArray)
