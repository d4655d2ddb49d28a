/**
 * The endpoints that may get a request, by versions, weights and failures, and what speaks for and against each.
 */
package sniperoute.request.routing.decision

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import sniperoute.process.clock.Timestamp
import sniperoute.request.routing.message.AdmittedRequest
import sniperoute.version.decision.chosenWeightsOrNull
import sniperoute.version.decision.currentWeightsOrNull
import sniperoute.version.message.EndpointName
import sniperoute.version.message.Service
import sniperoute.version.message.ServiceKind
import sniperoute.version.message.WeightsVersion
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal fun RoutingState.question(
    service: Service,
    admitted: AdmittedRequest,
    version: WeightsVersion?,
    candidates: List<EndpointState>,
    now: Timestamp,
): PlacementQuestion {
    val held = if (service.isListed) heldByWeights(admitted, candidates, now) else heldPieces(admitted, version, now)
    val last = admitted.chain.lastOrNull()
    val sharing = if (last == null) 0 else running.values.count { it.admitted.chain.lastOrNull() == last }
    return PlacementQuestion(admitted, candidates, held, sharing, sequence, handicaps = handicaps(admitted, candidates, now))
}

private fun RoutingState.heldPieces(admitted: AdmittedRequest, weights: WeightsVersion?, now: Timestamp): PersistentMap<EndpointName, Int> =
    if (weights == null) persistentMapOf() else cacheIndex.heldPieces(admitted.chain, weights, now)

/** What each candidate holds under the weights that it serves itself. */
private fun RoutingState.heldByWeights(
    admitted: AdmittedRequest,
    candidates: List<EndpointState>,
    now: Timestamp,
): PersistentMap<EndpointName, Int> {
    if (admitted.chain.isEmpty()) return persistentMapOf()
    return candidates.groupBy { it.weightsFor(admitted.model) }.entries.fold(persistentMapOf()) { all, (weights, members) ->
        val held = heldPieces(admitted, weights, now)
        members.map { it.endpoint.name }.fold(all) { known, name -> held[name]?.let { known.put(name, it) } ?: known }
    }
}

/** From this age of newer weights on, an answer by older ones is worth less to its caller. */
private val WEIGHTS_PATIENCE = 1_200.milliseconds

/** What serving older weights costs of expected time, before and after [WEIGHTS_PATIENCE]. */
private val OLDER_WEIGHTS_COST = 20.milliseconds
private val LATE_WEIGHTS_COST = 300.milliseconds

/** What an endpoint costs of expected time for failing more often than the others of its service, at a difference of 1. */
private val FAULTS_COST = 2.seconds

/** Differences of failure rates below this are chance. */
private const val USUAL_DIFFERENCE = 0.1

private fun RoutingState.handicaps(
    admitted: AdmittedRequest,
    candidates: List<EndpointState>,
    now: Timestamp,
): PersistentMap<EndpointName, Duration> {
    val usual = candidates.minOfOrNull { it.faults } ?: 0.0
    return candidates.fold(persistentMapOf()) { all, candidate ->
        val excess = (candidate.faults - usual - USUAL_DIFFERENCE).coerceAtLeast(0.0)
        val cost = FAULTS_COST * excess + weightsCost(admitted, candidate, now)
        if (cost.isPositive()) all.put(candidate.endpoint.name, cost) else all
    }
}

private fun RoutingState.weightsCost(admitted: AdmittedRequest, candidate: EndpointState, now: Timestamp): Duration {
    val since = outdatedSinceOrNull(candidate, admitted) ?: return Duration.ZERO
    return if (now - since < WEIGHTS_PATIENCE) OLDER_WEIGHTS_COST else LATE_WEIGHTS_COST
}

/** Since when the endpoint's weights are not the newest, whatever was named after the first newer ones. */
private fun RoutingState.outdatedSinceOrNull(endpoint: EndpointState, admitted: AdmittedRequest): Timestamp? =
    admitted.model?.let { named[it] }?.outdatedSinceOrNull(endpoint.weightsNumber(admitted.model))

/**
 * The versions that may serve a request: those it began with, or the ones its share gives; when nothing serves the new version
 * any more, the old one. For a listed service they are releases of its software.
 */
internal fun RoutingState.versionsToTry(service: Service, admitted: AdmittedRequest): List<WeightsVersion?> {
    if (!service.isListed) {
        if (service.kind == ServiceKind.PLAIN) return listOf(null)
        retries[admitted.id]?.weights?.let { return listOf(it) }
    }
    val chosen = view.catalogue.chosenWeightsOrNull(service, admitted.hash)
    val current = view.catalogue.currentWeightsOrNull(service)
    val isChosenServed = endpoints.values.any { it.service == service.name && it.serves(service, chosen) && !it.isLeaving }
    return if (chosen == current || isChosenServed) listOf(chosen) else listOf(chosen, current)
}

private fun EndpointState.serves(service: Service, wanted: WeightsVersion?): Boolean = when {
    service.isListed -> wanted == null || release == wanted.text
    else -> kind == ServiceKind.PLAIN || weights == wanted
}

internal fun RoutingState.candidates(
    service: Service,
    admitted: AdmittedRequest,
    version: WeightsVersion?,
    now: Timestamp,
): List<EndpointState> {
    val isSuspect = admitted.digest in suspects
    val names = if (service.isListed) members[service.name].orEmpty() else service.endpoints.map { it.name }
    val usable = names
        .mapNotNull { endpoints[it] }
        .filter { it.servesNow(service, version, this) && it.isUsable(now) && !isOutdated(it, admitted, now) }
        .filter { !isSuspect || it.own.values.none(OwnWork::isSuspect) }
    val failedAt = retries[admitted.id]?.failedAt ?: return usable
    return usable.filter { it.endpoint.name !in failedAt }.ifEmpty { usable }
}

/** Whether the endpoint's weights are so old that no request may begin on them. */
internal fun RoutingState.isOutdated(endpoint: EndpointState, admitted: AdmittedRequest, now: Timestamp): Boolean {
    val limit = settings.weightsLimit ?: return false
    val since = outdatedSinceOrNull(endpoint, admitted) ?: return false
    return now - since > limit
}

/** Whether an endpoint serves [version]; one that has said nothing yet is taken to serve what it is assigned. */
private fun EndpointState.servesNow(service: Service, version: WeightsVersion?, state: RoutingState): Boolean {
    if (service.isListed) return serves(service, version)
    if (kind == ServiceKind.PLAIN) return true
    val assigned = state.view.catalogue.moves[service.name]
        ?.assigned
        ?.get(endpoint.name) ?: service.weights
    return (this.weights ?: assigned) == version
}
