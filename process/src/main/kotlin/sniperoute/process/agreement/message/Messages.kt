/**
 * Messages between replicas.
 */
package sniperoute.process.agreement.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import sniperoute.process.clock.Timestamp
import sniperoute.process.codec.SerializableList

/** A message between replicas; [term] is the sender's current term. */
@Serializable
public sealed interface AgreementMessage {
    public val term: Long
}

/**
 * Asks for a vote. A pre-vote only asks whether the vote would be granted and changes no state. With [isLeadershipTransfer]
 * the leader itself asked the candidate to start the election, so a recent contact with that leader is no reason to refuse.
 */
@Serializable
public data class VoteRequest(
    override val term: Long,
    @SerialName("trial") public val isPreVote: Boolean,
    @SerialName("handover") public val isLeadershipTransfer: Boolean,
    @SerialName("lastIndex") public val lastLogIndex: Long,
    @SerialName("lastTerm") public val lastLogTerm: Long,
) : AgreementMessage

/** Replies to a [VoteRequest]; [votedTerm] is the term of the request. */
@Serializable
public data class VoteReply(
    override val term: Long,
    public val votedTerm: Long,
    @SerialName("trial") public val isPreVote: Boolean,
    public val granted: Boolean,
) : AgreementMessage

/** Sends the entries that follow [previousIndex]; without entries it is a heartbeat. [sentAt] is read from the leader's clock. */
@Serializable
@SerialName("sniperoute.process.agreement.message.AppendRequest")
public data class AppendEntriesRequest(
    override val term: Long,
    public val previousIndex: Long,
    public val previousTerm: Long,
    public val entries: SerializableList<LogEntry>,
    @SerialName("committed") public val leaderCommitIndex: Long,
    public val sentAt: Timestamp,
) : AgreementMessage

/**
 * Replies to an [AppendEntriesRequest] or an [InstallSnapshotRequest]. When [accepted], the follower's synced log equals the
 * leader's up to [matchIndex]; otherwise [matchIndex] is the index after which the leader should retry. [sentAt] is copied
 * from the request.
 */
@Serializable
@SerialName("sniperoute.process.agreement.message.AppendReply")
public data class AppendEntriesReply(
    override val term: Long,
    public val accepted: Boolean,
    @SerialName("matched") public val matchIndex: Long,
    public val sentAt: Timestamp,
) : AgreementMessage

/** Replaces the log of a follower that needs entries older than the leader's first one. */
@Serializable
@SerialName("sniperoute.process.agreement.message.SnapshotRequest")
public data class InstallSnapshotRequest(
    override val term: Long,
    public val snapshot: Snapshot,
    public val sentAt: Timestamp,
) : AgreementMessage

/** Transfers leadership: asks the receiver to start an election at once, since the leader is about to stop. */
@Serializable
@SerialName("sniperoute.process.agreement.message.HandoverRequest")
public data class TimeoutNowRequest(override val term: Long) : AgreementMessage

/** A replica that is in no membership asks to become a learner. */
@Serializable
public data class JoinRequest(override val term: Long) : AgreementMessage

/** Sends the [members] known to the sender to a replica that asked to join, or asked for a vote without being a member. */
@Serializable
public data class MembersNotice(override val term: Long, public val members: SerializableList<ReplicaIdentity>) : AgreementMessage
