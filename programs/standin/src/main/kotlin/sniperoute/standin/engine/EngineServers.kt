/**
 * The stand-in engine's HTTP side: completions, its event stream, its weights and its fault switches.
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
private val REPORT_INTERVAL = 100.milliseconds
private const val RING_CAPACITY = 8_192
private const val THOUSANDTHS = 1_000
private const val EXIT_KILLED = 137

/** What the engine's duty takes in. */
private sealed interface ServerInput

private class Asked(val exchange: Exchange, val input: JobCame, val requestId: String, val isStreamed: Boolean) : ServerInput

private class Gone(val id: Long) : ServerInput

private class Subscribed(val exchange: Exchange) : ServerInput

private class Unsubscribed(val exchange: Exchange) : ServerInput

private class Ordered(val input: EngineInput) : ServerInput

/** One answer under way. */
private data class OpenAnswer(val exchange: Exchange, val requestId: String, val isStreamed: Boolean, val hasBegun: Boolean)

/** A batch of cache events that becomes known at [due]. */
private data class DueEvent(val due: Timestamp, val stored: PersistentList<Long>, val removed: PersistentList<Long>)

private data class ServerState(
    val engine: EngineState,
    val open: PersistentMap<Long, OpenAnswer>,
    val subscribers: PersistentList<Exchange>,
    val due: PersistentList<DueEvent>,
    val sequence: Long,
    val nextReport: Timestamp,
)

/** A stand-in engine. */
public class EngineServer internal constructor(profile: EngineProfile, weights: WeightsVersion, clock: Clock, onFailure: OnDutyFailure) {
    private val incarnation = newIncarnation().toString()
    private val inbox = ring<ServerInput>("engine", RING_CAPACITY)
    private val faults = AtomicReference(FaultSwitches())
    private val served = AtomicReference(weights)
    private val fence = AtomicLong()
    private val lastJob = AtomicLong()
    private val requests = AtomicLong()
    private val promptTokens = AtomicLong()
    private val cachedTokens = AtomicLong()
    private val keysSeen = AtomicLong()

    init {
        val initial =
            ServerState(newEngine(profile, weights), persistentMapOf(), persistentListOf(), persistentListOf(), 0, Timestamp.EARLIEST)
        startStateDuty(inbox, TICK, clock, onFailure, initial, ::step)
    }

    /** Answers [exchange]. */
    public fun handle(exchange: Exchange) {
        val head = exchange.head
        if (head.headers.any { it.name == "authorization" || it.name == "x-api-key" }) keysSeen.incrementAndGet()
        when {
            head.path == "/faults" && head.method == "POST" -> switchFaults(exchange)
            faults.get().silentConnections -> Unit
            head.path.startsWith("/v1/") -> complete(exchange)
            head.path == "/events" -> inbox.put(Subscribed(exchange))
            head.path == "/weights" && head.method == "POST" -> load(exchange)
            head.path == "/weights" -> exchange.reply(weightsPage())
            head.path == "/counts" -> exchange.reply(counts())
            else -> exchange.reply(notFoundPage(head.path))
        }
    }

    private fun switchFaults(exchange: Exchange) {
        val switches = standinJson.decodeFromString(FaultSwitches.serializer(), exchange.body.decodeToString())
        faults.set(switches)
        slowAsSwitched()
        exchange.reply(jsonResponse(HttpStatus.OK, "{}"))
    }

    private fun slowAsSwitched() {
        val switches = faults.get()
        val isSlow = switches.slowWeights.isEmpty() || switches.slowWeights == served.get().text
        inbox.put(Ordered(SlowDown(if (isSlow) switches.slowness else 1.0)))
    }

    private fun complete(exchange: Exchange) {
        val wanted = exchange.head.headers.valueOrNull("x-weights-version")
        val prompt = parsePrompt(exchange.body).getOrNull()
        val switches = faults.get()
        requests.incrementAndGet()
        if (switches.killingText.isNotEmpty() && exchange.body.decodeToString().contains(switches.killingText)) {
            Runtime.getRuntime().halt(EXIT_KILLED)
        }
        when {
            prompt == null -> exchange.reply(errorResponse(HttpStatus.BAD_REQUEST, "bad_request", "no prompt", "ran"))
            wanted != null && wanted != served.get().text ->
                exchange.reply(errorResponse(HttpStatus.CONFLICT, "wrong_weights", "this engine serves ${served.get()}", "not-run"))
            isFailing(switches) -> exchange.reply(errorResponse(HttpStatus.INTERNAL_ERROR, "failure", "switched on", "ran"))
            else -> ask(exchange, prompt.text, prompt.maxAnswerTokens, prompt.isStreamed)
        }
    }

    private fun isFailing(switches: FaultSwitches): Boolean {
        val applies = switches.failingWeights.isEmpty() || switches.failingWeights == served.get().text
        return applies && ThreadLocalRandom.current().nextInt(THOUSANDTHS) < switches.failShare
    }

    private fun ask(exchange: Exchange, text: ByteArray, answerTokens: Long, isStreamed: Boolean) {
        val headers = exchange.head.headers
        val salt = headers.valueOrNull("x-cache-salt")?.toLongOrNull() ?: 0
        val chain = prefixChain(salt, text).map { cacheKey(it, served.get()) }.toPersistentList()
        val id = lastJob.incrementAndGet()
        val tokens = (text.size / BYTES_PER_TOKEN).toLong() + 1
        val skip = headers.valueOrNull("last-event-id")?.toLongOrNull() ?: 0
        val job = JobCame(id, chain, tokens, answerTokens.coerceAtLeast(1), skip)
        exchange.setListener(CallerConnectionListener(onWritabilityChanged = {}, onDisconnected = { inbox.put(Gone(id)) }))
        inbox.put(Asked(exchange, job, headers.valueOrNull("x-request-id").orEmpty(), isStreamed))
    }

    private fun load(exchange: Exchange) {
        val order = standinJson.decodeFromString(WeightsOrder.serializer(), exchange.body.decodeToString())
        val seen = fence.get()
        if (order.fence < seen && !faults.get().ignoresFence) {
            return exchange.reply(errorResponse(HttpStatus.CONFLICT, "old_fence", "fence $seen was seen", "not-run"))
        }
        fence.set(order.fence)
        inbox.put(Ordered(LoadWeights(WeightsVersion(order.weights))))
        exchange.reply(weightsPage())
    }

    private fun weightsPage() =
        jsonResponse(HttpStatus.OK, standinJson.encodeToString(WeightsPage.serializer(), WeightsPage(served.get().text, fence.get())))

    private fun counts() = jsonResponse(
        HttpStatus.OK,
        standinJson.encodeToString(
            CountsPage.serializer(),
            CountsPage(requests.get(), promptTokens.get(), cachedTokens.get(), keysSeen.get(), emptyMap()),
        ),
    )

    private fun step(state: ServerState, now: Timestamp, input: ServerInput?): ServerState {
        val taken = take(state, input)
        val step = taken.engine.step(
            now,
            (input as? Asked)?.input ?: (input as? Ordered)?.input ?: (input as? Gone)?.let { JobLeft(it.id) },
        )
        return step.effects.fold(taken.copy(engine = step.state)) { current, effect -> current.perform(effect, now) }.publishDue(now)
    }

    private fun take(state: ServerState, input: ServerInput?): ServerState = when (input) {
        is Asked -> state.copy(open = state.open.put(input.input.id, OpenAnswer(input.exchange, input.requestId, input.isStreamed, false)))
        is Gone -> state.copy(open = state.open.remove(input.id))
        is Subscribed -> state.subscribe(input.exchange)
        is Unsubscribed -> state.copy(subscribers = state.subscribers.remove(input.exchange))
        else -> state
    }

    private fun ServerState.subscribe(exchange: Exchange): ServerState {
        exchange.setListener(CallerConnectionListener(onWritabilityChanged = {}, onDisconnected = { inbox.put(Unsubscribed(exchange)) }))
        exchange.begin(ResponseHead(HttpStatus.OK, persistentListOf(Header("content-type", "text/event-stream"))))
        return copy(subscribers = subscribers.add(exchange))
    }

    private fun ServerState.perform(effect: EngineEffect, now: Timestamp): ServerState = when (effect) {
        is TokenMade -> sendToken(effect)
        is CacheDiffers -> copy(
            due = due.add(DueEvent(now + faults.get().eventDelayMilliseconds.milliseconds, effect.stored, effect.removed)),
        )
        is WeightsLoaded -> {
            served.set(effect.weights)
            slowAsSwitched()
            this
        }
    }

    private fun ServerState.sendToken(made: TokenMade): ServerState {
        val answer = open[made.id] ?: return this
        if (made.isLast) {
            promptTokens.addAndGet(made.job.promptTokens)
            cachedTokens.addAndGet(made.job.cachedTokens)
        }
        if (answer.isStreamed) {
            answer.sendEvent(made)
        } else if (made.isLast) {
            answer.sendWhole(made)
        }
        return copy(open = if (made.isLast) open.remove(made.id) else open.put(made.id, answer.copy(hasBegun = true)))
    }

    private fun OpenAnswer.sendEvent(made: TokenMade) {
        val switches = faults.get()
        if (!hasBegun) exchange.begin(ResponseHead(HttpStatus.OK, headers("text/event-stream")))
        val event = if (switches.malformedStream) "data: {broken\n\n" else streamEvent(requestId, made.number, made.job, made.isLast)
        exchange.send(event.toByteArray())
        if (switches.breakStreamsAfter in 1..made.number) return exchange.abort()
        if (made.isLast) exchange.end()
    }

    private fun OpenAnswer.sendWhole(made: TokenMade) =
        exchange.answer(ResponseHead(HttpStatus.OK, headers("application/json")), wholeAnswer(requestId, made.job).toByteArray())

    private fun OpenAnswer.headers(type: String): PersistentList<Header> {
        val named = if (faults.get().crossedAnswers) "somebody-else" else requestId
        return persistentListOf(Header("content-type", type), Header("x-request-id", named))
    }

    private fun ServerState.publishDue(now: Timestamp): ServerState {
        val ready = due.filter { it.due <= now }
        if (ready.isEmpty() && now < nextReport) return this
        val stored = ready.flatMap { it.stored }
        val removed = ready.flatMap { it.removed }
        val event = PublishedEvent(
            sequence = sequence + 1,
            incarnation = incarnation,
            weights = served.get().text,
            running = engine.running,
            waitingTokens = engine.waitingTokens,
            leaving = faults.get().leaving,
            stored = stored,
            removed = removed,
        )
        val isLost = ready.isNotEmpty() && ThreadLocalRandom.current().nextInt(THOUSANDTHS) < faults.get().eventLossShare
        val text = "data: ${standinJson.encodeToString(PublishedEvent.serializer(), event)}\n\n".toByteArray()
        if (!isLost) subscribers.forEach { it.send(text) }
        return copy(due = due.removeAll { it.due <= now }, sequence = sequence + 1, nextReport = now + REPORT_INTERVAL)
    }
}

/** Returns a running engine. */
public fun startEngineServer(profile: EngineProfile, weights: WeightsVersion, clock: Clock, onFailure: OnDutyFailure): EngineServer =
    EngineServer(profile, weights, clock, onFailure)
