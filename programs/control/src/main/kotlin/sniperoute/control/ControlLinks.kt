/**
 * The links of a control replica: to the other replicas, whose messages go to the agreement duty, and to routers, whose
 * messages go to the control duty.
 */
package sniperoute.control

import sniperoute.connection.peer.DialVm
import sniperoute.connection.peer.LinkRefused
import sniperoute.connection.peer.PeerHandlers
import sniperoute.connection.peer.PeerLink
import sniperoute.connection.peer.message.Envelope
import sniperoute.connection.peer.message.EnvelopeChannel
import sniperoute.connection.peer.message.PeerName
import sniperoute.connection.peer.message.PeerRole
import sniperoute.connection.peer.noReconnectingLinks
import sniperoute.control.message.LedgerRequestReceived
import sniperoute.control.message.LinkId
import sniperoute.control.message.QueuedControlInput
import sniperoute.control.message.ReplyAddress
import sniperoute.control.message.RouterLinkClosed
import sniperoute.control.message.RouterMessageReceived
import sniperoute.process.agreement.codec.decodeAgreementMessage
import sniperoute.process.agreement.codec.encode
import sniperoute.process.agreement.decision.AgreementInput
import sniperoute.process.agreement.decision.MessageReceived
import sniperoute.process.agreement.message.AgreementMessage
import sniperoute.process.agreement.message.ReplicaIdentity
import sniperoute.process.identity.VmName
import sniperoute.process.ring.Ring
import sniperoute.process.timeline.EventRecorder
import sniperoute.process.timeline.message.EventKind
import sniperoute.request.ledger.codec.decodeLedgerRequest
import sniperoute.request.ledger.codec.encode
import sniperoute.request.ledger.message.LedgerReply
import sniperoute.version.codec.decodeSessionMessage
import sniperoute.version.codec.encode
import sniperoute.version.decision.RouterName
import sniperoute.version.message.NotLeader
import sniperoute.version.message.SessionMessage
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.LongAdder

/**
 * The open links. A message that finds its ring full is dropped: agreement messages and ledger requests are sent again, and what routers
 * report is reported whole at intervals. Agreement messages are sent over the link that this replica dialed or, without one, over the link
 * that the other replica dialed.
 */
internal class ControlLinks(
    dial: DialVm,
    private val agreement: Ring<AgreementInput>,
    private val control: Ring<QueuedControlInput>,
    private val recorder: EventRecorder,
) {
    private val dialedReplicas = ConcurrentHashMap<VmName, PeerLink>()
    private val acceptedReplicas = ConcurrentHashMap<VmName, PeerLink>()
    private val routers = ConcurrentHashMap<LinkId, PeerLink>()
    private val routerLinkIds = ConcurrentHashMap<PeerLink, LinkId>()
    private val lastLinkId = AtomicLong()
    private val notLeaderReplies = LongAdder()

    /** The number of router messages that were answered with [NotLeader], and so had no effect. */
    val notLeaderReplyCount: Long get() = notLeaderReplies.sum()

    /** The links to other replicas that this one keeps open. */
    val reconnectingLinks = noReconnectingLinks(dial, dialerHandlers())

    /** Handlers of the links that routers and other replicas dialed. */
    fun handlers(): PeerHandlers = PeerHandlers(::accepted, ::received, ::closed, ::refused)

    /** Handlers of the links that this replica dialed. */
    private fun dialerHandlers(): PeerHandlers = PeerHandlers(
        onOpened = { link ->
            dialedReplicas[link.peer.vm] = link
            recorder.record(EventKind.PEER_CONNECTED, detail = "replica ${link.peer.vm}")
        },
        onReceived = ::received,
        onClosed = { link, reason ->
            dialedReplicas.remove(link.peer.vm, link)
            recorder.record(EventKind.PEER_LOST, detail = "replica ${link.peer.vm}: $reason")
        },
        onRefused = ::refused,
    )

    /** Sends [message] to the replica [to]; drops it when no link to that replica, with that disk identity, is open. */
    fun sendAgreement(to: ReplicaIdentity, message: AgreementMessage) {
        val link = dialedReplicas[to.vm]?.takeIf { it.peer.disk == to.disk } ?: acceptedReplicas[to.vm]?.takeIf { it.peer.disk == to.disk }
        link?.send(envelope(EnvelopeChannel.AGREEMENT, 0, message.encode()))
    }

    /** Sends [message] over every open link that this replica dialed. */
    fun broadcastAgreement(message: AgreementMessage) {
        val bytes = message.encode()
        dialedReplicas.values.forEach { it.send(envelope(EnvelopeChannel.AGREEMENT, 0, bytes)) }
    }

    /** Sends [message] to the router at [to]; drops it when the link is closed. */
    fun reply(to: ReplyAddress, message: SessionMessage) {
        if (message is NotLeader) notLeaderReplies.increment()
        routers[to.link]?.send(envelope(EnvelopeChannel.SESSION, to.correlation, message.encode()))
    }

    /** Sends [message] to the routers at the links [to]. It is encoded once for all of them. */
    fun notify(to: List<LinkId>, message: SessionMessage) {
        val body = message.encode()
        to.forEach { link -> routers[link]?.send(envelope(EnvelopeChannel.SESSION, 0, body)) }
    }

    /** Sends [reply] to the router at [to]; drops it when the link is closed. */
    fun reply(to: ReplyAddress, reply: LedgerReply) {
        routers[to.link]?.send(envelope(EnvelopeChannel.LEDGER, to.correlation, reply.encode()))
    }

    private fun envelope(channel: EnvelopeChannel, correlation: Long, body: ByteArray) =
        Envelope(channel, correlation, recorder.nextTimestamp(), body)

    private fun accepted(link: PeerLink) {
        if (link.peer.role != PeerRole.ROUTER) {
            acceptedReplicas[link.peer.vm] = link
            return
        }
        val id = LinkId(lastLinkId.incrementAndGet())
        routerLinkIds[link] = id
        routers[id] = link
        recorder.record(EventKind.PEER_CONNECTED, detail = "router ${link.peer.vm}")
    }

    private fun received(link: PeerLink, envelope: Envelope) {
        recorder.mergeTimestamp(envelope.stamp)
        when (envelope.channel) {
            EnvelopeChannel.AGREEMENT -> receiveAgreement(link, envelope)
            EnvelopeChannel.SESSION -> receiveSession(link, envelope)
            EnvelopeChannel.LEDGER -> receiveLedger(link, envelope)
        }
    }

    private fun receiveAgreement(link: PeerLink, envelope: Envelope) {
        val sender = link.peer.replicaOrNull() ?: return refuse(link, "a router sent an agreement message")
        decodeAgreementMessage(envelope.body).fold(
            ifLeft = { refuse(link, it.reason) },
            ifRight = { agreement.offer(MessageReceived(sender, it)) },
        )
    }

    private fun receiveSession(link: PeerLink, envelope: Envelope) {
        val id = routerLinkIds[link] ?: return refuse(link, "a replica sent a session message")
        val router = RouterName(link.peer.vm, link.peer.incarnation)
        decodeSessionMessage(envelope.body).fold(
            ifLeft = { refuse(link, it.reason) },
            ifRight = { control.offer(RouterMessageReceived(router, ReplyAddress(id, envelope.correlation), it)) },
        )
    }

    private fun receiveLedger(link: PeerLink, envelope: Envelope) {
        val id = routerLinkIds[link] ?: return refuse(link, "a replica sent a ledger message")
        decodeLedgerRequest(envelope.body).fold(
            ifLeft = { refuse(link, it.reason) },
            ifRight = { control.offer(LedgerRequestReceived(ReplyAddress(id, envelope.correlation), it)) },
        )
    }

    private fun closed(link: PeerLink, reason: String) {
        acceptedReplicas.remove(link.peer.vm, link)
        val id = routerLinkIds.remove(link) ?: return
        routers.remove(id)
        control.offer(RouterLinkClosed(id))
        recorder.record(EventKind.PEER_LOST, detail = "router ${link.peer.vm}: $reason")
    }

    private fun refuse(link: PeerLink, reason: String) {
        link.close()
        refused(LinkRefused("${link.peer.vm}: $reason"))
    }

    private fun refused(refusal: LinkRefused) = recorder.record(EventKind.PEER_REFUSED, detail = refusal.reason)
}

private fun PeerName.replicaOrNull(): ReplicaIdentity? = disk?.let { ReplicaIdentity(vm, it) }
