/**
 * The state of one replica of the agreement, and the inputs and effects of its step.
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
 * Times and sizes of the agreement. [voterVms] are the VMs whose replicas should vote; when it is empty any may, up to
 * [targetVoterCount], and a newcomer takes the place of a voter that was silent for [replaceAfter].
 */
public data class AgreementSettings(
    public val voterVms: PersistentSet<VmName>,
    public val heartbeatInterval: Duration = 100.milliseconds,
    public val minimumElectionTimeout: Duration = 500.milliseconds,
    public val maximumElectionTimeout: Duration = 900.milliseconds,
    public val leaseMargin: Duration = 50.milliseconds,
    public val entriesPerMessage: Int = 256,
    public val snapshotResend: Duration = 1_000.milliseconds,
    public val targetVoterCount: Int = voterVms.size,
    public val replaceAfter: Duration = 1_500.milliseconds,
    public val joinInterval: Duration = 1_000.milliseconds,
)

/** What a replica is to the others at the moment. */
public sealed interface Role

/** Follows [leader], or nobody known. */
public data class Follower(public val leader: ReplicaIdentity?) : Role

/** Asks whether it would be elected; [granted] said yes. */
public data class PreCandidate(public val granted: PersistentSet<ReplicaIdentity>) : Role

/** Stands for election; [granted] voted for it. */
public data class Candidate(public val granted: PersistentSet<ReplicaIdentity>) : Role

/** Leads. [firstIndex] is the entry that it started with; while [handoverUntil] lies ahead it takes no proposals. */
public data class Leader(
    public val progress: PersistentMap<ReplicaIdentity, Progress>,
    public val firstIndex: Long,
    public val nextHeartbeat: Timestamp,
    public val handoverUntil: Timestamp? = null,
) : Role

/**
 * What a leader knows of another replica: the [next] entry to send, the last [matched] one, when the newest request that
 * was [answered] had been sent, and when entries were last sent to it.
 */
public data class Progress(
    public val next: Long,
    public val matched: Long,
    public val answered: Timestamp,
    public val snapshotSent: Timestamp = Timestamp.EARLIEST,
    public val entriesSent: Timestamp = Timestamp.EARLIEST,
)

/**
 * The state of one replica. [syncedIndex] is the last index known to be on its own disk; until [outsideUntil] it takes itself for no
 * member, as one that is said.
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
    public val leaderHeard: Timestamp,
    public val electionDue: Timestamp,
    public val nextJoin: Timestamp,
    public val outsideUntil: Timestamp = Timestamp.EARLIEST,
) {
    /** Whether this replica may vote and stand for election. */
    public val isVoter: Boolean get() = self in log.membership.voters

    /** The leader as far as this replica knows. */
    public val leaderOrNull: ReplicaIdentity?
        get() = when (role) {
            is Leader -> self
            is Follower -> role.leader
            else -> null
        }
}

/** What a step takes in. */
public sealed interface AgreementInput

/** Time has passed. */
public data object Tick : AgreementInput

/** A [message] came from [from]. */
public data class MessageReceived(public val from: ReplicaIdentity, public val message: AgreementMessage) : AgreementInput

/** Someone here wants [bytes] agreed on, under the number [proposal]. */
public class Propose(public val proposal: Long, public val bytes: ByteArray) : AgreementInput

/** The entry at [index] of [term], and all before it, are on this replica's disk. */
public data class Synced(public val index: Long, public val term: Long) : AgreementInput

/** The state machine's [state] after the entry [index]. */
public class SnapshotTaken(public val index: Long, public val state: ByteArray) : AgreementInput

/** This replica is about to stop and should not lead any more. */
public data object TransferLeadership : AgreementInput

/** The disk does not take writes, so this replica must not lead. */
public data object DiskWriteFailed : AgreementInput

/** What a step asks its duty to do; effects are performed in sequence. */
public sealed interface AgreementEffect

/** Write term, vote and [entries] to disk; an entry replaces those from its index on. */
public data class Persist(
    public val term: Long,
    public val votedFor: ReplicaIdentity?,
    public val entries: PersistentList<LogEntry> = persistentListOf(),
) : AgreementEffect

/** Write [log]'s snapshot and entries to disk in place of what is there. */
public data class PersistSnapshot(
    public val term: Long,
    public val votedFor: ReplicaIdentity?,
    public val log: ReplicaLog,
) : AgreementEffect

/** Send at once. */
public data class SendMessage(public val to: ReplicaIdentity, public val message: AgreementMessage) : AgreementEffect

/** Send once everything ordered to disk so far is synced. */
public data class SendMessageAfterSync(public val to: ReplicaIdentity, public val message: AgreementMessage) : AgreementEffect

/** Ask every VM that is known whether its replica leads; used by a replica that is in no membership. */
public data class BroadcastMessage(public val message: AgreementMessage) : AgreementEffect

/** Note that [vms] have replicas, as a member said. */
public data class AddKnownMembers(public val vms: PersistentList<VmName>) : AgreementEffect

/** Apply [entries] to the state machine. */
public data class ApplyEntries(public val entries: PersistentList<LogEntry>) : AgreementEffect

/** Replace the state machine by [snapshot]'s. */
public data class RestoreSnapshot(public val snapshot: Snapshot) : AgreementEffect

/** Tell the proposer that [proposal] was not taken, and who leads. */
public data class RejectProposal(public val proposal: Long, public val leader: ReplicaIdentity?) : AgreementEffect

/** Note in the time line that this replica's role changed. */
public data class ReportRoleChange(public val role: Role, public val term: Long) : AgreementEffect

/** Note in the time line that the membership changed. */
public data class ReportMembershipChange(public val membership: Membership) : AgreementEffect

/** A state and what was ordered on the way to it. */
public data class Transition(public val state: AgreementState, public val effects: PersistentList<AgreementEffect> = persistentListOf())

internal fun Transition.emit(effect: AgreementEffect): Transition = copy(effects = effects.add(effect))

internal fun Transition.update(change: AgreementState.() -> AgreementState): Transition = copy(state = state.change())

internal fun Transition.then(step: (AgreementState) -> Transition): Transition {
    val next = step(state)
    return Transition(next.state, effects.addAll(next.effects))
}

internal fun AgreementState.unchanged(): Transition = Transition(this)
