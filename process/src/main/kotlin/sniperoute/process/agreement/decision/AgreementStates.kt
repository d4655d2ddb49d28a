/**
 * The state of a replica of the agreement, and the inputs and effects of its step.
 */
package sniperoute.process.agreement.decision

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import sniperoute.process.agreement.message.*
import sniperoute.process.clock.Timestamp
import sniperoute.process.identity.VmName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Intervals and limits of the agreement. [voterVms] are the VMs whose replicas should be voters; when it is empty, any replica
 * may become one, up to [targetVoterCount], and a caught-up learner replaces a voter that has not replied for
 * [voterReplacementDelay]. The leader lease is shorter than the minimum election timeout by [leaseMargin].
 */
public data class AgreementSettings(
    public val voterVms: PersistentSet<VmName>,
    public val heartbeatInterval: Duration = 100.milliseconds,
    public val minimumElectionTimeout: Duration = 500.milliseconds,
    public val maximumElectionTimeout: Duration = 900.milliseconds,
    public val leaseMargin: Duration = 50.milliseconds,
    public val maxEntriesPerMessage: Int = 256,
    public val snapshotResendInterval: Duration = 1_000.milliseconds,
    public val targetVoterCount: Int = voterVms.size,
    public val voterReplacementDelay: Duration = 1_500.milliseconds,
    public val joinRequestInterval: Duration = 1_000.milliseconds,
)

/** The role of a replica in its current term. */
public sealed interface Role

/** Follows [leader], which is `null` while the leader of the term is not known. */
public data class Follower(public val leader: ReplicaIdentity?) : Role

/** Runs a pre-vote; [granted] are the replicas that would vote for it. */
public data class PreCandidate(public val granted: PersistentSet<ReplicaIdentity>) : Role

/** Runs an election; [granted] are the replicas that voted for it. */
public data class Candidate(public val granted: PersistentSet<ReplicaIdentity>) : Role

/** Leads the group. [firstIndex] is the index of its no-op entry; until [transferDeadline] it rejects proposals. */
public data class Leader(
    public val progress: PersistentMap<ReplicaIdentity, Progress>,
    public val firstIndex: Long,
    public val nextHeartbeat: Timestamp,
    public val transferDeadline: Timestamp? = null,
) : Role

/**
 * The replication progress of another replica as the leader sees it. [nextIndex] is the index of the next entry to send,
 * [matchIndex] the highest index up to which its synced log is known to match, and [lastContact] the time at which the newest
 * request that it has replied to was sent.
 */
public data class Progress(
    public val nextIndex: Long,
    public val matchIndex: Long,
    public val lastContact: Timestamp,
    public val snapshotSentAt: Timestamp = Timestamp.EARLIEST,
    public val entriesSentAt: Timestamp = Timestamp.EARLIEST,
)

/**
 * The state of a replica. [syncedIndex] is the last index known to be synced to its own disk. Until [nonMemberUntil] it
 * treats itself as no member, since a member has sent a member list without it.
 */
public data class AgreementState(
    public val self: ReplicaIdentity,
    public val settings: AgreementSettings,
    public val seed: Int,
    public val term: Long,
    public val votedFor: ReplicaIdentity?,
    public val log: ReplicaLog,
    public val syncedIndex: Long,
    public val commitIndex: Long,
    public val role: Role,
    public val lastLeaderContact: Timestamp,
    public val electionDeadline: Timestamp,
    public val nextJoinRequest: Timestamp,
    public val nonMemberUntil: Timestamp = Timestamp.EARLIEST,
) {
    /** Whether this replica may vote and start elections. */
    public val isVoter: Boolean get() = self in log.membership.voters

    /** The leader as far as this replica knows. */
    public val leaderOrNull: ReplicaIdentity?
        get() = when (role) {
            is Leader -> self
            is Follower -> role.leader
            else -> null
        }
}

/** An input of a step. */
public sealed interface AgreementInput

/** Checks deadlines; sent at regular intervals. */
public data object Tick : AgreementInput

/** The replica [from] sent [message]. */
public data class MessageReceived(public val from: ReplicaIdentity, public val message: AgreementMessage) : AgreementInput

/** Proposes [bytes] as a command under the number [proposal]. */
public class Propose(public val proposal: Long, public val bytes: ByteArray) : AgreementInput

/** The entry at [index] of [term] and all entries before it are synced to this replica's disk. */
public data class Synced(public val index: Long, public val term: Long) : AgreementInput

/** The encoded [state] of the state machine after the entry [index] was applied. */
public class SnapshotTaken(public val index: Long, public val state: ByteArray) : AgreementInput

/** This replica is about to stop and should transfer leadership if it leads. */
public data object TransferLeadership : AgreementInput

/** A write to this replica's disk failed, so it must not lead. */
public data object DiskWriteFailed : AgreementInput

/** What a step asks its duty to do. Effects are performed in order. */
public sealed interface AgreementEffect

/** Writes the term, the vote and [entries] to disk; [entries] replace all entries from their index on. */
public data class Persist(
    public val term: Long,
    public val votedFor: ReplicaIdentity?,
    public val entries: PersistentList<LogEntry> = persistentListOf(),
) : AgreementEffect

/** Replaces the snapshot and the entries on disk by those of [log]. */
public data class PersistSnapshot(
    public val term: Long,
    public val votedFor: ReplicaIdentity?,
    public val log: ReplicaLog,
) : AgreementEffect

/** Sends [message] without waiting for the disk. */
public data class SendMessage(public val to: ReplicaIdentity, public val message: AgreementMessage) : AgreementEffect

/** Sends [message] after all writes emitted before this effect are synced. */
public data class SendMessageAfterSync(public val to: ReplicaIdentity, public val message: AgreementMessage) : AgreementEffect

/** Sends [message] to the replicas of all known VMs; used by a replica that is in no membership. */
public data class BroadcastMessage(public val message: AgreementMessage) : AgreementEffect

/** Adds [vms], received in a member list, to the known VMs. */
public data class AddKnownMembers(public val vms: PersistentList<VmName>) : AgreementEffect

/** Applies the committed [entries] to the state machine. */
public data class ApplyEntries(public val entries: PersistentList<LogEntry>) : AgreementEffect

/** Replaces the state of the state machine by that of [snapshot]. */
public data class RestoreSnapshot(public val snapshot: Snapshot) : AgreementEffect

/** Notifies the proposer that [proposal] was rejected, and which replica leads. */
public data class RejectProposal(public val proposal: Long, public val leader: ReplicaIdentity?) : AgreementEffect

/** Records in the time line that this replica's role changed. */
public data class ReportRoleChange(public val role: Role, public val term: Long) : AgreementEffect

/** Records in the time line that the leader appended a new membership. */
public data class ReportMembershipChange(public val membership: Membership) : AgreementEffect

/** The state after a step, and the effects emitted by it. */
public data class AgreementStep(public val state: AgreementState, public val effects: PersistentList<AgreementEffect> = persistentListOf())

internal fun AgreementStep.emit(effect: AgreementEffect): AgreementStep = copy(effects = effects.add(effect))

internal fun AgreementStep.update(change: AgreementState.() -> AgreementState): AgreementStep = copy(state = state.change())

internal fun AgreementStep.then(step: (AgreementState) -> AgreementStep): AgreementStep {
    val next = step(state)
    return AgreementStep(next.state, effects.addAll(next.effects))
}

internal fun AgreementState.unchanged(): AgreementStep = AgreementStep(this)
