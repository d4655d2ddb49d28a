/**
 * The state of the routing duty.
 */
package sniperoute.request.routing.decision

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import sniperoute.process.clock.Timestamp
import sniperoute.request.admission.decision.ServingView
import sniperoute.request.routing.message.AdmittedRequest
import sniperoute.request.routing.message.RequestId
import sniperoute.request.routing.message.RoutingEffect
import sniperoute.version.decision.EvidenceTable
import sniperoute.version.decision.FleetView
import sniperoute.version.decision.emptyCatalogue
import sniperoute.version.decision.emptyFleetView
import sniperoute.version.decision.noEvidenceTable
import sniperoute.version.message.CachedBlocks
import sniperoute.version.message.EndpointName
import sniperoute.version.message.EndpointWorkload
import sniperoute.version.message.ModelName
import sniperoute.version.message.RequestDigest
import sniperoute.version.message.ServiceName
import sniperoute.version.message.WeightsVersion
import sniperoute.version.message.Workspace
import kotlin.time.Duration

/** A request that is in work at [endpoint], in its attempt number [attempt]; [release] is the version of a listed endpoint's software. */
public data class RunningRequest(
    public val admitted: AdmittedRequest,
    public val endpoint: EndpointName,
    public val weights: WeightsVersion?,
    public val attempt: Int,
    public val started: Timestamp,
    public val release: WeightsVersion? = null,
)

/**
 * What is kept of a request that waits for another attempt: where it failed, the weights it began with, how many of its attempts
 * may have run, and until when it may wait.
 */
public data class RetryNote(
    public val attempts: Int,
    public val failedAt: PersistentSet<EndpointName>,
    public val weights: WeightsVersion?,
    public val runs: Int = attempts,
    public val until: Timestamp,
)

/** Everything that the routing duty knows. */
public data class RoutingState(
    public val view: ServingView,
    public val endpoints: PersistentMap<EndpointName, EndpointState>,
    public val cacheIndex: PrefixCacheIndex,
    public val queues: PersistentMap<ServiceName, FairQueue>,
    public val tokens: TokenPools,
    public val running: PersistentMap<RequestId, RunningRequest>,
    public val retries: PersistentMap<RequestId, RetryNote>,
    public val budgets: PersistentMap<ServiceName, RetryBudget>,
    public val suspects: PersistentMap<RequestDigest, Timestamp>,
    public val evidence: EvidenceTable,
    public val sequence: Long,
    public val deadlinesChecked: Timestamp,
    public val settings: RoutingSettings = RoutingSettings(),
    public val routers: Int = 1,
    public val fleet: FleetView = emptyFleetView(),
    public val members: PersistentMap<ServiceName, PersistentList<EndpointName>> = persistentMapOf(),
    public val named: PersistentMap<ModelName, PersistentList<NamedWeights>> = persistentMapOf(),
    public val told: PersistentMap<EndpointName, EndpointWorkload> = persistentMapOf(),
    public val newlyHeld: PersistentList<CachedBlocks> = persistentListOf(),
    public val nextTelling: Timestamp = Timestamp.EARLIEST,
    public val controlHeard: Timestamp = Timestamp.EARLIEST,
)

/**
 * What routing is given at the start. Requests no longer begin on weights that are older than others named [weightsLimit] ago.
 * A router that [accruesWithoutControl] spends its equal part of each rate while it hears nothing from the control replicas.
 */
public data class RoutingSettings(
    public val retries: RetryAllowance = RetryAllowance(),
    public val weightsLimit: Duration? = null,
    public val accruesWithoutControl: Boolean = false,
)

/** Weights of a model that were named, and when this router learned of them. */
public data class NamedWeights(public val number: Long, public val seen: Timestamp)

/** How many names of a model's weights are remembered. */
private const val MOST_NAMES = 16

/** Returns these names, the newest last, with [newer] as well. */
internal fun PersistentList<NamedWeights>.with(newer: NamedWeights): PersistentList<NamedWeights> =
    (if (size >= MOST_NAMES) removeAt(0) else this).add(newer)

/** Returns since when weights above [number] are known, or `null` while there are none. */
internal fun PersistentList<NamedWeights>.outdatedSinceOrNull(number: Long): Timestamp? = firstOrNull { it.number > number }?.seen

/** Returns the state of a router that has just started at [now]. */
public fun newRoutingState(now: Timestamp, settings: RoutingSettings = RoutingSettings()): RoutingState = RoutingState(
    view = ServingView(emptyCatalogue(), Timestamp.EARLIEST),
    endpoints = persistentMapOf(),
    cacheIndex = emptyPrefixCacheIndex(),
    queues = persistentMapOf(),
    tokens = noTokenPools(),
    running = persistentMapOf(),
    retries = persistentMapOf(),
    budgets = persistentMapOf(),
    suspects = persistentMapOf(),
    evidence = noEvidenceTable(),
    sequence = 0,
    deadlinesChecked = now,
    settings = settings,
)

/** Returns the workspace that a request counts for, or `null` when it has none or that is not in force. */
internal fun RoutingState.workspaceOrNull(admitted: AdmittedRequest): Workspace? = admitted.workspace?.let { view.catalogue.workspaces[it] }

/** A state and what was ordered on the way to it. */
public data class RoutingStep(public val state: RoutingState, public val effects: PersistentList<RoutingEffect> = persistentListOf())

internal fun RoutingState.unchanged(): RoutingStep = RoutingStep(this)

internal fun RoutingStep.emit(effect: RoutingEffect): RoutingStep = copy(effects = effects.add(effect))

internal fun RoutingStep.then(step: (RoutingState) -> RoutingStep): RoutingStep {
    val next = step(state)
    return RoutingStep(next.state, effects.addAll(next.effects))
}

internal fun RoutingState.withEndpoint(name: EndpointName, change: (EndpointState) -> EndpointState): RoutingState {
    val endpoint = endpoints[name] ?: return this
    return copy(endpoints = endpoints.put(name, change(endpoint)))
}

internal fun RoutingState.queueOf(service: ServiceName): FairQueue = queues[service] ?: emptyFairQueue()

internal fun noFailures(): PersistentSet<EndpointName> = persistentSetOf()
