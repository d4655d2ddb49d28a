/**
 * Placement: which endpoint gets a request. The usual policy takes the one that is expected to give the first token soonest;
 * others serve as baselines. A policy is a function, so that routers can be measured with any of them.
 */
package sniperoute.request.routing.decision

import sniperoute.process.clock.Moment
import sniperoute.request.prefix.decision.PIECE_TOKENS
import sniperoute.request.prefix.decision.rendezvousWeight
import sniperoute.request.routing.message.RequestFacts
import sniperoute.version.message.EndpointName
import sniperoute.version.message.WeightsVersion
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A request to be placed among [candidates], all of which may get it; [weights] is what they serve. */
public class PlacementQuestion(
    public val facts: RequestFacts,
    public val weights: WeightsVersion?,
    public val candidates: List<EndpointState>,
    public val knowledge: CacheKnowledge,
    public val sequence: Long,
)

/** Where a request goes, and how many of its prompt's tokens are expected to be computed there. */
public data class Placement(public val endpoint: EndpointName, public val missedTokens: Long)

/** Chooses a place, or `null` when there is no candidate. */
public typealias PlaceRequest = (question: PlacementQuestion, now: Moment) -> Placement?

/** The share of an endpoint's slots in use costs this much of expected time, so that hot prefixes spread before they queue. */
private val FULL_BATCH_COST: Duration = 40.milliseconds

/** Expected times that differ by less count as equal. */
private val EQUAL_TIMES: Duration = 2.milliseconds

/** Returns the placement with the earliest expected first token; equals are told apart by rendezvous hashing. */
public fun placeBySoonestToken(question: PlacementQuestion, now: Moment): Placement? {
    val subject = question.facts.chain.firstOrNull() ?: question.facts.hash
    return question.candidates
        .map { candidate -> question.expect(candidate, now) }
        .minWithOrNull(
            compareBy<Expectation> { (it.firstToken / EQUAL_TIMES).toLong() }
                .thenByDescending { rendezvousWeight(subject, it.placement.endpoint.text) },
        )?.placement
}

private data class Expectation(val placement: Placement, val firstToken: Duration)

private fun PlacementQuestion.expect(candidate: EndpointState, now: Moment): Expectation {
    val missed = missedTokens(candidate, now)
    val computing = candidate.tokenCost * (candidate.waitingTokens(now) + missed).toDouble()
    val used = 1.0 - candidate.freeSlots(now).coerceAtLeast(0).toDouble() / candidate.endpoint.slots
    return Expectation(Placement(candidate.endpoint.name, missed), computing + FULL_BATCH_COST * used)
}

private fun PlacementQuestion.missedTokens(candidate: EndpointState, now: Moment): Long {
    if (weights == null) return facts.promptTokens
    val held = knowledge.heldPieces(facts.chain, weights, candidate.endpoint.name, now)
    return (facts.promptTokens - held.toLong() * PIECE_TOKENS).coerceAtLeast(0)
}

/** Returns the next candidate in turn. */
public fun placeByTurn(question: PlacementQuestion, now: Moment): Placement? {
    if (question.candidates.isEmpty()) return null
    val chosen = question.candidates[(question.sequence % question.candidates.size).toInt()]
    return Placement(chosen.endpoint.name, question.missedTokens(chosen, now))
}

/** Returns the candidate with the fewest requests in work. */
public fun placeByLeastLoad(question: PlacementQuestion, now: Moment): Placement? =
    question.candidates
        .minWithOrNull(compareBy({ -it.freeSlots(now) }, { it.endpoint.name }))
        ?.let { Placement(it.endpoint.name, question.missedTokens(it, now)) }

/** Returns the candidate that rendezvous hashing of the whole prefix gives, whatever its load. */
public fun placeByHash(question: PlacementQuestion, now: Moment): Placement? {
    val subject = question.facts.chain.firstOrNull() ?: question.facts.hash
    return question.candidates
        .maxByOrNull { rendezvousWeight(subject, it.endpoint.name.text) }
        ?.let { Placement(it.endpoint.name, question.missedTokens(it, now)) }
}

/** Returns the policy that settings call [name], or `null`. */
public fun placementNamedOrNull(name: String): PlaceRequest? = when (name) {
    "soonest-token" -> ::placeBySoonestToken
    "round-robin" -> ::placeByTurn
    "least-load" -> ::placeByLeastLoad
    "prefix-hash" -> ::placeByHash
    else -> null
}
