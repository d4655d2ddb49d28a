/**
 * The session duty: owns the session with the control replicas, and performs the effects of its steps.
 */
package sniperoute.router

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import sniperoute.common.ListEndpoints
import sniperoute.connection.peer.DialVm
import sniperoute.connection.peer.PeerHandlers
import sniperoute.connection.peer.PeerLink
import sniperoute.connection.peer.message.Envelope
import sniperoute.connection.peer.message.EnvelopeChannel
import sniperoute.connection.peer.noReconnectingLinks
import sniperoute.process.clock.Clock
import sniperoute.process.duty.Duty
import sniperoute.process.duty.OnDutyFailure
import sniperoute.process.duty.startStateDuty
import sniperoute.process.identity.VmName
import sniperoute.process.ring.Ring
import sniperoute.process.timeline.EventRecorder
import sniperoute.process.timeline.message.EventKind
import sniperoute.process.timeline.message.EventSubject
import sniperoute.request.admission.decision.ServingView
import sniperoute.request.ledger.codec.decodeLedgerReply
import sniperoute.request.ledger.codec.encode
import sniperoute.request.ledger.message.LedgerReply
import sniperoute.request.ledger.message.LedgerRequest
import sniperoute.request.ledger.message.LedgerUnavailable
import sniperoute.request.routing.message.DoubtsSettled
import sniperoute.request.routing.message.FleetChanged
import sniperoute.request.routing.message.FleetWorkloadReceived
import sniperoute.request.routing.message.RequestLimitsReceived
import sniperoute.request.routing.message.RouterCountChanged
import sniperoute.request.routing.message.RoutingInput
import sniperoute.request.routing.message.ViewChanged
import sniperoute.router.decision.ControlSession
import sniperoute.router.decision.step
import sniperoute.router.message.*
import sniperoute.version.codec.decodeSessionMessage
import sniperoute.version.codec.encode
import sniperoute.version.message.CacheUse
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration.Companion.milliseconds

private val TICK = 100.milliseconds

/** The functions by which a session finds control replicas, dials them and reads the platform's list. */
internal class SessionNetwork(
    val seeds: () -> List<VmName>,
    val dial: DialVm,
    val list: ListEndpoints,
)

/** The session as the rest of the router sees it, and the handlers of its effects. */
internal class SessionDuty(
    private val inbox: Ring<SessionInput>,
    private val routing: Ring<RoutingInput>,
    private val recorder: EventRecorder,
    private val onView: (ServingView) -> Unit,
    private val network: SessionNetwork,
) {
    /** The catalogue that the router may serve, and until when. */
    val view = AtomicReference<ServingView>()
    private val links = ConcurrentHashMap<VmName, PeerLink>()
    private val openLedgerRequests = ConcurrentHashMap<LedgerRequestId, (LedgerReply) -> Unit>()
    private val lastLedgerRequestId = AtomicLong()
    private val waitingForCacheUses = ConcurrentHashMap<CacheUse, PersistentList<() -> Unit>>()

    /** The links to control replicas that this router keeps open. */
    val reconnectingLinks = noReconnectingLinks(network.dial, handlers())

    /** Sends [request] to the ledger; [onReply] is called once, with [LedgerUnavailable] when the session's ring is full. */
    fun requestLedger(request: LedgerRequest, retryUntilAnswered: Boolean, onReply: (LedgerReply) -> Unit) {
        val id = LedgerRequestId(lastLedgerRequestId.incrementAndGet())
        openLedgerRequests[id] = onReply
        if (!inbox.offer(LedgerRequestIssued(id, request, retryUntilAnswered))) openLedgerRequests.remove(id)?.invoke(LedgerUnavailable)
    }

    /** Has [use] recorded; [onReleased] is called once, when that is done or waiting for it is no longer worthwhile. */
    fun recordCacheUse(use: CacheUse, onReleased: () -> Unit) {
        waitingForCacheUses.compute(use) { _, waiting -> (waiting ?: persistentListOf()).add(onReleased) }
        if (!inbox.offer(CacheUseReported(use))) release(use)
    }

    private fun release(use: CacheUse) = waitingForCacheUses.remove(use).orEmpty().forEach { it() }

    /** Handlers of the links to the control replicas. */
    private fun handlers(): PeerHandlers = PeerHandlers(
        onOpened = { link ->
            links[link.peer.vm] = link
            inbox.put(LinkOpened(link.peer.vm))
            recorder.record(EventKind.PEER_CONNECTED, detail = "replica ${link.peer.vm}")
        },
        onReceived = ::received,
        onClosed = { link, reason ->
            links.remove(link.peer.vm, link)
            inbox.put(LinkClosed(link.peer.vm))
            recorder.record(EventKind.PEER_LOST, detail = "replica ${link.peer.vm}: $reason")
        },
        onRefused = { recorder.record(EventKind.PEER_REFUSED, detail = it.reason) },
    )

    private fun received(link: PeerLink, envelope: Envelope) {
        recorder.mergeTimestamp(envelope.stamp)
        val input = inputOrNull(link, envelope)
        if (input == null) {
            recorder.record(EventKind.PEER_REFUSED, detail = "${link.peer.vm} sent a message that cannot be decoded")
            link.close()
        } else {
            inbox.put(input)
        }
    }

    private fun inputOrNull(link: PeerLink, envelope: Envelope): SessionInput? = when (envelope.channel) {
        EnvelopeChannel.SESSION ->
            decodeSessionMessage(envelope.body).getOrNull()?.let { SessionMessageReceived(link.peer.vm, envelope.correlation, it) }
        EnvelopeChannel.LEDGER ->
            decodeLedgerReply(envelope.body).getOrNull()?.let { LedgerReplyReceived(link.peer.vm, envelope.correlation, it) }
        EnvelopeChannel.AGREEMENT -> null
    }

    fun perform(effect: SessionEffect) {
        when (effect) {
            is SendSession -> send(effect.replica, EnvelopeChannel.SESSION, effect.correlation, effect.message.encode())
            is SendLedger -> send(effect.replica, EnvelopeChannel.LEDGER, effect.correlation, effect.request.encode())
            is ServeView -> serve(effect.view)
            is DeliverTokens -> routing.put(effect.grant)
            is DeliverLedgerReply -> openLedgerRequests.remove(effect.id)?.invoke(effect.reply)
            is ReleaseCacheUses -> effect.uses.forEach(::release)
            is ServeFleet -> routing.put(FleetChanged(effect.fleet))
            is DeliverWorkload -> routing.offer(FleetWorkloadReceived(effect.message))
            is DeliverRequestLimits -> routing.put(RequestLimitsReceived(effect.notice))
            is DeliverSettledDoubts -> routing.put(DoubtsSettled(effect.doubts))
            is ShareAllowances -> routing.put(RouterCountChanged(effect.routers))
            is KeepLinks -> reconnectingLinks.setTargets(effect.replicas)
            is DiscoverReplicas -> reconnectingLinks.addTargets(network.seeds())
            is ReadPlatformList -> network.list { listed -> inbox.offer(ListRead(listed)) }
            is LeaseExpired -> recorder.record(EventKind.LEASE_LOST, detail = "requests with a key are refused until the lease is renewed")
            is RevisionInForce -> recorder.record(
                EventKind.CONFIGURATION_IN_FORCE,
                EventSubject(configuration = effect.configuration),
                "revision ${effect.revision}",
            )
        }
    }

    private fun serve(newView: ServingView) {
        view.set(newView)
        routing.put(ViewChanged(newView))
        onView(newView)
    }

    private fun send(replica: VmName, channel: EnvelopeChannel, correlation: Long, body: ByteArray) {
        links[replica]?.send(Envelope(channel, correlation, recorder.nextTimestamp(), body))
    }
}

/** Returns the duty that owns [initial]. */
internal fun startSessionDuty(
    inbox: Ring<SessionInput>,
    initial: ControlSession,
    session: SessionDuty,
    clock: Clock,
    onFailure: OnDutyFailure,
): Duty = startStateDuty(inbox, TICK, clock, onFailure, initial) { state, now, input ->
    val step = state.step(now, input)
    step.effects.forEach(session::perform)
    step.session
}
