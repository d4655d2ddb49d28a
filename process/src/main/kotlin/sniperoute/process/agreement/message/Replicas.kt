/**
 * Who takes part in the agreement, and what they have agreed on.
 */
package sniperoute.process.agreement.message

import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.Serializable
import sniperoute.process.codec.SerializableList
import sniperoute.process.identity.DiskIdentity
import sniperoute.process.identity.VmName

/** A replica: a VM together with the disk that holds its log. The same VM with another disk is another replica. */
@Serializable
public data class ReplicaIdentity(public val vm: VmName, public val disk: DiskIdentity) : Comparable<ReplicaIdentity> {
    override fun compareTo(other: ReplicaIdentity): Int = compareValuesBy(this, other, { it.vm }, { it.disk.bits })

    override fun toString(): String = "$vm/$disk"
}

/** The replicas that vote, and the learners that only receive the log. */
@Serializable
public data class Membership(
    public val voters: SerializableList<ReplicaIdentity>,
    public val learners: SerializableList<ReplicaIdentity> = persistentListOf(),
) {
    /** The number of voters that make a quorum. */
    public val quorum: Int get() = voters.size / 2 + 1

    /** Every replica that receives the log. */
    public val members: List<ReplicaIdentity> get() = voters + learners
}

/** What one entry of the log says. */
@Serializable
public sealed interface EntryContent

/** The first entry of each leader, which commits what earlier leaders left. */
@Serializable
public data object LeaderStarted : EntryContent

/** A membership that holds from this entry on. */
@Serializable
public data class MembershipEntry(public val membership: Membership) : EntryContent

/** A command of the state machine; [proposal] is the proposer's number for it. */
@Serializable
public class CommandEntry(public val proposal: Long, public val bytes: ByteArray) : EntryContent

/** One numbered entry of the log. */
@Serializable
public data class LogEntry(public val index: Long, public val term: Long, public val content: EntryContent)

/** The state machine and the membership as of the entry [index]. */
@Serializable
public class Snapshot(public val index: Long, public val term: Long, public val membership: Membership, public val state: ByteArray)
