/**
 * Inputs and effects of a router's session with the control replicas.
 */
package sniperoute.router.message

import kotlinx.collections.immutable.ImmutableList
import sniperoute.process.identity.VmName
import sniperoute.request.admission.decision.ServingView
import sniperoute.request.ledger.message.LedgerReply
import sniperoute.request.ledger.message.LedgerRequest
import sniperoute.request.routing.message.TokensGranted
import sniperoute.version.decision.FleetView
import sniperoute.version.message.FleetWorkload
import sniperoute.version.message.ListedEndpoint
import sniperoute.version.message.RouteEvidence
import sniperoute.version.message.SessionMessage

/** The number of a question to the ledger that waits for its answer. */
@JvmInline
public value class LedgerQuestionId(public val number: Long)

/** What the session duty takes in. */
public sealed interface SessionInput

/** A link to a control replica opened. */
public data class LinkOpened(public val replica: VmName) : SessionInput

/** The link to a control replica ended. */
public data class LinkClosed(public val replica: VmName) : SessionInput

/** A control replica said something about the session. */
public data class SessionMessageReceived(
    public val replica: VmName,
    public val correlation: Long,
    public val message: SessionMessage,
) : SessionInput

/** A control replica answered about the ledger. */
public data class LedgerReplyReceived(
    public val replica: VmName,
    public val correlation: Long,
    public val reply: LedgerReply,
) : SessionInput

/** Routing has something for the leader that needs no answer, or is asked for again: tokens wanted or given back, work. */
public data class RoutingSaid(public val message: SessionMessage) : SessionInput

/** A request has a question for the ledger. With [retryUntilAnswered] it is asked until it is answered. */
public data class LedgerAsked(
    public val wait: LedgerQuestionId,
    public val request: LedgerRequest,
    public val retryUntilAnswered: Boolean,
) : SessionInput

/** Routing has new evidence. */
public data class EvidenceChanged(public val evidence: ImmutableList<RouteEvidence>) : SessionInput

/** The platform's list was read here; `null` when it could not be. */
public data class ListRead(public val listed: ImmutableList<ListedEndpoint>?) : SessionInput

/** What a step of the session duty asks it to do. */
public sealed interface SessionEffect

/** Send [message] to [replica]. */
public data class SendSession(public val replica: VmName, public val correlation: Long, public val message: SessionMessage) : SessionEffect

/** Send [request] to [replica]. */
public data class SendLedger(public val replica: VmName, public val correlation: Long, public val request: LedgerRequest) : SessionEffect

/** What may be served changed. */
public data class ServeBy(public val view: ServingView) : SessionEffect

/** Tokens came. */
public data class DeliverTokens(public val grant: TokensGranted) : SessionEffect

/** A question to the ledger is answered. */
public data class AnswerLedger(public val wait: LedgerQuestionId, public val reply: LedgerReply) : SessionEffect

/** All routers' work at endpoints. */
public data class DeliverWorkload(public val message: FleetWorkload) : SessionEffect

/** The listed endpoints changed. */
public data class ServeFleet(public val fleet: FleetView) : SessionEffect

/** So many routers share the fleet's allowances. */
public data class ShareAllowances(public val routers: Int) : SessionEffect

/** Keep links to [replicas]. */
public data class KeepLinks(public val replicas: ImmutableList<VmName>) : SessionEffect

/** No control replica is linked: look for others. */
public data object SeekReplicas : SessionEffect

/** The leader's view of the fleet is old: read the platform's list here. */
public data object ReadFleet : SessionEffect

/** The lease ran out before it could be renewed. */
public data object LeaseRanOut : SessionEffect

/** The catalogue of [revision] is in force here. */
public data class CameInForce(public val revision: Long, public val configuration: Long) : SessionEffect
