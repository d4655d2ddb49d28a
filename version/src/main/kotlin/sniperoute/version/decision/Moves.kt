/**
 * Moves of a service from one version of its weights to another: a small share first, wider by steps while the evidence is
 * good, taken back at once when it is bad or when the deadline can't be met.
 */
package sniperoute.version.decision

import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.toImmutableMap
import sniperoute.process.clock.Timestamp
import sniperoute.version.message.*
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

/** The shares of a move, in thousandths of the requests, in the order in which it takes them. */
public val MOVE_SHARES: List<Int> = listOf(50, 250, 500, 900, 1_000)

private const val WHOLE_SHARE = 1_000
private val SHORTEST_STEP = 2_000.milliseconds
private val LONGEST_STEP = 30_000.milliseconds

/** What a leader knows about a move beside the move itself. */
public data class MoveObservation(
    public val stepStarted: Timestamp,
    public val loaded: ImmutableMap<EndpointName, WeightsVersion>,
    public val evidence: List<RouteComparison>,
)

/** What was seen on one route since the present step began, under the old and under the new version. */
public data class RouteComparison(public val route: RouteName, public val old: EvidenceSum, public val new: EvidenceSum)

/** What to do about a move. */
public sealed interface MoveDecision

/** Nothing yet. */
public data object NoMoveChange : MoveDecision

/** Go to [share] with the endpoints [assigned] as said. */
public data class MoveTransition(
    public val stage: MoveStage,
    public val share: Int,
    public val assigned: ImmutableMap<EndpointName, WeightsVersion>,
    public val reason: String,
) : MoveDecision

/** Returns a move of [service] that starts at [now]: one endpoint loads the new weights, no request goes there yet. */
public fun startMove(service: Service, from: WeightsVersion, declared: DeclaredMove, now: Timestamp, number: Long, fence: Long): Move {
    require(service.endpoints.isNotEmpty()) { "service ${service.name} has no endpoint to move" }
    return Move(
        service = service.name,
        from = from,
        to = declared.to,
        startedMicroseconds = now.microseconds,
        deadlineMicroseconds = (now + declared.deadlineMilliseconds.milliseconds).microseconds,
        stage = MoveStage.LOADING,
        share = 0,
        assigned = service.assign(from, declared.to, MOVE_SHARES.first()),
        fence = fence,
        declaredIn = number,
        reason = "accepted",
    )
}

/** Whether this move still needs attention. */
public val Move.isRunning: Boolean get() = stage != MoveStage.DONE && stage != MoveStage.TAKEN_BACK

/** Returns how many of [count] endpoints serve the new weights when [share] thousandths of the requests go to them. */
public fun endpointsForShare(count: Int, share: Int): Int = when {
    share == 0 -> 0
    share >= WHOLE_SHARE -> count
    else -> ((count * share + WHOLE_SHARE - 1) / WHOLE_SHARE).coerceIn(1, (count - 1).coerceAtLeast(1))
}

private fun Service.assign(from: WeightsVersion, to: WeightsVersion, share: Int): ImmutableMap<EndpointName, WeightsVersion> {
    val new = endpointsForShare(endpoints.size, share)
    return endpoints
        .sortedBy { it.name }
        .withIndex()
        .associate { (index, endpoint) -> endpoint.name to if (index < new) to else from }
        .toImmutableMap()
}

/** Returns what to do about [move] of [service] at [now]. */
public fun decideMove(move: Move, service: Service, observation: MoveObservation, now: Timestamp): MoveDecision = when (move.stage) {
    MoveStage.DONE, MoveStage.TAKEN_BACK -> NoMoveChange
    MoveStage.TAKING_BACK -> finishTakingBack(move, observation)
    else -> adviseRunning(move, service, observation, now)
}

private fun finishTakingBack(move: Move, observation: MoveObservation): MoveDecision {
    val isBack = move.assigned.all { (endpoint, weights) -> observation.loaded[endpoint].let { it == null || it == weights } }
    return if (isBack) MoveTransition(MoveStage.TAKEN_BACK, 0, move.assigned, move.reason) else NoMoveChange
}

private fun adviseRunning(move: Move, service: Service, observation: MoveObservation, now: Timestamp): MoveDecision {
    val fault = observation.evidence.firstNotNullOfOrNull { it.faultOrNull() }
    val deadline = Timestamp(move.deadlineMicroseconds)
    return when {
        fault != null -> rollBack(move, service, fault)
        now >= deadline -> rollBack(move, service, "the deadline passed")
        !move.isLoaded(observation) -> NoMoveChange
        move.share == WHOLE_SHARE -> MoveTransition(MoveStage.DONE, WHOLE_SHARE, move.assigned, "every endpoint serves the new weights")
        move.stage == MoveStage.LOADING -> MoveTransition(
            MoveStage.FIRST_SHARE,
            MOVE_SHARES.first(),
            move.assigned,
            "the first endpoint is loaded",
        )
        else -> adviseStep(move, service, observation, now)
    }
}

/** The endpoints of the present step serve what they should; for the last step, the ones that take the whole share. */
private fun Move.isLoaded(observation: MoveObservation): Boolean =
    assigned.all { (endpoint, weights) -> weights != to || observation.loaded[endpoint] == to }

private fun adviseStep(move: Move, service: Service, observation: MoveObservation, now: Timestamp): MoveDecision {
    val stepLength = move.stepLength()
    val elapsed = now - observation.stepStarted
    val isSeen = observation.evidence.all { it.isSufficient() }
    return if (elapsed >= stepLength && isSeen) widen(move, service) else NoMoveChange
}

/** Each step takes an equal part of the time allowed, less a reserve of one part for loading. */
private fun Move.stepLength(): Duration {
    val allowed = (deadlineMicroseconds - startedMicroseconds).microseconds
    return (allowed / (MOVE_SHARES.size + 2)).coerceIn(SHORTEST_STEP, LONGEST_STEP)
}

/**
 * Loads more endpoints before more requests go to the new weights; only the last step moves the requests first, so that the
 * last endpoint with the old weights serves as long as any request wants them.
 */
private fun widen(move: Move, service: Service): MoveDecision {
    val next = MOVE_SHARES.first { it > move.share }
    val assigned = service.assign(move.from, move.to, next)
    if (next == WHOLE_SHARE) return MoveTransition(MoveStage.WIDENING, next, assigned, "the evidence is good")
    if (assigned != move.assigned) return MoveTransition(MoveStage.WIDENING, move.share, assigned, "endpoints load for the share $next")
    return MoveTransition(MoveStage.WIDENING, next, assigned, "the evidence is good")
}

/** Returns the advice to take [move] back for [reason]. */
public fun rollBack(move: Move, service: Service, reason: String): MoveTransition =
    MoveTransition(MoveStage.TAKING_BACK, 0, service.assign(move.from, move.to, 0), reason)

/** Returns the move after [advice], with the fencing number [fence] for its orders. */
public fun Move.applyTransition(advice: MoveTransition, fence: Long): Move = copy(
    stage = advice.stage,
    share = advice.share,
    assigned = advice.assigned,
    fence = if (advice.assigned == assigned) this.fence else fence,
    reason = advice.reason,
)
