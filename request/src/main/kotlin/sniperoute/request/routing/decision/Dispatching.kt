/**
 * Dispatching: which waiting request goes where, now.
 */
package sniperoute.request.routing.decision

import sniperoute.version.message.STORE_IS_DOWN
import kotlinx.collections.immutable.toPersistentList
import sniperoute.version.message.HeldParts
import kotlinx.collections.immutable.PersistentMap
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
import sniperoute.version.message.EndpointName
import sniperoute.version.message.Service
import sniperoute.version.message.ServiceKind
import sniperoute.version.message.ServiceName
import sniperoute.version.message.StorePlace
import sniperoute.version.message.WeightsVersion
import sniperoute.version.message.Workspace
import sniperoute.version.message.WorkspaceName
import sniperoute.version.message.isLimited
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
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
        target = if (hasTokens(waiting.facts, now)) targetOrNull(declared, waiting.facts, place, now) else null
        target != null
    } ?: return null
    val chosen = checkNotNull(target) { "a request was taken without a place for it" }
    return copy(queues = queues.put(service, taken.rest), sequence = sequence + 1).dispatch(taken.request.facts, chosen, now)
}

/** After this long a request takes any free slot, wherever its prompt may be cached. */
private val LONGEST_HOLD = 4.seconds

private data class Target(val placement: Placement, val weights: WeightsVersion?, val candidates: Int, val heldLinks: Int)

private fun RoutingState.hasTokens(facts: RequestFacts, now: Moment): Boolean {
    val workspace = facts.workspace?.let { view.catalogue.workspaces[it] }
    return workspace == null || !workspace.isLimited || facts.id in retries || tokens.poolOf(workspace.name).available >= neededTokens(workspace, facts, now)
}

/** A router on its own has a small part of the rate: half of its part of the burst lets any request go, and the rest is owed. */
private fun RoutingState.neededTokens(workspace: Workspace, facts: RequestFacts, now: Moment): Long =
    if (isAlone(now)) minOf(facts.tokens, workspace.burstTokens / routers / 2) else facts.tokens

private fun RoutingState.targetOrNull(service: Service, facts: RequestFacts, place: PlaceRequest, now: Moment): Target? =
    versionsToTry(service, facts).firstNotNullOfOrNull { version ->
        val usable = candidates(service, facts, version, now)
        val candidates = if (now - facts.arrived < LONGEST_HOLD) usable else usable.filter { it.freeSlots(now) > 0 }
        val question = question(service, facts, version, candidates, now)
        place(question, now)?.let { placement ->
            val weights = if (service.isListed) endpoints.getValue(placement.endpoint).weightsFor(facts.model) else version
            Target(placement, weights, candidates.size, question.heldPieces[placement.endpoint] ?: 0)
        }
    }

private fun RoutingState.question(
    service: Service,
    facts: RequestFacts,
    version: WeightsVersion?,
    candidates: List<EndpointState>,
    now: Moment,
): PlacementQuestion {
    val held = if (service.isListed) heldByWeights(facts, candidates, now) else heldPieces(facts, version, now)
    val last = facts.chain.lastOrNull()
    val sharing = if (last == null) 0 else running.values.count { it.facts.chain.lastOrNull() == last }
    return PlacementQuestion(facts, candidates, held, sharing, sequence, handicaps = handicaps(facts, candidates, now))
}

private fun RoutingState.heldPieces(facts: RequestFacts, weights: WeightsVersion?, now: Moment): PersistentMap<EndpointName, Int> =
    if (weights == null) persistentMapOf() else knowledge.heldPieces(facts.chain, weights, now)

/** What each candidate holds under the weights that it serves itself. */
private fun RoutingState.heldByWeights(
    facts: RequestFacts,
    candidates: List<EndpointState>,
    now: Moment,
): PersistentMap<EndpointName, Int> {
    if (facts.chain.isEmpty()) return persistentMapOf()
    return candidates.groupBy { it.weightsFor(facts.model) }.entries.fold(persistentMapOf()) { all, (weights, members) ->
        val held = heldPieces(facts, weights, now)
        members.mapNotNull { member -> held[member.endpoint.name]?.let { member.endpoint.name to it } }.fold(all) { map, (name, pieces) ->
            map.put(name, pieces)
        }
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

private fun RoutingState.handicaps(facts: RequestFacts, candidates: List<EndpointState>, now: Moment): PersistentMap<EndpointName, Duration> {
    val usual = candidates.minOfOrNull { it.faults } ?: 0.0
    return candidates.fold(persistentMapOf()) { all, candidate ->
        val excess = (candidate.faults - usual - USUAL_DIFFERENCE).coerceAtLeast(0.0)
        val cost = FAULTS_COST * excess + weightsCost(facts, candidate, now)
        if (cost.isPositive()) all.put(candidate.endpoint.name, cost) else all
    }
}

private fun RoutingState.weightsCost(facts: RequestFacts, candidate: EndpointState, now: Moment): Duration {
    val since = outdatedSinceOrNull(candidate, facts) ?: return Duration.ZERO
    return if (now - since < WEIGHTS_PATIENCE) OLDER_WEIGHTS_COST else LATE_WEIGHTS_COST
}

/** Since when the endpoint's weights are not the newest, whatever was named after the first newer ones. */
private fun RoutingState.outdatedSinceOrNull(endpoint: EndpointState, facts: RequestFacts): Moment? =
    facts.model?.let { named[it] }?.outdatedSinceOrNull(endpoint.weightsNumber(facts))

private fun EndpointState.weightsNumber(facts: RequestFacts): Long = weightsFor(facts.model)?.text?.toLongOrNull() ?: 0

/**
 * The versions that may serve a request: those it began with, or the ones its share gives; when nothing serves the new version
 * any more, the old one. For a listed service they are releases of its software.
 */
private fun RoutingState.versionsToTry(service: Service, facts: RequestFacts): List<WeightsVersion?> {
    if (!service.isListed) {
        if (service.kind == ServiceKind.PLAIN) return listOf(null)
        retries[facts.id]?.weights?.let { return listOf(it) }
    }
    val chosen = view.catalogue.chosenWeightsOrNull(service, facts.hash)
    val current = view.catalogue.currentWeightsOrNull(service)
    val isChosenServed = endpoints.values.any { it.service == service.name && it.serves(service, chosen) && !it.isLeaving }
    return if (chosen == current || isChosenServed) listOf(chosen) else listOf(chosen, current)
}

private fun EndpointState.serves(service: Service, wanted: WeightsVersion?): Boolean = when {
    service.isListed -> wanted == null || release == wanted.text
    else -> kind == ServiceKind.PLAIN || weights == wanted
}

private fun RoutingState.candidates(service: Service, facts: RequestFacts, version: WeightsVersion?, now: Moment): List<EndpointState> {
    val isSuspect = facts.digest in suspects
    val names = if (service.isListed) members[service.name].orEmpty() else service.endpoints.map { it.name }
    val usable = names
        .mapNotNull { endpoints[it] }
        .filter { it.servesNow(service, version, this) && it.isUsable(now) && !isOutdated(it, facts, now) }
        .filter { !isSuspect || it.own.values.none(OwnWork::isSuspect) }
    val failedAt = retries[facts.id]?.failedAt ?: return usable
    return usable.filter { it.endpoint.name !in failedAt }.ifEmpty { usable }
}

/** Whether the endpoint's weights are so old that no request may begin on them. */
private fun RoutingState.isOutdated(endpoint: EndpointState, facts: RequestFacts, now: Moment): Boolean {
    val limit = settings.weightsLimit ?: return false
    val since = outdatedSinceOrNull(endpoint, facts) ?: return false
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

private fun RoutingState.dispatch(facts: RequestFacts, target: Target, now: Moment): RoutingStep {
    val note = retries[facts.id]
    val attempt = (note?.attempts ?: 0) + 1
    val name = target.placement.endpoint
    val missed = target.placement.missedTokens
    val endpoint = endpoints.getValue(name)
    val work = OwnWork(facts.digest, missed, endpoint.waitingTokens(now) + missed, hasBegun = false, isSuspect = facts.digest in suspects)
    val workspace = facts.workspace?.let { view.catalogue.workspaces[it] }?.takeIf { note == null && it.isLimited }
    val paid = if (workspace == null) tokens else tokens.spend(workspace.name, facts.tokens, now, neededTokens(workspace, facts, now))
    val transfer = transfer(facts, target, now)
    val release = endpoint.release?.let(::WeightsVersion)
    return copy(
        tokens = paid,
        endpoints = endpoints.put(name, endpoint.began(facts.id, work)),
        running = running.put(facts.id, RunningRequest(facts, name, target.weights, attempt, now, release)),
    ).expectCached(facts, target, transfer, now)
        .unchanged()
        .order(
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
private fun RoutingState.grounds(facts: RequestFacts, target: Target, endpoint: EndpointState, now: Moment): String {
    val reportAge = endpoint.report?.let { "${(now - it.at).inWholeMilliseconds} ms" } ?: "none"
    return "of ${target.candidates}, ${target.placement.missedTokens} of ${facts.promptTokens} tokens to compute, " +
        "own ${endpoint.own.size}, load report $reportAge old, fleet ${fleet.number}, waited ${(now - facts.arrived).inWholeMilliseconds} ms"
}

/** What a request has to do with the [store] of cached parts. */
private data class Transfer(val store: StorePlace?, val name: EndpointName?, val isStored: Boolean)

/** Shared parts shorter than this are computed sooner than fetched. */
private const val SHORTEST_TRANSFER_TOKENS = 64L

/**
 * Parts that an endpoint lacks may come from the store: it knows itself what it lacks, so it is always told where they are. What
 * the store is not known to hold goes there. The last part of a prompt is the request's own.
 */
private fun RoutingState.transfer(facts: RequestFacts, target: Target, now: Moment): Transfer {
    val service = view.catalogue.services.values.firstOrNull { it.store != null && fleet.stores[it.name] != STORE_IS_DOWN }
    val weights = target.weights
    val shared = facts.tokensOf(facts.chain.size - 1)
    val none = Transfer(null, null, isStored = false)
    if (service == null || weights == null || shared < SHORTEST_TRANSFER_TOKENS) return none
    val name = EndpointName(service.name.text)
    val links = facts.chain.dropLast(1)
    val stored = facts.tokensOf(knowledge.heldAt(name, links, weights, now))
    return Transfer(service.store, name, isStored = shared > stored)
}

/** What a request computes will be cached where it runs; the engine's events and counts correct this. */
private fun RoutingState.expectCached(facts: RequestFacts, target: Target, transfer: Transfer, now: Moment): RoutingState {
    val weights = target.weights ?: return this
    if (facts.chain.isEmpty()) return this
    val here = target.placement.endpoint
    val keys = facts.chain.cacheKeys(weights)
    val shared = keys.dropLast(1)
    val store = transfer.name?.takeIf { transfer.isStored }
    val news = listOfNotNull(
        HeldParts(here, shared.toPersistentList()).takeIf { target.heldLinks < shared.size },
        store?.let { HeldParts(it, shared.toPersistentList()) },
    )
    val known = knowledge.learn(here, keys, now)
    return copy(
        knowledge = if (store == null) known else known.learn(store, shared, now),
        newlyHeld = if (service(facts)?.isListed == true) newlyHeld.addAll(news) else newlyHeld,
    )
}

private fun RoutingState.service(facts: RequestFacts): Service? = view.catalogue.services[facts.service]

internal fun List<Long>.cacheKeys(weights: WeightsVersion): List<Long> =
    map { cacheKey(it, weights) }

/** Returns the state after asking for the tokens that requests of [service] wait for. */
internal fun RoutingState.balanceWaiting(service: ServiceName, now: Moment): RoutingStep =
    queueOf(service)
        .all()
        .filter { it.facts.id !in retries }
        .mapNotNull { it.facts.workspace }
        .distinct()
        .filter { view.catalogue.workspaces[it]?.isLimited ?: false }
        .fold(unchanged()) { step, workspace -> step.then { it.balance(workspace, now) } }

/** Returns the state after [workspace] asked for or gave back tokens, as it needs; nobody hears a router on its own. */
internal fun RoutingState.balance(workspace: WorkspaceName, now: Moment): RoutingStep {
    if (isAlone(now)) return unchanged()
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
        now < (retries[facts.id]?.until ?: facts.queueUntil) -> null
        workspace != null && !hasTokens(facts, now) ->
            Refusal(RefusalKind.OVER_RATE, overRate(workspace, facts, now), retryAfter = retryAfter(facts))
        facts.queueUntil < facts.deadline -> Refusal(RefusalKind.OVERLOADED, overload(facts, now), retryAfter = retryAfter(facts))
        else -> Refusal(RefusalKind.DEADLINE, "no endpoint was free within the route's deadline")
    }
}

/** For people: which endpoints there were, and why none of them took the request. */
private fun RoutingState.overload(facts: RequestFacts, now: Moment): String {
    val known = members[facts.service].orEmpty().mapNotNull { endpoints[it] }
    val usable = known.filter { it.isUsable(now) && !isOutdated(it, facts, now) }
    val shortest = usable.minOfOrNull { it.tokenCost * it.waitingTokens(now).toDouble() } ?: Duration.ZERO
    return "no endpoint was free in time: ${usable.size} of ${known.size} usable, ${known.count { it.isChanging }} change their weights, " +
        "shortest queue ${shortest.inWholeMilliseconds} ms, fleet ${fleet.number}"
}

private fun RoutingState.overRate(workspace: WorkspaceName, facts: RequestFacts, now: Moment): String {
    val pool = tokens.poolOf(workspace)
    return "workspace $workspace is over its rate: ${facts.tokens} tokens wanted, ${pool.available} here, ${pool.asked} asked for " +
        "${(now - pool.askedAt).inWholeMilliseconds} ms ago"
}

/** A request may come again after about as long as it was held here. */
private fun retryAfter(facts: RequestFacts): Duration = facts.queueUntil - facts.arrived

internal fun quarantined(): Refusal =
    Refusal(RefusalKind.QUARANTINED, "this request is held back: endpoints died while they worked on it")
