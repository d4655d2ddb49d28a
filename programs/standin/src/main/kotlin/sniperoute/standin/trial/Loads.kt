/**
 * Load measurement: sends the requests of a trace through the routers when they are due, without waiting for earlier responses
 * (open loop), and reports latency and cache hit rate as callers observed them.
 */
package sniperoute.standin.trial

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import org.HdrHistogram.Histogram
import sniperoute.common.ListenAddress
import sniperoute.common.PEER_PORT_RANGE
import sniperoute.connection.endpoint.EndpointClient
import sniperoute.connection.endpoint.decision.EventStreamState
import sniperoute.connection.endpoint.decision.newEventStream
import sniperoute.connection.endpoint.decision.parse
import sniperoute.connection.endpoint.endpointClient
import sniperoute.connection.endpoint.message.*
import sniperoute.connection.http.Header
import sniperoute.connection.http.HttpStatus
import sniperoute.connection.http.startHttpThreads
import sniperoute.process.clock.Clock
import sniperoute.process.clock.Timestamp
import sniperoute.process.clock.systemClock
import sniperoute.process.settings.ObjectReader
import sniperoute.request.prefix.decision.BLOCK_TOKENS
import sniperoute.request.prefix.decision.prefixChain
import sniperoute.request.prefix.decision.workspaceSalt
import sniperoute.request.run.codec.inspectJson
import sniperoute.request.run.message.Usage
import sniperoute.standin.engine.decision.access
import sniperoute.standin.engine.decision.countCachedBlocks
import sniperoute.standin.engine.decision.emptyBlockCache
import sniperoute.version.message.WorkspaceName
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** The load to send, and the routers to send it to; [fleetBlocks] is the cache capacity of all engines together. */
internal class LoadSettings(
    val routers: ImmutableList<ListenAddress>,
    val shape: TraceShape,
    val answerTokens: Int,
    val fleetBlocks: Int,
    val label: String,
    val warmUp: Duration,
)

internal fun ObjectReader.loadSettings(): LoadSettings = LoadSettings(
    routers = objects("routers") { ListenAddress(string("host"), long("port", PEER_PORT_RANGE).toInt()) },
    shape = requiredObjectOrNull("trace") { traceShape() } ?: error("a load needs \"trace\""),
    answerTokens = long("answerTokens", 1L..100_000L, DEFAULT_ANSWER_TOKENS).toInt(),
    fleetBlocks = long("fleetPieces", 1L..10_000_000L, DEFAULT_FLEET_BLOCKS).toInt(),
    label = string("label", default = "load"),
    warmUp = milliseconds("warmUpMilliseconds", 0L..3_600_000L, Duration.ZERO),
)

private const val DEFAULT_ANSWER_TOKENS = 16L
private const val DEFAULT_FLEET_BLOCKS = 1_200L

/** The result of one request; [firstByteAfter] is the time from when the request was due to the first byte of its response. */
private data class Sample(
    val request: TraceRequest,
    val status: Int,
    val isComplete: Boolean,
    val firstByteAfter: Duration?,
    val usage: Usage?,
)

private val RESPONSE_TIMEOUT = 30.seconds

/** Sends the load that [settings] describe and prints the results. */
internal fun measureLoad(settings: LoadSettings) {
    val trace = traceOf(settings.shape)
    val samples = sendTrace(settings, trace)
    println(report(settings, trace, samples))
}

private fun sendTrace(settings: LoadSettings, trace: List<TraceRequest>): List<Sample> {
    val clock = systemClock()
    val threads = startHttpThreads(2)
    val client = endpointClient(threads, clock)
    val samples = ConcurrentLinkedQueue<Sample>()
    val unfinished = CountDownLatch(trace.size)
    val bodies = trace.map { it.toBody(settings) }
    val start = clock() + 1.seconds
    trace.forEachIndexed { position, request ->
        val due = start + request.at
        val wait = due - clock()
        if (wait.isPositive()) Thread.sleep(wait.inWholeMilliseconds, (wait.inWholeNanoseconds % NANOSECONDS_PER_MILLISECOND).toInt())
        val router = settings.routers[position % settings.routers.size]
        val listener = SampleListener(request, due, clock) { sample ->
            samples += sample
            unfinished.countDown()
        }
        client.send(settings, request, router, bodies[position], listener)
    }
    unfinished.await(RESPONSE_TIMEOUT.inWholeSeconds, TimeUnit.SECONDS)
    threads.close()
    return samples.toList()
}

private const val NANOSECONDS_PER_MILLISECOND = 1_000_000L

private fun TraceRequest.toBody(settings: LoadSettings): ByteArray = when (kind) {
    TraceKind.DRAFT -> completionBody(levels, settings.answerTokens, isStreamed = true)
    TraceKind.STATUS -> ""
    TraceKind.CONFIRMATION -> "confirmation $number"
}.toByteArray()

private fun EndpointClient.send(
    settings: LoadSettings,
    request: TraceRequest,
    router: ListenAddress,
    body: ByteArray,
    listener: SampleListener,
) {
    val key = settings.shape.workspaces
        .first { it.name == request.workspace }
        .key
    val path = when (request.kind) {
        TraceKind.DRAFT -> "/v1/chat/completions"
        TraceKind.STATUS -> "/orders/status"
        TraceKind.CONFIRMATION -> "/orders/confirm"
    }
    val headers = listOf(Header("authorization", "Bearer $key"), Header("idempotency-key", "trace-${settings.label}-${request.number}"))
    val call = EndpointCall(
        address = EndpointAddress(router.host, router.port),
        requestId = null,
        method = if (request.kind == TraceKind.STATUS) "GET" else "POST",
        target = path,
        headers = headers.toImmutableList(),
        body = body,
        idleTimeout = RESPONSE_TIMEOUT,
    )
    call(call, listener.onEvent)
}

private class SampleListener(
    private val request: TraceRequest,
    private val due: Timestamp,
    private val clock: Clock,
    private val onSample: (Sample) -> Unit,
) {
    private var status = 0
    private var firstByteAfter: Duration? = null
    private var stream: EventStreamState = newEventStream()
    private var usage: Usage? = null
    private var hasEndMarker = false

    val onEvent: OnCallEvent = { event ->
        when (event) {
            is ResponseStarted -> status = event.head.status
            is ContentReceived -> take(event.bytes)
            is CallCompleted -> finish(request.kind != TraceKind.DRAFT || hasEndMarker)
            is CallFailed -> finish(false)
            is CallStalled -> Unit
        }
    }

    private fun take(bytes: ByteArray) {
        if (firstByteAfter == null) firstByteAfter = clock() - due
        if (request.kind != TraceKind.DRAFT || status != HttpStatus.OK) return
        val step = stream.parse(bytes)
        stream = step.state
        step.events.forEach { event ->
            if (event.data == "[DONE]") hasEndMarker = true
            if (event.data.contains("\"usage\"")) usage = inspectJson(event.data).usage
        }
    }

    private fun finish(isComplete: Boolean) {
        onSample(Sample(request, status, isComplete && status == HttpStatus.OK, firstByteAfter, usage))
    }
}

private const val HISTOGRAM_DIGITS = 3
private const val MAX_RECORDED_MICROSECONDS = 120_000_000L
private const val MEDIAN = 50.0
private const val PERCENTILE_99 = 99.0
private const val MICROSECONDS_PER_MILLISECOND = 1_000.0
private const val PERCENT = 100.0

private fun report(settings: LoadSettings, trace: List<TraceRequest>, samples: List<Sample>): String = buildString {
    append("${settings.label}: ${trace.size} requests, ${samples.count { it.isComplete }} answered completely, ")
    append("${samples.count { it.status == HttpStatus.TOO_MANY_REQUESTS }} refused because of their rate, ")
    append(
        "${samples.count { !it.isComplete && it.status != HttpStatus.TOO_MANY_REQUESTS } + trace.size - samples.size} failed or missing\n",
    )
    val warmSamples = samples.filter { it.request.at >= settings.warmUp }
    append("  times of requests due after the first ${settings.warmUp}:\n")
    TraceKind.entries.forEach { kind -> append(latencyLine(kind.name.lowercase(), warmSamples.filter { it.request.kind == kind })) }
    append(cacheLine(settings, trace, samples))
    append(workspaceLines(warmSamples))
}

private fun latencyLine(name: String, samples: List<Sample>): String {
    val histogram = histogramOf(samples)
    if (histogram.totalCount == 0L) return ""
    return "  %-13s first byte p50 %8.2f ms, p99 %8.2f ms, n %d\n"
        .format(name, histogram.milliseconds(MEDIAN), histogram.milliseconds(PERCENTILE_99), histogram.totalCount)
}

private fun histogramOf(samples: List<Sample>): Histogram {
    val histogram = Histogram(MAX_RECORDED_MICROSECONDS, HISTOGRAM_DIGITS)
    samples.filter { it.isComplete }.mapNotNull { it.firstByteAfter }.forEach {
        histogram.recordValue(it.toDouble(DurationUnit.MICROSECONDS).toLong().coerceIn(0, MAX_RECORDED_MICROSECONDS))
    }
    return histogram
}

private fun Histogram.milliseconds(percentile: Double): Double = getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND

private fun cacheLine(settings: LoadSettings, trace: List<TraceRequest>, samples: List<Sample>): String {
    val usages = samples.mapNotNull { it.usage }
    val prompt = usages.sumOf { it.promptTokens ?: 0 }
    val cached = usages.sumOf { it.cachedTokens ?: 0 }
    val hitRate = if (prompt == 0L) 0.0 else cached * PERCENT / prompt
    val bound = hitRateUpperBound(trace, settings.fleetBlocks)
    return "  hit rate %.1f %%, upper bound of any placement %.1f %%; %d prompt tokens, %d recomputed\n"
        .format(hitRate, bound, prompt, prompt - cached)
}

/** Returns the hit rate of a single cache as large as those of all engines together, which no placement over separate caches exceeds. */
private fun hitRateUpperBound(trace: List<TraceRequest>, fleetBlocks: Int): Double {
    var cache = emptyBlockCache(fleetBlocks)
    var prompt = 0L
    var cached = 0L
    trace.filter { it.kind == TraceKind.DRAFT }.forEach { request ->
        val text = request.levels.joinToString("") { "user$it" }.toByteArray()
        val chain = prefixChain(workspaceSalt(WorkspaceName(request.workspace)), text)
        prompt += text.size / BYTES_PER_TOKEN + 1
        cached += cache.countCachedBlocks(chain).toLong() * BLOCK_TOKENS
        cache = cache.access(chain).cache
    }
    return if (prompt == 0L) 0.0 else cached * PERCENT / prompt
}

private const val BYTES_PER_TOKEN = 4

private fun workspaceLines(samples: List<Sample>): String {
    val drafts = samples.filter { it.request.kind == TraceKind.DRAFT }.groupBy { it.request.workspace }
    val lines = drafts.toSortedMap().map { (name, workspaceSamples) ->
        val histogram = histogramOf(workspaceSamples)
        "  workspace %-12s p50 %8.2f ms, p99 %8.2f ms, complete %d of %d\n"
            .format(
                name,
                histogram.milliseconds(MEDIAN),
                histogram.milliseconds(PERCENTILE_99),
                workspaceSamples.count { it.isComplete },
                workspaceSamples.size,
            )
    }
    return lines.joinToString("")
}
