/**
 * Reconciles the weights that listed endpoints serve with the newest weights of their models: which endpoints load, and when.
 *
 * A load command names the number of commands that the endpoint has accepted so far (optimistic concurrency), so a delayed command
 * that arrives after a newer one is rejected. Routers stop sending requests to an endpoint shortly before its command is sent, and
 * the endpoint finishes its running requests before it loads.
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

/** Time between planning a load and sending the command: by then, routers have received the view in which the endpoint is changing. */
private val ROUTER_NOTICE_DELAY: Duration = 30.milliseconds

/** How long after a command was accepted the endpoint is first read again: no load is faster. */
private val MIN_LOAD_TIME: Duration = 500.milliseconds

/** Least time between two reads of an endpoint. */
private val READ_INTERVAL: Duration = 200.milliseconds

/** A command without a reply for this long counts as lost and is sent again with the same command count. */
private val COMMAND_TIMEOUT: Duration = 1_500.milliseconds

/** An accepted command without effect for this long counts as lost: the endpoint's longest request has ended by then. */
private val LOAD_TIMEOUT: Duration = 6_000.milliseconds

/** How long this leader plans no commands after an endpoint rejected one because it had seen a higher fencing token. */
private val FENCED_COOL_DOWN: Duration = 1.hours

/**
 * A command to load weights [number] of [model], [planned], [sent] and [accepted] at these times. Routers send the endpoint no
 * requests from [planned] on.
 */
public data class OpenLoadCommand(
    public val model: ModelName,
    public val number: Long,
    public val planned: Timestamp,
    public val sent: Timestamp? = null,
    public val accepted: Timestamp? = null,
)

/**
 * An endpoint as the leader knows it: the [weights] that it serves, the number of load commands that it has accepted (`null` while
 * that is not known), the number of requests [running] when it was last read, and its [openCommand], if any.
 */
public data class EndpointLoad(
    public val listed: ListedEndpoint,
    public val weights: PersistentMap<ModelName, Long>,
    public val commandCount: Long? = null,
    public val isBusy: Boolean = false,
    public val running: Int = 0,
    public val readAt: Timestamp = Timestamp.EARLIEST,
    public val openCommand: OpenLoadCommand? = null,
) {
    /** Whether the endpoint gets no requests, since it is about to change its weights or does so, by a command of any leader. */
    public val isChanging: Boolean get() = openCommand != null || isBusy
}

/** All listed endpoints; no load command is planned before [loadCommandsAllowedFrom]. */
public data class WeightLoads(
    public val endpoints: PersistentMap<EndpointName, EndpointLoad>,
    public val loadCommandsAllowedFrom: Timestamp,
)

/** Returns the state of a leader that may plan load commands from [loadCommandsAllowedFrom] on. */
public fun noWeightLoads(loadCommandsAllowedFrom: Timestamp): WeightLoads = WeightLoads(persistentMapOf(), loadCommandsAllowedFrom)

/**
 * What an endpoint reports about itself. [count] is the number of load commands that it has accepted; it [isBusy] while it carries
 * out one of them.
 */
public data class EndpointReport(
    public val incarnation: String?,
    public val weights: PersistentMap<ModelName, Long>,
    public val count: Long,
    public val isBusy: Boolean,
    public val running: Int = 0,
)

/** The outcome of a load command. */
public enum class LoadCommandOutcome {
    /** The endpoint has accepted the command and carries it out. */
    TAKEN,

    /** The endpoint serves these weights already. */
    HOLDS,

    /** Another command is in progress at the endpoint, or its command count differs. */
    CONFLICT,

    /** The endpoint has seen a higher fencing token. */
    FENCED,

    /** Another endpoint has the address. */
    ELSEWHERE,

    /** The endpoint does not know the command. */
    UNKNOWN_ORDER,

    /** It is unknown whether the command arrived. */
    LOST,
}

/** An effect of a step: a call to an endpoint. */
public sealed interface LoadEffect {
    /** The endpoint to call. */
    public val listed: ListedEndpoint
}

/** Reads the endpoint's report. */
public data class ReadEndpoint(override val listed: ListedEndpoint) : LoadEffect

/** Commands the endpoint to load weights [number] of [model], on condition that it has accepted [count] commands so far. */
public data class SendLoadCommand(
    override val listed: ListedEndpoint,
    public val model: ModelName,
    public val number: Long,
    public val count: Long,
) : LoadEffect

/** Returns the requests that routers have in flight at each endpoint where they have any. */
public typealias RunningRequests = () -> Map<EndpointName, Int>

/** A state and the calls to endpoints that follow from it. */
public data class LoadStep(public val loads: WeightLoads, public val effects: List<LoadEffect>)

/** Returns the state with the endpoints of the platform's list, [listed]. */
public fun WeightLoads.withListing(listed: List<ListedEndpoint>): WeightLoads =
    copy(endpoints = listed.associate { it.endpoint.name to endpoints[it.endpoint.name].updatedFrom(it) }.toPersistentMap())

/** The platform's list lags behind the endpoint's own reports: only weights that are newer than the reported ones are taken from it. */
private fun EndpointLoad?.updatedFrom(newer: ListedEndpoint): EndpointLoad {
    if (this == null || newer.incarnation != listed.incarnation) return EndpointLoad(newer, newer.weights.toPersistentMap())
    val newerWeights = newer.weights.filter { (model, number) -> number > (weights[model] ?: 0) }
    return copy(listed = newer, weights = if (newerWeights.isEmpty()) weights else weights.putAll(newerWeights)).withoutCompletedCommand()
}

/** Returns the state after the endpoint [name] was read; [report] is `null` when the read failed. */
public fun WeightLoads.reportRead(name: EndpointName, report: EndpointReport?, now: Timestamp): WeightLoads = change(name) { load ->
    if (report == null || (report.incarnation != null && report.incarnation != load.listed.incarnation)) {
        load.copy(commandCount = null, openCommand = load.openCommand?.takeIf { report == null && now - it.planned < LOAD_TIMEOUT })
    } else {
        load
            .copy(weights = report.weights, commandCount = report.count, isBusy = report.isBusy, running = report.running)
            .withoutCompletedCommand()
            .withoutLostCommand(now)
    }
}

private fun EndpointLoad.withoutCompletedCommand(): EndpointLoad =
    if (openCommand != null && !isBusy && (weights[openCommand.model] ?: 0) >= openCommand.number) copy(openCommand = null) else this

private fun EndpointLoad.withoutLostCommand(now: Timestamp): EndpointLoad {
    val accepted = openCommand?.accepted ?: return this
    return if (!isBusy && now - accepted > MIN_LOAD_TIME || now - accepted > LOAD_TIMEOUT) copy(openCommand = null) else this
}

/** Returns the state after a command to load weights [number] that was sent to the endpoint [name] ended with [outcome]. */
public fun WeightLoads.commandEnded(name: EndpointName, number: Long, outcome: LoadCommandOutcome, now: Timestamp): WeightLoads {
    if (outcome ==
        LoadCommandOutcome.FENCED
    ) {
        return copy(loadCommandsAllowedFrom = now + FENCED_COOL_DOWN).change(name) { it.copy(openCommand = null) }
    }
    return change(name) { load ->
        val openCommand = load.openCommand?.takeIf { it.number == number } ?: return@change load
        when (outcome) {
            LoadCommandOutcome.TAKEN ->
                load.copy(
                    openCommand = openCommand.copy(accepted = now),
                    commandCount = load.commandCount?.plus(1),
                    isBusy = true,
                    readAt = now,
                )
            LoadCommandOutcome.HOLDS -> load.copy(openCommand = null, weights = load.weights.put(openCommand.model, number))
            LoadCommandOutcome.LOST -> load
            else -> load.copy(openCommand = null, commandCount = null)
        }
    }
}

private fun WeightLoads.change(name: EndpointName, update: (EndpointLoad) -> EndpointLoad): WeightLoads {
    val load = endpoints[name] ?: return this
    return copy(endpoints = endpoints.put(name, update(load)))
}

/**
 * Returns the calls to endpoints that are due at [now] to make each endpoint serve the weights that [targetWeights] sets for the models
 * of its service.
 */
public fun WeightLoads.reconcile(
    targetWeights: Map<ModelName, ModelWeights>,
    modelsOf: (ServiceName) -> List<ModelName>,
    now: Timestamp,
    maxOpen: MaxOpenCommands = { _, members, _ -> maxOpenCommands(members.size) },
    running: RunningRequests = { emptyMap() },
): LoadStep =
    endpoints.values
        .groupBy { it.listed.service }
        .entries
        .fold(LoadStep(this, emptyList())) { step, (service, members) ->
            val targets = modelsOf(service).mapNotNull { targetWeights[it] }
            val isSettled = targets.isEmpty() && members.none { it.isBusy || it.openCommand != null }
            val maxOpenOfService = { outdated: List<EndpointLoad> -> maxOpen(service, members, outdated) }
            if (isSettled) step else step.reconcileService(members, targets, now, running, maxOpenOfService)
        }

private fun LoadStep.reconcileService(
    members: List<EndpointLoad>,
    targets: List<ModelWeights>,
    now: Timestamp,
    running: RunningRequests,
    maxOpen: (outdated: List<EndpointLoad>) -> Int,
): LoadStep {
    val names = members.map { it.listed.endpoint.name }
    val planned = loads.plan(names, targets, now, running, maxOpen)
    return names.sorted().fold(LoadStep(planned, effects)) { step, name -> step.reconcileEndpoint(name, targets, now) }
}

/** Plans commands for the endpoints that load next, up to the limit of open commands. */
private fun WeightLoads.plan(
    names: List<EndpointName>,
    targets: List<ModelWeights>,
    now: Timestamp,
    running: RunningRequests,
    maxOpen: (outdated: List<EndpointLoad>) -> Int,
): WeightLoads {
    if (now < loadCommandsAllowedFrom) return this
    val members = names.mapNotNull { endpoints[it] }
    val outdated = members.filter { it.outdatedOrNull(targets) != null }
    if (outdated.isEmpty()) return this
    val available = maxOpen(outdated) - members.count { it.openCommand != null }
    val runningNow = running()
    return outdated
        .filter { it.openCommand == null && it.commandCount != null && !it.isBusy && !it.listed.isLeaving }
        .sortedWith(
            compareBy({ it.differenceFrom(targets) }, { runningNow[it.listed.endpoint.name] ?: it.running }, { it.listed.endpoint.name }),
        ).take(available.coerceAtLeast(0))
        .fold(this) { all, load ->
            val target = checkNotNull(load.outdatedOrNull(targets)) { "only endpoints with outdated weights are planned" }
            all.change(load.listed.endpoint.name) { it.copy(openCommand = OpenLoadCommand(target.model, target.number, now)) }
        }
}

/**
 * Returns the lowest difference between the endpoint's weights and the targets. The endpoints that are furthest behind load first,
 * so that none is left behind when new weights follow each other quickly. Among them, those with the fewest requests in flight do, since
 * an endpoint rejects those that wait there when it receives a command.
 */
private fun EndpointLoad.differenceFrom(targets: List<ModelWeights>): Long = targets.minOf { (weights[it.model] ?: 0) - it.number }

private fun EndpointLoad.outdatedOrNull(targets: List<ModelWeights>): ModelWeights? =
    targets.firstOrNull { (weights[it.model] ?: 0) < it.number }

private fun LoadStep.reconcileEndpoint(name: EndpointName, targets: List<ModelWeights>, now: Timestamp): LoadStep {
    val load = loads.endpoints[name] ?: return this
    val openCommand = load.openCommand
    return when {
        openCommand == null && (load.isBusy || load.outdatedOrNull(targets) != null && load.commandCount == null) -> readIfDue(load, now)
        openCommand == null -> this
        openCommand.sent == null && targets.none { it.model == openCommand.model } ->
            copy(loads = loads.change(name) { it.copy(openCommand = null) })
        openCommand.accepted != null -> if (now - openCommand.accepted >= MIN_LOAD_TIME) readIfDue(load, now) else this
        openCommand.sent == null && now - openCommand.planned >= ROUTER_NOTICE_DELAY -> sendCommand(load, openCommand, now)
        openCommand.sent != null && now - openCommand.sent >= COMMAND_TIMEOUT -> sendCommand(load, openCommand, now)
        openCommand.sent != null -> readIfDue(load, now)
        else -> this
    }
}

private fun LoadStep.readIfDue(load: EndpointLoad, now: Timestamp): LoadStep {
    if (now - load.readAt < READ_INTERVAL) return this
    return LoadStep(loads.change(load.listed.endpoint.name) { it.copy(readAt = now) }, effects + ReadEndpoint(load.listed))
}

private fun LoadStep.sendCommand(load: EndpointLoad, openCommand: OpenLoadCommand, now: Timestamp): LoadStep {
    val count = load.commandCount ?: return copy(loads = loads.change(load.listed.endpoint.name) { it.copy(openCommand = null) })
    val next = loads.change(load.listed.endpoint.name) { it.copy(openCommand = openCommand.copy(sent = now), readAt = now) }
    return LoadStep(next, effects + SendLoadCommand(load.listed, openCommand.model, openCommand.number, count))
}
