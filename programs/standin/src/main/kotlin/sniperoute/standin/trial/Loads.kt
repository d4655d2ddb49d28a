/**
 * Measurement of a load: the trace is sent through the routers on time, whatever becomes of the answers, and what callers saw
 * is summed up.
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
import sniperoute.connection.endpoint.decision.take
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
import sniperoute.standin.engine.decision.emptyPieceCache
import sniperoute.standin.engine.decision.heldPieces
import sniperoute.standin.engine.decision.use
import sniperoute.version.message.WorkspaceName
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Where to send which trace. */
internal class LoadSettings(
    val routers: ImmutableList<ListenAddress>,
    val shape: TraceShape,
    val answerTokens: Int,
    val fleetPieces: Int,
    val label: String,
    val warmUp: Duration,
)

internal fun ObjectReader.loadSettings(): LoadSettings = LoadSettings(
    routers = objects("routers") { ListenAddress(string("host"), long("port", PEER_PORT_RANGE).toInt()) },
    shape = requiredObjectOrNull("trace") { traceShape() } ?: error("a load needs a trace"),
    answerTokens = long("answerTokens", 1L..100_000L, DEFAULT_ANSWER_TOKENS).toInt(),
    fleetPieces = long("fleetPieces", 1L..10_000_000L, DEFAULT_FLEET_PIECES).toInt(),
    label = string("label", default = "load"),
    warmUp = milliseconds("warmUpMilliseconds", 0L..3_600_000L, Duration.ZERO),
)

private const val DEFAULT_ANSWER_TOKENS = 16L
private const val DEFAULT_FLEET_PIECES = 1_200L

/** What became of one request; times are from when it was due. */
private data class Sample(
    val request: TraceRequest,
    val status: Int,
    val isComplete: Boolean,
    val firstToken: Duration?,
    val usage: Usage?,
)

private val PATIENCE = 30.seconds

internal fun measureLoad(settings: LoadSettings) {
    val trace = traceOf(settings.shape)
    val samples = send(settings, trace)
    println(report(settings, trace, samples))
}

private fun send(settings: LoadSettings, trace: List<TraceRequest>): List<Sample> {
    val clock = systemClock()
    val threads = startHttpThreads(2)
    val client = endpointClient(threads, clock)
    val samples = ConcurrentLinkedQueue<Sample>()
    val open = CountDownLatch(trace.size)
    val bodies = trace.map { it.toBody(settings) }
    val start = clock() + 1.seconds
    trace.forEachIndexed { position, request ->
        val due = start + request.at
        val wait = due - clock()
        if (wait.isPositive()) Thread.sleep(wait.inWholeMilliseconds, (wait.inWholeNanoseconds % NANOSECONDS_PER_MILLISECOND).toInt())
        val router = settings.routers[position % settings.routers.size]
        val listener = SampleListener(request, due, clock) { sample ->
            samples += sample
            open.countDown()
        }
        client.send(settings, request, router, bodies[position], listener)
    }
    open.await(PATIENCE.inWholeSeconds, TimeUnit.SECONDS)
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
        idleTimeout = PATIENCE,
    )
    call(call, listener.onEvent)
}

private class SampleListener(
    private val request: TraceRequest,
    private val due: Timestamp,
    private val clock: Clock,
    private val done: (Sample) -> Unit,
) {
    private var status = 0
    private var firstToken: Duration? = null
    private var stream: EventStreamState = newEventStream()
    private var usage: Usage? = null
    private var hasEnd = false

    val onEvent: OnCallEvent = { event ->
        when (event) {
            is ResponseStarted -> status = event.head.status
            is ContentReceived -> take(event.bytes)
            is CallCompleted -> finish(request.kind != TraceKind.DRAFT || hasEnd)
            is CallFailed -> finish(false)
        }
    }

    private fun take(bytes: ByteArray) {
        if (firstToken == null) firstToken = clock() - due
        if (request.kind != TraceKind.DRAFT || status != HttpStatus.OK) return
        val step = stream.take(bytes)
        stream = step.state
        step.events.forEach { event ->
            if (event.data == "[DONE]") hasEnd = true
            if (event.data.contains("\"usage\"")) usage = inspectJson(event.data).usage
        }
    }

    private fun finish(isComplete: Boolean) {
        done(Sample(request, status, isComplete && status == HttpStatus.OK, firstToken, usage))
    }
}

private const val HISTOGRAM_DIGITS = 3
private const val LONGEST_MICROSECONDS = 120_000_000L
private const val MEDIAN = 50.0
private const val NEARLY_ALL = 99.0
private const val MICROSECONDS_PER_MILLISECOND = 1_000.0
private const val PERCENT = 100.0

private fun report(settings: LoadSettings, trace: List<TraceRequest>, samples: List<Sample>): String = buildString {
    append("${settings.label}: ${trace.size} requests, ${samples.count { it.isComplete }} answered whole, ")
    append("${samples.count { it.status == HttpStatus.TOO_MANY_REQUESTS }} refused over rate, ")
    append(
        "${samples.count { !it.isComplete && it.status != HttpStatus.TOO_MANY_REQUESTS } + trace.size - samples.size} failed or missing\n",
    )
    val warm = samples.filter { it.request.at >= settings.warmUp }
    append("  times of requests due after the first ${settings.warmUp}:\n")
    TraceKind.entries.forEach { kind -> append(times(kind.name.lowercase(), warm.filter { it.request.kind == kind })) }
    append(cacheLine(settings, trace, samples))
    append(worstWorkspace(warm))
}

private fun times(name: String, samples: List<Sample>): String {
    val histogram = histogramOf(samples)
    if (histogram.totalCount == 0L) return ""
    return "  %-13s first byte p50 %8.2f ms, p99 %8.2f ms, n %d\n"
        .format(name, histogram.milliseconds(MEDIAN), histogram.milliseconds(NEARLY_ALL), histogram.totalCount)
}

private fun histogramOf(samples: List<Sample>): Histogram {
    val histogram = Histogram(LONGEST_MICROSECONDS, HISTOGRAM_DIGITS)
    samples.filter { it.isComplete }.mapNotNull { it.firstToken }.forEach {
        histogram.recordValue(it.toDouble(DurationUnit.MICROSECONDS).toLong().coerceIn(0, LONGEST_MICROSECONDS))
    }
    return histogram
}

private fun Histogram.milliseconds(percentile: Double): Double = getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND

private fun cacheLine(settings: LoadSettings, trace: List<TraceRequest>, samples: List<Sample>): String {
    val usages = samples.mapNotNull { it.usage }
    val prompt = usages.sumOf { it.promptTokens ?: 0 }
    val cached = usages.sumOf { it.cachedTokens ?: 0 }
    val hitRate = if (prompt == 0L) 0.0 else cached * PERCENT / prompt
    val best = bestHitRate(trace, settings.fleetPieces)
    return "  hit rate %.1f %%, an all-knowing placement at most %.1f %%; %d prompt tokens, %d recomputed\n"
        .format(hitRate, best, prompt, prompt - cached)
}

/** The hit rate of one cache that is as large as all engines' together: no placement over separate caches can do better. */
private fun bestHitRate(trace: List<TraceRequest>, fleetPieces: Int): Double {
    var cache = emptyPieceCache(fleetPieces)
    var prompt = 0L
    var cached = 0L
    trace.filter { it.kind == TraceKind.DRAFT }.forEach { request ->
        val text = request.levels.joinToString("") { "user$it" }.toByteArray()
        val chain = prefixChain(workspaceSalt(WorkspaceName(request.workspace)), text)
        prompt += text.size / BYTES_PER_TOKEN + 1
        cached += cache.heldPieces(chain).toLong() * BLOCK_TOKENS
        cache = cache.use(chain).cache
    }
    return if (prompt == 0L) 0.0 else cached * PERCENT / prompt
}

private const val BYTES_PER_TOKEN = 4

private fun worstWorkspace(samples: List<Sample>): String {
    val drafts = samples.filter { it.request.kind == TraceKind.DRAFT }.groupBy { it.request.workspace }
    val lines = drafts.toSortedMap().map { (name, own) ->
        val histogram = histogramOf(own)
        "  workspace %-12s p50 %8.2f ms, p99 %8.2f ms, whole %d of %d\n"
            .format(name, histogram.milliseconds(MEDIAN), histogram.milliseconds(NEARLY_ALL), own.count { it.isComplete }, own.size)
    }
    return lines.joinToString("")
}
