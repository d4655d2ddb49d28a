/**
 * The once-only ledger as routers see it: what they ask of the control replicas and are told.
 */
package sniperoute.request.ledger.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import sniperoute.process.codec.SerializableList
import sniperoute.process.identity.Incarnation
import sniperoute.process.identity.VmName
import sniperoute.version.message.EndpointName
import sniperoute.version.message.RequestDigest
import sniperoute.version.message.RouteName
import sniperoute.version.message.WorkspaceName

/** Which call an entry is about: the caller's idempotency [key] counts within one workspace and route. */
@Serializable
public data class LedgerKey(public val workspace: WorkspaceName?, public val route: RouteName, public val key: String)

/** Who may run the call: one request at one run of a router. An entry never passes to another owner. */
@Serializable
public data class LedgerOwner(public val vm: VmName, public val incarnation: Incarnation, public val request: String)

/** The answer of a call that ran, for those who send it again; [body] is empty when it was too long to keep. */
@Serializable
public class RecordedAnswer(
    public val status: Int,
    public val contentType: String,
    public val body: ByteArray,
    public val isWhole: Boolean,
)

/** What a router asks of the ledger. */
@Serializable
public sealed interface LedgerRequest

/** Wants to run the call whose body has [digest]. */
@Serializable
public data class BeginCall(public val key: LedgerKey, public val owner: LedgerOwner, public val digest: RequestDigest) : LedgerRequest

/** The call ran, with this answer. */
@Serializable
public data class FinishCall(public val key: LedgerKey, public val owner: LedgerOwner, public val answer: RecordedAnswer) : LedgerRequest

/** Not a byte of the call was sent: it may be begun again. */
@Serializable
public data class ReleaseCall(public val key: LedgerKey, public val owner: LedgerOwner) : LedgerRequest

/** The call was sent and what became of it is not known. */
@Serializable
public data class LoseCall(public val key: LedgerKey, public val owner: LedgerOwner) : LedgerRequest

/** Endpoints died while they worked on requests. */
@Serializable
@SerialName("sniperoute.request.ledger.message.DeathNotice")
public data class CrashNotice(
    public val endpoint: EndpointName,
    public val incarnation: String,
    public val digests: SerializableList<RequestDigest>,
) : LedgerRequest

/** What a router is told. */
@Serializable
public sealed interface LedgerReply

/** The call is the asker's to run. */
@Serializable
@SerialName("sniperoute.request.ledger.message.CallIsYours")
public data object CallGranted : LedgerReply

/** What was asked is done, or needs not be. */
@Serializable
@SerialName("sniperoute.request.ledger.message.CallNoted")
public data object CallAcknowledged : LedgerReply

/** The call ran before, with this answer. */
@Serializable
public data class CallRan(public val answer: RecordedAnswer) : LedgerReply

/** Another request runs the call now. */
@Serializable
public data object CallIsRunning : LedgerReply

/** The call was sent before, and what became of it is not known. */
@Serializable
public data object CallMayHaveRun : LedgerReply

/** The key was used for a call with another body. */
@Serializable
public data object CallDiffers : LedgerReply

/** The workspace's part of the ledger is full of calls whose time is not over. */
@Serializable
public data object LedgerIsFull : LedgerReply

/** The replica does not lead or can't say now; the asker tries again. */
@Serializable
@SerialName("sniperoute.request.ledger.message.LedgerNotHere")
public data object LedgerUnavailable : LedgerReply
