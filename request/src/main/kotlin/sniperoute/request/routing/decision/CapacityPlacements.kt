/**
 * Placement by the capacity of each endpoint. It answers a load under which the endpoint that would be best for a request is busy while
 * others could serve it in time: a request goes to an endpoint that can serve it, and waits only if none can.
 */
package sniperoute.request.routing.decision

import sniperoute.process.clock.Timestamp
import sniperoute.request.prefix.decision.rendezvousWeight
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds

/**
 * The weight of a token that misses the prefix cache, among the endpoints that can serve a request in time: a miss takes time of the
 * engine and evicts blocks of others.
 */
private const val RECOMPUTE_WEIGHT = 8.0

/** The share of a route's objective in which the first token is expected; the rest is for load that is not reported yet. */
private const val EXPECTED_SHARE = 0.7

private val TIME_STEP: Duration = 2.milliseconds

/** What is expected of a request at an endpoint that can take it. */
private class CapacityEstimate(val placement: Placement, val isLate: Boolean, val timeSteps: Long, val hashWeight: Long)

/**
 * Returns the placement of the request, or `null` if no candidate has a free slot, enough memory, and a short enough queue. Endpoints at
 * which the first token is expected in time come first; among them, tokens that would have to be computed again weigh more than time.
 */
internal fun PlacementContext.placeByCapacity(capacity: ServiceCapacity, now: Timestamp): Placement? {
    val weight = weightOf(RECOMPUTE_WEIGHT)
    val preferred = preferredEndpointOrNull(request.affinityKey)
    val needed = neededMemory(request)
    val mostHeld = if (capacity.memoryTokens > 0) mostHeldTokens(capacity.memoryTokens, needed) else Long.MAX_VALUE
    return candidates
        .filter { it.freeSlots(now) > 0 && (mostHeld == Long.MAX_VALUE || it.heldTokens(now) + needed <= mostHeld) }
        .mapNotNull { estimateOrNull(it, capacity, weight, it.endpoint.name == preferred, now) }
        .minWithOrNull(compareBy<CapacityEstimate>({ it.isLate }, { it.timeSteps }).thenByDescending { it.hashWeight })
        ?.placement
}

private fun PlacementContext.estimateOrNull(
    candidate: EndpointState,
    capacity: ServiceCapacity,
    recomputeWeight: Double,
    isPreferred: Boolean,
    now: Timestamp,
): CapacityEstimate? {
    val objective = request.route.objectiveMilliseconds.milliseconds
    val name = candidate.endpoint.name
    val ratio = candidate.timeRatio(now)
    val timePerToken = candidate.usualTimePerToken(capacity.times) * ratio
    val queueing = timePerToken * candidate.tokensAhead(request.rank, now, capacity.ownWeight).toDouble()
    if (queueing > objective * QUEUEING_SHARE) return null
    val missed = missedTokens(candidate)
    val counted = if (isPreferred) request.promptTokens - request.sharedTokens else missed
    val call = if (request.promptTokens == 0L) capacity.times.call.mean * ratio else Duration.ZERO
    val cost = candidate.batchCost(now).nanoseconds * ratio + call + (penalties[name] ?: Duration.ZERO)
    val isLate = queueing + timePerToken * missed.toDouble() + call > objective * EXPECTED_SHARE
    val steps = ((queueing + timePerToken * (counted * recomputeWeight) + cost) / TIME_STEP).toLong()
    return CapacityEstimate(Placement(name, missed), isLate, steps, rendezvousWeight(request.affinityKey, name.text))
}
