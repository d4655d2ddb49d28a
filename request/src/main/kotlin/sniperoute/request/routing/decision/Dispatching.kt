/**
 * Dispatching: sends queued requests to endpoints.
 */
package sniperoute.request.routing.decision

import sniperoute.process.clock.Timestamp
import sniperoute.request.admission.decision.isReady
import sniperoute.request.routing.message.AdmittedRequest
import sniperoute.request.routing.message.CapacityReason
import sniperoute.request.routing.message.Dispatch
import sniperoute.request.routing.message.PlacementReason
import sniperoute.version.message.Service
import sniperoute.version.message.ServiceName
import sniperoute.version.message.WeightsVersion
import sniperoute.version.message.Workspace
import sniperoute.version.message.isLimited
import kotlin.time.Duration.Companion.seconds

/** Returns the state after late requests of [service] were refused and each other that can be sent at [now] dispatched, in fair order. */
internal fun RoutingState.drain(service: ServiceName, policy: PlacementPolicy, now: Timestamp): RoutingStep {
    if (queueOf(service).size == 0) return unchanged()
    var step = refuseLate(service, now)
    while (true) {
        val next = step.state.dispatchOneOrNull(service, policy, now) ?: break
        step = step.then { next }
    }
    return step.then { it.adjustTokensOf(service, now) }
}

private fun RoutingState.dispatchOneOrNull(service: ServiceName, policy: PlacementPolicy, now: Timestamp): RoutingStep? {
    val declared = view.catalogue.services[service] ?: return null
    if (!view.isReady(now)) return null
    var target: DispatchTarget? = null
    val dequeued = queueOf(service).dequeueOrNull { queued ->
        target = if (hasTokens(queued.request, now)) targetOrNull(declared, queued.request, policy, now) else null
        target != null
    } ?: return null
    val chosen = checkNotNull(target) { "a request was dequeued without a target" }
    return copy(queues = queues.put(service, dequeued.rest), placementCount = placementCount + 1)
        .dispatch(dequeued.request.request, chosen, now)
}

/** Returns the step that sends [request] on at once to an endpoint at which it has not failed, or `null` if none takes it now. */
internal fun RoutingState.redispatchOrNull(request: AdmittedRequest, policy: PlacementPolicy, now: Timestamp): RoutingStep? {
    val declared = view.catalogue.services[request.service]
    if (declared == null || !view.isReady(now) || view.catalogue.isQuarantined(request)) return null
    val failedAt = retries[request.id]?.failedAt.orEmpty()
    val target = targetOrNull(declared, request, policy, now)?.takeIf { it.placement.endpoint !in failedAt } ?: return null
    return copy(placementCount = placementCount + 1).dispatch(request, target, now)
}

/** A request that has waited for this long takes any free slot, wherever its prompt is cached. */
private val MAX_WAIT_FOR_CACHE = 4.seconds

/**
 * Where a request goes, the weights that serve it there, the number of candidates, and the number of its prompt's blocks that the
 * endpoint is believed to cache.
 */
internal data class DispatchTarget(
    val placement: Placement,
    val weights: WeightsVersion?,
    val candidates: Int,
    val cachedBlocks: Int,
)

internal fun RoutingState.hasTokens(request: AdmittedRequest, now: Timestamp): Boolean {
    val workspace = workspaceOrNull(request)
    if (workspace == null || !workspace.isLimited || request.id in retries) return true
    return tokens.poolOf(workspace.name).available >= neededTokens(workspace, request, now)
}

/**
 * Without the control replicas, a router has only its small share of the burst, which may be less than a single request needs. So half
 * of the share is enough to send any request, and the rest is owed.
 */
private fun RoutingState.neededTokens(workspace: Workspace, request: AdmittedRequest, now: Timestamp): Long =
    if (accruesAlone(now)) minOf(request.tokens, workspace.burstTokens / routers / 2) else request.tokens

private fun RoutingState.targetOrNull(
    service: Service,
    request: AdmittedRequest,
    policy: PlacementPolicy,
    now: Timestamp,
): DispatchTarget? =
    versionsToTry(service, request).firstNotNullOfOrNull { version ->
        val usable = candidates(service, request, version, now)
        val candidates = if (now - request.arrived < MAX_WAIT_FOR_CACHE) usable else usable.filter { it.freeSlots(now) > 0 }
        val context = placementContext(service, request, version, candidates, now)
        policy(context, now)?.let { placement ->
            val weights = if (service.isListed) endpoints.getValue(placement.endpoint).weightsFor(request.model) else version
            DispatchTarget(placement, weights, candidates.size, context.cachedBlocks[placement.endpoint] ?: 0)
        }
    }

private fun RoutingState.dispatch(request: AdmittedRequest, target: DispatchTarget, now: Timestamp): RoutingStep {
    val retry = retries[request.id]
    val attempt = (retry?.attempts ?: 0) + 1
    val name = target.placement.endpoint
    val missed = target.placement.missedTokens
    val endpoint = endpoints.getValue(name)
    val ownRequest = OwnRequest(
        digest = request.digest,
        missedTokens = missed,
        queuedTokens = queuedTokens(endpoint, request, now) + missed,
        hasFirstToken = false,
        isSuspect = request.digest in suspects,
        heldTokens = neededMemory(request),
        sharedTokens = request.sharedTokens,
        sharedKey = request.chain.getOrNull(request.chain.size - 2),
        timeRatio = endpoint.timeRatio(now),
        rank = request.rank,
    )
    val payer = workspaceOrNull(request)?.takeIf { retry == null && it.isLimited }
    val paid = if (payer == null) tokens else tokens.spend(payer.name, request.tokens, now, neededTokens(payer, request, now))
    val transfer = transfer(request, target, now)
    val release = endpoint.release?.let(::WeightsVersion)
    return copy(
        tokens = paid,
        endpoints = endpoints.put(name, endpoint.withRequest(request.id, ownRequest).usePermit(now)),
        running = running.put(request.id, RunningRequest(request, name, target.weights, attempt, now, release)),
    ).expectCached(request, target, transfer, now)
        .unchanged()
        .emit(
            Dispatch(
                id = request.id,
                endpoint = endpoint.endpoint,
                weights = target.weights,
                attempt = attempt,
                isFresh = attempt > 1,
                importFrom = transfer.store,
                storeTo = transfer.store?.takeIf { transfer.isSaved },
                reason = reason(request, target, endpoint, now),
            ),
        )
}

/** Returns what the choice was based on, for people. */
private fun RoutingState.reason(
    request: AdmittedRequest,
    target: DispatchTarget,
    endpoint: EndpointState,
    now: Timestamp,
) = PlacementReason(
    candidates = target.candidates,
    missedTokens = target.placement.missedTokens,
    promptTokens = request.promptTokens,
    ownRequests = endpoint.ownRequests.size,
    reportAge = endpoint.report?.let { now - it.at },
    fleet = fleet.number,
    waited = now - request.arrived,
    capacity = if (isPlacedByCapacity(endpoint.service)) CapacityReason(endpoint.timeRatio(now), endpoint.heldTokens(now)) else null,
)

private fun RoutingState.queuedTokens(endpoint: EndpointState, request: AdmittedRequest, now: Timestamp): Long =
    if (isPlacedByCapacity(endpoint.service)) endpoint.tokensAhead(request.rank, now) else endpoint.waitingTokens(now)
