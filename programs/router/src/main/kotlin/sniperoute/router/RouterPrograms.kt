/**
 * `sniperoute-router`: takes callers' requests and sends them to endpoints. It keeps nothing on disk; what it needs it has
 * again within a second of its start.
 */
package sniperoute.router

import kotlinx.collections.immutable.toPersistentList
import sniperoute.common.awaitStop
import sniperoute.common.commonPageOrNull
import sniperoute.common.failTogether
import sniperoute.common.openPages
import sniperoute.common.operatorOrNull
import sniperoute.common.reply
import sniperoute.common.serverSettings
import sniperoute.common.unauthorizedPage
import sniperoute.common.unknownPage
import sniperoute.connection.endpoint.endpointClient
import sniperoute.connection.endpoint.message.EndpointAddress
import sniperoute.connection.http.Exchange
import sniperoute.connection.http.HttpServer
import sniperoute.connection.http.serve
import sniperoute.connection.http.startHttpThreads
import sniperoute.connection.peer.dial
import sniperoute.connection.peer.message.PeerName
import sniperoute.connection.peer.message.PeerRole
import sniperoute.connection.peer.newPeerNetwork
import sniperoute.process.clock.Clock
import sniperoute.process.clock.Moment
import sniperoute.process.clock.systemClock
import sniperoute.process.identity.newIncarnation
import sniperoute.process.metrics.counter
import sniperoute.process.metrics.gauge
import sniperoute.process.metrics.newMetricsRegistry
import sniperoute.process.metrics.secondsHistogram
import sniperoute.process.metrics.watch
import sniperoute.process.ring.ring
import sniperoute.process.timeline.Recorder
import sniperoute.process.timeline.message.EventKind
import sniperoute.process.timeline.startRecorder
import sniperoute.request.admission.decision.Outcome
import sniperoute.request.admission.decision.ServingView
import sniperoute.request.admission.decision.isReady
import sniperoute.request.ledger.message.LedgerOwner
import sniperoute.request.routing.decision.newRoutingState
import sniperoute.request.routing.message.RequestId
import sniperoute.request.routing.message.RoutingInput
import sniperoute.request.run.RequestRun
import sniperoute.request.run.RunOutlets
import sniperoute.router.decision.newControlSession
import sniperoute.router.message.SessionInput
import sniperoute.version.decision.emptyCatalogue
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

private const val ROUTING_RING = 16_384
private const val SESSION_RING = 8_192
private const val WATCH_RING = 1_024
private const val PROGRAM = "sniperoute-router"

/** How long a stopping router goes on taking requests while the balancer learns that it is not ready. */
private val BALANCER_LAG = 1_000.milliseconds
private val DRAIN_CHECK = 20.milliseconds

/** Runs a router until it is stopped. */
public fun main(arguments: Array<String>) {
    val settings = serverSettings(PROGRAM, arguments) { routerSettings() }
    val clock = systemClock()
    val recorder = startRecorder("router@${settings.location.vm}", clock, settings.timelineEvents)
    recorder.record(EventKind.PROCESS_STARTED)
    Router(settings, recorder, clock).run()
}

/** The wiring of one router. */
private class Router(private val settings: RouterSettings, private val recorder: Recorder, private val clock: Clock) {
    private val incarnation = newIncarnation()
    private val name = PeerName(settings.location.vm, PeerRole.ROUTER, incarnation, null)
    private val routingRing = ring<RoutingInput>("routing", ROUTING_RING)
    private val sessionRing = ring<SessionInput>("session", SESSION_RING)
    private val watchRing = ring<WatchInput>("watch", WATCH_RING)
    private val onFailure = failTogether(recorder)
    private val threads = startHttpThreads(settings.threads)
    private val client = endpointClient(threads, clock)
    private val network = newPeerNetwork()
    private val runs = RunRegistry()
    private val lastRequest = AtomicLong()
    private val watchedRevision = AtomicLong(-1)
    private val isStopping = AtomicBoolean(false)
    private val isReadyNoted = AtomicBoolean(false)
    private val routingState = AtomicReference(newRoutingState(clock()))
    private val session = SessionDuty(sessionRing, routingRing, recorder, ::onView)
    private val metrics = newMetricsRegistry()
    private val requests = metrics.counter("sniperoute_requests", "Requests that ended.", "route", "outcome")
    private val firstTokens = metrics.secondsHistogram("sniperoute_first_token_seconds", "Time to the first token.", "route")
    private val outlets = RunOutlets(
        tellRouting = routingRing::offer,
        call = client::call,
        askLedger = session::askLedger,
        record = recorder::record,
        clock = clock,
        ended = ::ended,
    )

    fun run() {
        session.view.set(ServingView(emptyCatalogue(), Moment.EARLIEST))
        startDuties()
        settings.replicas.forEach { network.dial(name, it, settings.secret, session.handlers()) }
        watchMetrics()
        val administration = threads.serve(
            settings.administration.host,
            settings.administration.port,
            tls = settings.tls,
            handle = ::administer,
        )
        val callers = threads.serve(settings.callers.host, settings.callers.port, settings.limits, settings.tls, ::receive)
        recorder.record(EventKind.PROCESS_READY, detail = "callers on port ${callers.port}, administration on port ${administration.port}")
        awaitStop { stop(callers) }
    }

    private fun startDuties() {
        val routing = RoutingOutlets(runs, sessionRing, { session.askLedger(it, true) {} }, routingState)
        startRoutingDuty(routingRing, settings.placement, routing, clock, onFailure)
        startSessionDuty(
            sessionRing,
            newControlSession(settings.replicas.map { it.vm }.toPersistentList(), clock()),
            session,
            clock,
            onFailure,
        )
        val platform = settings.platformList?.let { EndpointAddress(it.host, it.port) }
        startWatchDuty(WatchOutlets(watchRing, routingRing, client::call, recorder, platform), clock, onFailure)
    }

    private fun onView(view: ServingView) {
        if (watchedRevision.getAndSet(view.catalogue.revision) != view.catalogue.revision) watchRing.offer(WatchCatalogue(view.catalogue))
        if (isReadyNoted.compareAndSet(false, true)) recorder.record(EventKind.LEASE_RENEWED, detail = "the first lease came")
    }

    private fun watchMetrics() {
        listOf(routingRing, sessionRing, watchRing).forEach(metrics::watch)
        metrics.gauge("sniperoute_requests_running", "Requests under way.") { runs.size.toDouble() }
        metrics.gauge("sniperoute_known_pieces", "Cached pieces that this router knows of.") {
            routingState
                .get()
                .knowledge.holders.size
                .toDouble()
        }
        metrics.gauge("sniperoute_timeline_dropped", "Events that the time line had no room for.") { recorder.dropped.toDouble() }
    }

    private fun receive(exchange: Exchange) {
        val id = RequestId("$incarnation-${lastRequest.incrementAndGet()}")
        runOf(exchange, id, session.view.get(), ::ownerOf, outlets, clock()).fold(
            ifLeft = { refusal ->
                recorder.record(EventKind.REQUEST_REFUSED, detail = "${refusal.kind.text}: ${refusal.message}")
                requests.labelValues("none", refusal.outcome.text).inc()
                exchange.refuse(refusal, id)
            },
            ifRight = { run ->
                runs[id] = run
                run.begin()
            },
        )
    }

    private fun ownerOf(id: RequestId): LedgerOwner = LedgerOwner(settings.location.vm, incarnation, id.text)

    private fun ended(run: RequestRun, outcome: Outcome, firstToken: Moment?) {
        runs.remove(run.facts.id)
        val route = run.facts.route.name.text
        requests.labelValues(route, outcome.text).inc()
        firstToken?.let { firstTokens.labelValues(route).observe((it - run.facts.arrived).toDouble(DurationUnit.SECONDS)) }
    }

    private fun administer(exchange: Exchange) {
        val path = exchange.head.path
        val isAllowed = path in openPages || settings.operators.operatorOrNull(exchange.head) != null
        exchange.reply(
            when {
                !isAllowed -> unauthorizedPage()
                path == "/endpoints" -> endpointsPage(routingState.get(), clock())
                else -> commonPageOrNull(exchange, metrics, recorder, ::unreadyReason) ?: unknownPage(path)
            },
        )
    }

    private fun unreadyReason(): String? = when {
        isStopping.get() -> "this router is about to stop"
        !session.view.get().isReady(clock()) -> "no lease from the control replicas"
        else -> null
    }

    /** Unready first, then no new connections, then out once every request has its answer. */
    private fun stop(callers: HttpServer) {
        isStopping.set(true)
        recorder.record(EventKind.PROCESS_STOPPING, detail = "${runs.size} requests under way")
        Thread.sleep(BALANCER_LAG.inWholeMilliseconds)
        callers.stopListening()
        val patience = clock() + settings.drain
        while (runs.isNotEmpty() && clock() < patience) Thread.sleep(DRAIN_CHECK.inWholeMilliseconds)
        network.close()
        threads.close()
    }
}
