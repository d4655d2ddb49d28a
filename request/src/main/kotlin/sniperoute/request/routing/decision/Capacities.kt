/**
 * What a router knows of the capacity of endpoints: how long work takes at each now, and how much of its memory requests hold. It
 * answers a load under which endpoints differ in speed, slow down for parts of a second, and run out of memory before they run out of
 * slots.
 */
package sniperoute.request.routing.decision

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import sniperoute.process.clock.Timestamp
import sniperoute.request.routing.message.AdmittedRequest
import sniperoute.version.message.EndpointWorkload
import sniperoute.version.message.Service
import sniperoute.version.message.ServiceName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Which services have their requests placed by the capacity of each endpoint. */
public enum class CapacityPlacement(public val text: String) {
    NEVER("never"),

    /** Those with an endpoint that has stated how long work takes there at present. */
    WHERE_STATED("stated"),
    ALWAYS("always"),
}

/** The time that work takes at an endpoint in relation to the usual time, as it was stated at [at]. */
public data class StatedTime(public val at: Timestamp, public val ratio: Double)

/** The ratios that are believed; others count as the nearest of these. */
private val RATIO_RANGE = 0.1..100.0

/** A stated ratio holds for this time, and then approaches 1 over [RATIO_DECAY]. */
private val RATIO_LIFETIME: Duration = 250.milliseconds
private val RATIO_DECAY: Duration = 750.milliseconds

/** Returns the ratio of the time that work takes at the endpoint to the usual time; 1 while nothing recent is known. */
public fun EndpointState.timeRatio(now: Timestamp): Double {
    val stated = statedTime ?: return 1.0
    val age = (now - stated.at - RATIO_LIFETIME) / RATIO_DECAY
    return 1.0 + (stated.ratio - 1.0) * (1.0 - age.coerceIn(0.0, 1.0))
}

/**
 * Returns the endpoint after [ratio] was stated. A slower one is believed at once; a faster one only by half, since the requests that
 * many routers send to it at once do not come back.
 */
internal fun EndpointState.withStatedTime(ratio: Double, now: Timestamp): EndpointState {
    val bounded = ratio.coerceIn(RATIO_RANGE)
    val before = timeRatio(now)
    return copy(statedTime = StatedTime(now, if (bounded >= before) bounded else (bounded + before) / 2))
}

/** A mean of measured times; later samples weigh at least [LEAST_WEIGHT], so that it follows changes. */
public data class MeasuredTime(public val samples: Int = 0, public val mean: Duration = Duration.ZERO)

private const val LEAST_WEIGHT = 0.05

/** A longer sample counts as this multiple of the mean, since a pause of the endpoint says nothing of its speed. */
private const val LONGEST_SAMPLE = 4.0

internal fun MeasuredTime.add(sample: Duration): MeasuredTime {
    val bounded = if (samples == 0) sample else minOf(sample, mean * LONGEST_SAMPLE)
    val weight = (1.0 / (samples + 1)).coerceAtLeast(LEAST_WEIGHT)
    return MeasuredTime((samples + 1).coerceAtMost(MAX_SAMPLES), mean * (1 - weight) + bounded * weight)
}

private const val MAX_SAMPLES = 1_000

/** The times that this router has measured at the endpoints of a service: for a prompt token, and for a call without a prompt. */
public data class ServiceTimes(public val token: MeasuredTime = MeasuredTime(), public val call: MeasuredTime = MeasuredTime())

/**
 * What is known of the capacity of a service's endpoints.
 *
 * @property memoryTokens is the number of tokens that fit in the memory of each; 0 if unknown.
 * @property ownWeight is what each request of this router counts for: 1 while the load of the others is known.
 */
public data class ServiceCapacity(public val memoryTokens: Long, public val times: ServiceTimes, public val ownWeight: Int = 1)

/** Without a message of the leader for this time, the load of the other routers counts as unknown. */
private val SHARED_LIFETIME: Duration = 500.milliseconds

/** The upper bound on [ServiceCapacity.ownWeight]; one request says little of how many others there are. */
private const val MOST_OWN_WEIGHT = 16

/**
 * While the leader is silent, a router takes its own requests as a sample of those of all routers. Otherwise each of them would send a few
 * requests with the same prompt to the endpoint that caches it, and their sum would fill it.
 */
internal fun RoutingState.capacityOf(service: Service, now: Timestamp): ServiceCapacity = ServiceCapacity(
    memoryTokens = service.engine?.cacheTokens ?: 0,
    times = serviceTimes[service.name] ?: ServiceTimes(),
    ownWeight = if (now - lastSharedWorkload < SHARED_LIFETIME) 1 else routers.coerceIn(1, MOST_OWN_WEIGHT),
)

/** The number of samples at an endpoint that count as much as all those of its service. */
private const val SERVICE_SAMPLES = 4

/**
 * Returns the time per prompt token that is expected at the endpoint when it works as usual: of its own samples, and of those of its
 * service as far as its own are few. A router sees too little of each endpoint to know it alone.
 */
internal fun EndpointState.usualTimePerToken(service: ServiceTimes): Duration {
    if (service.token.samples == 0) return INITIAL_TIME_PER_TOKEN
    val own = minOf(tokenTime.samples, MOST_OWN_SAMPLES)
    return (service.token.mean * SERVICE_SAMPLES + tokenTime.mean * own) / (SERVICE_SAMPLES + own)
}

private const val MOST_OWN_SAMPLES = 20

/** Returns the prompt tokens of this router's requests that have no first token yet, by the rank of the requests. */
internal fun EndpointState.ownWaitingByRank(): PersistentMap<Int, Long> =
    ownRequests.values.filter { !it.hasFirstToken && it.missedTokens > 0 }.fold(persistentMapOf()) { all, request ->
        all.put(request.rank, (all[request.rank] ?: 0) + request.missedTokens)
    }

/**
 * Returns the prompt tokens that are computed here before those of a new request of [rank]. An engine admits more urgent requests first,
 * but finishes the prompt that it has begun.
 */
internal fun EndpointState.tokensAhead(rank: Int, now: Timestamp, ownWeight: Int = 1): Long {
    val all = waitingTokens(now) + (ownWeight - 1) * ownWaitingTokens()
    val recent = report?.takeIf { now - it.at < REPORT_LIFETIME }
    val ownLess = ownRequests.values.sumOf { if (!it.hasFirstToken && it.rank > rank) it.missedTokens * ownWeight else 0L }
    val othersLess = recent?.let { (it.waitingByRank.above(rank) - it.ownWaitingByRank.above(rank)).coerceAtLeast(0) } ?: 0
    val lessUrgent = (ownLess + othersLess).coerceAtMost(all)
    return all - lessUrgent + minOf(lessUrgent, BEGUN_TOKENS)
}

private fun Map<Int, Long>.above(rank: Int): Long = entries.sumOf { (key, tokens) -> if (key > rank) tokens else 0L }

/** The tokens that are left on average of a prompt that an engine has begun. */
private const val BEGUN_TOKENS = 2_500L

/** Returns the tokens that requests of all routers hold in the endpoint's memory, or will hold when they are complete. */
public fun EndpointState.heldTokens(now: Timestamp): Long {
    val recent = report?.takeIf { now - it.at < REPORT_LIFETIME }
    val others = recent?.let { (it.heldTokens - it.ownHeldTokens).coerceAtLeast(0) } ?: 0
    return ownHeldTokens() + others
}

/** Returns the part of this router; a shared beginning of prompts counts once. */
internal fun EndpointState.ownHeldTokens(): Long {
    if (ownRequests.isEmpty()) return 0
    val shared = HashMap<Long, Long>()
    val rest = ownRequests.values.sumOf { request ->
        request.sharedKey?.let { shared[it] = request.sharedTokens }
        request.heldTokens - request.sharedTokens
    }
    return rest + shared.values.sum()
}

/** Returns the tokens that [request] will hold at an endpoint when its answer is complete. */
internal fun neededMemory(request: AdmittedRequest): Long = request.promptTokens + request.expectedAnswerTokens

/** Requests of more than this share of an endpoint's memory leave [LEFT_BY_LARGE] of it free, so that small ones fit beside them. */
private const val LARGE_REQUEST = 0.05
private const val LEFT_BY_LARGE = 0.1

/** Returns the tokens that may be held in a memory of [memoryTokens] after a request of [needed] tokens was placed. */
internal fun mostHeldTokens(memoryTokens: Long, needed: Long): Long =
    if (needed > memoryTokens * LARGE_REQUEST) (memoryTokens * (1 - LEFT_BY_LARGE)).toLong() else memoryTokens

/** Whether requests of [service] are placed by the capacity of each endpoint. */
internal fun RoutingState.isPlacedByCapacity(service: ServiceName): Boolean = when (settings.capacityPlacement) {
    CapacityPlacement.NEVER -> false
    CapacityPlacement.WHERE_STATED -> service in statedServices
    CapacityPlacement.ALWAYS -> true
}

/** Returns the state after an endpoint stated [ratio] to this router at [now]. */
internal fun RoutingState.withStatedTime(endpoint: EndpointState, ratio: Double, now: Timestamp): RoutingState {
    if (settings.capacityPlacement == CapacityPlacement.NEVER) return this
    val name = endpoint.endpoint.name
    return copy(statedServices = statedServices.add(endpoint.service), newlyStated = newlyStated.add(name))
        .withEndpoint(name) { it.withStatedTime(ratio, now) }
}

/** Returns the state after the leader told the workload of all routers at an endpoint, and the time that it stated to some router. */
internal fun RoutingState.withSharedWorkload(total: EndpointWorkload, report: LoadReport, now: Timestamp): RoutingState {
    val reported = endpoints[total.endpoint]?.copy(report = report, isReportShared = true) ?: return this
    if (total.timePercent <= 0 || settings.capacityPlacement == CapacityPlacement.NEVER) {
        return copy(endpoints = endpoints.put(total.endpoint, reported))
    }
    val isNewer = reported.statedTime.let { it == null || now - it.at > SHARED_AGE }
    val stated = if (isNewer) reported.withStatedTime(total.timePercent / PERCENT, now) else reported
    return copy(endpoints = endpoints.put(total.endpoint, stated), statedServices = statedServices.add(reported.service))
}

/** A time that the leader tells was stated about this long ago. */
private val SHARED_AGE: Duration = 80.milliseconds

internal const val PERCENT = 100.0

/** Returns the percentage to be reported for an endpoint that has stated a time since the last report, else 0. */
internal fun EndpointState.statedPercent(): Int = ((statedTime?.ratio ?: 0.0) * PERCENT).toInt()

/** Returns the state after the first content of the answer to [run] came [after] the attempt was sent. */
internal fun RoutingState.withMeasuredTime(run: RunningRequest, after: Duration): RoutingState {
    if (settings.capacityPlacement == CapacityPlacement.NEVER) return this
    val endpoint = endpoints[run.endpoint] ?: return this
    val request = endpoint.ownRequests[run.request.id] ?: return this
    val usual = after / request.timeRatio
    val times = serviceTimes[endpoint.service] ?: ServiceTimes()
    return when {
        run.request.promptTokens == 0L -> copy(serviceTimes = serviceTimes.put(endpoint.service, times.copy(call = times.call.add(usual))))
        request.queuedTokens < MIN_SAMPLE_TOKENS -> this
        else -> {
            val sample = usual / request.queuedTokens.toDouble()
            copy(serviceTimes = serviceTimes.put(endpoint.service, times.copy(token = times.token.add(sample))))
                .withEndpoint(run.endpoint) { it.copy(tokenTime = it.tokenTime.add(sample)) }
        }
    }
}
