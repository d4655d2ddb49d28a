/**
 * Reconciliation of moves by the leader: it compares the evidence, advances a move or rolls it back, and has endpoints load the weights
 * that they are assigned.
 *
 * An endpoint may ignore fencing tokens, so a new leader also waits until the leader lease of its predecessor has expired before it
 * sends a load command, and reads which weights each endpoint serves.
 */
package sniperoute.control.decision

import kotlinx.collections.immutable.toImmutableMap
import sniperoute.control.message.AdvanceMove
import sniperoute.control.message.LoadWeights
import sniperoute.control.message.ReadWeights
import sniperoute.control.message.WeightsRead
import sniperoute.process.clock.Timestamp
import sniperoute.version.decision.*
import sniperoute.version.message.*
import kotlin.time.Duration.Companion.milliseconds

private const val MAX_CONCURRENT_LOADS = 2
private val LOAD_COMMAND_TIMEOUT = 5_000.milliseconds
private val RUNNING_MOVE_READ_INTERVAL = 250.milliseconds
private val FINISHED_MOVE_READ_INTERVAL = 2_000.milliseconds

/** Returns the state after reconciling every move, finished ones too, since an endpoint may restart with other weights. */
internal fun ControlDutyState.reconcileMoves(now: Timestamp): ControlStep =
    replicatedState.moves().fold(unchanged()) { step, move -> step.then { it.reconcile(move, now) } }

private fun ControlDutyState.reconcile(move: Move, now: Timestamp): ControlStep {
    val service = replicatedState.serviceOrNull(move.service) ?: return unchanged()
    return withBaseline(move, service.isListed, now)
        .advance(move, service, now)
        .then { it.readWeights(move, service, now) }
        .then { it.loadAssignedWeights(move, service, now) }
}

/**
 * Takes a new baseline when the share of [move] changed or this leader has none: a step is judged by evidence since its start. A release
 * is judged by all evidence since its move began: after its last step, its responses are compared with those of the old one before it.
 */
private fun ControlDutyState.withBaseline(move: Move, isRelease: Boolean, now: Timestamp): ControlDutyState {
    val leader = leaderState ?: return this
    val baseline = leader.baselines[move.service]
    if (baseline != null && baseline.share == move.share && (!isRelease || baseline.fence == move.fence)) return this
    val evidence = when {
        !isRelease -> leader.totalEvidence()
        baseline?.fence == move.fence -> baseline.evidence
        now - Timestamp(move.startedMicroseconds) < MAX_START_LAG -> leader.totalEvidence()
        else -> noEvidenceTable()
    }
    return updateLeader { copy(baselines = baselines.put(move.service, MoveBaseline(move.share, move.fence, now, evidence))) }
}

/** A leader that first sees a release later than this after its start was elected since, and counts all evidence that routers have. */
private val MAX_START_LAG = 1_000.milliseconds

private fun LeaderState.totalEvidence(): EvidenceTable = evidence.values.toList().total()

private fun ControlDutyState.advance(move: Move, service: Service, now: Timestamp): ControlStep {
    val leader = leaderState ?: return unchanged()
    val baseline = leader.baselines.getValue(move.service)
    if (move.service in leader.pendingMoveAdvances) return clearPendingAdvance(move)
    val evidence = compareVersions(
        move.service,
        move.from,
        move.to,
        baseline.evidence,
        leader.totalEvidence(),
    )
    val observation = MoveObservation(baseline.started, leader.servedWeights.toImmutableMap(), evidence)
    val decision = if (service.isListed) decideRelease(move, observation, now) else decideMove(move, service, observation, now)
    val transition = decision as? MoveTransition ?: return unchanged()
    val next = move.applyTransition(transition, appliedIndex + 1)
    if (next == move) return unchanged()
    return updateLeader { copy(pendingMoveAdvances = pendingMoveAdvances.add(move.service)) }
        .propose(AdvanceMove(now, move, next), LeaderProposal)
}

/** Skips the first tick after an advance was proposed: advances are proposed one at a time, each for the move as the last one left it. */
private fun ControlDutyState.clearPendingAdvance(move: Move): ControlStep =
    updateLeader { copy(pendingMoveAdvances = pendingMoveAdvances.remove(move.service)) }.unchanged()

private fun ControlDutyState.readWeights(move: Move, service: Service, now: Timestamp): ControlStep {
    val leader = leaderState ?: return unchanged()
    val interval = if (move.isRunning) RUNNING_MOVE_READ_INTERVAL else FINISHED_MOVE_READ_INTERVAL
    val due = service.endpoints.filter { endpoint ->
        endpoint.name in move.assigned && leader.lastWeightsReads[endpoint.name]?.let { now - it >= interval } ?: true
    }
    val next = updateLeader {
        copy(lastWeightsReads = due.fold(lastWeightsReads) { all, endpoint -> all.put(endpoint.name, now) })
    }
    return due.fold(next.unchanged()) { step, endpoint -> step.emit(ReadWeights(endpoint.name, endpoint.host, endpoint.port)) }
}

private fun ControlDutyState.loadAssignedWeights(move: Move, service: Service, now: Timestamp): ControlStep {
    val leader = leaderState ?: return unchanged()
    if (now < leader.loadCommandsAllowedFrom) return unchanged()
    val open = leader.sentLoadCommands.filterValues { now - it.at < LOAD_COMMAND_TIMEOUT }
    val due = service.endpoints
        .filter { it.name !in open && needsLoad(leader, move, it.name) }
        .take((MAX_CONCURRENT_LOADS - open.size).coerceAtLeast(0))
    val next = updateLeader {
        copy(
            sentLoadCommands = due.fold(sentLoadCommands) { all, endpoint ->
                all.put(endpoint.name, SentLoadCommand(move.assigned.getValue(endpoint.name), now))
            },
        )
    }
    return due.fold(next.unchanged()) { step, endpoint ->
        val weights = move.assigned.getValue(endpoint.name)
        step.emit(LoadWeights(endpoint.name, endpoint.host, endpoint.port, weights, move.fence))
    }
}

/** Returns whether [endpoint] is known to serve other weights than it is assigned; one that wasn't read gets no load command. */
private fun needsLoad(leader: LeaderState, move: Move, endpoint: EndpointName): Boolean {
    val served = leader.servedWeights[endpoint]
    return served != null && move.assigned[endpoint] != null && move.assigned[endpoint] != served
}

/** Returns the state after the weights of an endpoint were read; a load command that has taken effect is no longer open. */
internal fun ControlDutyState.onWeightsRead(input: WeightsRead): ControlDutyState = updateLeader {
    val weights = input.weights
    if (weights == null) {
        copy(servedWeights = servedWeights.remove(input.endpoint))
    } else {
        val isLoaded = sentLoadCommands[input.endpoint]?.weights == weights
        copy(
            servedWeights = servedWeights.put(input.endpoint, weights),
            sentLoadCommands = if (isLoaded) sentLoadCommands.remove(input.endpoint) else sentLoadCommands,
        )
    }
}
