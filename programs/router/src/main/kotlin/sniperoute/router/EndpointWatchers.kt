/**
 * Watching of endpoints: one event stream to each engine, opened again whenever it ends, and the platform's list. The duty
 * only starts calls and keeps their times; what comes in goes to the routing duty from the connections' threads.
 */
package sniperoute.router

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import sniperoute.connection.endpoint.CallEndpoint
import sniperoute.connection.endpoint.decision.newEventStream
import sniperoute.connection.endpoint.decision.take
import sniperoute.connection.endpoint.message.*
import sniperoute.connection.http.HttpStatus
import sniperoute.process.clock.Clock
import sniperoute.process.clock.Timestamp
import sniperoute.process.duty.Duty
import sniperoute.process.duty.OnDutyFailure
import sniperoute.process.duty.startStateDuty
import sniperoute.process.ring.Ring
import sniperoute.process.timeline.EventRecorder
import sniperoute.process.timeline.message.EventKind
import sniperoute.process.timeline.message.EventSubject
import sniperoute.request.routing.message.*
import sniperoute.router.codec.EngineEvent
import sniperoute.router.codec.engineEventOrNull
import sniperoute.router.codec.platformVmsOrNull
import sniperoute.version.decision.Catalogue
import sniperoute.version.message.Endpoint
import sniperoute.version.message.EndpointName
import sniperoute.version.message.ServiceKind
import sniperoute.version.message.WeightsVersion
import kotlin.time.Duration.Companion.milliseconds

private val TICK = 250.milliseconds
private val REOPEN_PAUSE = 250.milliseconds
private val STREAM_SILENCE = 2_000.milliseconds
private val PLATFORM_INTERVAL = 1_000.milliseconds
private const val LEAVING = "leaving"

/** What the watching duty takes in. */
internal sealed interface WatchInput

/** Watch the endpoints of [catalogue] from now on. */
internal data class WatchCatalogue(val catalogue: Catalogue) : WatchInput

/** The stream of an endpoint ended. */
internal data class StreamEnded(val stream: OpenStream) : WatchInput

/** A stream that was opened to [endpoint] as number [number] of this process. */
internal data class OpenStream(val endpoint: EndpointName, val number: Long)

/** A watched endpoint: its open stream, or when to open the next. */
internal data class WatchedEndpoint(val endpoint: Endpoint, val open: OpenStream?, val call: RunningCall?, val nextOpen: Timestamp)

/** Everything that the watching duty knows. */
internal data class WatchState(
    val watched: PersistentMap<EndpointName, WatchedEndpoint>,
    val lastNumber: Long,
    val nextPlatformCall: Timestamp,
)

/** What watching needs of the rest of the process. */
internal class WatchOutlets(
    val inbox: Ring<WatchInput>,
    val routing: Ring<RoutingInput>,
    val call: CallEndpoint,
    val recorder: EventRecorder,
    val platform: EndpointAddress?,
)

/** Returns the running duty. */
internal fun startWatchDuty(outlets: WatchOutlets, clock: Clock, onFailure: OnDutyFailure): Duty =
    startStateDuty(outlets.inbox, TICK, clock, onFailure, WatchState(persistentMapOf(), 0, Timestamp.EARLIEST)) { state, now, input ->
        when (input) {
            null -> outlets.openDue(state, now).let { outlets.askPlatform(it, now) }
            is WatchCatalogue -> outlets.openDue(state.watch(input.catalogue, now), now)
            is StreamEnded -> state.ended(input.stream, now)
        }
    }

private fun WatchState.watch(catalogue: Catalogue, now: Timestamp): WatchState {
    val engines = catalogue.services.values
        .filter { it.kind == ServiceKind.MODEL }
        .flatMap { it.endpoints }
        .associateBy { it.name }
    watched.filterKeys { it !in engines }.values.forEach { it.call?.cancel() }
    val kept = engines.values.fold(persistentMapOf<EndpointName, WatchedEndpoint>()) { all, endpoint ->
        val known = watched[endpoint.name]?.takeIf { it.endpoint.host == endpoint.host && it.endpoint.port == endpoint.port }
        all.put(endpoint.name, known?.copy(endpoint = endpoint) ?: WatchedEndpoint(endpoint, null, null, now))
    }
    return copy(watched = kept)
}

private fun WatchState.ended(stream: OpenStream, now: Timestamp): WatchState {
    val known = watched[stream.endpoint]?.takeIf { it.open == stream } ?: return this
    return copy(watched = watched.put(stream.endpoint, known.copy(open = null, call = null, nextOpen = now + REOPEN_PAUSE)))
}

private fun WatchOutlets.openDue(state: WatchState, now: Timestamp): WatchState =
    state.watched.values.filter { it.open == null && now >= it.nextOpen }.fold(state) { current, due ->
        val stream = OpenStream(due.endpoint.name, current.lastNumber + 1)
        val call = call(eventCall(due.endpoint), StreamListener(this, stream).onEvent)
        current.copy(
            watched = current.watched.put(due.endpoint.name, due.copy(open = stream, call = call)),
            lastNumber = stream.number,
        )
    }

private fun eventCall(endpoint: Endpoint) = EndpointCall(
    address = EndpointAddress(endpoint.host, endpoint.port),
    requestId = "events",
    method = "GET",
    target = "/events",
    idleTimeout = STREAM_SILENCE,
    requiresNewConnection = true,
)

/** Takes the events of one stream; it lives on the thread of the stream's connection. */
private class StreamListener(private val outlets: WatchOutlets, private val stream: OpenStream) {
    private var events = newEventStream()
    private var lastSequence: Long? = null
    private var isKnown = false
    private var isLeaving = false

    val onEvent: OnCallEvent = { event ->
        when (event) {
            is ResponseStarted -> Unit
            is ContentReceived -> take(event.bytes)
            is CallCompleted -> ended("the endpoint ended it")
            is CallFailed -> ended(event.reason)
        }
    }

    private fun take(bytes: ByteArray) {
        val step = events.take(bytes)
        events = step.state
        step.events.mapNotNull { engineEventOrNull(it.data) }.forEach(::tell)
    }

    private fun tell(event: EngineEvent) {
        if (!isKnown) outlets.recorder.record(EventKind.ENDPOINT_UP, subject(event), "incarnation ${event.incarnation}")
        isKnown = true
        if (event.leaving && !isLeaving) outlets.recorder.record(EventKind.ENDPOINT_LEAVING, subject(event), "by its own word")
        isLeaving = event.leaving
        val weights = event.weights?.let(::WeightsVersion)
        outlets.routing.offer(
            EndpointReported(stream.endpoint, event.incarnation, weights, event.running, event.waitingTokens, event.leaving),
        )
        val hasGap = lastSequence?.let { event.sequence != it + 1 } ?: true
        lastSequence = event.sequence
        if (event.stored.isEmpty() && event.removed.isEmpty() && !hasGap) return
        if (hasGap) outlets.recorder.record(EventKind.CACHE_EVENTS_GAP, subject(event), "before event ${event.sequence}")
        outlets.routing.offer(
            CacheChanged(stream.endpoint, event.incarnation, event.stored.toPersistentList(), event.removed.toPersistentList(), hasGap),
        )
    }

    private fun subject(event: EngineEvent) = EventSubject(endpoint = stream.endpoint.text, weights = event.weights)

    private fun ended(reason: String) {
        if (isKnown) {
            outlets.recorder.record(EventKind.ENDPOINT_DOWN, EventSubject(endpoint = stream.endpoint.text), reason)
            outlets.routing.put(EndpointStreamLost(stream.endpoint))
        }
        outlets.inbox.offer(StreamEnded(stream))
    }
}

private fun WatchOutlets.askPlatform(state: WatchState, now: Timestamp): WatchState {
    val address = platform ?: return state
    if (now < state.nextPlatformCall) return state
    val request = EndpointCall(address, "platform", "GET", "/vms", idleTimeout = STREAM_SILENCE, requiresNewConnection = true)
    var status = 0
    var content = ByteArray(0)
    call(request) { event ->
        when (event) {
            is ResponseStarted -> status = event.head.status
            is ContentReceived -> content += event.bytes
            is CallCompleted -> if (status == HttpStatus.OK) listed(content.decodeToString())
            is CallFailed -> Unit
        }
    }
    return state.copy(nextPlatformCall = now + PLATFORM_INTERVAL)
}

private fun WatchOutlets.listed(text: String) {
    val vms = platformVmsOrNull(text) ?: return
    val leaving = vms.filter { it.state == LEAVING }.map { EndpointName(it.endpoint) }
    routing.offer(EndpointsLeaving(persistentListOf<EndpointName>().addAll(leaving)))
}
