/**
 * Messages between replicas.
 */
package sniperoute.process.agreement.message

import kotlinx.serialization.Serializable
import sniperoute.process.clock.Timestamp
import sniperoute.process.codec.SerializableList

/** A message of the agreement; [term] is the sender's. */
@Serializable
public sealed interface AgreementMessage {
    public val term: Long
}

/** Asks for a vote; a [trial] only asks whether the vote would be given. A [handover] was asked for by the leader itself. */
@Serializable
public data class VoteRequest(
    override val term: Long,
    public val trial: Boolean,
    public val handover: Boolean,
    public val lastIndex: Long,
    public val lastTerm: Long,
) : AgreementMessage

/** Answers a [VoteRequest]; [votedTerm] is the term that was asked about. */
@Serializable
public data class VoteReply(
    override val term: Long,
    public val votedTerm: Long,
    public val trial: Boolean,
    public val granted: Boolean,
) : AgreementMessage

/** Sends entries that follow [previousIndex]; without entries it is a heartbeat. [sentAt] is the leader's time. */
@Serializable
public data class AppendRequest(
    override val term: Long,
    public val previousIndex: Long,
    public val previousTerm: Long,
    public val entries: SerializableList<LogEntry>,
    public val committed: Long,
    public val sentAt: Timestamp,
) : AgreementMessage

/**
 * Answers an [AppendRequest] or a [SnapshotRequest]. When [accepted], the follower's synced log equals the leader's up to
 * [matched]; else [matched] is where the leader should try next. [sentAt] is the request's.
 */
@Serializable
public data class AppendReply(
    override val term: Long,
    public val accepted: Boolean,
    public val matched: Long,
    public val sentAt: Timestamp,
) : AgreementMessage

/** Replaces the log of a follower that lags behind the leader's oldest entry. */
@Serializable
public data class SnapshotRequest(override val term: Long, public val snapshot: Snapshot, public val sentAt: Timestamp) : AgreementMessage

/** Asks the receiver to stand for election at once, since the leader is about to stop. */
@Serializable
public data class HandoverRequest(override val term: Long) : AgreementMessage

/** A replica that is in no membership asks to become a learner. */
@Serializable
public data class JoinRequest(override val term: Long) : AgreementMessage

/** Tells a replica that asked to join, or for a vote without being a member, who the [members] are as far as the sender knows. */
@Serializable
public data class MembersNotice(override val term: Long, public val members: SerializableList<ReplicaIdentity>) : AgreementMessage
