/**
 * Placement policies: which endpoint gets a request. The default policy takes the endpoint with the earliest expected first token;
 * the others are baselines. A policy is a function, so that routers can be measured with each of them.
 */
package sniperoute.request.routing.decision

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import sniperoute.process.clock.Timestamp
import sniperoute.request.prefix.decision.rendezvousWeight
import sniperoute.request.routing.message.AdmittedRequest
import sniperoute.version.message.EndpointName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A request to be placed.
 *
 * @property candidates are the endpoints that may get the request; some may have no free slot.
 * @property cachedBlocks is the number of leading blocks of the prompt that each endpoint is believed to cache.
 * @property sharing is the number of requests in flight with the same chain of whole blocks.
 * @property placementCount is the number of placements before this one.
 * @property cachedTokens is [cachedBlocks] in tokens.
 * @property capacity is what is known of the capacity of all candidates; `null` if the request is not placed by it.
 * @property penalties are added to the expected time of endpoints that serve older weights or fail more often than others.
 */
public class PlacementContext(
    public val request: AdmittedRequest,
    public val candidates: List<EndpointState>,
    public val cachedBlocks: PersistentMap<EndpointName, Int>,
    public val sharing: Int,
    public val placementCount: Long,
    public val cachedTokens: PersistentMap<EndpointName, Long> = cachedBlocks.mapToTokens(request),
    public val penalties: PersistentMap<EndpointName, Duration> = persistentMapOf(),
    public val capacity: ServiceCapacity? = null,
)

private fun PersistentMap<EndpointName, Int>.mapToTokens(request: AdmittedRequest): PersistentMap<EndpointName, Long> =
    entries.fold(persistentMapOf()) { all, (name, blocks) -> all.put(name, request.tokensOf(blocks)) }

/** The endpoint for a request, and how many of its prompt's tokens are expected to be computed there. */
public data class Placement(public val endpoint: EndpointName, public val missedTokens: Long)

/** Returns the placement of a request, or `null` if it should wait. */
public typealias PlacementPolicy = (context: PlacementContext, now: Timestamp) -> Placement?

/** The cost of an endpoint with half of its slots in use, as time; it spreads hot prefixes before they queue. */
private val HALF_BATCH_COST: Duration = 60.milliseconds

/** Smaller differences of expected times are ignored. */
private val TIME_STEP: Duration = 2.milliseconds

// Sums of numbers take a fraction of the processor time of sums of durations in a process that has just started.
private val TIME_STEP_NANOSECONDS = TIME_STEP.inWholeNanoseconds
private val HALF_BATCH_COST_NANOSECONDS = HALF_BATCH_COST.inWholeNanoseconds

/**
 * Returns the policy that takes the endpoint with the earliest expected first token. Each token that misses the prefix cache counts
 * [recomputeWeight] times, since its computation delays not only this request but also all later ones at that engine. This weight
 * falls as more requests in flight share the prompt's blocks, since they will find the blocks there: so hot prefixes spread. Ties are
 * broken by rendezvous hashing.
 */
public fun earliestFirstToken(recomputeWeight: Double): PlacementPolicy = { context, now ->
    val capacity = context.capacity
    if (capacity == null) context.earliestOrNull(recomputeWeight, now) else context.placeByCapacity(capacity, now)
}

private fun PlacementContext.earliestOrNull(recomputeWeight: Double, now: Timestamp): Placement? {
    val context = this
    val affinityKey = context.request.affinityKey
    val weight = context.weightOf(recomputeWeight)
    val preferred = context.preferredEndpointOrNull(affinityKey)
    return context.candidates
        .map { candidate -> context.estimate(candidate, affinityKey, weight, candidate.endpoint.name == preferred, now) }
        .reduceOrNull { best, next -> if (next.isBefore(best)) next else best }
        ?.takeIf { it.candidate.freeSlots(now) > 0 && it.queueingTime <= context.maxQueueingTime() }
        ?.let { Placement(it.candidate.endpoint.name, it.missedTokens) }
}

/** Returns the weight of a token that misses the prefix cache, which falls as more requests share the prompt's blocks. */
internal fun PlacementContext.weightOf(recomputeWeight: Double): Double =
    (recomputeWeight / (1 + sharing.squaredOver(HOT_PREFIX_REQUESTS))).coerceAtLeast(1.0)

/** A prefix is hot when clearly more than this number of requests in flight share it. */
private const val HOT_PREFIX_REQUESTS = 4.0

private fun Int.squaredOver(unit: Double): Double = (this / unit) * (this / unit)

/** The weight of a token that misses the prefix cache in the default policy. */
public const val DEFAULT_RECOMPUTE_WEIGHT: Double = 16.0

/**
 * Returns the preferred endpoint of [affinityKey], the first by rendezvous hashing, or `null` if the prompt has no shared blocks or an
 * endpoint is known to cache them. Until one is known, all routers place requests as if the preferred endpoint cached the blocks. So
 * requests that reach different routers at the same time go to the endpoint that computes the blocks first.
 */
internal fun PlacementContext.preferredEndpointOrNull(affinityKey: Long): EndpointName? {
    if (request.chain.size < 2 || cachedBlocks.any { (_, blocks) -> blocks >= request.chain.size - 1 }) return null
    return candidates.maxByOrNull { rendezvousWeight(affinityKey, it.endpoint.name.text) }?.endpoint?.name
}

/**
 * What is expected of a candidate: the time to first token with all costs in steps of [TIME_STEP], and its weight in rendezvous hashing. It
 * is made for each candidate of each placement, so the rest is computed for the best one only.
 */
private class Estimate(
    val candidate: EndpointState,
    val missedTokens: Long,
    val waitingTokens: Long,
    val timeSteps: Long,
    affinityKey: Long,
) {
    private val hashWeight: Long by lazy(LazyThreadSafetyMode.NONE) { rendezvousWeight(affinityKey, candidate.endpoint.name.text) }

    /** The part of the time that earlier requests take. */
    val queueingTime: Duration get() = candidate.timePerToken * waitingTokens.toDouble()

    fun isBefore(other: Estimate): Boolean =
        if (timeSteps == other.timeSteps) hashWeight > other.hashWeight else timeSteps < other.timeSteps
}

/** The share of a route's objective that a request may wait behind others at an engine; the rest is for its own prompt. */
internal const val QUEUEING_SHARE: Double = 0.8

private fun PlacementContext.maxQueueingTime(): Duration = request.route.objectiveMilliseconds.milliseconds * QUEUEING_SHARE

private fun PlacementContext.estimate(
    candidate: EndpointState,
    affinityKey: Long,
    recomputeWeight: Double,
    isPreferred: Boolean,
    now: Timestamp,
): Estimate {
    val missed = missedTokens(candidate)
    val counted = if (isPreferred) request.promptTokens - request.sharedTokens else missed
    val waiting = candidate.waitingTokens(now)
    val name = candidate.endpoint.name
    val computing = candidate.timePerToken.inWholeNanoseconds * (waiting + counted * recomputeWeight)
    val penalty = if (penalties.isEmpty()) 0L else penalties[name]?.inWholeNanoseconds ?: 0L
    val steps = ((computing + candidate.batchCost(now) + penalty) / TIME_STEP_NANOSECONDS).toLong()
    return Estimate(candidate, missed, waiting, steps, affinityKey)
}

/**
 * Returns the cost of one more request at this endpoint in nanoseconds. It rises steeply towards the last free slot, as the waiting
 * time of a queue with random arrivals does. An endpoint without a free slot counts as if it had half a slot, so that a request may wait
 * for it if its prompt is cached there.
 */
internal fun EndpointState.batchCost(now: Timestamp): Double {
    val free = freeSlots(now).toDouble().coerceAtLeast(HALF_SLOT) / endpoint.slots
    return HALF_BATCH_COST_NANOSECONDS * ((1.0 - free) / free)
}

private const val HALF_SLOT = 0.5

private fun PlacementContext.free(now: Timestamp): List<EndpointState> = candidates.filter { it.freeSlots(now) > 0 }

internal fun PlacementContext.missedTokens(candidate: EndpointState): Long {
    val cached = cachedTokens[candidate.endpoint.name] ?: 0
    return (request.promptTokens - cached).coerceAtLeast(0)
}

/** Round-robin: returns the next candidate in turn. */
public fun placeRoundRobin(context: PlacementContext, now: Timestamp): Placement? {
    val free = context.free(now)
    if (free.isEmpty()) return null
    val chosen = free[(context.placementCount % free.size).toInt()]
    return Placement(chosen.endpoint.name, context.missedTokens(chosen))
}

/** Least load: returns the candidate with the most free slots. */
public fun placeByLeastLoad(context: PlacementContext, now: Timestamp): Placement? =
    context
        .free(now)
        .minWithOrNull(compareBy({ -it.freeSlots(now) }, { it.endpoint.name }))
        ?.let { Placement(it.endpoint.name, context.missedTokens(it)) }

/**
 * Rendezvous hashing of the affinity key: returns the candidate with the highest weight among those with a free slot, whatever their
 * load.
 */
public fun placeByHash(context: PlacementContext, now: Timestamp): Placement? {
    val affinityKey = context.request.affinityKey
    return context
        .free(now)
        .maxByOrNull { rendezvousWeight(affinityKey, it.endpoint.name.text) }
        ?.let { Placement(it.endpoint.name, context.missedTokens(it)) }
}

/** Returns the policy that settings call [name], or `null`. */
public fun placementPolicyOrNull(name: String): PlacementPolicy? = when (name) {
    "soonest-token" -> earliestFirstToken(DEFAULT_RECOMPUTE_WEIGHT)
    "soonest-token-unweighted" -> earliestFirstToken(1.0)
    "round-robin" -> ::placeRoundRobin
    "least-load" -> ::placeByLeastLoad
    "prefix-hash" -> ::placeByHash
    else -> null
}
