/**
 * Dispatching: which waiting request goes where, now.
 */
package sniperoute.request.routing.decision

import kotlinx.collections.immutable.persistentMapOf
import sniperoute.process.clock.Moment
import sniperoute.request.admission.decision.Refusal
import sniperoute.request.admission.decision.RefusalKind
import sniperoute.request.admission.decision.isReady
import sniperoute.request.prefix.decision.cacheKey
import sniperoute.request.routing.message.AskTokens
import sniperoute.request.routing.message.Dispatch
import sniperoute.request.routing.message.GiveBackTokens
import sniperoute.request.routing.message.GiveUp
import sniperoute.request.routing.message.Refuse
import sniperoute.request.routing.message.RequestFacts
import sniperoute.request.routing.message.RequestId
import sniperoute.version.decision.chosenWeightsOrNull
import sniperoute.version.decision.currentWeightsOrNull
import sniperoute.version.message.Service
import sniperoute.version.message.ServiceKind
import sniperoute.version.message.ServiceName
import sniperoute.version.message.WeightsVersion
import sniperoute.version.message.WorkspaceName
import kotlin.time.Duration.Companion.seconds

/** Returns the state after every request of [service] that can go now was sent, in fair order. */
internal fun RoutingState.drain(service: ServiceName, place: PlaceRequest, now: Moment): RoutingStep {
    var step = unchanged()
    while (true) {
        val next = step.state.dispatchOneOrNull(service, place, now) ?: break
        step = step.then { next }
    }
    return step.then { it.balanceWaiting(service, now) }
}

private fun RoutingState.dispatchOneOrNull(service: ServiceName, place: PlaceRequest, now: Moment): RoutingStep? {
    val declared = view.catalogue.services[service] ?: return null
    if (!view.isReady(now)) return null
    var target: Target? = null
    val taken = queueOf(service).takeOrNull { waiting ->
        target = if (hasTokens(waiting.facts)) targetOrNull(declared, waiting.facts, place, now) else null
        target != null
    } ?: return null
    val chosen = checkNotNull(target) { "a request was taken without a place for it" }
    return copy(queues = queues.put(service, taken.rest), sequence = sequence + 1).dispatch(taken.request.facts, chosen, now)
}

/** After this long a request takes any free slot, wherever its prompt may be cached. */
private val LONGEST_HOLD = 4.seconds

private data class Target(val placement: Placement, val weights: WeightsVersion?)

private fun RoutingState.hasTokens(facts: RequestFacts): Boolean =
    facts.workspace == null || facts.id in retries || tokens.poolOf(facts.workspace).available >= facts.tokens

private fun RoutingState.targetOrNull(service: Service, facts: RequestFacts, place: PlaceRequest, now: Moment): Target? =
    weightsToTry(service, facts).firstNotNullOfOrNull { weights ->
        val usable = candidates(service, facts, weights, now)
        val candidates = if (now - facts.arrived < LONGEST_HOLD) usable else usable.filter { it.freeSlots(now) > 0 }
        place(question(facts, weights, candidates, now), now)?.let { Target(it, weights) }
    }

private fun RoutingState.question(
    facts: RequestFacts,
    weights: WeightsVersion?,
    candidates: List<EndpointState>,
    now: Moment,
): PlacementQuestion {
    val held = if (weights == null) persistentMapOf() else knowledge.heldPieces(facts.chain, weights, now)
    val last = facts.chain.lastOrNull()
    val sharing = if (last == null) 0 else running.values.count { it.facts.chain.lastOrNull() == last }
    return PlacementQuestion(facts, candidates, held, sharing, sequence)
}

/**
 * The weights that may serve a request: those it began with, or the ones its share gives; when nothing serves the new
 * weights any more, the old ones.
 */
private fun RoutingState.weightsToTry(service: Service, facts: RequestFacts): List<WeightsVersion?> {
    if (service.kind == ServiceKind.PLAIN) return listOf(null)
    retries[facts.id]?.weights?.let { return listOf(it) }
    val chosen = view.catalogue.chosenWeightsOrNull(service, facts.hash)
    val current = view.catalogue.currentWeightsOrNull(service)
    val isChosenServed = endpoints.values.any { it.service == service.name && it.serves(chosen) && !it.isLeaving }
    return if (chosen == current || isChosenServed) listOf(chosen) else listOf(chosen, current)
}

private fun EndpointState.serves(wanted: WeightsVersion?): Boolean = kind == ServiceKind.PLAIN || weights == wanted

private fun RoutingState.candidates(service: Service, facts: RequestFacts, weights: WeightsVersion?, now: Moment): List<EndpointState> {
    val isSuspect = facts.digest in suspects
    val usable = service.endpoints
        .mapNotNull { endpoints[it.name] }
        .filter { it.servesNow(service, weights, this) && it.isUsable(now) }
        .filter { !isSuspect || it.own.values.none(OwnWork::isSuspect) }
    val failedAt = retries[facts.id]?.failedAt ?: return usable
    return usable.filter { it.endpoint.name !in failedAt }.ifEmpty { usable }
}

/** Whether an endpoint serves [weights]; one that has said nothing yet is taken to serve what it is assigned. */
private fun EndpointState.servesNow(service: Service, weights: WeightsVersion?, state: RoutingState): Boolean {
    if (kind == ServiceKind.PLAIN) return true
    val assigned = state.view.catalogue.moves[service.name]
        ?.assigned
        ?.get(endpoint.name) ?: service.weights
    return (this.weights ?: assigned) == weights
}

private fun RoutingState.dispatch(facts: RequestFacts, target: Target, now: Moment): RoutingStep {
    val note = retries[facts.id]
    val attempt = (note?.attempts ?: 0) + 1
    val name = target.placement.endpoint
    val missed = target.placement.missedTokens
    val ahead = endpoints.getValue(name).waitingTokens(now) + missed
    val work = OwnWork(facts.digest, missed, ahead, hasBegun = false, isSuspect = facts.digest in suspects)
    val paid = if (note == null && facts.workspace != null) tokens.spend(facts.workspace, facts.tokens, now) else tokens
    val endpoint = endpoints.getValue(name)
    return copy(
        tokens = paid,
        endpoints = endpoints.put(name, endpoint.began(facts.id, work)),
        running = running.put(facts.id, RunningRequest(facts, name, target.weights, attempt, now)),
    ).expectCached(facts, target, now)
        .unchanged()
        .order(Dispatch(facts.id, endpoint.endpoint, target.weights, attempt, isFresh = attempt > 1))
}

/** What a request computes will be cached where it runs; the engine's events and counts correct this. */
private fun RoutingState.expectCached(facts: RequestFacts, target: Target, now: Moment): RoutingState {
    val weights = target.weights ?: return this
    if (facts.chain.isEmpty()) return this
    return copy(knowledge = knowledge.learn(target.placement.endpoint, facts.chain.cacheKeys(weights), now))
}

internal fun List<Long>.cacheKeys(weights: WeightsVersion): List<Long> =
    map { cacheKey(it, weights) }

/** Returns the state after asking for the tokens that requests of [service] wait for. */
internal fun RoutingState.balanceWaiting(service: ServiceName, now: Moment): RoutingStep =
    queueOf(service)
        .all()
        .filter { it.facts.id !in retries }
        .mapNotNull { it.facts.workspace }
        .distinct()
        .fold(unchanged()) { step, workspace -> step.then { it.balance(workspace, now) } }

/** Returns the state after [workspace] asked for or gave back tokens, as it needs. */
internal fun RoutingState.balance(workspace: WorkspaceName, now: Moment): RoutingStep {
    val waiting = queues.values.sumOf { it.tokensWaiting(workspace) }
    val change = tokens.balance(workspace, waiting, now)
    val next = copy(tokens = change.pools).unchanged()
    return when {
        change.ask > 0 -> next.order(AskTokens(workspace, change.ask))
        change.giveBack > 0 -> next.order(GiveBackTokens(workspace, change.giveBack))
        else -> next
    }
}

/** Returns the state without the waiting requests that can't be served any more, each refused as not run. */
internal fun RoutingState.refuseWaiting(now: Moment): RoutingStep =
    queues.keys.fold(unchanged()) { step, service -> step.then { it.refuseWaiting(service, now) } }

private fun RoutingState.refuseWaiting(service: ServiceName, now: Moment): RoutingStep {
    val refused = queueOf(service).all().mapNotNull { waiting ->
        refusalOrNull(waiting.facts, now)?.let { waiting.facts.id to it }
    }
    if (refused.isEmpty()) return unchanged()
    val ids = refused.map { it.first }.toSet()
    val next = copy(
        queues = queues.put(service, queueOf(service).without(ids)),
        retries = ids.fold(retries) { all, id -> all.remove(id) },
    )
    return refused.fold(next.unchanged()) { step, (id, refusal) -> step.order(refuse(id, refusal)) }
}

private fun RoutingState.refuse(id: RequestId, refusal: Refusal) =
    if (id in retries) {
        GiveUp(id, refusal.message)
    } else {
        Refuse(id, refusal)
    }

/** Returns why a waiting request must be refused at [now], or `null` while it may wait. */
private fun RoutingState.refusalOrNull(facts: RequestFacts, now: Moment): Refusal? {
    val workspace = facts.workspace
    return when {
        facts.digest in view.catalogue.quarantine -> quarantined()
        !view.isReady(now) -> Refusal(RefusalKind.NOT_READY, "this router lost its lease from the control replicas")
        facts.key != null && facts.key !in view.catalogue.keys -> Refusal(RefusalKind.UNKNOWN_KEY, "the key was withdrawn")
        now < facts.deadline -> null
        workspace != null && !hasTokens(facts) ->
            Refusal(RefusalKind.OVER_RATE, "workspace $workspace is over its rate", retryAfter = facts.deadline - facts.arrived)
        else -> Refusal(RefusalKind.DEADLINE, "no endpoint was free within the route's deadline")
    }
}

internal fun quarantined(): Refusal =
    Refusal(RefusalKind.QUARANTINED, "this request is held back: endpoints died while they worked on it")
