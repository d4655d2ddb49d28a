/**
 * Which listed endpoints load a model's newest weights, and when. An order names the count of orders that the endpoint had taken,
 * so one that was lost and arrives late, after a newer one, is refused. Routers leave an endpoint alone a moment before it is
 * ordered; it finishes its runs before it loads.
 */
package sniperoute.version.decision

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import sniperoute.process.clock.Timestamp
import sniperoute.version.message.EndpointName
import sniperoute.version.message.ListedEndpoint
import sniperoute.version.message.ModelName
import sniperoute.version.message.ModelWeights
import sniperoute.version.message.ServiceName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds

/** How long before an order routers are told to leave the endpoint alone: their view must have changed by then. */
private val STEER_LEAD: Duration = 30.milliseconds

/** How long after a taken order the endpoint is first asked again: no load is faster. */
private val SHORTEST_LOAD: Duration = 500.milliseconds

/** The pause between two reads of an endpoint whose order is open. */
private val READ_PAUSE: Duration = 200.milliseconds

/** After this long without an answer an order is taken for lost and sent again under the same count. */
private val ORDER_PATIENCE: Duration = 1_500.milliseconds

/** After this long a taken order that shows no effect is taken for lost: the endpoint's longest run is over by then. */
private val LOAD_PATIENCE: Duration = 6_000.milliseconds

/** An endpoint that refused an order since another holder gave a newer one gets none from this leader any more. */
private val FENCED_REST: Duration = 1.hours

/**
 * The part of a service's endpoints that may have an open order: most of that time they finish their runs, so few load at once,
 * and the others carry the traffic meanwhile.
 */
private const val OPEN_PART = 2
private const val FEWEST_OPEN = 2

/** How far an order is: from [planned] on routers leave the endpoint alone. */
public data class LoadOrder(
    public val model: ModelName,
    public val number: Long,
    public val planned: Timestamp,
    public val sent: Timestamp? = null,
    public val taken: Timestamp? = null,
)

/**
 * An endpoint as the leader knows it: the [weights] that it serves, the [count] of orders that it has taken, the runs that
 * it had when it was read, and an open order.
 */
public data class EndpointLoad(
    public val listed: ListedEndpoint,
    public val weights: PersistentMap<ModelName, Long>,
    public val count: Long? = null,
    public val isBusy: Boolean = false,
    public val running: Int = 0,
    public val readAt: Timestamp = Timestamp.EARLIEST,
    public val open: LoadOrder? = null,
)

/** All listed endpoints; no order is given before [loadCommandsAllowedFrom]. */
public data class WeightLoads(
    public val endpoints: PersistentMap<EndpointName, EndpointLoad>,
    public val loadCommandsAllowedFrom: Timestamp,
)

/** Returns the state of a leader that may give orders from [loadCommandsAllowedFrom] on. */
public fun noWeightLoads(loadCommandsAllowedFrom: Timestamp): WeightLoads = WeightLoads(persistentMapOf(), loadCommandsAllowedFrom)

/** What an endpoint said of itself. */
public data class EndpointReport(
    public val incarnation: String?,
    public val weights: PersistentMap<ModelName, Long>,
    public val count: Long,
    public val isBusy: Boolean,
    public val running: Int = 0,
)

/** What became of an order. */
public enum class LoadCommandOutcome {
    /** The endpoint carries it out. */
    TAKEN,

    /** The endpoint serves these weights already. */
    HOLDS,

    /** Another order is under way there, or its count is another. */
    CONFLICT,

    /** The endpoint has seen a higher fence. */
    FENCED,

    /** Another endpoint has the address. */
    ELSEWHERE,

    /** The endpoint does not know the order. */
    UNKNOWN_ORDER,

    /** Nobody knows whether it arrived. */
    LOST,
}

/** What the leader asks of endpoints. */
public sealed interface LoadEffect {
    /** The endpoint that is meant. */
    public val listed: ListedEndpoint
}

/** Read the endpoint's report. */
public data class ReadEndpoint(override val listed: ListedEndpoint) : LoadEffect

/** Order the endpoint to load weights [number] of [model], if it has taken [count] orders so far. */
public data class SendLoadCommand(
    override val listed: ListedEndpoint,
    public val model: ModelName,
    public val number: Long,
    public val count: Long,
) : LoadEffect

/** A state and what to ask of endpoints. */
public data class LoadStep(public val loads: WeightLoads, public val effects: List<LoadEffect>)

/** Returns the state after the platform's list was read. */
public fun WeightLoads.withListing(listed: List<ListedEndpoint>): WeightLoads =
    copy(endpoints = listed.associate { it.endpoint.name to (endpoints[it.endpoint.name]?.relisted(it) ?: newLoad(it)) }.toPersistentMap())

private fun newLoad(listed: ListedEndpoint): EndpointLoad = EndpointLoad(listed, listed.weights.toPersistentMap())

/** The list lags: it may only add to what the endpoint itself said. */
private fun EndpointLoad.relisted(newer: ListedEndpoint): EndpointLoad {
    if (newer.incarnation != listed.incarnation) return newLoad(newer)
    val ahead = newer.weights.filter { (model, number) -> number > (weights[model] ?: 0) }
    return copy(listed = newer, weights = if (ahead.isEmpty()) weights else weights.putAll(ahead)).settled()
}

/** Returns the state after an endpoint reported, or did not when [report] is `null`. */
public fun WeightLoads.reportRead(name: EndpointName, report: EndpointReport?, now: Timestamp): WeightLoads = change(name) { known ->
    if (report == null || (report.incarnation != null && report.incarnation != known.listed.incarnation)) {
        known.copy(count = null, open = known.open?.takeIf { report == null && now - it.planned < LOAD_PATIENCE })
    } else {
        known
            .copy(weights = report.weights, count = report.count, isBusy = report.isBusy, running = report.running)
            .settled()
            .withoutLost(now)
    }
}

private fun EndpointLoad.settled(): EndpointLoad =
    if (open != null && !isBusy && (weights[open.model] ?: 0) >= open.number) copy(open = null) else this

private fun EndpointLoad.withoutLost(now: Timestamp): EndpointLoad {
    val taken = open?.taken ?: return this
    return if (!isBusy && now - taken > SHORTEST_LOAD || now - taken > LOAD_PATIENCE) copy(open = null) else this
}

/** Returns the state after an order that was sent to [name] came to [outcome]. */
public fun WeightLoads.commandEnded(name: EndpointName, number: Long, outcome: LoadCommandOutcome, now: Timestamp): WeightLoads {
    if (outcome == LoadCommandOutcome.FENCED) return copy(loadCommandsAllowedFrom = now + FENCED_REST).change(name) { it.copy(open = null) }
    return change(name) { known ->
        val open = known.open?.takeIf { it.number == number } ?: return@change known
        when (outcome) {
            LoadCommandOutcome.TAKEN -> known.copy(open = open.copy(taken = now), count = known.count?.plus(1), isBusy = true, readAt = now)
            LoadCommandOutcome.HOLDS -> known.copy(open = null, weights = known.weights.put(open.model, number))
            LoadCommandOutcome.LOST -> known
            else -> known.copy(open = null, count = null)
        }
    }
}

private fun WeightLoads.change(name: EndpointName, update: (EndpointLoad) -> EndpointLoad): WeightLoads {
    val known = endpoints[name] ?: return this
    return copy(endpoints = endpoints.put(name, update(known)))
}

/** Returns what to ask of endpoints at [now], so that each serves the weights that [named] gives for its models. */
public fun WeightLoads.reconcile(
    named: Map<ModelName, ModelWeights>,
    modelsOf: (ServiceName) -> List<ModelName>,
    now: Timestamp,
): LoadStep =
    endpoints.values
        .groupBy { it.listed.service }
        .entries
        .fold(LoadStep(this, emptyList())) { step, (service, members) ->
            val wanted = modelsOf(service).mapNotNull { named[it] }
            if (wanted.isEmpty()) step else step.tendService(members.map { it.listed.endpoint.name }, wanted, now)
        }

private fun LoadStep.tendService(names: List<EndpointName>, wanted: List<ModelWeights>, now: Timestamp): LoadStep {
    val planned = loads.plan(names, wanted, now)
    return names.sorted().fold(LoadStep(planned, effects)) { step, name -> step.tendEndpoint(name, wanted, now) }
}

/** Chooses the endpoints that load next, while there is room for more loads. */
private fun WeightLoads.plan(names: List<EndpointName>, wanted: List<ModelWeights>, now: Timestamp): WeightLoads {
    if (now < loadCommandsAllowedFrom) return this
    val members = names.mapNotNull { endpoints[it] }
    val room = mostOpen(names.size) - members.count { it.open != null }
    return members
        .filter { it.open == null && it.count != null && !it.isBusy && !it.listed.isLeaving && it.lacksOrNull(wanted) != null }
        .sortedWith(compareBy({ it.oldestOf(wanted) }, { it.running }, { it.listed.endpoint.name }))
        .take(room.coerceAtLeast(0))
        .fold(this) { all, load ->
            val lacking = checkNotNull(load.lacksOrNull(wanted)) { "only endpoints that lack weights are planned" }
            all.change(load.listed.endpoint.name) { it.copy(open = LoadOrder(lacking.model, lacking.number, now)) }
        }
}

private fun mostOpen(size: Int): Int = maxOf(FEWEST_OPEN, size / OPEN_PART).coerceAtMost(maxOf(1, size - 1))

/** The endpoints that are furthest behind load first: no endpoint may be left behind when names follow each other quickly. */
private fun EndpointLoad.oldestOf(wanted: List<ModelWeights>): Long = wanted.minOf { (weights[it.model] ?: 0) - it.number }

private fun EndpointLoad.lacksOrNull(wanted: List<ModelWeights>): ModelWeights? =
    wanted.firstOrNull { (weights[it.model] ?: 0) < it.number }

private fun LoadStep.tendEndpoint(name: EndpointName, wanted: List<ModelWeights>, now: Timestamp): LoadStep {
    val load = loads.endpoints[name] ?: return this
    val open = load.open
    return when {
        open == null && (load.isBusy || load.lacksOrNull(wanted) != null && load.count == null) -> readIfDue(load, now)
        open == null -> this
        open.taken != null -> if (now - open.taken >= SHORTEST_LOAD) readIfDue(load, now) else this
        open.sent == null && now - open.planned >= STEER_LEAD -> order(load, open, now)
        open.sent != null && now - open.sent >= ORDER_PATIENCE -> order(load, open, now)
        open.sent != null -> readIfDue(load, now)
        else -> this
    }
}

private fun LoadStep.readIfDue(load: EndpointLoad, now: Timestamp): LoadStep {
    if (now - load.readAt < READ_PAUSE) return this
    return LoadStep(loads.change(load.listed.endpoint.name) { it.copy(readAt = now) }, effects + ReadEndpoint(load.listed))
}

private fun LoadStep.order(load: EndpointLoad, open: LoadOrder, now: Timestamp): LoadStep {
    val count = load.count ?: return copy(loads = loads.change(load.listed.endpoint.name) { it.copy(open = null) })
    val next = loads.change(load.listed.endpoint.name) { it.copy(open = open.copy(sent = now), readAt = now) }
    return LoadStep(next, effects + SendLoadCommand(load.listed, open.model, open.number, count))
}
