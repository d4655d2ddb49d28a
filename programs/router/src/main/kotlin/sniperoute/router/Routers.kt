/**
 * The composition of one router: its connections from callers, its routing and session duties and its administration pages.
 */
package sniperoute.router

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
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
import sniperoute.connection.http.CallerRoom
import sniperoute.connection.http.Exchange
import sniperoute.connection.http.HttpLimits
import sniperoute.connection.http.HttpServer
import sniperoute.connection.http.HttpThreads
import sniperoute.connection.http.RequestHead
import sniperoute.connection.http.TlsFiles
import sniperoute.connection.http.callerBudget
import sniperoute.connection.http.registerCallers
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
import sniperoute.process.memory.byteBudget
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
import sniperoute.request.admission.decision.Stop
import sniperoute.request.admission.decision.StopTiming
import sniperoute.request.admission.decision.begin
import sniperoute.request.admission.decision.isReady
import sniperoute.request.admission.decision.noRequestDurations
import sniperoute.request.admission.decision.record
import sniperoute.request.admission.decision.takes
import sniperoute.request.ledger.message.LedgerOwner
import sniperoute.request.routing.decision.PlacementPolicy
import sniperoute.request.routing.decision.RoutingSettings
import sniperoute.request.routing.decision.RoutingState
import sniperoute.request.routing.decision.newRoutingState
import sniperoute.request.routing.message.RequestId
import sniperoute.request.routing.message.RoutingInput
import sniperoute.request.run.RequestRun
import sniperoute.request.run.RequestRunDependencies
import sniperoute.request.run.UnwantedStage
import sniperoute.request.run.message.FrontEndProtocol
import sniperoute.router.decision.SessionSettings
import sniperoute.router.decision.newControlSession
import sniperoute.router.message.SessionInput
import sniperoute.version.decision.Catalogue
import sniperoute.version.decision.emptyCatalogue
import sniperoute.version.message.CacheUse
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

private const val ROUTING_RING_CAPACITY = 16_384
private const val SESSION_RING_CAPACITY = 8_192

/** Responses that are collected before they are sent may hold one part in so many of the heap. */
private const val BUFFERED_SHARE_OF_HEAP = 4

/** Load balancers have noticed after this time that a router is not ready. */
public val READINESS_LAG: Duration = 2_300.milliseconds
private val DRAIN_CHECK_INTERVAL = 20.milliseconds

/** The last responses are written in this time before the process ends. */
private val LAST_RESPONSES_TIME = 100.milliseconds
private val DUTY_STOP_TIMEOUT = 200.milliseconds

/** Returns the identity of the request that is number [number] of this process. */
public typealias IdentifyRequest = (head: RequestHead, number: Long) -> RequestId

/** Returns the limits for callers' requests under [view]. */
public typealias SelectHttpLimits = (view: ServingView) -> HttpLimits

/** The functions by which a router talks to callers and endpoints in one protocol. */
public class FrontEnd(
    public val protocol: FrontEndProtocol,
    public val echo: RequestIdHeader,
    public val identify: IdentifyRequest,
    public val createRun: CreateRequestRun,
    public val httpLimits: SelectHttpLimits,
)

/** What administration pages use. */
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

/** Starts watching endpoints by other means than the leader's fleet view; returns the function that receives each new catalogue. */
public typealias WatchEndpoints = (EndpointClient, Ring<RoutingInput>, EventRecorder, OnDutyFailure) -> OnCatalogue

/** Receives each catalogue that is in force. */
public typealias OnCatalogue = (Catalogue) -> Unit

/** The settings and functions that one router runs with. */
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
    public val resources: RouterResources,
    public val stopTiming: StopTiming,
    public val timelineEvents: Int,
)

/** The threads for HTTP connections, and the descriptors that the process may open if the system doesn't grant fewer. */
public data class RouterResources(public val threads: Int, public val descriptors: Long = Long.MAX_VALUE)

private val noRoomRefusal = Refusal(RefusalKind.OVERLOADED, "this router has no room for the request; retry later")

private val drainingRefusal = Refusal(RefusalKind.NOT_READY, "this router is stopping; retry on another connection")

/** Runs a router until it is stopped. */
public fun runRouter(options: RouterOptions) {
    val clock = systemClock()
    val recorder = startEventRecorder("router@${options.location.vm}", clock, options.timelineEvents)
    recorder.record(EventKind.PROCESS_STARTED)
    Router(options, recorder, clock).run()
}

private val LATE_EVENT_INTERVAL = 1.seconds

/** The requests that were refused since this router was late; an event [isDue] after the last of them if none was recorded for a while. */
private data class LateRefusals(val total: Long = 0, val recorded: Timestamp = Timestamp.EARLIEST, val isDue: Boolean = false) {
    fun add(now: Timestamp): LateRefusals {
        val isDue = now - recorded >= LATE_EVENT_INTERVAL
        return LateRefusals(total + 1, if (isDue) now else recorded, isDue)
    }
}

private class Router(private val options: RouterOptions, private val recorder: EventRecorder, private val clock: Clock) {
    private val incarnation = newIncarnation()
    private val name = PeerName(options.location.vm, PeerRole.ROUTER, incarnation, null)
    private val routingRing = ring<RoutingInput>("routing", ROUTING_RING_CAPACITY)
    private val sessionRing = ring<SessionInput>("session", SESSION_RING_CAPACITY)
    private val onFailure = haltOnDutyFailure(recorder)
    private val threads = startHttpThreads(options.resources.threads)
    private val client = endpointClient(threads, clock, options.frontEnd.echo)
    private val network = newPeerNetwork()
    private val runs = RunRegistry()
    private val lastRequest = AtomicLong()
    private val watchedRevision = AtomicLong(-1)
    private val stop = AtomicReference<Stop?>(null)
    private val durations = AtomicReference(noRequestDurations())
    private val isFirstLeaseRecorded = AtomicBoolean(false)
    private val routingState = AtomicReference(newRoutingState(clock(), options.routing))
    private val session = SessionDuty(
        inbox = sessionRing,
        routing = routingRing,
        recorder = recorder,
        onView = ::onView,
        network = SessionNetwork(
            seeds = { options.discovery.seeds(recorder) },
            dial = { vm, handlers -> options.discovery.addressOf(vm)?.let { network.dial(name, it, options.trust, handlers) } },
            list = options.listEndpoints(client, recorder),
        ),
    )
    private val bufferedBytes = byteBudget(Runtime.getRuntime().maxMemory() / BUFFERED_SHARE_OF_HEAP)
    private val callerBudget =
        callerBudget(options.resources.descriptors, clock = clock) { recorder.record(EventKind.CALLERS_LIMITED, detail = it) }
    private val metrics = newMetricsRegistry()
    private val requests = metrics.counter("sniperoute_requests", "Requests that ended.", "route", "outcome")
    private val firstTokens = metrics.secondsHistogram("sniperoute_first_token_seconds", "Time to the first token.", "route")
    private val unwanted = metrics.counter("sniperoute_requests_unwanted", "Requests dropped as no longer wanted.", "stage")
    private val lateness = RouterLateness(clock) { countUnwanted(UnwantedStage.ROUTING) }
    private val refusedLate = AtomicReference(LateRefusals())
    private val dependencies = RequestRunDependencies(
        sendToRouting = lateness.counting(routingRing::send),
        call = client::call,
        requestLedger = session::requestLedger,
        record = recorder::record,
        clock = clock,
        ended = ::ended,
        bufferedBytes = bufferedBytes,
        onUnwanted = ::countUnwanted,
    )
    private lateinit var onCatalogue: OnCatalogue
    private lateinit var sessionDuty: Duty

    fun run() {
        session.view.set(ServingView(emptyCatalogue(), Timestamp.EARLIEST))
        val seeds = options.discovery.seeds(recorder)
        startDuties(seeds)
        session.reconnectingLinks.setTargets(seeds)
        watchMetrics()
        val context = RouterPagesContext(threads, metrics, recorder, clock, routingState, ::unreadyReason)
        val administration = options.serveAdministration(context)
        val callers = threads.serve(
            options.callers.host,
            options.callers.port,
            { options.frontEnd.httpLimits(session.view.get()) },
            options.tls,
            { stop.get() != null },
            CallerRoom(callerBudget, ::refuseForRoom),
            ::receive,
        )
        recorder.record(EventKind.PROCESS_READY, detail = "callers on port ${callers.port}, administration on port ${administration.port}")
        runUntilShutdown { stop(callers) }
    }

    private fun startDuties(seeds: List<VmName>) {
        onCatalogue = options.watchEndpoints(client, routingRing, recorder, onFailure)
        val routing = RoutingEffectHandlers(runs, sessionRing, { session.requestLedger(it, true) {} }, routingState, lateness)
        startRoutingDuty(routingRing, options.placement, routingState.get(), routing, clock, onFailure)
        val initial = newControlSession(seeds.toPersistentList(), clock(), options.session)
        sessionDuty = startSessionDuty(sessionRing, initial, session, clock, onFailure)
    }

    private fun onView(view: ServingView) {
        if (watchedRevision.getAndSet(view.catalogue.revision) != view.catalogue.revision) onCatalogue(view.catalogue)
        if (isFirstLeaseRecorded.compareAndSet(false, true)) {
            recorder.record(EventKind.LEASE_RENEWED, detail = "first lease of this process")
        }
    }

    private fun watchMetrics() {
        listOf(routingRing, sessionRing).forEach(metrics::registerRing)
        metrics.gauge("sniperoute_requests_running", "Requests under way.") { runs.size.toDouble() }
        metrics.gauge("sniperoute_buffered_bytes", "Bytes of responses that are collected before they are sent.") {
            bufferedBytes.heldBytes.toDouble()
        }
        metrics.gauge("sniperoute_lateness_seconds", "How long a new request would wait for the duties of this router.") {
            lateness.currentDelay().toDouble(DurationUnit.SECONDS)
        }
        metrics.registerCallers(callerBudget)
        metrics.gauge("sniperoute_known_pieces", "Cached pieces that this router knows of.") {
            routingState
                .get()
                .cacheIndex.holders.size
                .toDouble()
        }
        metrics.gauge("sniperoute_endpoints_by_permit", "Endpoints that may be cold, so that requests need permits.") {
            routingState
                .get()
                .endpoints.values
                .count { it.warming != null }
                .toDouble()
        }
        metrics.gauge("sniperoute_timeline_dropped", "Events that the time line had no room for.") { recorder.droppedCount.toDouble() }
    }

    /** Serves a request, but has its use of shared cached blocks recorded before if that is new. */
    private fun receive(exchange: Exchange) {
        val arrived = clock()
        var unrecorded: CacheUse? = null
        val incoming = incomingRequest(exchange, arrived) { unrecorded = it }
        val run = options.frontEnd.createRun(incoming)
        val use = unrecorded
        if (use == null) return serve(incoming, run)
        session.recordCacheUse(use) {
            exchange.onConnectionThread {
                val recorded = incomingRequest(exchange, arrived) {}
                serve(recorded, options.frontEnd.createRun(recorded))
            }
        }
    }

    private fun incomingRequest(exchange: Exchange, arrived: Timestamp, reportCacheUse: (CacheUse) -> Unit): IncomingRequest {
        val id = options.frontEnd
            .identify(exchange.head, lastRequest.incrementAndGet())
            .let { if (runs.containsKey(it)) it.withSuffix() else it }
        return IncomingRequest(
            exchange = exchange,
            id = id,
            view = session.view.get(),
            owner = LedgerOwner(options.location.vm, incarnation, id.text),
            dependencies = dependencies,
            now = clock(),
            arrived = arrived,
            delay = lateness.delayOf(exchange),
            currentView = session.view::get,
            reportCacheUse = reportCacheUse,
        )
    }

    private fun serve(incoming: IncomingRequest, created: Either<Refusal, RequestRun>) {
        val exchange = incoming.exchange
        val id = incoming.id
        val run = created.flatMap { if (isTaken(it, incoming.now)) it.right() else drainingRefusal.left() }
        run.fold(
            ifLeft = { refusal ->
                recordRefusal(id, refusal, incoming.delay)
                requests.labelValues("none", refusal.outcome.text).inc()
                exchange.reply(options.frontEnd.protocol.refusalResponse(refusal, id))
            },
            ifRight = { admitted ->
                runs[id] = admitted
                admitted.begin()
            },
        )
    }

    /** Records one event a second, not one for each request, while this router is too late to serve them. */
    private fun recordRefusal(id: RequestId, refusal: Refusal, delay: Duration) {
        if (refusal.kind == RefusalKind.ROUTER_LATE) {
            val counted = refusedLate.updateAndGet { it.add(clock()) }
            if (counted.isDue) {
                recorder.record(
                    EventKind.ROUTER_LATE,
                    detail = "late by ${delay.inWholeMilliseconds} ms, ${counted.total} requests refused for it since the start",
                )
            }
        } else {
            recorder.record(
                EventKind.REQUEST_REFUSED,
                EventSubject(request = id.text, outcome = refusal.outcome.text),
                "${refusal.kind.text}: ${refusal.message}",
            )
        }
    }

    private fun countUnwanted(stage: UnwantedStage) = unwanted.labelValues(stage.text).inc()

    /** Refuses a request, whole or not, that nothing was done for. */
    private fun refuseForRoom(exchange: Exchange) {
        val id = options.frontEnd.identify(exchange.head, lastRequest.incrementAndGet())
        requests.labelValues("none", noRoomRefusal.outcome.text).inc()
        exchange.reply(options.frontEnd.protocol.refusalResponse(noRoomRefusal, id))
    }

    private fun isTaken(run: RequestRun, now: Timestamp): Boolean =
        stop.get()?.takes(run.admitted.route, durations.get(), now) ?: true

    /** Returns an unused id for a request whose id is that of another one in progress. */
    private fun RequestId.withSuffix(): RequestId = RequestId("$text-${lastRequest.get()}")

    private fun ended(run: RequestRun, outcome: Outcome, firstToken: Timestamp?) {
        runs.remove(run.admitted.id)
        val route = run.admitted.route.name.text
        requests.labelValues(route, outcome.text).inc()
        if (outcome == Outcome.RAN) durations.updateAndGet { it.record(run.admitted.route.name, clock() - run.admitted.arrived) }
        firstToken?.let { firstTokens.labelValues(route).observe((it - run.admitted.arrived).toDouble(DurationUnit.SECONDS)) }
    }

    private fun unreadyReason(): String? = when {
        stop.get() != null -> "this router is stopping"
        !session.view.get().isReady(clock()) -> "no valid lease from the control replicas"
        else -> null
    }

    /**
     * Drains the router: it first reports that it is not ready, then accepts no new connections or requests, and ends once all
     * requests have their responses or the time is over. Requests that are still in progress then are ended with what is known of them.
     * The session duty stops before the threads that perform its effects.
     */
    private fun stop(callers: HttpServer) {
        val begun = options.stopTiming.begin(clock())
        stop.set(begun)
        recorder.record(EventKind.PROCESS_STOPPING, detail = "${runs.size} requests in progress")
        sleepUntil(begun.refusesFrom)
        callers.stopListening()
        callers.closeIdleConnections()
        val drainDeadline = begun.endsAt - LAST_RESPONSES_TIME
        while ((runs.isNotEmpty() || callers.hasConnections) && clock() < drainDeadline) {
            Thread.sleep(DRAIN_CHECK_INTERVAL.inWholeMilliseconds)
            callers.closeIdleConnections()
        }
        endRuns(begun.endsAt)
        sessionDuty.stop(DUTY_STOP_TIMEOUT)
        network.close()
        threads.close()
    }

    private fun sleepUntil(time: Timestamp) = Thread.sleep((time - clock()).inWholeMilliseconds.coerceAtLeast(0))

    /** Ends the requests in progress, and waits until [deadline] for their responses to be written. */
    private fun endRuns(deadline: Timestamp) {
        if (runs.isEmpty()) return
        recorder.record(EventKind.PROCESS_STOPPING, detail = "${runs.size} requests are ended before their responses")
        runs.values.forEach { run -> run.onThread { run.endAtStop() } }
        sleepUntil(deadline)
    }
}
