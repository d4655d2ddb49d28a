/**
 * Inputs and effects of the control duty. Links and waiting operators are known to it by number only.
 */
package sniperoute.control.message

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.PersistentList
import sniperoute.control.decision.CommandResult
import sniperoute.control.decision.ControlState
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

/** The number of an open link to a router. */
@JvmInline
public value class LinkNumber(public val number: Long)

/** The number of an operator's request that waits for its answer. */
@JvmInline
public value class OperatorRequestId(public val number: Long)

/** Where a reply to a router goes. */
public data class ReplyAddress(public val link: LinkNumber, public val correlation: Long)

/** What the control duty takes in. */
public sealed interface ControlInput

/** An entry that was agreed on: a [command] under its proposer's number, or nothing for the control duty. */
public data class CommittedEntry(public val index: Long, public val proposal: Long, public val command: Command?)

/** The agreement committed [entries]. */
public data class EntriesCommitted(public val entries: PersistentList<CommittedEntry>) : ControlInput

/** The agreement replaced the state by the one as of [index]; a group that has just formed has no [replicatedState] yet. */
public data class SnapshotRestored(public val index: Long, public val replicatedState: ControlState?) : ControlInput

/** The agreement did not take [proposal]. */
public data class ProposalRejected(public val proposal: Long, public val leader: VmName?) : ControlInput

/** A router said something about its session. */
public data class SessionReceived(
    public val router: RouterName,
    public val from: ReplyAddress,
    public val message: SessionMessage,
) : ControlInput

/** A router asked the ledger. */
public data class LedgerReceived(public val from: ReplyAddress, public val request: LedgerRequest) : ControlInput

/** A router's link ended. */
public data class RouterLinkClosed(public val link: LinkNumber) : ControlInput

/** An operator wants [command] done. */
public data class OperatorCommanded(public val wait: OperatorRequestId, public val command: Command) : ControlInput

/** An endpoint said which weights it serves; `null` when it gave no answer. */
public data class WeightsRead(public val endpoint: EndpointName, public val weights: WeightsVersion?) : ControlInput

/** The platform's list was read; `null` when it could not be. */
public data class EndpointsListed(public val listed: ImmutableList<ListedEndpoint>?) : ControlInput

/** A store of cached parts reported its [incarnation], or [STORE_UNREACHABLE] stands for no answer. */
public data class StoreSeen(public val service: ServiceName, public val incarnation: Long) : ControlInput

/** A listed endpoint reported, or gave no report. */
public data class EndpointRead(public val endpoint: EndpointName, public val report: EndpointReport?) : ControlInput

/** What became of the order to load weights [number] that a listed endpoint was sent. */
public data class LoadCommandEnded(
    public val endpoint: EndpointName,
    public val number: Long,
    public val outcome: LoadCommandOutcome,
) : ControlInput

/** What a step of the control duty asks it to do. */
public sealed interface ControlEffect

/** Have [command] agreed on. */
public data class ProposeCommand(public val proposal: Long, public val command: Command) : ControlEffect

/** Reply to a router about its session. */
public data class SendSessionReply(public val to: ReplyAddress, public val message: SessionMessage) : ControlEffect

/** Reply to a router about the ledger. */
public data class SendLedgerReply(public val to: ReplyAddress, public val reply: LedgerReply) : ControlEffect

/** Tell every router that [message] holds. */
public data class NotifyRouters(public val links: PersistentList<LinkNumber>, public val message: SessionMessage) : ControlEffect

/**
 * Tell an operator what became of the command. Without [result] this replica does not lead, and [leader] may; when the
 * command [mayHaveRun], it was handed to the agreement before leadership was lost.
 */
public data class SendOperatorReply(
    public val wait: OperatorRequestId,
    public val result: CommandResult?,
    public val leader: VmName?,
    public val mayHaveRun: Boolean = false,
) : ControlEffect

/** Ask an endpoint at [host] and [port] which weights it serves. */
public data class ReadWeights(public val endpoint: EndpointName, public val host: String, public val port: Int) : ControlEffect

/** Order an endpoint to load [weights]; it must refuse when it has seen a fence above [fence]. */
public data class LoadWeights(
    public val endpoint: EndpointName,
    public val host: String,
    public val port: Int,
    public val weights: WeightsVersion,
    public val fence: Long,
) : ControlEffect

/** Read the platform's list. */
public data object ReadList : ControlEffect

/** Ask a store of cached parts whether it is there. */
public data class ReadStore(public val service: ServiceName, public val place: StoreAddress) : ControlEffect

/** Ask something of a listed endpoint; orders carry [fence]. */
public data class AskEndpoint(public val action: LoadEffect, public val fence: Long) : ControlEffect

/** The state [replicatedState] as of [index] is to be kept as a snapshot. */
public class KeepSnapshot(public val index: Long, public val replicatedState: ControlState) : ControlEffect

/** Note an event in the time line. */
public data class NoteEvent(public val kind: EventKind, public val subject: EventSubject, public val detail: String) : ControlEffect
