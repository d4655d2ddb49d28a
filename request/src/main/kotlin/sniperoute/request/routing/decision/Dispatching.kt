/**
 * Dispatching: which waiting request goes where, now.
 */
package sniperoute.request.routing.decision

import sniperoute.process.clock.Timestamp
import sniperoute.request.admission.decision.isReady
import sniperoute.request.routing.message.Dispatch
import sniperoute.request.routing.message.RequestFacts
import sniperoute.version.message.Service
import sniperoute.version.message.ServiceName
import sniperoute.version.message.WeightsVersion
import sniperoute.version.message.Workspace
import sniperoute.version.message.isLimited
import kotlin.time.Duration.Companion.seconds

/** Returns the state after every request of [service] that can go now was sent, in fair order. */
internal fun RoutingState.drain(service: ServiceName, place: PlaceRequest, now: Timestamp): RoutingStep {
    var step = unchanged()
    while (true) {
        val next = step.state.dispatchOneOrNull(service, place, now) ?: break
        step = step.then { next }
    }
    return step.then { it.balanceWaiting(service, now) }
}

private fun RoutingState.dispatchOneOrNull(service: ServiceName, place: PlaceRequest, now: Timestamp): RoutingStep? {
    val declared = view.catalogue.services[service] ?: return null
    if (!view.isReady(now)) return null
    var target: Target? = null
    val taken = queueOf(service).takeOrNull { waiting ->
        target = if (hasTokens(waiting.facts, now)) targetOrNull(declared, waiting.facts, place, now) else null
        target != null
    } ?: return null
    val chosen = checkNotNull(target) { "a request was taken without a place for it" }
    return copy(queues = queues.put(service, taken.rest), sequence = sequence + 1).dispatch(taken.request.facts, chosen, now)
}

/** After this long a request takes any free slot, wherever its prompt may be cached. */
private val LONGEST_HOLD = 4.seconds

/** Where a request goes, the weights that serve it there, how many could have taken it, and how many of its parts are held there. */
internal data class Target(val placement: Placement, val weights: WeightsVersion?, val candidates: Int, val heldLinks: Int)

internal fun RoutingState.hasTokens(facts: RequestFacts, now: Timestamp): Boolean {
    val workspace = workspaceOrNull(facts)
    if (workspace == null || !workspace.isLimited || facts.id in retries) return true
    return tokens.poolOf(workspace.name).available >= neededTokens(workspace, facts, now)
}

/** A router on its own has a small part of the rate: half of its part of the burst lets any request go, and the rest is owed. */
private fun RoutingState.neededTokens(workspace: Workspace, facts: RequestFacts, now: Timestamp): Long =
    if (isAlone(now)) minOf(facts.tokens, workspace.burstTokens / routers / 2) else facts.tokens

private fun RoutingState.targetOrNull(service: Service, facts: RequestFacts, place: PlaceRequest, now: Timestamp): Target? =
    versionsToTry(service, facts).firstNotNullOfOrNull { version ->
        val usable = candidates(service, facts, version, now)
        val candidates = if (now - facts.arrived < LONGEST_HOLD) usable else usable.filter { it.freeSlots(now) > 0 }
        val question = question(service, facts, version, candidates, now)
        place(question, now)?.let { placement ->
            val weights = if (service.isListed) endpoints.getValue(placement.endpoint).weightsFor(facts.model) else version
            Target(placement, weights, candidates.size, question.heldPieces[placement.endpoint] ?: 0)
        }
    }

private fun RoutingState.dispatch(facts: RequestFacts, target: Target, now: Timestamp): RoutingStep {
    val note = retries[facts.id]
    val attempt = (note?.attempts ?: 0) + 1
    val name = target.placement.endpoint
    val missed = target.placement.missedTokens
    val endpoint = endpoints.getValue(name)
    val work = OwnWork(facts.digest, missed, endpoint.waitingTokens(now) + missed, hasBegun = false, isSuspect = facts.digest in suspects)
    val workspace = workspaceOrNull(facts)?.takeIf { note == null && it.isLimited }
    val paid = if (workspace == null) tokens else tokens.spend(workspace.name, facts.tokens, now, neededTokens(workspace, facts, now))
    val transfer = transfer(facts, target, now)
    val release = endpoint.release?.let(::WeightsVersion)
    return copy(
        tokens = paid,
        endpoints = endpoints.put(name, endpoint.began(facts.id, work)),
        running = running.put(facts.id, RunningRequest(facts, name, target.weights, attempt, now, release)),
    ).expectCached(facts, target, transfer, now)
        .unchanged()
        .emit(
            Dispatch(
                id = facts.id,
                endpoint = endpoint.endpoint,
                weights = target.weights,
                attempt = attempt,
                isFresh = attempt > 1,
                importFrom = transfer.store,
                storeTo = transfer.store?.takeIf { transfer.isStored },
                grounds = grounds(facts, target, endpoint, now),
            ),
        )
}

/** For people: the candidates, what is to be computed, and the age of what was known of the endpoint. */
private fun RoutingState.grounds(facts: RequestFacts, target: Target, endpoint: EndpointState, now: Timestamp): String {
    val reportAge = endpoint.report?.let { "${(now - it.at).inWholeMilliseconds} ms" } ?: "none"
    val waited = (now - facts.arrived).inWholeMilliseconds
    return "of ${target.candidates}, ${target.placement.missedTokens} of ${facts.promptTokens} tokens to compute, " +
        "own ${endpoint.own.size}, load report $reportAge old, fleet ${fleet.number}, waited $waited ms"
}
