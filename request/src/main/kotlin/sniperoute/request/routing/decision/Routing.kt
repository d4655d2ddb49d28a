/**
 * The step of the routing duty: one pure function from a state and an input to the next state and its effects.
 */
package sniperoute.request.routing.decision

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import sniperoute.process.clock.Timestamp
import sniperoute.request.admission.decision.Refusal
import sniperoute.request.admission.decision.RefusalKind
import sniperoute.request.admission.decision.ServingView
import sniperoute.request.admission.decision.isReady
import sniperoute.request.routing.message.*
import sniperoute.version.decision.EvidenceKey
import sniperoute.version.decision.EvidenceSum
import sniperoute.version.decision.FleetView
import sniperoute.version.decision.addAnswer
import sniperoute.version.decision.addFailure
import sniperoute.version.decision.noEvidence
import sniperoute.version.message.EndpointName
import sniperoute.version.message.RequestDigest
import sniperoute.version.message.ServiceName
import sniperoute.version.message.isLimited
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.DurationUnit

private val SUSPICION_LIFE = 10.minutes
private val DEADLINE_CHECK_INTERVAL: Duration = 50.milliseconds

/** Returns the next state and the effects of [input] at [now]; no input means that time has passed. */
public fun RoutingState.step(place: PlacementPolicy, now: Timestamp, input: RoutingInput?): RoutingStep = when (input) {
    null -> onTime(place, now)
    is Arrived -> onArrived(input.admitted, place, now)
    is Cancelled -> onCancelled(input.id, place, now)
    is FirstTokenCame -> onFirstToken(input, now).unchanged()
    is AttemptEnded -> onAttemptEnded(input, place, now)
    is ViewChanged -> onViewChanged(input.view, place, now)
    is TokensGranted -> onTokens(input, place, now)
    is EndpointReported -> onReported(input, place, now)
    is CacheChanged -> onCacheChanged(input, now).unchanged()
    is EndpointStreamLost -> onDeath(input.endpoint, now)
    is EndpointsLeaving -> onPlatformListed(input).unchanged()
    is AnswerHeadCame -> onHead(input, now).unchanged()
    is FleetChanged -> onFleet(input.fleet, place, now)
    is RouterCountChanged -> copy(routers = input.routers).unchanged()
    is FleetWorkloadReceived -> onFleetWork(input, now).drainAll(place, now)
}

private fun RoutingState.onTime(place: PlacementPolicy, now: Timestamp): RoutingStep {
    val checked = if (now - deadlinesChecked >= DEADLINE_CHECK_INTERVAL) {
        copy(deadlinesChecked = now, suspects = suspects.withoutOlder(now)).refuseWaiting(now).then { it.balanceAll(now) }
    } else {
        unchanged()
    }
    return checked
        .then { it.accrueAlone(now).unchanged() }
        .then { it.drainAll(place, now) }
        .then { it.tellWork(now) }
}

/** After this long without word from the control replicas a router is on its own: two renewals went unanswered. */
private val CONTROL_PATIENCE = 900.milliseconds

/** Whether this router spends its own part of each rate, since it hears no control replica. */
internal fun RoutingState.isAlone(now: Timestamp): Boolean = settings.accruesWithoutControl && now >= controlHeard + CONTROL_PATIENCE

/** No leader grants tokens to a router that hears none, and fleet time stands still without one: so its part of the rate is free. */
private fun RoutingState.accrueAlone(now: Timestamp): RoutingState {
    val since = controlHeard + CONTROL_PATIENCE
    if (!isAlone(now)) return this
    val limited = view.catalogue.workspaces.values
        .filter { it.isLimited }
    val pools = limited.fold(tokens) { all, workspace ->
        all.accrue(workspace.name, workspace.tokensPerSecond.toDouble() / routers, workspace.burstTokens / routers, since, now)
    }
    return copy(tokens = pools)
}

private fun PersistentMap<RequestDigest, Timestamp>.withoutOlder(now: Timestamp) =
    entries.filter { now - it.value > SUSPICION_LIFE }.fold(this) { all, old -> all.remove(old.key) }

private fun RoutingState.balanceAll(now: Timestamp): RoutingStep =
    tokens.pools.keys.fold(unchanged()) { step, workspace -> step.then { it.balance(workspace, now) } }

private fun RoutingState.drainAll(place: PlacementPolicy, now: Timestamp): RoutingStep =
    queues.keys.fold(unchanged()) { step, service -> step.then { it.drain(service, place, now) } }

private fun RoutingState.onArrived(admitted: AdmittedRequest, place: PlacementPolicy, now: Timestamp): RoutingStep {
    if (admitted.digest in view.catalogue.quarantine) return unchanged().emit(Refuse(admitted.id, quarantined()))
    if (!view.isReady(now)) {
        return unchanged().emit(Refuse(admitted.id, Refusal(RefusalKind.NOT_READY, "this router has no lease")))
    }
    val workspace = workspaceOrNull(admitted)
    if (workspace != null && workspace.isLimited && admitted.tokens > workspace.burstTokens) {
        val message = "the request may use ${admitted.tokens} tokens, more than the burst of ${workspace.burstTokens}"
        return unchanged().emit(Refuse(admitted.id, Refusal(RefusalKind.OVER_RATE, message)))
    }
    val waiting = Waiting(admitted, workspace?.tokensPerSecond ?: 1)
    val queue = queueOf(admitted.service).addOrNull(waiting)
        ?: return unchanged().emit(Refuse(admitted.id, Refusal(RefusalKind.OVERLOADED, "too many requests wait", retryAfter = RETRY_SOON)))
    val budget = budgetOf(admitted.service).earn(now, settings.retries)
    return copy(
        queues = queues.put(admitted.service, queue),
        budgets = budgets.put(admitted.service, budget),
    ).drain(admitted.service, place, now)
}

internal fun RoutingState.budgetOf(service: ServiceName): RetryBudget = budgets[service] ?: fullRetryBudget()

private val RETRY_SOON = 1_000.milliseconds

private fun RoutingState.onCancelled(id: RequestId, place: PlacementPolicy, now: Timestamp): RoutingStep {
    val run = running[id]
    val service = run?.admitted?.service
    val next = copy(
        running = running.remove(id),
        retries = retries.remove(id),
        queues = queues.mapValuesWithout(id),
    ).let { state -> if (run == null) state else state.withEndpoint(run.endpoint) { it.finished(id) } }
    return if (service == null) next.unchanged() else next.drain(service, place, now)
}

private fun PersistentMap<ServiceName, FairQueue>.mapValuesWithout(id: RequestId) =
    entries.fold(this) { all, (service, queue) ->
        if (queue.all().any { it.admitted.id == id }) all.put(service, queue.without(setOf(id))) else all
    }

private fun RoutingState.onFirstToken(input: FirstTokenCame, now: Timestamp): RoutingState {
    val run = running[input.id] ?: return this
    return withEndpoint(run.endpoint) { it.answered(input.id, input.after) }
        .addEvidence(run) { it.addAnswer((now - run.started).toDouble(DurationUnit.MILLISECONDS)) }
}

/** What an endpoint says with an answer is newer than any list. */
private fun RoutingState.onHead(input: AnswerHeadCame, now: Timestamp): RoutingState {
    val run = running[input.id] ?: return this
    val signs = input.signs
    return withEndpoint(run.endpoint) { endpoint ->
        val model = run.admitted.model
        val weights = signs.weights
        val served = if (model == null || weights == null) endpoint.modelWeights else endpoint.modelWeights.put(model, weights)
        val waiting = (signs.waiting ?: 0) * TOKENS_OF_WAITING
        val report = signs.running?.let { running ->
            LoadReport(now, running + (signs.waiting ?: 0), waiting, endpoint.own.size, endpoint.ownWaitingTokens())
        }
        endpoint.copy(modelWeights = served, report = if (endpoint.hasSharedReport(now)) endpoint.report else report ?: endpoint.report)
    }
}

/** Prompt tokens that a request which waits at an endpoint is taken to need, where only their number is told. */
private const val TOKENS_OF_WAITING = 1_000L

private fun RoutingState.addEvidence(run: RunningRequest, change: (EvidenceSum) -> EvidenceSum): RoutingState {
    val version = run.release ?: run.weights ?: return this
    val key = EvidenceKey(run.admitted.service, run.admitted.route.name, version)
    return copy(evidence = evidence.put(key, change(evidence[key] ?: noEvidence())))
}

private fun RoutingState.onAttemptEnded(input: AttemptEnded, place: PlacementPolicy, now: Timestamp): RoutingStep {
    val run = running[input.id] ?: return unchanged()
    val ended = copy(running = running.remove(input.id)).withEndpoint(run.endpoint) { it.finished(input.id) }
    val next = when (val result = input.result) {
        is Answered -> ended.onAnswered(run, result, now).unchanged()
        is Unanswered -> ended.onUnanswered(run, result, now)
    }
    return next.then { it.drain(run.admitted.service, place, now) }
}

private fun RoutingState.onAnswered(run: RunningRequest, result: Answered, now: Timestamp): RoutingState {
    val settled = copy(retries = retries.remove(run.admitted.id))
        .withEndpoint(run.endpoint) { it.judged(result.isFault) }
        .settle(run, result, now)
    return if (result.isFault) settled.addEvidence(run) { it.addFailure() } else settled
}

private fun RoutingState.settle(run: RunningRequest, result: Answered, now: Timestamp): RoutingState {
    val workspace = run.admitted.workspace ?: return this
    val used = (result.promptTokens ?: return this) + (result.answerTokens ?: 0)
    return copy(tokens = tokens.settle(workspace, run.admitted.tokens - used, now))
}

private fun RoutingState.onUnanswered(run: RunningRequest, result: Unanswered, now: Timestamp): RoutingStep =
    noteFailure(run, result, now).then { it.retryOrGiveUp(run, result, now) }

private fun RoutingState.noteFailure(run: RunningRequest, result: Unanswered, now: Timestamp): RoutingStep {
    val isCertain = result.reach.isNotRun
    val judged = if (isCertain) this else addEvidence(run) { it.addFailure() }
    val endpoint = endpoints[run.endpoint] ?: return judged.unchanged()
    return when (result.reach) {
        Reach.NOT_RUN -> judged.onDeath(run.endpoint, now)
        Reach.REJECTED -> judged.withEndpoint(run.endpoint) { it.rejected(now) }.unchanged()
        Reach.ELSEWHERE -> judged.withEndpoint(run.endpoint) { it.failed(now) }.unchanged()
        Reach.FAULTED -> judged.withEndpoint(run.endpoint) { it.judged(isFault = true) }.unchanged()
        Reach.BROKEN -> judged.onBroken(endpoint, run.admitted.digest, now)
        Reach.SILENT -> judged.withEndpoint(run.endpoint) { it.silent(now) }.unchanged()
        Reach.WRONG -> judged.unchanged()
    }
}

private fun RoutingState.onBroken(endpoint: EndpointState, digest: RequestDigest, now: Timestamp): RoutingStep {
    val name = endpoint.endpoint.name
    val rested = withEndpoint(name) { it.failed(now) }
    return if (endpoint.isDyingAt(now)) {
        rested.charge(endpoint, listOf(digest), now)
    } else {
        rested
            .withEndpoint(name) {
                it.broke(digest, now)
            }.unchanged()
    }
}

/** An endpoint was found dead: what broke there shortly before is suspected of it. */
internal fun RoutingState.onDeath(name: EndpointName, now: Timestamp): RoutingStep {
    val endpoint = endpoints[name] ?: return unchanged()
    val forgotten = copy(cacheIndex = cacheIndex.forget(name)).withEndpoint(name) { it.failed(now).died(now) }
    return forgotten.charge(endpoint, endpoint.recentlyBroken(now), now)
}

private fun RoutingState.charge(endpoint: EndpointState, digests: List<RequestDigest>, now: Timestamp): RoutingStep {
    if (digests.isEmpty()) return unchanged()
    val report = ReportCrash(endpoint.endpoint.name, endpoint.incarnation.orEmpty(), digests.toPersistentList())
    return copy(suspects = digests.fold(suspects) { all, digest -> all.put(digest, now) }).unchanged().emit(report)
}

private fun RoutingState.onViewChanged(newView: ServingView, place: PlacementPolicy, now: Timestamp): RoutingStep {
    val changed = newView.catalogue.revision != view.catalogue.revision
    val next = copy(view = newView, controlHeard = now).withNamedWeights(now)
    if (!changed) return next.drainAll(place, now)
    return next.withKnownEndpoints(now).then { it.refuseWaiting(now) }.then { it.drainAll(place, now) }
}

private fun RoutingState.withNamedWeights(now: Timestamp): RoutingState {
    val newer = view.catalogue.weights.values
        .filter { it.number > (named[it.model]?.lastOrNull()?.number ?: 0) }
    return copy(
        named = newer.fold(named) { all, weights ->
            all.put(weights.model, (all[weights.model] ?: persistentListOf()).with(NamedWeights(weights.number, now)))
        },
    )
}

private fun RoutingState.onFleet(newFleet: FleetView, place: PlacementPolicy, now: Timestamp): RoutingStep =
    copy(fleet = newFleet, cacheIndex = withoutLostStores(newFleet)).withKnownEndpoints(now).then { it.drainAll(place, now) }

/** A store that came back as another run holds nothing. */
private fun RoutingState.withoutLostStores(newFleet: FleetView): PrefixCacheIndex =
    newFleet.stores.entries
        .filter { (service, run) -> fleet.stores[service]?.let { it != run } ?: false }
        .fold(cacheIndex) { all, (service, _) -> all.forget(EndpointName(service.text)) }

private fun RoutingState.onTokens(input: TokensGranted, place: PlacementPolicy, now: Timestamp): RoutingStep =
    copy(tokens = tokens.granted(input.workspace, input.tokens, input.retryAfter, now)).drainAll(place, now)

private fun RoutingState.onReported(input: EndpointReported, place: PlacementPolicy, now: Timestamp): RoutingStep {
    val known = endpoints[input.endpoint] ?: return unchanged()
    val isRestarted = known.incarnation != null && known.incarnation != input.incarnation
    val isMoved = known.weights != input.weights
    val current = if (isRestarted) onDeath(input.endpoint, now) else unchanged()
    return current.then { state ->
        val reported = state.takeReport(input, isMoved && known.weights != null, now)
        if (known.isUsable(now) && !isMoved) reported.unchanged() else reported.drain(known.service, place, now)
    }
}

private fun RoutingState.takeReport(input: EndpointReported, isMoved: Boolean, now: Timestamp): RoutingState {
    val cleared = if (isMoved) copy(cacheIndex = cacheIndex.forget(input.endpoint)) else this
    return cleared.withEndpoint(input.endpoint) { endpoint ->
        val report = LoadReport(now, input.running, input.waitingTokens, endpoint.own.size, endpoint.ownWaitingTokens())
        endpoint.identified(input.incarnation, input.weights).copy(isLeaving = input.isLeaving, report = report)
    }
}

private fun RoutingState.onCacheChanged(input: CacheChanged, now: Timestamp): RoutingState {
    val known = endpoints[input.endpoint] ?: return this
    if (known.incarnation != null && known.incarnation != input.incarnation) return this
    val gapNoted = if (input.hasGap) cacheIndex.noteGap(input.endpoint, now) else cacheIndex
    return copy(cacheIndex = gapNoted.unlearn(input.endpoint, input.removed).addBlocks(input.endpoint, input.added, now))
}

private fun RoutingState.onPlatformListed(input: EndpointsLeaving): RoutingState =
    input.leaving.fold(this) { state, name -> state.withEndpoint(name) { it.copy(isLeaving = true) } }
