/**
 * Moves of a listed service to another release of its software. The platform starts the endpoints of the new release beside the old
 * ones. The new release gets a small canary share of the requests for most of the time allowed, then all of them if there is enough
 * evidence, and is rolled back at once when the evidence shows a regression. The move is done when the old endpoints have had time to
 * drain.
 */
package sniperoute.version.decision

import kotlinx.collections.immutable.persistentMapOf
import sniperoute.process.clock.Timestamp
import sniperoute.version.message.Move
import sniperoute.version.message.MoveStage
import sniperoute.version.message.ServiceName
import sniperoute.version.message.WeightsVersion
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

/** The share of the requests that a canary release gets, in thousandths: a bad release must get less than a tenth. */
private const val CANARY_SHARE = 70
private const val WHOLE_SHARE = 1_000

/** The part of the time allowed during which a release is a canary, at least. */
private const val CANARY_PART = 0.6

/** How long the old endpoints get to drain before the move is done: the platform stops them as soon as it is. */
private val DRAIN_TIME: Duration = 1_800.milliseconds

/** Returns a move of the listed [service] from the release [from] to [to] that starts at [now] and must end within [allowed]. */
public fun startRelease(
    service: ServiceName,
    from: WeightsVersion,
    to: WeightsVersion,
    allowed: Duration,
    now: Timestamp,
    fence: Long,
): Move =
    Move(
        service = service,
        from = from,
        to = to,
        startedMicroseconds = now.microseconds,
        deadlineMicroseconds = (now + allowed).microseconds,
        stage = MoveStage.FIRST_SHARE,
        share = CANARY_SHARE,
        assigned = persistentMapOf(),
        fence = fence,
        declaredIn = 0,
        reason = "accepted",
    )

/** Returns the decision about [move] at [now]. */
public fun decideRelease(move: Move, observation: MoveObservation, now: Timestamp): MoveDecision {
    val regression = observation.evidence.firstNotNullOfOrNull { it.regressionOrNull() } ?: observation.evidence.slownessOrNull()
    return when {
        !move.isRunning -> NoMoveChange
        move.stage == MoveStage.TAKING_BACK -> MoveTransition(MoveStage.TAKEN_BACK, 0, move.assigned, move.reason)
        regression != null -> MoveTransition(MoveStage.TAKING_BACK, 0, move.assigned, regression)
        move.share < WHOLE_SHARE -> decideCanary(move, observation, now)
        now - observation.stepStarted >= DRAIN_TIME ->
            MoveTransition(MoveStage.DONE, WHOLE_SHARE, move.assigned, "the old endpoints have drained")
        else -> NoMoveChange
    }
}

/** A canary gets all requests when enough of them showed no regression, never for want of evidence. */
private fun decideCanary(move: Move, observation: MoveObservation, now: Timestamp): MoveDecision {
    val allowed = (move.deadlineMicroseconds - move.startedMicroseconds).microseconds
    val elapsed = now - Timestamp(move.startedMicroseconds)
    return when {
        elapsed >= allowed -> MoveTransition(MoveStage.TAKING_BACK, 0, move.assigned, "the deadline passed without enough evidence")
        elapsed >= allowed * CANARY_PART && observation.evidence.isSufficientForWholeShare() ->
            MoveTransition(MoveStage.WIDENING, WHOLE_SHARE, move.assigned, "the canary showed no regression")
        else -> NoMoveChange
    }
}
