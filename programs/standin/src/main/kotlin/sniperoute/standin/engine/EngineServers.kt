/**
 * The HTTP interface of the stand-in engine: completions, the event stream, weights, counts and fault switches.
 */
package sniperoute.standin.engine

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import sniperoute.common.notFoundPage
import sniperoute.common.reply
import sniperoute.connection.http.CallerConnectionListener
import sniperoute.connection.http.Exchange
import sniperoute.connection.http.Header
import sniperoute.connection.http.HttpStatus
import sniperoute.connection.http.ResponseHead
import sniperoute.connection.http.codec.WholeResponse
import sniperoute.connection.http.codec.errorResponse
import sniperoute.connection.http.codec.jsonResponse
import sniperoute.connection.http.valueOrNull
import sniperoute.process.clock.Clock
import sniperoute.process.clock.Timestamp
import sniperoute.process.duty.OnDutyFailure
import sniperoute.process.duty.startStateDuty
import sniperoute.process.identity.newIncarnation
import sniperoute.process.ring.ring
import sniperoute.request.prefix.codec.parsePrompt
import sniperoute.request.prefix.decision.BYTES_PER_TOKEN
import sniperoute.request.prefix.decision.cacheKey
import sniperoute.request.prefix.decision.prefixChain
import sniperoute.standin.engine.codec.*
import sniperoute.standin.engine.decision.*
import sniperoute.version.message.WeightsVersion
import java.util.concurrent.ThreadLocalRandom
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration.Companion.milliseconds

private val TICK = 2.milliseconds
private val MAX_EVENT_INTERVAL = 100.milliseconds
private const val RING_CAPACITY = 8_192
private const val SHARE_UNIT = 1_000
private const val KILLED_EXIT_STATUS = 137

/** An input of the engine's duty. */
private sealed interface ServerInput

private class CompletionRequested(val exchange: Exchange, val job: JobArrived, val requestId: String, val isStreamed: Boolean) : ServerInput

private class CallerDisconnected(val id: Long) : ServerInput

private class Subscribed(val exchange: Exchange) : ServerInput

private class Unsubscribed(val exchange: Exchange) : ServerInput

private class EngineCommanded(val command: EngineInput) : ServerInput

/** A response that is not yet complete. */
private data class PendingResponse(val exchange: Exchange, val requestId: String, val isStreamed: Boolean, val isStarted: Boolean)

/** Changes of the cache that are published at [publishAt]. */
private data class DelayedCacheEvent(val publishAt: Timestamp, val stored: PersistentList<Long>, val removed: PersistentList<Long>)

private data class ServerState(
    val engine: EngineState,
    val responses: PersistentMap<Long, PendingResponse>,
    val subscribers: PersistentList<Exchange>,
    val delayedEvents: PersistentList<DelayedCacheEvent>,
    val sequence: Long,
    val nextEventAt: Timestamp,
)

/** A stand-in engine. */
public class EngineServer internal constructor(
    profile: StandinEngineProfile,
    weights: WeightsVersion,
    clock: Clock,
    onFailure: OnDutyFailure,
) {
    private val incarnation = newIncarnation().toString()
    private val inputs = ring<ServerInput>("engine", RING_CAPACITY)
    private val faults = AtomicReference(FaultSwitches())
    private val servedWeights = AtomicReference(weights)
    private val highestFence = AtomicLong()
    private val lastJob = AtomicLong()
    private val requests = AtomicLong()
    private val promptTokens = AtomicLong()
    private val cachedTokens = AtomicLong()
    private val keysSeen = AtomicLong()

    init {
        val initial =
            ServerState(newEngine(profile, weights), persistentMapOf(), persistentListOf(), persistentListOf(), 0, Timestamp.EARLIEST)
        startStateDuty(inputs, TICK, clock, onFailure, initial, ::step)
    }

    /** Handles [exchange]. */
    public fun handle(exchange: Exchange) {
        val head = exchange.head
        if (head.headers.any { it.name == "authorization" || it.name == "x-api-key" }) keysSeen.incrementAndGet()
        when {
            head.path == "/faults" && head.method == "POST" -> setFaults(exchange)
            faults.get().silentConnections -> Unit
            head.path.startsWith("/v1/") -> complete(exchange)
            head.path == "/events" -> inputs.put(Subscribed(exchange))
            head.path == "/weights" && head.method == "POST" -> loadWeights(exchange)
            head.path == "/weights" -> exchange.reply(weightsPage())
            head.path == "/counts" -> exchange.reply(counts())
            else -> exchange.reply(notFoundPage(head.path))
        }
    }

    private fun setFaults(exchange: Exchange) {
        val switches = standinJson.decodeFromString(FaultSwitches.serializer(), exchange.body.decodeToString())
        faults.set(switches)
        applySlowdown()
        exchange.reply(jsonResponse(HttpStatus.OK, "{}"))
    }

    /** Applies the slowness switch to the engine when it concerns the served weights. */
    private fun applySlowdown() {
        val switches = faults.get()
        val isSlow = switches.slowWeights.isEmpty() || switches.slowWeights == servedWeights.get().text
        inputs.put(EngineCommanded(SetSlowdown(if (isSlow) switches.slowness else 1.0)))
    }

    private fun complete(exchange: Exchange) {
        val expectedWeights = exchange.head.headers.valueOrNull("x-weights-version")
        val prompt = parsePrompt(exchange.body).getOrNull()
        val switches = faults.get()
        requests.incrementAndGet()
        if (switches.killingText.isNotEmpty() && exchange.body.decodeToString().contains(switches.killingText)) {
            Runtime.getRuntime().halt(KILLED_EXIT_STATUS)
        }
        when {
            prompt == null -> exchange.replyError(HttpStatus.BAD_REQUEST, "bad_request", "no prompt", "ran")
            expectedWeights != null && expectedWeights != servedWeights.get().text ->
                exchange.replyError(HttpStatus.CONFLICT, "wrong_weights", "this engine serves ${servedWeights.get()}", "not-run")
            drawsFailure(switches) ->
                exchange.replyError(HttpStatus.INTERNAL_ERROR, "failure", "a fault switch failed this request", "ran")
            else -> submitJob(exchange, prompt.text, prompt.maxAnswerTokens, prompt.isStreamed)
        }
    }

    private fun Exchange.replyError(status: Int, kind: String, message: String, outcome: String) {
        val id = head.headers.filter { it.name == "x-request-id" }.toPersistentList()
        reply(errorResponse(status, kind, message, outcome, id))
    }

    private fun drawsFailure(switches: FaultSwitches): Boolean {
        val applies = switches.failingWeights.isEmpty() || switches.failingWeights == servedWeights.get().text
        return applies && ThreadLocalRandom.current().nextInt(SHARE_UNIT) < switches.failShare
    }

    private fun submitJob(exchange: Exchange, text: ByteArray, answerTokens: Long, isStreamed: Boolean) {
        val headers = exchange.head.headers
        val salt = headers.valueOrNull("x-cache-salt")?.toLongOrNull() ?: 0
        val chain = prefixChain(salt, text).map { cacheKey(it, servedWeights.get()) }.toPersistentList()
        val id = lastJob.incrementAndGet()
        val tokens = (text.size / BYTES_PER_TOKEN).toLong() + 1
        val skip = headers.valueOrNull("last-event-id")?.toLongOrNull() ?: 0
        val job = JobArrived(id, chain, tokens, answerTokens.coerceAtLeast(1), skip)
        exchange.setListener(CallerConnectionListener(onWritabilityChanged = {}, onDisconnected = { inputs.put(CallerDisconnected(id)) }))
        inputs.put(CompletionRequested(exchange, job, headers.valueOrNull("x-request-id").orEmpty(), isStreamed))
    }

    private fun loadWeights(exchange: Exchange) {
        val command = standinJson.decodeFromString(LoadCommandRequest.serializer(), exchange.body.decodeToString())
        val highest = highestFence.get()
        if (command.fence < highest && !faults.get().ignoresFence) {
            return exchange.reply(errorResponse(HttpStatus.CONFLICT, "old_fence", "the highest fence so far is $highest", "not-run"))
        }
        highestFence.set(command.fence)
        inputs.put(EngineCommanded(LoadWeights(WeightsVersion(command.weights))))
        exchange.reply(weightsPage())
    }

    private fun weightsPage(): WholeResponse {
        val page = WeightsPage(servedWeights.get().text, highestFence.get())
        return jsonResponse(HttpStatus.OK, standinJson.encodeToString(WeightsPage.serializer(), page))
    }

    private fun counts() = jsonResponse(
        HttpStatus.OK,
        standinJson.encodeToString(
            CountsPage.serializer(),
            CountsPage(requests.get(), promptTokens.get(), cachedTokens.get(), keysSeen.get(), emptyMap()),
        ),
    )

    private fun step(state: ServerState, now: Timestamp, input: ServerInput?): ServerState {
        val updated = applyInput(state, input)
        val step = updated.engine.step(now, input?.let(::engineInputOrNull))
        return step.effects.fold(updated.copy(engine = step.state)) { current, effect -> current.perform(effect, now) }.publishEvent(now)
    }

    private fun engineInputOrNull(input: ServerInput): EngineInput? = when (input) {
        is CompletionRequested -> input.job
        is EngineCommanded -> input.command
        is CallerDisconnected -> JobCancelled(input.id)
        is Subscribed, is Unsubscribed -> null
    }

    private fun applyInput(state: ServerState, input: ServerInput?): ServerState = when (input) {
        is CompletionRequested -> {
            val response = PendingResponse(input.exchange, input.requestId, input.isStreamed, isStarted = false)
            state.copy(responses = state.responses.put(input.job.id, response))
        }
        is CallerDisconnected -> state.copy(responses = state.responses.remove(input.id))
        is Subscribed -> state.subscribe(input.exchange)
        is Unsubscribed -> state.copy(subscribers = state.subscribers.remove(input.exchange))
        else -> state
    }

    private fun ServerState.subscribe(exchange: Exchange): ServerState {
        exchange.setListener(CallerConnectionListener(onWritabilityChanged = {}, onDisconnected = { inputs.put(Unsubscribed(exchange)) }))
        exchange.startResponse(ResponseHead(HttpStatus.OK, persistentListOf(Header("content-type", "text/event-stream"))))
        return copy(subscribers = subscribers.add(exchange))
    }

    private fun ServerState.perform(effect: EngineEffect, now: Timestamp): ServerState = when (effect) {
        is TokenGenerated -> sendToken(effect)
        is CacheChanged -> copy(
            delayedEvents = delayedEvents.add(
                DelayedCacheEvent(now + faults.get().eventDelayMilliseconds.milliseconds, effect.stored, effect.removed),
            ),
        )
        is WeightsLoaded -> {
            servedWeights.set(effect.weights)
            applySlowdown()
            this
        }
    }

    private fun ServerState.sendToken(token: TokenGenerated): ServerState {
        val response = responses[token.id] ?: return this
        if (token.isLast) {
            promptTokens.addAndGet(token.job.promptTokens)
            cachedTokens.addAndGet(token.job.cachedTokens)
        }
        if (response.isStreamed) {
            response.sendEvent(token)
        } else if (token.isLast) {
            response.sendWhole(token)
        }
        return copy(responses = if (token.isLast) responses.remove(token.id) else responses.put(token.id, response.copy(isStarted = true)))
    }

    private fun PendingResponse.sendEvent(token: TokenGenerated) {
        val switches = faults.get()
        if (!isStarted) exchange.startResponse(ResponseHead(HttpStatus.OK, headers("text/event-stream")))
        val event = if (switches.malformedStream) "data: {broken\n\n" else streamEvent(requestId, token.number, token.job, token.isLast)
        exchange.send(event.toByteArray())
        if (switches.breakStreamsAfter in 1..token.number) return exchange.abort()
        if (token.isLast) exchange.end()
    }

    private fun PendingResponse.sendWhole(token: TokenGenerated) =
        exchange.respond(ResponseHead(HttpStatus.OK, headers("application/json")), completionPage(requestId, token.job).toByteArray())

    private fun PendingResponse.headers(type: String): PersistentList<Header> {
        val echoedId = if (faults.get().crossedAnswers) "somebody-else" else requestId
        return persistentListOf(Header("content-type", type), Header("x-request-id", echoedId))
    }

    /** Publishes the delayed events that are due; without any, a load report at least every [MAX_EVENT_INTERVAL]. */
    private fun ServerState.publishEvent(now: Timestamp): ServerState {
        val ready = delayedEvents.filter { it.publishAt <= now }
        if (ready.isEmpty() && now < nextEventAt) return this
        val stored = ready.flatMap { it.stored }
        val removed = ready.flatMap { it.removed }
        val event = PublishedEvent(
            sequence = sequence + 1,
            incarnation = incarnation,
            weights = servedWeights.get().text,
            running = engine.running,
            waitingTokens = engine.waitingTokens,
            leaving = faults.get().leaving,
            stored = stored,
            removed = removed,
        )
        val isLost = ready.isNotEmpty() && ThreadLocalRandom.current().nextInt(SHARE_UNIT) < faults.get().eventLossShare
        val text = "data: ${standinJson.encodeToString(PublishedEvent.serializer(), event)}\n\n".toByteArray()
        if (!isLost) subscribers.forEach { it.send(text) }
        return copy(
            delayedEvents = delayedEvents.removeAll { it.publishAt <= now },
            sequence = sequence + 1,
            nextEventAt = now + MAX_EVENT_INTERVAL,
        )
    }
}

/** Starts an engine that serves [weights], and returns it. */
public fun startEngineServer(profile: StandinEngineProfile, weights: WeightsVersion, clock: Clock, onFailure: OnDutyFailure): EngineServer =
    EngineServer(profile, weights, clock, onFailure)
