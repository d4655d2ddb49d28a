/**
 * The endpoints that may get a request, by version, weights and failures, and the penalties for some of them.
 */
package sniperoute.request.routing.decision

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import sniperoute.process.clock.Timestamp
import sniperoute.request.routing.message.AdmittedRequest
import sniperoute.version.decision.chosenWeightsOrNull
import sniperoute.version.decision.currentWeightsOrNull
import sniperoute.version.decision.outdatedSinceOrNull
import sniperoute.version.message.EndpointName
import sniperoute.version.message.Service
import sniperoute.version.message.ServiceKind
import sniperoute.version.message.WeightsVersion
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal fun RoutingState.placementContext(
    service: Service,
    request: AdmittedRequest,
    version: WeightsVersion?,
    candidates: List<EndpointState>,
    now: Timestamp,
): PlacementContext {
    val cached = if (service.isListed) cachedByWeights(request, candidates, now) else cachedBlocks(request, version, now)
    val last = request.chain.lastOrNull()
    val sharing = if (last == null) 0 else running.values.count { it.request.chain.lastOrNull() == last }
    return PlacementContext(
        request = request,
        candidates = candidates,
        cachedBlocks = cached,
        sharing = sharing,
        placementCount = placementCount,
        penalties = penalties(request, candidates, now),
        capacity = if (isPlacedByCapacity(service.name)) capacityOf(service, now) else null,
    )
}

private fun RoutingState.cachedBlocks(
    request: AdmittedRequest,
    weights: WeightsVersion?,
    now: Timestamp,
): PersistentMap<EndpointName, Int> =
    if (weights == null) persistentMapOf() else cacheIndex.cachedBlocks(request.chain, weights, now)

/** Returns the blocks that each candidate caches under the weights that it serves. */
private fun RoutingState.cachedByWeights(
    request: AdmittedRequest,
    candidates: List<EndpointState>,
    now: Timestamp,
): PersistentMap<EndpointName, Int> {
    if (request.chain.isEmpty()) return persistentMapOf()
    return candidates.groupBy { it.weightsFor(request.model) }.entries.fold(persistentMapOf()) { all, (weights, members) ->
        val cached = cachedBlocks(request, weights, now)
        members.map { it.endpoint.name }.fold(all) { found, name -> cached[name]?.let { found.put(name, it) } ?: found }
    }
}

/** When newer weights have been known for this long, a response by older ones is worth less to its caller. */
private val OUTDATED_WEIGHTS_THRESHOLD = 1_200.milliseconds

/** The penalties for older weights, before and after [OUTDATED_WEIGHTS_THRESHOLD]. */
private val OLDER_WEIGHTS_PENALTY = 20.milliseconds
private val OUTDATED_WEIGHTS_PENALTY = 300.milliseconds

/**
 * The penalty for an endpoint that fails more often than the best candidate: it is multiplied by the part of the difference of fault
 * rates that exceeds [MIN_FAULT_RATE_DIFFERENCE].
 */
private val FAULT_PENALTY = 2.seconds

/** Differences of fault rates up to this one count as chance. */
private const val MIN_FAULT_RATE_DIFFERENCE = 0.1

/** Returns the time that is added to the expected time to first token of candidates with a high fault rate or older weights. */
private fun RoutingState.penalties(
    request: AdmittedRequest,
    candidates: List<EndpointState>,
    now: Timestamp,
): PersistentMap<EndpointName, Duration> {
    val lowestRate = candidates.minOfOrNull { it.faultRate } ?: 0.0
    return candidates.fold(persistentMapOf()) { all, candidate ->
        val excess = (candidate.faultRate - lowestRate - MIN_FAULT_RATE_DIFFERENCE).coerceAtLeast(0.0)
        val weights = weightsPenalty(request, candidate, now)
        val penalty = if (excess > 0) FAULT_PENALTY * excess + weights else weights
        if (penalty.isPositive()) all.put(candidate.endpoint.name, penalty) else all
    }
}

private fun RoutingState.weightsPenalty(request: AdmittedRequest, candidate: EndpointState, now: Timestamp): Duration {
    val since = outdatedSinceOrNull(candidate, request) ?: return Duration.ZERO
    return if (now - since < OUTDATED_WEIGHTS_THRESHOLD) OLDER_WEIGHTS_PENALTY else OUTDATED_WEIGHTS_PENALTY
}

/**
 * Returns the time at which the first target weights newer than the endpoint's became known, or `null` if it serves the newest. Still
 * newer weights after these do not change the time.
 */
private fun RoutingState.outdatedSinceOrNull(endpoint: EndpointState, request: AdmittedRequest): Timestamp? =
    request.model?.let { targetWeights[it] }?.let { targets ->
        val isNewest = targets.lastOrNull()?.text == endpoint.weightsFor(request.model)?.text
        if (isNewest) null else targets.outdatedSinceOrNull(endpoint.weightsNumber(request.model))
    }

/**
 * Returns the versions that may serve a request, in order of preference. A retry keeps the weights of the earlier attempts, unless the
 * only attempt so far certainly did not run. Otherwise the request's share decides, with the current version as the fallback while no
 * endpoint serves the new one. For a listed service, versions are releases of its software, and a retry may change the release.
 */
internal fun RoutingState.versionsToTry(service: Service, request: AdmittedRequest): List<WeightsVersion?> {
    if (!service.isListed) {
        if (service.kind == ServiceKind.PLAIN) return listOf(null)
        retries[request.id]?.weights?.let { return listOf(it) }
    }
    val chosen = view.catalogue.chosenWeightsOrNull(service, request.hash)
    val current = view.catalogue.currentWeightsOrNull(service)
    if (chosen == current) return listOf(chosen)
    val isChosenServed = endpoints.values.any {
        it.service == service.name && it.serves(service, chosen) && !it.isLeaving && !isEvacuated(it)
    }
    return if (isChosenServed) listOf(chosen) else listOf(chosen, current)
}

private fun EndpointState.serves(service: Service, wanted: WeightsVersion?): Boolean = when {
    service.isListed -> wanted == null || release == wanted.text
    else -> kind == ServiceKind.PLAIN || weights == wanted
}

/**
 * Returns the endpoints that may get a request now, whether or not they have free slots. An endpoint never gets two suspects at once,
 * so that a crash can be charged to one request. Endpoints at which the request failed are left out while there are others. Endpoints that
 * fell silent get requests only while there are no others: a sound one may pause, and all of a service may do so.
 */
internal fun RoutingState.candidates(
    service: Service,
    request: AdmittedRequest,
    version: WeightsVersion?,
    now: Timestamp,
): List<EndpointState> {
    val isSuspect = request.digest in suspects
    val names = if (service.isListed) members[service.name].orEmpty() else service.endpoints.map { it.name }
    val serving = names
        .mapNotNull { endpoints[it] }
        .filterNot(::isEvacuated)
        .filter { it.servesNow(service, version, this) && it.isPermitted(now) && !isOutdated(it, request, now) }
    val usable = serving
        .filter { it.isUsable(now) }
        .ifEmpty { serving.filter { it.isProbed(now) } }
        .filter { !isSuspect || it.ownRequests.values.none(OwnRequest::isSuspect) }
    val failedAt = retries[request.id]?.failedAt ?: return usable
    return usable.filter { it.endpoint.name !in failedAt }.ifEmpty { usable }
}

/** Whether the endpoint's weights are so old that no request may begin on them. */
internal fun RoutingState.isOutdated(endpoint: EndpointState, request: AdmittedRequest, now: Timestamp): Boolean {
    val limit = settings.weightsLimit ?: return false
    val since = outdatedSinceOrNull(endpoint, request) ?: return false
    return now - since > limit
}

/** Whether an endpoint serves [version]. Until it has reported its weights, it is assumed to serve those that it is assigned. */
private fun EndpointState.servesNow(service: Service, version: WeightsVersion?, state: RoutingState): Boolean {
    if (service.isListed) return serves(service, version)
    if (kind == ServiceKind.PLAIN) return true
    val assigned = state.view.catalogue.moves[service.name]
        ?.assigned
        ?.get(endpoint.name) ?: service.weights
    return (this.weights ?: assigned) == version
}
