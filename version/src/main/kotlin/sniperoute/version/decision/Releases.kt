/**
 * Moves of a listed service to another release of its software, whose endpoints the platform starts beside the old ones: a small
 * share until the time is nearly over or a fault is shown, then everything, and done once the old endpoints have nothing left.
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

/** The share of a release on trial, in thousandths: a bad one must not get a tenth of the requests. */
private const val TRIAL_SHARE = 70
private const val WHOLE_SHARE = 1_000

/** The part of the time allowed for which a release is on trial. */
private const val TRIAL_PART = 0.6

/** How long old endpoints get to finish before the move counts as done: they are stopped at once then. */
private val FINISHING: Duration = 1_800.milliseconds

/** Returns a move of the listed [service] from the release [from] to [to] that starts at [now] and must be over within [allowed]. */
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
        share = TRIAL_SHARE,
        assigned = persistentMapOf(),
        fence = fence,
        declaredIn = 0,
        reason = "accepted",
    )

/** Returns what to do about [move] at [now]. */
public fun decideRelease(move: Move, observation: MoveObservation, now: Timestamp): MoveDecision {
    val fault = observation.evidence.firstNotNullOfOrNull { it.faultOrNull() }
    val started = Timestamp(move.startedMicroseconds)
    val allowed = (move.deadlineMicroseconds - move.startedMicroseconds).microseconds
    return when {
        !move.isRunning -> NoMoveChange
        move.stage == MoveStage.TAKING_BACK -> MoveTransition(MoveStage.TAKEN_BACK, 0, move.assigned, move.reason)
        fault != null -> MoveTransition(MoveStage.TAKING_BACK, 0, move.assigned, fault)
        move.share < WHOLE_SHARE && now - started >= allowed * TRIAL_PART ->
            MoveTransition(MoveStage.WIDENING, WHOLE_SHARE, move.assigned, "no fault was shown on trial")
        move.share == WHOLE_SHARE && now - observation.stepStarted >= FINISHING ->
            MoveTransition(MoveStage.DONE, WHOLE_SHARE, move.assigned, "the old endpoints have finished")
        else -> NoMoveChange
    }
}
