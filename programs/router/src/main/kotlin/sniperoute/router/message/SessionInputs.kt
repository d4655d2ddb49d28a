/**
 * The inputs and effects of a router's session with the control replicas.
 */
package sniperoute.router.message

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.PersistentList
import sniperoute.process.identity.VmName
import sniperoute.request.admission.decision.ServingView
import sniperoute.request.ledger.message.LedgerReply
import sniperoute.request.ledger.message.LedgerRequest
import sniperoute.request.routing.message.TokensGranted
import sniperoute.version.decision.FleetView
import sniperoute.version.message.CacheUse
import sniperoute.version.message.EndpointDoubt
import sniperoute.version.message.FleetWorkload
import sniperoute.version.message.ListedEndpoint
import sniperoute.version.message.RequestLimitNotice
import sniperoute.version.message.RouteEvidence
import sniperoute.version.message.SessionMessage

/** Identifies a ledger request of this process. */
@JvmInline
public value class LedgerRequestId(public val number: Long)

/** An input of the session duty. */
public sealed interface SessionInput

/** A link to a control replica was opened. */
public data class LinkOpened(public val replica: VmName) : SessionInput

/** The link to a control replica was closed. */
public data class LinkClosed(public val replica: VmName) : SessionInput

/** A session message of a control replica was received. */
public data class SessionMessageReceived(
    public val replica: VmName,
    public val correlation: Long,
    public val message: SessionMessage,
) : SessionInput

/** A control replica's reply to a ledger request was received. */
public data class LedgerReplyReceived(
    public val replica: VmName,
    public val correlation: Long,
    public val reply: LedgerReply,
) : SessionInput

/**
 * The routing duty sends [message] to the leader: a token request, a token return or a workload report. It may be
 * lost: the routing duty repeats a token request, and its whole workload at intervals.
 */
public data class RoutingMessageSent(public val message: SessionMessage) : SessionInput

/**
 * A run or the routing duty sends [request] to the ledger. With [retryUntilAnswered] it is sent again until there is a reply, otherwise
 * it times out.
 */
public data class LedgerRequestIssued(
    public val id: LedgerRequestId,
    public val request: LedgerRequest,
    public val retryUntilAnswered: Boolean,
) : SessionInput

/** The evidence about the services that are being moved changed. */
public data class EvidenceChanged(public val evidence: ImmutableList<RouteEvidence>) : SessionInput

/** The routing duty has these [doubts] now, and no others. */
public data class DoubtsChanged(public val doubts: ImmutableList<EndpointDoubt>) : SessionInput

/** A request waits for its [use] of shared cached blocks to be recorded in the catalogue. */
public data class CacheUseReported(public val use: CacheUse) : SessionInput

/** This router read the platform's list; `null` when reading it failed. */
public data class ListRead(public val listed: ImmutableList<ListedEndpoint>?) : SessionInput

/** An effect that a step of the session emits. */
public sealed interface SessionEffect

/** Sends [message] to [replica]. */
public data class SendSession(public val replica: VmName, public val correlation: Long, public val message: SessionMessage) : SessionEffect

/** Sends [request] to [replica]. */
public data class SendLedger(public val replica: VmName, public val correlation: Long, public val request: LedgerRequest) : SessionEffect

/** Serves by [view] from now on. */
public data class ServeView(public val view: ServingView) : SessionEffect

/** Delivers tokens that the leader granted to the routing duty. */
public data class DeliverTokens(public val grant: TokensGranted) : SessionEffect

/** Delivers the reply to the ledger request [id] to its sender. */
public data class DeliverLedgerReply(public val id: LedgerRequestId, public val reply: LedgerReply) : SessionEffect

/** Delivers the workload of all routers at endpoints to the routing duty. */
public data class DeliverWorkload(public val message: FleetWorkload) : SessionEffect

/** Delivers the limits of endpoints and this router's permits to the routing duty. */
public data class DeliverRequestLimits(public val notice: RequestLimitNotice) : SessionEffect

/** Tells the routing duty which [doubts] the leader settled. */
public data class DeliverSettledDoubts(public val doubts: PersistentList<EndpointDoubt>) : SessionEffect

/** Lets the requests go on that wait for the record of [uses]: these are recorded, no longer wanted, or take too long. */
public data class ReleaseCacheUses(public val uses: PersistentList<CacheUse>) : SessionEffect

/** Routes by the listed endpoints in [fleet] from now on. */
public data class ServeFleet(public val fleet: FleetView) : SessionEffect

/** Divides the fleet's allowances by the number of [routers] that share them. */
public data class ShareAllowances(public val routers: Int) : SessionEffect

/** Keeps links to [replicas] open, and to no others. */
public data class KeepLinks(public val replicas: ImmutableList<VmName>) : SessionEffect

/** Looks for other control replicas. */
public data object DiscoverReplicas : SessionEffect

/** Reads the platform's list, since the leader's fleet view is out of date. */
public data object ReadPlatformList : SessionEffect

/** Records that the lease expired before it was renewed. */
public data object LeaseExpired : SessionEffect

/** Records that the catalogue of [revision] is in force at this router. */
public data class RevisionInForce(public val revision: Long, public val configuration: Long) : SessionEffect
