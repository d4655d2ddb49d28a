/**
 * Placement: which endpoint gets a request. The usual policy takes the one that is expected to give the first token soonest;
 * others serve as baselines. A policy is a function, so that routers can be measured with any of them.
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
 * A request to be placed among [candidates], all of which may get it, though some may have no slot free. [heldPieces] says how
 * many leading pieces of its prompt each endpoint is believed to hold, [sharing] how many requests in work have the same whole
 * pieces; [sequence] counts the placements before this one. [heldTokens] are the pieces in tokens; [handicaps] make endpoints
 * dearer that serve older weights or fail more than others.
 */
public class PlacementQuestion(
    public val admitted: AdmittedRequest,
    public val candidates: List<EndpointState>,
    public val heldPieces: PersistentMap<EndpointName, Int>,
    public val sharing: Int,
    public val sequence: Long,
    public val heldTokens: PersistentMap<EndpointName, Long> = heldPieces.mapToTokens(admitted),
    public val handicaps: PersistentMap<EndpointName, Duration> = persistentMapOf(),
)

private fun PersistentMap<EndpointName, Int>.mapToTokens(admitted: AdmittedRequest): PersistentMap<EndpointName, Long> =
    entries.fold(persistentMapOf()) { all, (name, pieces) -> all.put(name, admitted.tokensOf(pieces)) }

/** Where a request goes, and how many of its prompt's tokens are expected to be computed there. */
public data class Placement(public val endpoint: EndpointName, public val missedTokens: Long)

/** Chooses a place, or `null` when the request should wait. */
public typealias PlacementPolicy = (question: PlacementQuestion, now: Timestamp) -> Placement?

/** What an endpoint with half of its slots in use costs of expected time, so that hot prefixes spread before they queue. */
private val HALF_BATCH_COST: Duration = 60.milliseconds

/** Expected times that differ by less count as equal. */
private val EQUAL_TIMES: Duration = 2.milliseconds

/**
 * Returns the policy that takes the earliest expected first token, where each token that would be computed again counts
 * [recomputeWeight] times: it delays not only its own request, but all that come to that engine after it. The more requests
 * share the prompt's pieces now, the less it counts, since they will find them there: so hot prefixes spread. Equals are
 * told apart by rendezvous hashing.
 */
public fun earliestFirstToken(recomputeWeight: Double): PlacementPolicy = { question, now ->
    val affinityKey = question.admitted.affinityKey
    val weight = (recomputeWeight / (1 + question.sharing.squaredOver(FEW_SHARING))).coerceAtLeast(1.0)
    val home = question.assumedHomeOrNull(affinityKey)
    question.candidates
        .map { candidate -> question.expect(candidate, affinityKey, weight, candidate.endpoint.name == home, now) }
        .minWithOrNull(compareBy<Expectation> { it.equalTimes }.thenByDescending { it.weight })
        ?.takeIf { it.hasFreeSlot && it.queueing <= question.longestQueue() }
        ?.placement
}

/** Up to about this many requests that share a prompt's pieces do not make it hot. */
private const val FEW_SHARING = 4.0

private fun Int.squaredOver(unit: Double): Double = (this / unit) * (this / unit)

/** How much a token that is computed again counts in the usual policy. */
public const val USUAL_RECOMPUTE_WEIGHT: Double = 16.0

/**
 * While nobody is known to hold the shared parts of a prompt, all routers take the same endpoint for the one that does: the first
 * by rendezvous hashing. So requests that come to different routers at once meet where the first of them computes.
 */
private fun PlacementQuestion.assumedHomeOrNull(affinityKey: Long): EndpointName? {
    if (admitted.chain.size < 2 || heldPieces.any { (_, pieces) -> pieces >= admitted.chain.size - 1 }) return null
    return candidates.maxByOrNull { rendezvousWeight(affinityKey, it.endpoint.name.text) }?.endpoint?.name
}

/**
 * What a candidate promises: the time to the first token in steps of [EQUAL_TIMES], its [weight] by rendezvous hashing, and the
 * time that goes by behind others.
 */
private class Expectation(
    val placement: Placement,
    val equalTimes: Long,
    val weight: Long,
    val hasFreeSlot: Boolean,
    val queueing: Duration,
)

/** The part of a route's objective that a request may spend behind others at an engine; the rest is for its own prompt. */
private const val QUEUEING_PART = 0.8

private fun PlacementQuestion.longestQueue(): Duration = admitted.route.objectiveMilliseconds.milliseconds * QUEUEING_PART

private fun PlacementQuestion.expect(
    candidate: EndpointState,
    affinityKey: Long,
    recomputeWeight: Double,
    isHome: Boolean,
    now: Timestamp,
): Expectation {
    val missed = missedTokens(candidate)
    val counted = if (isHome) admitted.promptTokens - admitted.sharedTokens else missed
    val waiting = candidate.waitingTokens(now)
    val computing = candidate.tokenCost * (waiting + counted * recomputeWeight)
    val queueing = candidate.tokenCost * waiting.toDouble()
    val name = candidate.endpoint.name
    val handicap = handicaps[name] ?: Duration.ZERO
    val steps = ((computing + candidate.batchCost(now) + handicap) / EQUAL_TIMES).toLong()
    return Expectation(Placement(name, missed), steps, rendezvousWeight(affinityKey, name.text), candidate.freeSlots(now) > 0, queueing)
}

/**
 * The nearer an endpoint is to its last slot, the dearer is the next one, as in a queue with random arrivals. One without a
 * free slot is as dear as half a slot makes it: a request may wait for it, if its prompt is cached there.
 */
private fun EndpointState.batchCost(now: Timestamp): Duration {
    val free = freeSlots(now).toDouble().coerceAtLeast(HALF_SLOT) / endpoint.slots
    return HALF_BATCH_COST * ((1.0 - free) / free)
}

private const val HALF_SLOT = 0.5

private fun PlacementQuestion.free(now: Timestamp): List<EndpointState> = candidates.filter { it.freeSlots(now) > 0 }

private fun PlacementQuestion.missedTokens(candidate: EndpointState): Long {
    val held = heldTokens[candidate.endpoint.name] ?: 0
    return (admitted.promptTokens - held).coerceAtLeast(0)
}

/** Returns the next candidate in turn. */
public fun placeByTurn(question: PlacementQuestion, now: Timestamp): Placement? {
    val free = question.free(now)
    if (free.isEmpty()) return null
    val chosen = free[(question.sequence % free.size).toInt()]
    return Placement(chosen.endpoint.name, question.missedTokens(chosen))
}

/** Returns the candidate with the fewest requests in work. */
public fun placeByLeastLoad(question: PlacementQuestion, now: Timestamp): Placement? =
    question
        .free(now)
        .minWithOrNull(compareBy({ -it.freeSlots(now) }, { it.endpoint.name }))
        ?.let { Placement(it.endpoint.name, question.missedTokens(it)) }

/** Returns the candidate that rendezvous hashing of the whole prefix gives, whatever its load. */
public fun placeByHash(question: PlacementQuestion, now: Timestamp): Placement? {
    val affinityKey = question.admitted.affinityKey
    return question
        .free(now)
        .maxByOrNull { rendezvousWeight(affinityKey, it.endpoint.name.text) }
        ?.let { Placement(it.endpoint.name, question.missedTokens(it)) }
}

/** Returns the policy that settings call [name], or `null`. */
public fun placementPolicyOrNull(name: String): PlacementPolicy? = when (name) {
    "soonest-token" -> earliestFirstToken(USUAL_RECOMPUTE_WEIGHT)
    "soonest-token-unweighted" -> earliestFirstToken(1.0)
    "round-robin" -> ::placeByTurn
    "least-load" -> ::placeByLeastLoad
    "prefix-hash" -> ::placeByHash
    else -> null
}
