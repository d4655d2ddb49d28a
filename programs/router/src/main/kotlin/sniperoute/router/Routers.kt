/**
 * The wiring of one router: callers' connections, the duties of routing and of the session with the control replicas, and its
 * administration pages.
 */
package sniperoute.router

import arrow.core.left
import kotlinx.collections.immutable.toPersistentList
import sniperoute.common.GroupDiscovery
import sniperoute.common.ListEndpoints
import sniperoute.common.ListenAddress
import sniperoute.common.NotReadyReason
import sniperoute.common.ProcessLocation
import sniperoute.common.haltOnDutyFailure
import sniperoute.common.reply
import sniperoute.common.runUntilShutdown
import sniperoute.connection.endpoint.EndpointClient
import sniperoute.connection.endpoint.RequestIdHeader
import sniperoute.connection.endpoint.endpointClient
import sniperoute.connection.http.Exchange
import sniperoute.connection.http.HttpLimits
import sniperoute.connection.http.HttpServer
import sniperoute.connection.http.HttpThreads
import sniperoute.connection.http.RequestHead
import sniperoute.connection.http.TlsFiles
import sniperoute.connection.http.serve
import sniperoute.connection.http.startHttpThreads
import sniperoute.connection.peer.PeerAuthentication
import sniperoute.connection.peer.dial
import sniperoute.connection.peer.message.PeerName
import sniperoute.connection.peer.message.PeerRole
import sniperoute.connection.peer.newPeerNetwork
import sniperoute.process.clock.Clock
import sniperoute.process.clock.Timestamp
import sniperoute.process.clock.systemClock
import sniperoute.process.duty.Duty
import sniperoute.process.duty.OnDutyFailure
import sniperoute.process.identity.VmName
import sniperoute.process.identity.newIncarnation
import sniperoute.process.metrics.MetricsRegistry
import sniperoute.process.metrics.counter
import sniperoute.process.metrics.gauge
import sniperoute.process.metrics.newMetricsRegistry
import sniperoute.process.metrics.registerRing
import sniperoute.process.metrics.secondsHistogram
import sniperoute.process.ring.Ring
import sniperoute.process.ring.ring
import sniperoute.process.timeline.EventRecorder
import sniperoute.process.timeline.message.EventKind
import sniperoute.process.timeline.message.EventSubject
import sniperoute.process.timeline.startEventRecorder
import sniperoute.request.admission.decision.Outcome
import sniperoute.request.admission.decision.Refusal
import sniperoute.request.admission.decision.RefusalKind
import sniperoute.request.admission.decision.ServingView
import sniperoute.request.admission.decision.isReady
import sniperoute.request.ledger.message.LedgerOwner
import sniperoute.request.routing.decision.PlacementPolicy
import sniperoute.request.routing.decision.RoutingSettings
import sniperoute.request.routing.decision.RoutingState
import sniperoute.request.routing.decision.newRoutingState
import sniperoute.request.routing.message.RequestId
import sniperoute.request.routing.message.RoutingInput
import sniperoute.request.run.RequestRun
import sniperoute.request.run.RequestRunDependencies
import sniperoute.request.run.message.FrontEndProtocol
import sniperoute.router.decision.SessionSettings
import sniperoute.router.decision.newControlSession
import sniperoute.router.message.SessionInput
import sniperoute.version.decision.Catalogue
import sniperoute.version.decision.emptyCatalogue
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

private const val ROUTING_RING = 16_384
private const val SESSION_RING = 8_192

/** How long a stopping router goes on taking requests while the balancer learns that it is not ready. */
private val BALANCER_LAG = 2_300.milliseconds
private val DRAIN_CHECK = 20.milliseconds
private val DUTY_PATIENCE = 200.milliseconds

/** Returns the identity of a request, of which [number] others came before to this process. */
public typealias IdentifyRequest = (head: RequestHead, number: Long) -> RequestId

/** Returns the bounds on what callers may send, by what is in force. */
public typealias SelectHttpLimits = (view: ServingView) -> HttpLimits

/** What callers and endpoints meet of a router. */
public class FrontEnd(
    public val dialect: FrontEndProtocol,
    public val echo: RequestIdHeader,
    public val identify: IdentifyRequest,
    public val createRun: CreateRequestRun,
    public val httpLimits: SelectHttpLimits,
)

/** What administration pages are made of. */
public class RouterPagesContext internal constructor(
    public val threads: HttpThreads,
    public val metrics: MetricsRegistry,
    public val recorder: EventRecorder,
    public val clock: Clock,
    public val routing: AtomicReference<RoutingState>,
    public val unreadyReason: NotReadyReason,
)

/** Starts serving administration pages. */
public typealias ServeAdministration = (RouterPagesContext) -> HttpServer

/** Watches endpoints by other means than the platform's list. */
public typealias WatchEndpoints = (EndpointClient, Ring<RoutingInput>, EventRecorder, OnDutyFailure) -> OnCatalogue

/** Is told which catalogue is in force. */
public typealias OnCatalogue = (Catalogue) -> Unit

/** What one router is made of. */
public class RouterOptions(
    public val location: ProcessLocation,
    public val callers: ListenAddress,
    public val tls: TlsFiles?,
    public val discovery: GroupDiscovery,
    public val trust: PeerAuthentication,
    public val frontEnd: FrontEnd,
    public val placement: PlacementPolicy,
    public val routing: RoutingSettings,
    public val session: SessionSettings,
    public val listEndpoints: (EndpointClient, EventRecorder) -> ListEndpoints,
    public val watchEndpoints: WatchEndpoints,
    public val serveAdministration: ServeAdministration,
    public val threads: Int,
    public val drain: Duration,
    public val timelineEvents: Int,
)

private val draining = Refusal(RefusalKind.NOT_READY, "this router stops; come back on another connection")

/** Runs a router until it is stopped. */
public fun runRouter(parts: RouterOptions) {
    val clock = systemClock()
    val recorder = startEventRecorder("router@${parts.location.vm}", clock, parts.timelineEvents)
    recorder.record(EventKind.PROCESS_STARTED)
    Router(parts, recorder, clock).run()
}

private class Router(private val parts: RouterOptions, private val recorder: EventRecorder, private val clock: Clock) {
    private val incarnation = newIncarnation()
    private val name = PeerName(parts.location.vm, PeerRole.ROUTER, incarnation, null)
    private val routingRing = ring<RoutingInput>("routing", ROUTING_RING)
    private val sessionRing = ring<SessionInput>("session", SESSION_RING)
    private val onFailure = haltOnDutyFailure(recorder)
    private val threads = startHttpThreads(parts.threads)
    private val client = endpointClient(threads, clock, parts.frontEnd.echo)
    private val network = newPeerNetwork()
    private val runs = RunRegistry()
    private val lastRequest = AtomicLong()
    private val watchedRevision = AtomicLong(-1)
    private val isStopping = AtomicBoolean(false)
    private val isDraining = AtomicBoolean(false)
    private val isReadyNoted = AtomicBoolean(false)
    private val routingState = AtomicReference(newRoutingState(clock(), parts.routing))
    private val session = SessionDuty(
        inbox = sessionRing,
        routing = routingRing,
        recorder = recorder,
        onView = ::onView,
        network = SessionNetwork(
            seeds = { parts.discovery.seeds(recorder) },
            dial = { vm, handlers -> parts.discovery.addressOf(vm)?.let { network.dial(name, it, parts.trust, handlers) } },
            list = parts.listEndpoints(client, recorder),
        ),
    )
    private val metrics = newMetricsRegistry()
    private val requests = metrics.counter("sniperoute_requests", "Requests that ended.", "route", "outcome")
    private val firstTokens = metrics.secondsHistogram("sniperoute_first_token_seconds", "Time to the first token.", "route")
    private val outlets = RequestRunDependencies(
        sendToRouting = routingRing::offer,
        call = client::call,
        requestLedger = session::requestLedger,
        record = recorder::record,
        clock = clock,
        ended = ::ended,
    )
    private lateinit var onCatalogue: OnCatalogue
    private lateinit var sessionDuty: Duty

    fun run() {
        session.view.set(ServingView(emptyCatalogue(), Timestamp.EARLIEST))
        val seeds = parts.discovery.seeds(recorder)
        startDuties(seeds)
        session.dialings.setTargets(seeds)
        watchMetrics()
        val office = RouterPagesContext(threads, metrics, recorder, clock, routingState, ::unreadyReason)
        val administration = parts.serveAdministration(office)
        val callers = threads.serve(
            parts.callers.host,
            parts.callers.port,
            { parts.frontEnd.httpLimits(session.view.get()) },
            parts.tls,
            isStopping::get,
            ::receive,
        )
        recorder.record(EventKind.PROCESS_READY, detail = "callers on port ${callers.port}, administration on port ${administration.port}")
        runUntilShutdown { stop(callers) }
    }

    private fun startDuties(seeds: List<VmName>) {
        onCatalogue = parts.watchEndpoints(client, routingRing, recorder, onFailure)
        val routing = RoutingEffectHandlers(runs, sessionRing, { session.requestLedger(it, true) {} }, routingState)
        startRoutingDuty(routingRing, parts.placement, routingState.get(), routing, clock, onFailure)
        val initial = newControlSession(seeds.toPersistentList(), clock(), parts.session)
        sessionDuty = startSessionDuty(sessionRing, initial, session, clock, onFailure)
    }

    private fun onView(view: ServingView) {
        if (watchedRevision.getAndSet(view.catalogue.revision) != view.catalogue.revision) onCatalogue(view.catalogue)
        if (isReadyNoted.compareAndSet(false, true)) recorder.record(EventKind.LEASE_RENEWED, detail = "the first lease came")
    }

    private fun watchMetrics() {
        listOf(routingRing, sessionRing).forEach(metrics::registerRing)
        metrics.gauge("sniperoute_requests_running", "Requests under way.") { runs.size.toDouble() }
        metrics.gauge("sniperoute_known_pieces", "Cached pieces that this router knows of.") {
            routingState
                .get()
                .cacheIndex.holders.size
                .toDouble()
        }
        metrics.gauge("sniperoute_timeline_dropped", "Events that the time line had no room for.") { recorder.dropped.toDouble() }
    }

    private fun receive(exchange: Exchange) {
        val front = parts.frontEnd
        val id = front.identify(exchange.head, lastRequest.incrementAndGet()).let { if (runs.containsKey(it)) it.another() else it }
        val arrival =
            IncomingRequest(exchange, id, session.view.get(), LedgerOwner(parts.location.vm, incarnation, id.text), outlets, clock())
        val run = if (isDraining.get()) draining.left() else front.createRun(arrival)
        run.fold(
            ifLeft = { refusal ->
                recorder.record(
                    EventKind.REQUEST_REFUSED,
                    EventSubject(request = id.text, outcome = refusal.outcome.text),
                    "${refusal.kind.text}: ${refusal.message}",
                )
                requests.labelValues("none", refusal.outcome.text).inc()
                exchange.reply(parts.frontEnd.dialect.refusalResponse(refusal, id))
            },
            ifRight = { begun ->
                runs[id] = begun
                begun.begin()
            },
        )
    }

    /** Two requests under one name are two requests. */
    private fun RequestId.another(): RequestId = RequestId("$text-${lastRequest.get()}")

    private fun ended(run: RequestRun, outcome: Outcome, firstToken: Timestamp?) {
        runs.remove(run.admitted.id)
        val route = run.admitted.route.name.text
        requests.labelValues(route, outcome.text).inc()
        firstToken?.let { firstTokens.labelValues(route).observe((it - run.admitted.arrived).toDouble(DurationUnit.SECONDS)) }
    }

    private fun unreadyReason(): String? = when {
        isStopping.get() -> "this router is about to stop"
        !session.view.get().isReady(clock()) -> "no lease from the control replicas"
        else -> null
    }

    /**
     * Unready first, then no new connections or requests, then out once every request has its answer; the session ends before its
     * threads.
     */
    private fun stop(callers: HttpServer) {
        isStopping.set(true)
        recorder.record(EventKind.PROCESS_STOPPING, detail = "${runs.size} requests under way")
        Thread.sleep(BALANCER_LAG.inWholeMilliseconds)
        isDraining.set(true)
        callers.stopListening()
        callers.closeIdleConnections()
        val patience = clock() + parts.drain
        while (runs.isNotEmpty() && clock() < patience) Thread.sleep(DRAIN_CHECK.inWholeMilliseconds)
        sessionDuty.stop(DUTY_PATIENCE)
        network.close()
        threads.close()
    }
}
