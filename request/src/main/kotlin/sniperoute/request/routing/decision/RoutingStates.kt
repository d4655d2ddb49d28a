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
import sniperoute.version.decision.TargetWeights
import sniperoute.version.decision.emptyCatalogue
import sniperoute.version.decision.emptyFleetView
import sniperoute.version.decision.noEvidenceTable
import sniperoute.version.message.BlockId
import sniperoute.version.message.CachedBlocks
import sniperoute.version.message.EndpointName
import sniperoute.version.message.EndpointWorkload
import sniperoute.version.message.ModelName
import sniperoute.version.message.RequestDigest
import sniperoute.version.message.ServiceName
import sniperoute.version.message.WeightsVersion
import sniperoute.version.message.Workspace
import kotlin.time.Duration

/**
 * A request in flight at [endpoint]; [attempt] counts from 1. [release] is the version of a listed endpoint's software. The attempt
 * [hasStalled] once the endpoint was silent for longer than the stall timeout.
 */
public data class RunningRequest(
    public val request: AdmittedRequest,
    public val endpoint: EndpointName,
    public val weights: WeightsVersion?,
    public val attempt: Int,
    public val started: Timestamp,
    public val release: WeightsVersion? = null,
    public val hasStalled: Boolean = false,
)

/**
 * What is kept of a request between its attempts.
 *
 * @property attempts is the number of attempts so far.
 * @property failedAt are the endpoints at which attempts failed.
 * @property weights are those that the retry must use; `null` if the only attempt so far certainly did not run.
 * @property possibleRuns is the number of attempts that may have run.
 * @property queueDeadline is the time until which the request may wait for its next attempt.
 */
public data class RetryState(
    public val attempts: Int,
    public val failedAt: PersistentSet<EndpointName>,
    public val weights: WeightsVersion?,
    public val possibleRuns: Int = attempts,
    public val queueDeadline: Timestamp,
)

/**
 * The state of the routing duty.
 *
 * @property running are the requests in flight at endpoints.
 * @property retries are the requests that had a failed attempt and are in a queue or in flight.
 * @property suspects are the digests of requests that may have crashed an endpoint, with the time of the crash.
 * @property placementCount is the number of placements so far, for round-robin.
 * @property started is when this router started.
 * @property routers is the number of routers that share the fleet's allowances.
 * @property members are the endpoints of each service.
 * @property targetWeights are the latest target weights of each model, the newest last.
 * @property reportedWorkloads are this router's workloads as it last reported them.
 * @property servedBlocks are the shared blocks of prompts that were answered a short time ago, and when.
 * @property newlyCached are blocks that were computed or saved since the last workload report.
 * @property statedServices are the services of which an endpoint has stated how long work takes there.
 * @property newlyStated are the endpoints that stated it to this router since the last workload report.
 * @property serviceTimes are the times that this router has measured.
 * @property lastSharedWorkload is when the leader last sent the workload of all routers.
 */
public data class RoutingState(
    public val view: ServingView,
    public val endpoints: PersistentMap<EndpointName, EndpointState>,
    public val cacheIndex: PrefixCacheIndex,
    public val queues: PersistentMap<ServiceName, FairQueue>,
    public val tokens: TokenPools,
    public val running: PersistentMap<RequestId, RunningRequest>,
    public val retries: PersistentMap<RequestId, RetryState>,
    public val budgets: PersistentMap<ServiceName, RetryBudget>,
    public val suspects: PersistentMap<RequestDigest, Timestamp>,
    public val evidence: EvidenceTable,
    public val placementCount: Long,
    public val lastDeadlineCheck: Timestamp,
    public val started: Timestamp,
    public val settings: RoutingSettings = RoutingSettings(),
    public val routers: Int = 1,
    public val fleet: FleetView = emptyFleetView(),
    public val members: PersistentMap<ServiceName, PersistentList<EndpointName>> = persistentMapOf(),
    public val targetWeights: PersistentMap<ModelName, PersistentList<TargetWeights>> = persistentMapOf(),
    public val reportedWorkloads: PersistentMap<EndpointName, EndpointWorkload> = persistentMapOf(),
    public val newlyCached: PersistentList<CachedBlocks> = persistentListOf(),
    public val nextWorkloadReport: Timestamp = Timestamp.EARLIEST,
    public val nextCompleteReport: Timestamp = Timestamp.EARLIEST,
    public val lastControlContact: Timestamp = Timestamp.EARLIEST,
    public val servedBlocks: PersistentMap<BlockId, Timestamp> = persistentMapOf(),
    public val nextLimitReport: Timestamp = Timestamp.EARLIEST,
    public val statedServices: PersistentSet<ServiceName> = persistentSetOf(),
    public val newlyStated: PersistentSet<EndpointName> = persistentSetOf(),
    public val serviceTimes: PersistentMap<ServiceName, ServiceTimes> = persistentMapOf(),
    public val lastSharedWorkload: Timestamp = Timestamp.EARLIEST,
)

/** Returns the tokens of a workspace that each of a number of routers may hold for the next requests, whatever its recent use. */
public typealias MinimumTokenReserve = (workspace: Workspace, routers: Int) -> Long

/**
 * Settings of the routing duty.
 *
 * @property weightsLimit is the time after which no request begins on weights that newer ones have replaced; `null` for no limit.
 * @property capacityPlacement says which services have their requests placed by the capacity of each endpoint.
 * @property accruesWithoutControl lets the router spend its equal share of each rate while it has no contact with the control replicas.
 */
public data class RoutingSettings(
    public val retries: RetryAllowance = RetryAllowance(),
    public val weightsLimit: Duration? = null,
    public val accruesWithoutControl: Boolean = false,
    public val minimumTokenReserve: MinimumTokenReserve = { _, _ -> 0 },
    public val capacityPlacement: CapacityPlacement = CapacityPlacement.NEVER,
)

/** Returns the state of a router that starts at [now]. */
public fun newRoutingState(now: Timestamp, settings: RoutingSettings = RoutingSettings()): RoutingState = RoutingState(
    view = ServingView(emptyCatalogue(), Timestamp.EARLIEST),
    endpoints = persistentMapOf(),
    cacheIndex = emptyPrefixCacheIndex(),
    queues = persistentMapOf(),
    tokens = emptyTokenPools(),
    running = persistentMapOf(),
    retries = persistentMapOf(),
    budgets = persistentMapOf(),
    suspects = persistentMapOf(),
    evidence = noEvidenceTable(),
    placementCount = 0,
    lastDeadlineCheck = now,
    started = now,
    settings = settings,
)

/** Returns the workspace that is charged for a request, or `null` if the request has none or the catalogue does not have it. */
internal fun RoutingState.workspaceOrNull(request: AdmittedRequest): Workspace? = request.workspace?.let { view.catalogue.workspaces[it] }

/** A state and the effects on the way to it, in order. */
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

/** Whether the first content of the answer to [run] has been received. */
internal fun RoutingState.hasFirstToken(run: RunningRequest): Boolean =
    endpoints[run.endpoint]?.ownRequests?.get(run.request.id)?.hasFirstToken ?: false

internal fun RoutingState.queueOf(service: ServiceName): FairQueue = queues[service] ?: emptyFairQueue()

internal fun noFailedEndpoints(): PersistentSet<EndpointName> = persistentSetOf()
