/**
 * Moves of a service from one version of its weights to another, as a gradual rollout: a small share of the requests first, then
 * larger shares step by step while the evidence is good. A move is rolled back as soon as the evidence is bad or the deadline has
 * passed.
 */
package sniperoute.version.decision

import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.toImmutableMap
import sniperoute.process.clock.Timestamp
import sniperoute.version.message.*
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

/** The shares of the requests that go to the new weights, in thousandths, in the order of the steps of a move. */
public val MOVE_SHARES: List<Int> = listOf(50, 250, 500, 900, 1_000)

private const val WHOLE_SHARE = 1_000
private val MIN_STEP_LENGTH = 2_000.milliseconds
private val MAX_STEP_LENGTH = 30_000.milliseconds

/**
 * What the leader has observed about a move: when the current step started, which weights each endpoint has [loaded], and the
 * [evidence] of each route.
 */
public data class MoveObservation(
    public val stepStarted: Timestamp,
    public val loaded: ImmutableMap<EndpointName, WeightsVersion>,
    public val evidence: List<RouteComparison>,
)

/** The evidence about the old and the new version on one route since the current step started. */
public data class RouteComparison(public val route: RouteName, public val old: EvidenceSum, public val new: EvidenceSum)

/** The decision about a move. */
public sealed interface MoveDecision

/** The move stays as it is. */
public data object NoMoveChange : MoveDecision

/** The move changes to [stage] and [share], with the weights [assigned] to endpoints. */
public data class MoveTransition(
    public val stage: MoveStage,
    public val share: Int,
    public val assigned: ImmutableMap<EndpointName, WeightsVersion>,
    public val reason: String,
) : MoveDecision

/**
 * Returns a move of [service] that starts at [now] and was declared in configuration [number]: the first endpoints load the new
 * weights, and no request goes to them yet.
 */
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

/** Whether this move has neither completed nor been rolled back. */
public val Move.isRunning: Boolean get() = stage != MoveStage.DONE && stage != MoveStage.TAKEN_BACK

/** Returns how many of [count] endpoints serve the new weights when [share] thousandths of the requests go to them. */
public fun endpointsForShare(count: Int, share: Int): Int = when {
    share == 0 -> 0
    share >= WHOLE_SHARE -> count
    else -> ((count * share + WHOLE_SHARE - 1) / WHOLE_SHARE).coerceIn(1, (count - 1).coerceAtLeast(1))
}

private fun Service.assign(from: WeightsVersion, to: WeightsVersion, share: Int): ImmutableMap<EndpointName, WeightsVersion> {
    val newCount = endpointsForShare(endpoints.size, share)
    return endpoints
        .sortedBy { it.name }
        .withIndex()
        .associate { (index, endpoint) -> endpoint.name to if (index < newCount) to else from }
        .toImmutableMap()
}

/** Returns the decision about [move] of [service] at [now]. */
public fun decideMove(move: Move, service: Service, observation: MoveObservation, now: Timestamp): MoveDecision = when (move.stage) {
    MoveStage.DONE, MoveStage.TAKEN_BACK -> NoMoveChange
    MoveStage.TAKING_BACK -> decideRollback(move, observation)
    else -> decideRunning(move, service, observation, now)
}

private fun decideRollback(move: Move, observation: MoveObservation): MoveDecision {
    val isRolledBack = move.assigned.all { (endpoint, weights) -> observation.loaded[endpoint].let { it == null || it == weights } }
    return if (isRolledBack) MoveTransition(MoveStage.TAKEN_BACK, 0, move.assigned, move.reason) else NoMoveChange
}

private fun decideRunning(move: Move, service: Service, observation: MoveObservation, now: Timestamp): MoveDecision {
    val regression = observation.evidence.firstNotNullOfOrNull { it.regressionOrNull() }
    val deadline = Timestamp(move.deadlineMicroseconds)
    return when {
        regression != null -> rollBack(move, service, regression)
        now >= deadline -> rollBack(move, service, "the deadline passed")
        !move.isLoaded(observation) -> NoMoveChange
        move.share == WHOLE_SHARE -> MoveTransition(MoveStage.DONE, WHOLE_SHARE, move.assigned, "every endpoint serves the new weights")
        move.stage == MoveStage.LOADING -> MoveTransition(
            MoveStage.FIRST_SHARE,
            MOVE_SHARES.first(),
            move.assigned,
            "the first endpoints are loaded",
        )
        else -> decideStep(move, service, observation, now)
    }
}

/** Whether every endpoint that is assigned the new weights has loaded them. */
private fun Move.isLoaded(observation: MoveObservation): Boolean =
    assigned.all { (endpoint, weights) -> weights != to || observation.loaded[endpoint] == to }

private fun decideStep(move: Move, service: Service, observation: MoveObservation, now: Timestamp): MoveDecision {
    val elapsed = now - observation.stepStarted
    val isSufficient = observation.evidence.all { it.isSufficient() }
    return if (elapsed >= move.stepLength() && isSufficient) widen(move, service) else NoMoveChange
}

/**
 * Returns the least time that a step lasts. The time allowed for the move is divided into more equal parts than there are steps; the
 * parts left over are a reserve for loading.
 */
private fun Move.stepLength(): Duration {
    val allowed = (deadlineMicroseconds - startedMicroseconds).microseconds
    return (allowed / (MOVE_SHARES.size + 2)).coerceIn(MIN_STEP_LENGTH, MAX_STEP_LENGTH)
}

/**
 * Returns the next step of the move. More endpoints load the new weights before the share of requests grows. Only in the last step
 * the share grows first, so that the last endpoint with the old weights serves them as long as requests are routed to them.
 */
private fun widen(move: Move, service: Service): MoveDecision {
    val next = MOVE_SHARES.first { it > move.share }
    val assigned = service.assign(move.from, move.to, next)
    if (next == WHOLE_SHARE) return MoveTransition(MoveStage.WIDENING, next, assigned, "the evidence is good")
    if (assigned != move.assigned) return MoveTransition(MoveStage.WIDENING, move.share, assigned, "endpoints load for the share $next")
    return MoveTransition(MoveStage.WIDENING, next, assigned, "the evidence is good")
}

/** Returns the decision to roll [move] back for [reason]: all requests go to the old weights at once, and all endpoints load them. */
public fun rollBack(move: Move, service: Service, reason: String): MoveTransition =
    MoveTransition(MoveStage.TAKING_BACK, 0, service.assign(move.from, move.to, 0), reason)

/** Returns the move after [transition]; when endpoints are assigned other weights, their load commands carry the fencing token [fence]. */
public fun Move.applyTransition(transition: MoveTransition, fence: Long): Move = copy(
    stage = transition.stage,
    share = transition.share,
    assigned = transition.assigned,
    fence = if (transition.assigned == assigned) this.fence else fence,
    reason = transition.reason,
)
