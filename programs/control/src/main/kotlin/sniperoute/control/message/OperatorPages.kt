/**
 * The JSON bodies that operators' programs and control replicas exchange over HTTP.
 */
package sniperoute.control.message

import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import sniperoute.process.codec.SerializableList
import sniperoute.version.message.Declarations
import sniperoute.version.message.Move

/** Submits [declarations] as the configuration after number [follows]; [digest] is the digest of the declarations. */
@Serializable
@SerialName("sniperoute.control.message.SubmissionForm")
public data class SubmissionRequest(public val follows: Long, public val digest: String, public val declarations: Declarations)

/**
 * The outcome of a submission: `accepted`, `repeated`, `lost` or `invalid`. When it is `lost`, another submission won the number:
 * that of [winnerOperator]; [current] is the number in force.
 */
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

/** A key to withdraw or to grant to [workspace]; [sha256] is its digest in hexadecimal digits. */
@Serializable
@SerialName("sniperoute.control.message.KeyForm")
public data class KeyRequest(public val sha256: String, public val workspace: String? = null)

/** A move to start or to roll back; [to] and [deadlineMilliseconds] are required to start one. */
@Serializable
@SerialName("sniperoute.control.message.MoveForm")
public data class MoveRequest(public val service: String, public val to: String? = null, public val deadlineMilliseconds: Long? = null)

/** The digest of a request in quarantine. */
@Serializable
@SerialName("sniperoute.control.message.DigestForm")
public data class LiftQuarantineRequest(public val digest: String)

/** The failure domain [domain] whose evacuation starts or ends. */
@Serializable
public data class EvacuationRequest(public val domain: String)

/** A command was applied; its changes are part of [revision]. */
@Serializable
@SerialName("sniperoute.control.message.EffectReply")
public data class CommandReply(public val revision: Long)

/** On how many of the [live] routers a revision is in force; [everywhere] when no router can still serve by an older one. */
@Serializable
@SerialName("sniperoute.control.message.ForceReply")
public data class InForceReply(
    public val revision: Long,
    public val confirmed: Int,
    public val live: Int,
    public val everywhere: Boolean,
)

/** A router with a lease, and the revision by which it serves. */
@Serializable
public data class RouterView(public val vm: String, public val incarnation: String, public val revision: Long)

/** A member of the agreement; one that doesn't vote is a learner. */
@Serializable
public data class ReplicaView(public val vm: String, public val disk: String, public val votes: Boolean)

/** The status of a replica, with the routers of the fleet when it leads. */
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
    public val evacuated: SerializableList<String> = persistentListOf(),
)

/** The declarations in force, as configuration [number]. */
@Serializable
public data class ConfigurationReply(public val number: Long, public val declarations: Declarations?)
