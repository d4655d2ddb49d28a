/**
 * The inputs and effects of the control duty. It knows links to routers and open requests of operators by their ids only.
 */
package sniperoute.control.message

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.PersistentList
import sniperoute.control.decision.CommandResult
import sniperoute.control.decision.ControlState
import sniperoute.process.agreement.message.LogEntry
import sniperoute.process.agreement.message.Snapshot
import sniperoute.process.clock.Timestamp
import sniperoute.process.identity.VmName
import sniperoute.process.timeline.message.EventKind
import sniperoute.process.timeline.message.EventSubject
import sniperoute.request.ledger.message.LedgerReply
import sniperoute.request.ledger.message.LedgerRequest
import sniperoute.version.decision.EndpointReport
import sniperoute.version.decision.LoadCommandOutcome
import sniperoute.version.decision.LoadEffect
import sniperoute.version.decision.RouterName
import sniperoute.version.message.EndpointName
import sniperoute.version.message.ListedEndpoint
import sniperoute.version.message.STORE_UNREACHABLE
import sniperoute.version.message.ServiceName
import sniperoute.version.message.SessionMessage
import sniperoute.version.message.StoreAddress
import sniperoute.version.message.WeightsVersion

/** Identifies an open link to a router. */
@JvmInline
public value class LinkId(public val number: Long)

/** Identifies an open request of an operator. */
@JvmInline
public value class OperatorRequestId(public val number: Long)

/** The link of a router, and the [correlation] by which it matches the reply to its request. */
public data class ReplyAddress(public val link: LinkId, public val correlation: Long)

/** An item of the control duty's ring. */
public sealed interface QueuedControlInput

/** The agreement committed [entries], which the duty decodes one at a time, so that at most one of them is in memory twice. */
public data class EncodedEntries(public val entries: PersistentList<LogEntry>) : QueuedControlInput

/** The agreement installed [snapshot], which the duty decodes. */
public class EncodedSnapshot(public val snapshot: Snapshot) : QueuedControlInput

/** An input of the control duty's step. */
public sealed interface ControlInput : QueuedControlInput

/**
 * A committed log entry: the [command] and its [proposal] number, or `null` for an entry that only the agreement uses. The command has
 * [bytes] in the log.
 */
public data class CommittedEntry(public val index: Long, public val proposal: Long, public val command: Command?, public val bytes: Int = 0)

/** The agreement committed [entries], in the order of their indexes. */
public data class EntriesCommitted(public val entries: PersistentList<CommittedEntry>) : ControlInput

/** The agreement installed a snapshot as of the log entry [index]; [replicatedState] is `null` in a group that has just formed. */
public data class SnapshotRestored(public val index: Long, public val replicatedState: ControlState?) : ControlInput

/** The agreement rejected [proposal]; [leader] is the replica that it takes for the leader. */
public data class ProposalRejected(public val proposal: Long, public val leader: VmName?) : ControlInput

/** A message of a router's session was received. */
public data class RouterMessageReceived(
    public val router: RouterName,
    public val from: ReplyAddress,
    public val message: SessionMessage,
) : ControlInput

/** A ledger request of a router was received. */
public data class LedgerRequestReceived(public val from: ReplyAddress, public val request: LedgerRequest) : ControlInput

/** The link to a router was closed. */
public data class RouterLinkClosed(public val link: LinkId) : ControlInput

/** An operator's request to apply [command] was received. */
public data class OperatorCommandReceived(public val requestId: OperatorRequestId, public val command: Command) : ControlInput

/** The weights that an endpoint serves were read; `null` when there was no valid response. */
public data class WeightsRead(public val endpoint: EndpointName, public val weights: WeightsVersion?) : ControlInput

/** The platform's list was read; `null` when reading it failed. */
public data class PlatformListRead(public val listed: ImmutableList<ListedEndpoint>?) : ControlInput

/** A cache store was checked; [incarnation] is [STORE_UNREACHABLE] when it did not respond. */
public data class StoreChecked(public val service: ServiceName, public val incarnation: Long) : ControlInput

/** The report of a listed endpoint was read; `null` when it gave none. */
public data class EndpointReportRead(public val endpoint: EndpointName, public val report: EndpointReport?) : ControlInput

/** The incarnation of a doubted endpoint was read, by a call that began at [startedAt]; `null` when it gave none. */
public data class EndpointChecked(public val endpoint: EndpointName, public val startedAt: Timestamp, public val incarnation: String?) :
    ControlInput

/** The load command for weights [number] that was sent to a listed endpoint ended with [outcome]. */
public data class LoadCommandEnded(
    public val endpoint: EndpointName,
    public val number: Long,
    public val outcome: LoadCommandOutcome,
) : ControlInput

/** An effect that a step of the control duty emits. */
public sealed interface ControlEffect

/** Proposes [command] to the agreement under the number [proposal]. */
public data class ProposeCommand(public val proposal: Long, public val command: Command) : ControlEffect

/** Sends a router the reply to a message of its session. */
public data class SendSessionReply(public val to: ReplyAddress, public val message: SessionMessage) : ControlEffect

/** Sends a router the reply to its ledger request. */
public data class SendLedgerReply(public val to: ReplyAddress, public val reply: LedgerReply) : ControlEffect

/** Sends [message] over all [links]. */
public data class NotifyRouters(public val links: PersistentList<LinkId>, public val message: SessionMessage) : ControlEffect

/**
 * Replies to an operator's request. The [result] is `null` when this replica doesn't lead; [leader] is then the replica that it takes
 * for the leader, and [mayHaveRun] is true when the command was proposed before leadership was lost, so that it may still commit.
 */
public data class SendOperatorReply(
    public val requestId: OperatorRequestId,
    public val result: CommandResult?,
    public val leader: VmName?,
    public val mayHaveRun: Boolean = false,
) : ControlEffect

/** Reads which weights the endpoint at [host] and [port] serves. */
public data class ReadWeights(public val endpoint: EndpointName, public val host: String, public val port: Int) : ControlEffect

/** Sends an endpoint the command to load [weights], which it must reject if it has seen a fencing token above [fence]. */
public data class LoadWeights(
    public val endpoint: EndpointName,
    public val host: String,
    public val port: Int,
    public val weights: WeightsVersion,
    public val fence: Long,
) : ControlEffect

/** Reads the platform's list. */
public data object ReadPlatformList : ControlEffect

/** Reads the incarnation of a cache store. */
public data class CheckStore(public val service: ServiceName, public val address: StoreAddress) : ControlEffect

/** Reads the incarnation of a listed endpoint that a router doubts; the call begins at [startedAt]. */
public data class CheckEndpoint(public val listed: ListedEndpoint, public val startedAt: Timestamp) : ControlEffect

/** Performs [load] at a listed endpoint; a load command carries the fencing token [fence]. */
public data class PerformLoadEffect(public val load: LoadEffect, public val fence: Long) : ControlEffect

/** Stores [replicatedState] as of the log entry [index] as a snapshot. */
public class StoreSnapshot(public val index: Long, public val replicatedState: ControlState) : ControlEffect

/** Records an event in the time line. */
public data class RecordTimelineEvent(
    public val kind: EventKind,
    public val subject: EventSubject,
    public val detail: String,
) : ControlEffect
