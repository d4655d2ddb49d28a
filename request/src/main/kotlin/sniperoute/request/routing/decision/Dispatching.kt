/**
 * Dispatching: which waiting request goes where, now.
 */
package sniperoute.request.routing.decision

import sniperoute.process.clock.Timestamp
import sniperoute.request.admission.decision.isReady
import sniperoute.request.routing.message.AdmittedRequest
import sniperoute.request.routing.message.Dispatch
import sniperoute.version.message.Service
import sniperoute.version.message.ServiceName
import sniperoute.version.message.WeightsVersion
import sniperoute.version.message.Workspace
import sniperoute.version.message.isLimited
import kotlin.time.Duration.Companion.seconds

/** Returns the state after every request of [service] that can go now was sent, in fair order. */
internal fun RoutingState.drain(service: ServiceName, place: PlacementPolicy, now: Timestamp): RoutingStep {
    var step = unchanged()
    while (true) {
        val next = step.state.dispatchOneOrNull(service, place, now) ?: break
        step = step.then { next }
    }
    return step.then { it.balanceWaiting(service, now) }
}

private fun RoutingState.dispatchOneOrNull(service: ServiceName, place: PlacementPolicy, now: Timestamp): RoutingStep? {
    val declared = view.catalogue.services[service] ?: return null
    if (!view.isReady(now)) return null
    var target: Target? = null
    val taken = queueOf(service).takeOrNull { waiting ->
        target = if (hasTokens(waiting.admitted, now)) targetOrNull(declared, waiting.admitted, place, now) else null
        target != null
    } ?: return null
    val chosen = checkNotNull(target) { "a request was taken without a place for it" }
    return copy(queues = queues.put(service, taken.rest), sequence = sequence + 1).dispatch(taken.request.admitted, chosen, now)
}

/** After this long a request takes any free slot, wherever its prompt may be cached. */
private val LONGEST_HOLD = 4.seconds

/** Where a request goes, the weights that serve it there, how many could have taken it, and how many of its parts are held there. */
internal data class Target(val placement: Placement, val weights: WeightsVersion?, val candidates: Int, val heldLinks: Int)

internal fun RoutingState.hasTokens(admitted: AdmittedRequest, now: Timestamp): Boolean {
    val workspace = workspaceOrNull(admitted)
    if (workspace == null || !workspace.isLimited || admitted.id in retries) return true
    return tokens.poolOf(workspace.name).available >= neededTokens(workspace, admitted, now)
}

/** A router on its own has a small part of the rate: half of its part of the burst lets any request go, and the rest is owed. */
private fun RoutingState.neededTokens(workspace: Workspace, admitted: AdmittedRequest, now: Timestamp): Long =
    if (isAlone(now)) minOf(admitted.tokens, workspace.burstTokens / routers / 2) else admitted.tokens

private fun RoutingState.targetOrNull(service: Service, admitted: AdmittedRequest, place: PlacementPolicy, now: Timestamp): Target? =
    versionsToTry(service, admitted).firstNotNullOfOrNull { version ->
        val usable = candidates(service, admitted, version, now)
        val candidates = if (now - admitted.arrived < LONGEST_HOLD) usable else usable.filter { it.freeSlots(now) > 0 }
        val question = question(service, admitted, version, candidates, now)
        place(question, now)?.let { placement ->
            val weights = if (service.isListed) endpoints.getValue(placement.endpoint).weightsFor(admitted.model) else version
            Target(placement, weights, candidates.size, question.heldPieces[placement.endpoint] ?: 0)
        }
    }

private fun RoutingState.dispatch(admitted: AdmittedRequest, target: Target, now: Timestamp): RoutingStep {
    val note = retries[admitted.id]
    val attempt = (note?.attempts ?: 0) + 1
    val name = target.placement.endpoint
    val missed = target.placement.missedTokens
    val endpoint = endpoints.getValue(name)
    val work = OwnWork(
        admitted.digest,
        missed,
        endpoint.waitingTokens(now) + missed,
        hasBegun = false,
        isSuspect =
            admitted.digest in suspects,
    )
    val workspace = workspaceOrNull(admitted)?.takeIf { note == null && it.isLimited }
    val paid = if (workspace == null) tokens else tokens.spend(workspace.name, admitted.tokens, now, neededTokens(workspace, admitted, now))
    val transfer = transfer(admitted, target, now)
    val release = endpoint.release?.let(::WeightsVersion)
    return copy(
        tokens = paid,
        endpoints = endpoints.put(name, endpoint.began(admitted.id, work)),
        running = running.put(admitted.id, RunningRequest(admitted, name, target.weights, attempt, now, release)),
    ).expectCached(admitted, target, transfer, now)
        .unchanged()
        .emit(
            Dispatch(
                id = admitted.id,
                endpoint = endpoint.endpoint,
                weights = target.weights,
                attempt = attempt,
                isFresh = attempt > 1,
                importFrom = transfer.store,
                storeTo = transfer.store?.takeIf { transfer.isStored },
                reason = reason(admitted, target, endpoint, now),
            ),
        )
}

/** For people: the candidates, what is to be computed, and the age of what was known of the endpoint. */
private fun RoutingState.reason(admitted: AdmittedRequest, target: Target, endpoint: EndpointState, now: Timestamp): String {
    val reportAge = endpoint.report?.let { "${(now - it.at).inWholeMilliseconds} ms" } ?: "none"
    val waited = (now - admitted.arrived).inWholeMilliseconds
    return "of ${target.candidates}, ${target.placement.missedTokens} of ${admitted.promptTokens} tokens to compute, " +
        "own ${endpoint.own.size}, load report $reportAge old, fleet ${fleet.number}, waited $waited ms"
}
