/**
 * What a leader does about moves: it watches the evidence, advances or takes back, and has endpoints load what they are
 * assigned. Endpoints that ignore fencing numbers are protected by time: a new leader gives no order until the old one's
 * lease has run out, and reads back what each endpoint serves.
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

private const val MOST_LOADS = 2
private val ORDER_PATIENCE = 5_000.milliseconds
private val READ_INTERVAL = 250.milliseconds
private val QUIET_READ_INTERVAL = 2_000.milliseconds

/** Returns the state after every move was looked at; finished ones too, since an endpoint may restart with other weights. */
internal fun ControlDutyState.tendMoves(now: Timestamp): ControlStep =
    replicatedState.moves().fold(unchanged()) { step, move -> step.then { it.tend(move, now) } }

private fun ControlDutyState.tend(move: Move, now: Timestamp): ControlStep {
    val service = replicatedState.serviceOrNull(move.service) ?: return unchanged()
    return withBaseline(move, now)
        .advance(move, service, now)
        .then { it.readWeights(move, service, now) }
        .then { it.orderWeights(move, service, now) }
}

/** A step of a move is judged by what was seen since it began: when its share changed, or when this leader came. */
private fun ControlDutyState.withBaseline(move: Move, now: Timestamp): ControlDutyState {
    val known = leadership ?: return this
    val baseline = known.baselines[move.service]
    if (baseline != null && baseline.share == move.share) return this
    val total = known.evidence.values
        .toList()
        .total()
    return lead { copy(baselines = baselines.put(move.service, MoveBaseline(move.share, move.fence, now, total))) }
}

private fun ControlDutyState.advance(move: Move, service: Service, now: Timestamp): ControlStep {
    val known = leadership ?: return unchanged()
    val baseline = known.baselines.getValue(move.service)
    if (move.service in known.openAdvances) return closeAdvance(move)
    val evidence = compareVersions(
        move.service,
        move.from,
        move.to,
        baseline.evidence,
        known.evidence.values
            .toList()
            .total(),
    )
    val observation = MoveObservation(baseline.started, known.loaded.toImmutableMap(), evidence)
    val advised = if (service.isListed) decideRelease(move, observation, now) else decideMove(move, service, observation, now)
    val advice = advised as? MoveTransition ?: return unchanged()
    val next = move.applyTransition(advice, applied + 1)
    if (next == move) return unchanged()
    return lead { copy(openAdvances = openAdvances.add(move.service)) }.propose(AdvanceMove(now, move, next), NobodyWaits)
}

/** Advances are proposed one at a time; the next look finds the move as the last one left it. */
private fun ControlDutyState.closeAdvance(move: Move): ControlStep =
    lead { copy(openAdvances = openAdvances.remove(move.service)) }.unchanged()

private fun ControlDutyState.readWeights(move: Move, service: Service, now: Timestamp): ControlStep {
    val known = leadership ?: return unchanged()
    val interval = if (move.isRunning) READ_INTERVAL else QUIET_READ_INTERVAL
    val due = service.endpoints.filter { endpoint ->
        endpoint.name in move.assigned && known.reads[endpoint.name]?.let { now - it >= interval } ?: true
    }
    val next = lead { copy(reads = due.fold(reads) { all, endpoint -> all.put(endpoint.name, now) }) }
    return due.fold(next.unchanged()) { step, endpoint -> step.emit(ReadWeights(endpoint.name, endpoint.host, endpoint.port)) }
}

private fun ControlDutyState.orderWeights(move: Move, service: Service, now: Timestamp): ControlStep {
    val known = leadership ?: return unchanged()
    if (now < known.loadCommandsAllowedFrom) return unchanged()
    val open = known.orders.filterValues { now - it.at < ORDER_PATIENCE }
    val due = service.endpoints
        .filter { it.name !in open && needsOrder(known, move, it.name) }
        .take((MOST_LOADS - open.size).coerceAtLeast(0))
    val next = lead {
        copy(
            orders = due.fold(
                orders,
            ) { all, endpoint -> all.put(endpoint.name, SentLoadCommand(move.assigned.getValue(endpoint.name), now)) },
        )
    }
    return due.fold(next.unchanged()) { step, endpoint ->
        val weights = move.assigned.getValue(endpoint.name)
        step.emit(LoadWeights(endpoint.name, endpoint.host, endpoint.port, weights, move.fence))
    }
}

/** An endpoint is ordered only when it was read and serves something else than it should. */
private fun needsOrder(known: Leadership, move: Move, endpoint: EndpointName): Boolean {
    val loaded = known.loaded[endpoint]
    return loaded != null && move.assigned[endpoint] != null && move.assigned[endpoint] != loaded
}

/** Returns the state after an endpoint was read; an order that it has carried out is over. */
internal fun ControlDutyState.onWeightsRead(input: WeightsRead): ControlDutyState = lead {
    val weights = input.weights
    if (weights == null) {
        copy(loaded = loaded.remove(input.endpoint))
    } else {
        val isDone = orders[input.endpoint]?.weights == weights
        copy(loaded = loaded.put(input.endpoint, weights), orders = if (isDone) orders.remove(input.endpoint) else orders)
    }
}
