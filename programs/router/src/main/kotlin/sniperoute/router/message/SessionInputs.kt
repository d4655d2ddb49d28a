/**
 * What a router's session with the control replicas takes in and orders.
 */
package sniperoute.router.message

import kotlinx.collections.immutable.ImmutableList
import sniperoute.process.identity.VmName
import sniperoute.request.admission.decision.ServingView
import sniperoute.request.ledger.message.LedgerReply
import sniperoute.request.ledger.message.LedgerRequest
import sniperoute.request.routing.message.TokensGranted
import sniperoute.version.decision.FleetView
import sniperoute.version.message.FleetWork
import sniperoute.version.message.ListedEndpoint
import sniperoute.version.message.RouteEvidence
import sniperoute.version.message.SessionMessage

/** The number of a question to the ledger that waits for its answer. */
@JvmInline
public value class LedgerWait(public val number: Long)

/** What the session duty takes in. */
public sealed interface SessionInput

/** A link to a control replica opened. */
public data class LinkOpened(public val replica: VmName) : SessionInput

/** The link to a control replica ended. */
public data class LinkClosed(public val replica: VmName) : SessionInput

/** A control replica said something about the session. */
public data class SessionSaid(public val replica: VmName, public val correlation: Long, public val message: SessionMessage) : SessionInput

/** A control replica answered about the ledger. */
public data class LedgerSaid(public val replica: VmName, public val correlation: Long, public val reply: LedgerReply) : SessionInput

/** Routing has something for the leader that needs no answer, or is asked for again: tokens wanted or given back, work. */
public data class RoutingSaid(public val message: SessionMessage) : SessionInput

/** A request has a question for the ledger. With [isLasting] it is asked until it is answered. */
public data class LedgerAsked(public val wait: LedgerWait, public val request: LedgerRequest, public val isLasting: Boolean) : SessionInput

/** Routing has new evidence. */
public data class EvidenceChanged(public val evidence: ImmutableList<RouteEvidence>) : SessionInput

/** The platform's list was read here; `null` when it could not be. */
public data class ListRead(public val listed: ImmutableList<ListedEndpoint>?) : SessionInput

/** What the session duty orders. */
public sealed interface SessionOrder

/** Send [message] to [replica]. */
public data class SendSession(public val replica: VmName, public val correlation: Long, public val message: SessionMessage) : SessionOrder

/** Send [request] to [replica]. */
public data class SendLedger(public val replica: VmName, public val correlation: Long, public val request: LedgerRequest) : SessionOrder

/** What may be served changed. */
public data class ServeBy(public val view: ServingView) : SessionOrder

/** Tokens came. */
public data class HandTokens(public val grant: TokensGranted) : SessionOrder

/** A question to the ledger is answered. */
public data class AnswerLedger(public val wait: LedgerWait, public val reply: LedgerReply) : SessionOrder

/** All routers' work at endpoints. */
public data class HandWork(public val message: FleetWork) : SessionOrder

/** The listed endpoints changed. */
public data class ServeFleet(public val fleet: FleetView) : SessionOrder

/** So many routers share the fleet's allowances. */
public data class ShareAllowances(public val routers: Int) : SessionOrder

/** Keep links to [replicas]. */
public data class KeepLinks(public val replicas: ImmutableList<VmName>) : SessionOrder

/** No control replica is linked: look for others. */
public data object SeekReplicas : SessionOrder

/** The leader's view of the fleet is old: read the platform's list here. */
public data object ReadFleet : SessionOrder

/** The lease ran out before it could be renewed. */
public data object LeaseRanOut : SessionOrder

/** The catalogue of [revision] is in force here. */
public data class CameInForce(public val revision: Long, public val configuration: Long) : SessionOrder
