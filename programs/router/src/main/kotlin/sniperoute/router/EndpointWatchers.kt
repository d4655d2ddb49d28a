/**
 * The duty that watches endpoints: it keeps one event stream open to each engine, reopens a stream that ended, and reads the platform's
 * list. The duty only starts calls and schedules them; received events go to the routing duty from the threads of the connections.
 */
package sniperoute.router

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import sniperoute.connection.endpoint.CallEndpoint
import sniperoute.connection.endpoint.decision.newEventStream
import sniperoute.connection.endpoint.decision.parse
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
private val REOPEN_DELAY = 250.milliseconds
private val STREAM_IDLE_TIMEOUT = 2_000.milliseconds
private val PLATFORM_INTERVAL = 1_000.milliseconds
private const val LEAVING = "leaving"

/** An input of the watch duty. */
internal sealed interface WatchInput

/** The endpoints to watch are those of [catalogue] from now on. */
internal data class CatalogueChanged(val catalogue: Catalogue) : WatchInput

/** The event stream of an endpoint ended. */
internal data class StreamEnded(val stream: OpenStream) : WatchInput

/** An event stream to [endpoint]; [number] differs for each stream that this process opened. */
internal data class OpenStream(val endpoint: EndpointName, val number: Long)

/** A watched endpoint: its [open] stream with the [call] that reads it or, while none is open, the time [nextOpen] to open one. */
internal data class WatchedEndpoint(val endpoint: Endpoint, val open: OpenStream?, val call: RunningCall?, val nextOpen: Timestamp)

/** The state of the watch duty. */
internal data class WatchState(
    val watched: PersistentMap<EndpointName, WatchedEndpoint>,
    val lastNumber: Long,
    val nextPlatformCall: Timestamp,
)

/** The rings and functions that the watch duty uses. */
internal class EndpointWatchContext(
    val inbox: Ring<WatchInput>,
    val routing: Ring<RoutingInput>,
    val call: CallEndpoint,
    val recorder: EventRecorder,
    val platform: EndpointAddress?,
)

/** Returns the running duty. */
internal fun startWatchDuty(context: EndpointWatchContext, clock: Clock, onFailure: OnDutyFailure): Duty =
    startStateDuty(context.inbox, TICK, clock, onFailure, WatchState(persistentMapOf(), 0, Timestamp.EARLIEST)) { state, now, input ->
        when (input) {
            null -> context.openDue(state, now).let { context.readPlatformListIfDue(it, now) }
            is CatalogueChanged -> context.openDue(state.watch(input.catalogue, now), now)
            is StreamEnded -> state.ended(input.stream, now)
        }
    }

private fun WatchState.watch(catalogue: Catalogue, now: Timestamp): WatchState {
    val engines = catalogue.services.values
        .filter { it.kind == ServiceKind.MODEL }
        .flatMap { it.endpoints }
        .associateBy { it.name }
    watched.filterKeys { it !in engines }.values.forEach { it.call?.cancel() }
    val next = engines.values.fold(persistentMapOf<EndpointName, WatchedEndpoint>()) { all, endpoint ->
        val existing = watched[endpoint.name]?.takeIf { it.endpoint.host == endpoint.host && it.endpoint.port == endpoint.port }
        all.put(endpoint.name, existing?.copy(endpoint = endpoint) ?: WatchedEndpoint(endpoint, null, null, now))
    }
    return copy(watched = next)
}

private fun WatchState.ended(stream: OpenStream, now: Timestamp): WatchState {
    val endpoint = watched[stream.endpoint]?.takeIf { it.open == stream } ?: return this
    return copy(watched = watched.put(stream.endpoint, endpoint.copy(open = null, call = null, nextOpen = now + REOPEN_DELAY)))
}

private fun EndpointWatchContext.openDue(state: WatchState, now: Timestamp): WatchState =
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
    idleTimeout = STREAM_IDLE_TIMEOUT,
    requiresNewConnection = true,
)

/** Receives the events of one stream. Confined to the thread of the stream's connection. */
private class StreamListener(private val context: EndpointWatchContext, private val stream: OpenStream) {
    private var events = newEventStream()
    private var lastSequence: Long? = null
    private var isUp = false
    private var isLeaving = false

    val onEvent: OnCallEvent = { event ->
        when (event) {
            is ResponseStarted -> Unit
            is ContentReceived -> receive(event.bytes)
            is CallCompleted -> ended("the endpoint ended the stream")
            is CallFailed -> ended(event.reason)
            is CallStalled -> Unit
        }
    }

    private fun receive(bytes: ByteArray) {
        val step = events.parse(bytes)
        events = step.state
        step.events.mapNotNull { engineEventOrNull(it.data) }.forEach(::report)
    }

    private fun report(event: EngineEvent) {
        if (!isUp) context.recorder.record(EventKind.ENDPOINT_UP, subject(event), "incarnation ${event.incarnation}")
        isUp = true
        if (event.leaving && !isLeaving) {
            context.recorder.record(EventKind.ENDPOINT_LEAVING, subject(event), "the endpoint reported that it is leaving")
        }
        isLeaving = event.leaving
        val weights = event.weights?.let(::WeightsVersion)
        context.routing.offer(
            EndpointReported(stream.endpoint, event.incarnation, weights, event.running, event.waitingTokens, event.leaving),
        )
        val hasGap = lastSequence?.let { event.sequence != it + 1 } ?: true
        lastSequence = event.sequence
        if (event.stored.isEmpty() && event.removed.isEmpty() && !hasGap) return
        if (hasGap) context.recorder.record(EventKind.CACHE_EVENTS_GAP, subject(event), "before event ${event.sequence}")
        context.routing.offer(
            CacheChanged(stream.endpoint, event.incarnation, event.stored.toPersistentList(), event.removed.toPersistentList(), hasGap),
        )
    }

    private fun subject(event: EngineEvent) = EventSubject(endpoint = stream.endpoint.text, weights = event.weights)

    private fun ended(reason: String) {
        if (isUp) {
            context.recorder.record(EventKind.ENDPOINT_DOWN, EventSubject(endpoint = stream.endpoint.text), reason)
            context.routing.put(EndpointStreamLost(stream.endpoint))
        }
        context.inbox.offer(StreamEnded(stream))
    }
}

private fun EndpointWatchContext.readPlatformListIfDue(state: WatchState, now: Timestamp): WatchState {
    val address = platform ?: return state
    if (now < state.nextPlatformCall) return state
    val request = EndpointCall(address, "platform", "GET", "/vms", idleTimeout = STREAM_IDLE_TIMEOUT, requiresNewConnection = true)
    var status = 0
    var content = ByteArray(0)
    call(request) { event ->
        when (event) {
            is ResponseStarted -> status = event.head.status
            is ContentReceived -> content += event.bytes
            is CallCompleted -> if (status == HttpStatus.OK) onListRead(content.decodeToString())
            is CallFailed -> Unit
            is CallStalled -> Unit
        }
    }
    return state.copy(nextPlatformCall = now + PLATFORM_INTERVAL)
}

private fun EndpointWatchContext.onListRead(text: String) {
    val vms = platformVmsOrNull(text) ?: return
    val leaving = vms.filter { it.state == LEAVING }.map { EndpointName(it.endpoint) }
    routing.offer(EndpointsLeaving(persistentListOf<EndpointName>().addAll(leaving)))
}
