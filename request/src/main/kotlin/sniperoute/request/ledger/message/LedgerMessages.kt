/**
 * Messages of the once-only ledger: requests of routers and the replies of the control replicas.
 */
package sniperoute.request.ledger.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import sniperoute.process.codec.SerializableList
import sniperoute.process.identity.Incarnation
import sniperoute.process.identity.VmName
import sniperoute.version.message.BlockId
import sniperoute.version.message.EndpointName
import sniperoute.version.message.RequestDigest
import sniperoute.version.message.RouteName
import sniperoute.version.message.WorkspaceName

/** Identifies a call: the caller's idempotency [key] is unique within one workspace and route. */
@Serializable
public data class LedgerKey(public val workspace: WorkspaceName?, public val route: RouteName, public val key: String)

/** The owner of a call: one request at one incarnation of a router. An entry never passes to another owner. */
@Serializable
public data class LedgerOwner(public val vm: VmName, public val incarnation: Incarnation, public val request: String)

/** The response of a call that ran, to be replayed for retries. If it was too long to keep, [isWhole] is `false` and [body] is empty. */
@Serializable
public class RecordedAnswer(
    public val status: Int,
    public val contentType: String,
    public val body: ByteArray,
    public val isWhole: Boolean,
)

/** A request of a router to the ledger. */
@Serializable
public sealed interface LedgerRequest

/** Requests to run the call whose body has [digest]. */
@Serializable
public data class BeginCall(public val key: LedgerKey, public val owner: LedgerOwner, public val digest: RequestDigest) : LedgerRequest

/** The call ran, with this response. */
@Serializable
public data class FinishCall(public val key: LedgerKey, public val owner: LedgerOwner, public val answer: RecordedAnswer) : LedgerRequest

/** No byte of the call was sent, so it may be begun again. */
@Serializable
public data class ReleaseCall(public val key: LedgerKey, public val owner: LedgerOwner) : LedgerRequest

/** The call was sent, and its outcome is unknown. */
@Serializable
@SerialName("sniperoute.request.ledger.message.LoseCall")
public data class MarkCallLost(public val key: LedgerKey, public val owner: LedgerOwner) : LedgerRequest

/** The endpoint crashed while it worked on the requests with [digests]. */
@Serializable
@SerialName("sniperoute.request.ledger.message.DeathNotice")
public data class CrashNotice(
    public val endpoint: EndpointName,
    public val incarnation: String,
    public val digests: SerializableList<RequestDigest>,
) : LedgerRequest

/** The connection to the endpoint broke before the answer to a prompt with [blocks] had any content. */
@Serializable
public data class InterruptionNotice(
    public val endpoint: EndpointName,
    public val incarnation: String,
    public val blocks: SerializableList<BlockId>,
    public val hasBegun: Boolean,
) : LedgerRequest

/** An endpoint answered a prompt with [blocks]. */
@Serializable
public data class ServedBlocksNotice(public val blocks: SerializableList<BlockId>) : LedgerRequest

/** A reply of the ledger. */
@Serializable
public sealed interface LedgerReply

/** The router may run the call. */
@Serializable
@SerialName("sniperoute.request.ledger.message.CallIsYours")
public data object CallGranted : LedgerReply

/** The request is done, or nothing was to be done. */
@Serializable
@SerialName("sniperoute.request.ledger.message.CallNoted")
public data object CallAcknowledged : LedgerReply

/** The call ran before, with this response. */
@Serializable
public data class CallRan(public val answer: RecordedAnswer) : LedgerReply

/** The call is running for another request. */
@Serializable
public data object CallIsRunning : LedgerReply

/** The call was sent before, and its outcome is unknown. */
@Serializable
public data object CallMayHaveRun : LedgerReply

/** The idempotency key was used for a call with another body. */
@Serializable
public data object CallDiffers : LedgerReply

/** The workspace has the maximum number of entries; no further call can begin before one of them is removed. */
@Serializable
public data object LedgerIsFull : LedgerReply

/** The replica does not lead or cannot reply now; the router retries. */
@Serializable
@SerialName("sniperoute.request.ledger.message.LedgerNotHere")
public data object LedgerUnavailable : LedgerReply
