/**
 * Placement: which endpoint gets a request. The usual policy takes the one that is expected to give the first token soonest;
 * others serve as baselines. A policy is a function, so that routers can be measured with any of them.
 */
package sniperoute.request.routing.decision

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import sniperoute.process.clock.Moment
import sniperoute.request.prefix.decision.PIECE_TOKENS
import sniperoute.request.prefix.decision.rendezvousWeight
import sniperoute.request.routing.message.RequestFacts
import sniperoute.version.message.EndpointName
import sniperoute.version.message.WeightsVersion
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A request to be placed among [candidates], all of which may get it. [heldPieces] says how many leading pieces of its prompt
 * each endpoint is believed to hold; [sequence] counts the placements before this one.
 */
public class PlacementQuestion(
    public val facts: RequestFacts,
    public val candidates: List<EndpointState>,
    public val heldPieces: PersistentMap<EndpointName, Int>,
    public val sequence: Long,
)

/** Returns the question where among [candidates], which serve [weights], a request goes at [now]. */
public fun placementQuestion(
    facts: RequestFacts,
    weights: WeightsVersion?,
    candidates: List<EndpointState>,
    knowledge: CacheKnowledge,
    sequence: Long,
    now: Moment,
): PlacementQuestion {
    val held = if (weights == null) persistentMapOf() else knowledge.heldPieces(facts.chain, weights, now)
    return PlacementQuestion(facts, candidates, held, sequence)
}

/** Where a request goes, and how many of its prompt's tokens are expected to be computed there. */
public data class Placement(public val endpoint: EndpointName, public val missedTokens: Long)

/** Chooses a place, or `null` when there is no candidate. */
public typealias PlaceRequest = (question: PlacementQuestion, now: Moment) -> Placement?

/** What an endpoint with half of its slots in use costs of expected time, so that hot prefixes spread before they queue. */
private val HALF_BATCH_COST: Duration = 60.milliseconds

/** Expected times that differ by less count as equal. */
private val EQUAL_TIMES: Duration = 2.milliseconds

/** Returns the placement with the earliest expected first token; equals are told apart by rendezvous hashing. */
public fun placeBySoonestToken(question: PlacementQuestion, now: Moment): Placement? {
    val subject = question.facts.chain.firstOrNull() ?: question.facts.hash
    return question.candidates
        .map { candidate -> question.expect(candidate, subject, now) }
        .minWithOrNull(compareBy<Expectation> { it.equalTimes }.thenByDescending { it.weight })
        ?.placement
}

/** What a candidate promises: the time to the first token in steps of [EQUAL_TIMES], and its [weight] by rendezvous hashing. */
private class Expectation(val placement: Placement, val equalTimes: Long, val weight: Long)

private fun PlacementQuestion.expect(candidate: EndpointState, subject: Long, now: Moment): Expectation {
    val missed = missedTokens(candidate)
    val computing = candidate.tokenCost * (candidate.waitingTokens(now) + missed).toDouble()
    val steps = ((computing + candidate.batchCost(now)) / EQUAL_TIMES).toLong()
    val name = candidate.endpoint.name
    return Expectation(Placement(name, missed), steps, rendezvousWeight(subject, name.text))
}

/** The nearer an endpoint is to its last slot, the dearer is the next one, as in a queue with random arrivals. */
private fun EndpointState.batchCost(now: Moment): Duration {
    val free = freeSlots(now).coerceAtLeast(1).toDouble() / endpoint.slots
    return HALF_BATCH_COST * ((1.0 - free) / free)
}

private fun PlacementQuestion.missedTokens(candidate: EndpointState): Long {
    val held = heldPieces[candidate.endpoint.name] ?: 0
    return (facts.promptTokens - held.toLong() * PIECE_TOKENS).coerceAtLeast(0)
}

/** Returns the next candidate in turn. */
public fun placeByTurn(question: PlacementQuestion, now: Moment): Placement? {
    if (question.candidates.isEmpty()) return null
    val chosen = question.candidates[(question.sequence % question.candidates.size).toInt()]
    return Placement(chosen.endpoint.name, question.missedTokens(chosen))
}

/** Returns the candidate with the fewest requests in work. */
public fun placeByLeastLoad(question: PlacementQuestion, now: Moment): Placement? =
    question.candidates
        .minWithOrNull(compareBy({ -it.freeSlots(now) }, { it.endpoint.name }))
        ?.let { Placement(it.endpoint.name, question.missedTokens(it)) }

/** Returns the candidate that rendezvous hashing of the whole prefix gives, whatever its load. */
public fun placeByHash(question: PlacementQuestion, now: Moment): Placement? {
    val subject = question.facts.chain.firstOrNull() ?: question.facts.hash
    return question.candidates
        .maxByOrNull { rendezvousWeight(subject, it.endpoint.name.text) }
        ?.let { Placement(it.endpoint.name, question.missedTokens(it)) }
}

/** Returns the policy that settings call [name], or `null`. */
public fun placementNamedOrNull(name: String): PlaceRequest? = when (name) {
    "soonest-token" -> ::placeBySoonestToken
    "round-robin" -> ::placeByTurn
    "least-load" -> ::placeByLeastLoad
    "prefix-hash" -> ::placeByHash
    else -> null
}
