/**
 * What operators' commands and the control replicas say to each other over HTTP, in JSON.
 */
package sniperoute.control.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import sniperoute.process.codec.SerializableList
import sniperoute.version.message.Declarations
import sniperoute.version.message.Move

/** Wants [declarations] to follow the configuration [follows]. */
@Serializable
@SerialName("sniperoute.control.message.SubmissionForm")
public data class SubmissionRequest(public val follows: Long, public val digest: String, public val declarations: Declarations)

/** What became of a submission: `accepted`, `repeated`, `lost` or `invalid`. */
@Serializable
public data class SubmissionReply(
    public val outcome: String,
    public val number: Long,
    public val revision: Long,
    public val winnerDigest: String? = null,
    public val winnerOperator: String? = null,
    public val current: Long? = null,
    public val problems: SerializableList<String>? = null,
)

/** A key to grant to [workspace] or to withdraw. */
@Serializable
@SerialName("sniperoute.control.message.KeyForm")
public data class KeyRequest(public val sha256: String, public val workspace: String? = null)

/** A move to start. */
@Serializable
@SerialName("sniperoute.control.message.MoveForm")
public data class MoveRequest(public val service: String, public val to: String? = null, public val deadlineMilliseconds: Long? = null)

/** A request's digest. */
@Serializable
@SerialName("sniperoute.control.message.DigestForm")
public data class LiftQuarantineRequest(public val digest: String)

/** A command took effect at [revision]. */
@Serializable
@SerialName("sniperoute.control.message.EffectReply")
public data class CommandReply(public val revision: Long)

/** How far a revision is in force. */
@Serializable
@SerialName("sniperoute.control.message.ForceReply")
public data class InForceReply(
    public val revision: Long,
    public val confirmed: Int,
    public val live: Int,
    public val everywhere: Boolean,
)

/** A router as the leader knows it. */
@Serializable
public data class RouterView(public val vm: String, public val incarnation: String, public val revision: Long)

/** A replica as the leader knows it. */
@Serializable
public data class ReplicaView(public val vm: String, public val disk: String, public val votes: Boolean)

/** What a replica says of itself and, when it leads, of the fleet. */
@Serializable
public data class StatusReply(
    public val vm: String,
    public val leads: Boolean,
    public val leader: String?,
    public val term: Long,
    public val committed: Long,
    public val applied: Long,
    public val redundancy: String,
    public val configuration: Long,
    public val digest: String?,
    public val revision: Long,
    public val replicas: SerializableList<ReplicaView>,
    public val routers: SerializableList<RouterView>,
    public val moves: SerializableList<Move>,
    public val quarantine: SerializableList<String>,
)

/** What is declared and in force. */
@Serializable
public data class ConfigurationReply(public val number: Long, public val declarations: Declarations?)
