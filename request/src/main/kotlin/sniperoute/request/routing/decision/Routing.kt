/**
 * The step function of the routing duty: a pure function from a state and an input to the next state and effects.
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
import sniperoute.version.decision.TargetWeights
import sniperoute.version.decision.addFailure
import sniperoute.version.decision.addResponse
import sniperoute.version.decision.noEvidence
import sniperoute.version.decision.with
import sniperoute.version.message.EndpointName
import sniperoute.version.message.RequestDigest
import sniperoute.version.message.ServiceName
import sniperoute.version.message.isLimited
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.DurationUnit

private val SUSPICION_LIFETIME = 10.minutes
private val DEADLINE_CHECK_INTERVAL: Duration = 50.milliseconds

/** Returns the next state and the effects of [input] at [now]; a `null` input is a tick of the clock. */
public fun RoutingState.step(policy: PlacementPolicy, now: Timestamp, input: RoutingInput?): RoutingStep = when (input) {
    null -> onTick(policy, now)
    is RequestAdmitted -> onAdmitted(input.request, policy, now)
    is RequestCancelled -> onCancelled(input.id, policy, now)
    is FirstTokenReceived -> onFirstToken(input, now).unchanged()
    is AttemptEnded -> onAttemptEnded(input, policy, now)
    is AttemptStalled -> onAttemptStalled(input, policy, now)
    is ViewChanged -> onViewChanged(input.view, policy, now)
    is TokensGranted -> onTokens(input, policy, now)
    is EndpointReported -> onReported(input, policy, now)
    is CacheChanged -> onCacheChanged(input, now).unchanged()
    is EndpointStreamLost -> onCrash(input.endpoint, now)
    is EndpointsLeaving -> onEndpointsLeaving(input).unchanged()
    is ResponseHeadReceived -> onHead(input, now)
    is RequestLimitsReceived -> onRequestLimits(input.notice, now).drainAll(policy, now)
    is FleetChanged -> onFleet(input.fleet, policy, now)
    is RouterCountChanged -> copy(routers = input.routers).unchanged()
    is FleetWorkloadReceived -> onFleetWorkload(input, now).drainAll(policy, now)
    is DoubtsSettled -> onDoubtsSettled(input).then { it.drainAll(policy, now) }
}

private fun RoutingState.onTick(policy: PlacementPolicy, now: Timestamp): RoutingStep {
    val checked = if (now - lastDeadlineCheck >= DEADLINE_CHECK_INTERVAL) {
        copy(lastDeadlineCheck = now, suspects = suspects.withoutExpired(now), servedBlocks = servedBlocks.withoutOld(now))
            .refuseUnservable(now)
            .then { it.adjustAllTokens(now) }
    } else {
        unchanged()
    }
    return checked
        .then { it.accrueAlone(now).updateLimits(now).endOldDoubts(now) }
        .then { it.drainAll(policy, now) }
        .then { it.reportWorkload(now) }
        .then { it.reportLimits(now) }
}

/** After this time without contact with the control replicas, a router acts alone: two lease renewals got no reply. */
private val CONTROL_TIMEOUT = 900.milliseconds

/** Whether this router has no contact with the control replicas. */
internal fun RoutingState.isWithoutControl(now: Timestamp): Boolean = now >= lastControlContact + CONTROL_TIMEOUT

/** Whether this router accrues its own share of each rate, because it has no contact with the control replicas. */
internal fun RoutingState.accruesAlone(now: Timestamp): Boolean = settings.accruesWithoutControl && isWithoutControl(now)

/**
 * Adds tokens while the router acts alone. No leader grants tokens to a router that has no contact with it, and fleet time stands still
 * without a leader. So this router's share of the rate is free for it to spend.
 */
private fun RoutingState.accrueAlone(now: Timestamp): RoutingState {
    val since = lastControlContact + CONTROL_TIMEOUT
    if (!accruesAlone(now)) return this
    val limited = view.catalogue.workspaces.values
        .filter { it.isLimited }
    val pools = limited.fold(tokens) { all, workspace ->
        all.accrue(workspace.name, workspace.tokensPerSecond.toDouble() / routers, workspace.burstTokens / routers, since, now)
    }
    return copy(tokens = pools)
}

private fun PersistentMap<RequestDigest, Timestamp>.withoutExpired(now: Timestamp) =
    entries.filter { now - it.value > SUSPICION_LIFETIME }.fold(this) { all, expired -> all.remove(expired.key) }

private fun RoutingState.adjustAllTokens(now: Timestamp): RoutingStep =
    tokens.pools.keys.fold(unchanged()) { step, workspace -> step.then { it.adjustTokens(workspace, now) } }

private fun RoutingState.drainAll(policy: PlacementPolicy, now: Timestamp): RoutingStep =
    queues.keys.fold(unchanged()) { step, service -> step.then { it.drain(service, policy, now) } }

private fun RoutingState.onAdmitted(request: AdmittedRequest, policy: PlacementPolicy, now: Timestamp): RoutingStep {
    val refusal = when {
        view.catalogue.isQuarantined(request) -> quarantined()
        !view.isReady(now) -> Refusal(RefusalKind.NOT_READY, "this router has no lease")
        else -> lateRefusalOrNull(request, now)
    }
    if (refusal != null) return unchanged().emit(Refuse(request.id, refusal))
    val workspace = workspaceOrNull(request)
    if (workspace != null && workspace.isLimited && request.tokens > workspace.burstTokens) {
        val message = "the request may use ${request.tokens} tokens, more than the burst of ${workspace.burstTokens}"
        return unchanged().emit(Refuse(request.id, Refusal(RefusalKind.OVER_RATE, message)))
    }
    val untimely = evacuatedRefusalOrNull(request) ?: pausedRefusalOrNull(request, request.queueDeadline, now)
    if (untimely != null) return unchanged().emit(Refuse(request.id, untimely))
    val queued = QueuedRequest(request, workspace?.tokensPerSecond ?: 1)
    val queue = queueOf(request.service).enqueueOrNull(queued) ?: return unchanged().emit(
        Refuse(request.id, Refusal(RefusalKind.OVERLOADED, "the queue of this workspace is full", retryAfter = FULL_QUEUE_RETRY_DELAY)),
    )
    val budget = budgetOf(request.service).recordRequest(now, settings.retries)
    return copy(queues = queues.put(request.service, queue), budgets = budgets.put(request.service, budget))
        .drain(request.service, policy, now)
}

internal fun RoutingState.budgetOf(service: ServiceName): RetryBudget = budgets[service] ?: newRetryBudget(started)

private val FULL_QUEUE_RETRY_DELAY = 1_000.milliseconds

private fun RoutingState.onCancelled(id: RequestId, policy: PlacementPolicy, now: Timestamp): RoutingStep {
    val run = running[id]
    val service = run?.request?.service
    val next = copy(
        running = running.remove(id),
        retries = retries.remove(id),
        queues = queues.without(id),
    ).let { state -> if (run == null) state else state.addLateness(run, now).withEndpoint(run.endpoint) { it.withoutRequest(id) } }
    return if (service == null) next.unchanged() else next.drain(service, policy, now)
}

/**
 * Counts a cancelled request that had no first token by its route's objective as a response of that time: callers give up on a slow
 * version, and would leave no evidence against it.
 */
private fun RoutingState.addLateness(run: RunningRequest, now: Timestamp): RoutingState {
    val elapsed = now - run.started
    val isLate = elapsed >= run.request.route.objectiveMilliseconds.milliseconds
    return if (hasFirstToken(run) || !isLate) this else addEvidence(run) { it.addResponse(elapsed.toDouble(DurationUnit.MILLISECONDS)) }
}

private fun PersistentMap<ServiceName, FairQueue>.without(id: RequestId) =
    entries.fold(this) { all, (service, queue) ->
        if (queue.requests().any { it.request.id == id }) all.put(service, queue.without(setOf(id))) else all
    }

private fun RoutingState.onFirstToken(input: FirstTokenReceived, now: Timestamp): RoutingState {
    val run = running[input.id] ?: return this
    return withMeasuredTime(run, input.after)
        .withEndpoint(run.endpoint) { it.withFirstToken(input.id, input.after) }
        .addEvidence(run) { it.addResponse((now - run.started).toDouble(DurationUnit.MILLISECONDS)) }
}

/** Takes over what the head of a response reports. The weights there are newer than those in any list. */
private fun RoutingState.onHead(input: ResponseHeadReceived, now: Timestamp): RoutingStep {
    val run = running[input.id] ?: return unchanged()
    val next = withLoad(run, input.load, now).withNotices(run, input.load, now).withStatedTime(run, input.load, now)
    val named = input.load.limit ?: return next.unchanged()
    return next.onNamedLimit(run.endpoint, named, now)
}

/** A response of an earlier incarnation says nothing about the present one. */
private fun RoutingState.withNotices(run: RunningRequest, load: ResponseLoadReport, now: Timestamp): RoutingState =
    withEndpoint(run.endpoint) { if (run.request.id in it.ownRequests) it.withNotices(load, now) else it }

private fun RoutingState.withStatedTime(run: RunningRequest, load: ResponseLoadReport, now: Timestamp): RoutingState {
    val ratio = load.timeRatio ?: return this
    val endpoint = endpoints[run.endpoint]?.takeIf { run.request.id in it.ownRequests } ?: return this
    return withStatedTime(endpoint, ratio, now)
}

private fun RoutingState.withLoad(run: RunningRequest, load: ResponseLoadReport, now: Timestamp): RoutingState =
    withEndpoint(run.endpoint) { endpoint ->
        val model = run.request.model
        val weights = load.weights
        val modelWeights = if (model == null || weights == null) endpoint.modelWeights else endpoint.modelWeights.put(model, weights)
        val waiting = (load.waiting ?: 0) * ASSUMED_PROMPT_TOKENS
        val report = load.running?.let { running ->
            LoadReport(now, running + (load.waiting ?: 0), waiting, endpoint.ownRequests.size, endpoint.ownWaitingTokens())
        }
        endpoint.copy(
            modelWeights = modelWeights,
            report = if (endpoint.hasSharedReport(now)) endpoint.report else report ?: endpoint.report,
        )
    }

/** The prompt tokens that are assumed for each request that waits at an endpoint, where only the number of requests is known. */
private const val ASSUMED_PROMPT_TOKENS = 1_000L

private fun RoutingState.addEvidence(run: RunningRequest, change: (EvidenceSum) -> EvidenceSum): RoutingState {
    val version = run.release ?: run.weights ?: return this
    val key = EvidenceKey(run.request.service, run.request.route.name, version)
    return copy(evidence = evidence.put(key, change(evidence[key] ?: noEvidence())))
}

private fun RoutingState.onAttemptEnded(input: AttemptEnded, policy: PlacementPolicy, now: Timestamp): RoutingStep {
    val run = running[input.id] ?: return unchanged()
    val ended = copy(running = running.remove(input.id)).withEndpoint(run.endpoint) { it.withoutRequest(input.id) }
    val next = when (val result = input.result) {
        is AttemptCompleted -> ended.onCompleted(run, result, now)
        is AttemptFailed -> ended.onFailed(run, result, now)
    }
    return next.then { it.drain(run.request.service, policy, now) }
}

/**
 * Replaces a stalled attempt by one at another endpoint if that can begin now. Otherwise the attempt goes on, since its endpoint may
 * only have paused.
 */
private fun RoutingState.onAttemptStalled(input: AttemptStalled, policy: PlacementPolicy, now: Timestamp): RoutingStep {
    val run = running[input.id] ?: return unchanged().emit(KeepAttempt(input.id))
    val doubted = if (run.hasStalled) unchanged() else withStalled(run, now).doubt(run.endpoint, now)
    val stalled = doubted.state
    val replaced = stalled
        .copy(running = running.remove(input.id))
        .withEndpoint(run.endpoint) { it.withoutRequest(input.id) }
        .addEvidence(run) { it.addFailure() }
        .chargeRetryOrNull(run, AttemptFailed(AttemptFailureKind.SILENT, input.mayRepeat, input.reason), now)
        ?.redispatchOrNull(run.request, policy, now)
    return doubted.then { replaced?.then { it.drain(run.request.service, policy, now) } ?: it.unchanged().emit(KeepAttempt(input.id)) }
}

private fun RoutingState.withStalled(run: RunningRequest, now: Timestamp): RoutingState =
    copy(running = running.put(run.request.id, run.copy(hasStalled = true))).withEndpoint(run.endpoint) { it.afterSilence(now) }

private fun RoutingState.onCompleted(run: RunningRequest, result: AttemptCompleted, now: Timestamp): RoutingStep {
    val settled = copy(retries = retries.remove(run.request.id))
        .withEndpoint(run.endpoint) { it.afterResponse(result.isFault) }
        .refundUnused(run, result, now)
    return if (result.isFault) settled.addEvidence(run) { it.addFailure() }.unchanged() else settled.recordServedBlocks(run.request, now)
}

private fun RoutingState.refundUnused(run: RunningRequest, result: AttemptCompleted, now: Timestamp): RoutingState {
    val workspace = run.request.workspace ?: return this
    val used = (result.promptTokens ?: return this) + (result.answerTokens ?: 0)
    return copy(tokens = tokens.refund(workspace, run.request.tokens - used, now))
}

private fun RoutingState.onFailed(run: RunningRequest, result: AttemptFailed, now: Timestamp): RoutingStep =
    recordFailure(run, result, now)
        .then { if (result.kind.mayBeRestart) it.doubt(run.endpoint, now) else it.unchanged() }
        .then { it.retryOrGiveUp(run, result, now) }

private fun RoutingState.recordFailure(run: RunningRequest, result: AttemptFailed, now: Timestamp): RoutingStep {
    val judged = if (result.kind.isNotRun) this else addEvidence(run) { it.addFailure() }
    val endpoint = endpoints[run.endpoint] ?: return judged.unchanged()
    return when (result.kind) {
        AttemptFailureKind.NOT_RUN -> judged.onCrash(run.endpoint, now)
        AttemptFailureKind.REJECTED -> judged.withEndpoint(run.endpoint) { it.afterRejection(now) }.unchanged()
        AttemptFailureKind.ELSEWHERE -> judged.withEndpoint(run.endpoint) { it.afterFailure(now) }.unchanged()
        AttemptFailureKind.FAULTED -> judged.withEndpoint(run.endpoint) { it.afterResponse(isFault = true) }.unchanged()
        AttemptFailureKind.BROKEN ->
            judged.reportInterruption(run, result, now).then { it.onBroken(endpoint, run.request.digest, now) }
        AttemptFailureKind.SILENT -> judged.withEndpoint(run.endpoint) { it.afterSilence(now) }.unchanged()
        AttemptFailureKind.WRONG -> judged.unchanged()
    }
}

private fun RoutingState.onBroken(endpoint: EndpointState, digest: RequestDigest, now: Timestamp): RoutingStep {
    val name = endpoint.endpoint.name
    val ejected = withEndpoint(name) { it.afterFailure(now) }
    return if (endpoint.hasJustCrashed(now)) {
        ejected.chargeCrash(endpoint, listOf(digest), now)
    } else {
        ejected
            .withEndpoint(name) {
                it.withBrokenRequest(digest, now)
            }.unchanged()
    }
}

/** Records a crash of the endpoint. Requests that broke there shortly before are suspected of having caused it. */
internal fun RoutingState.onCrash(name: EndpointName, now: Timestamp): RoutingStep {
    val endpoint = endpoints[name] ?: return unchanged()
    val ejected = copy(cacheIndex = cacheIndex.removeEndpoint(name)).withEndpoint(name) { it.afterFailure(now).afterCrash(now) }
    val charged = ejected.chargeCrash(endpoint, endpoint.recentlyBroken(now), now)
    val isReported = charged.effects.isNotEmpty() || endpoint.hasJustCrashed(now)
    return if (isReported) charged else charged.emit(ReportEndpointGone(name, endpoint.incarnation.orEmpty()))
}

private fun RoutingState.chargeCrash(endpoint: EndpointState, digests: List<RequestDigest>, now: Timestamp): RoutingStep {
    if (digests.isEmpty()) return unchanged()
    val report = ReportCrash(endpoint.endpoint.name, endpoint.incarnation.orEmpty(), digests.toPersistentList())
    return copy(suspects = digests.fold(suspects) { all, digest -> all.put(digest, now) }).unchanged().emit(report)
}

private fun RoutingState.onViewChanged(newView: ServingView, policy: PlacementPolicy, now: Timestamp): RoutingStep {
    val isChanged = newView.catalogue.revision != view.catalogue.revision
    val next = copy(view = newView, lastControlContact = now).withTargetWeights(now)
    if (!isChanged) return next.drainAll(policy, now)
    return next
        .withKnownEndpoints(now)
        .then { it.endQuarantinedAttempts() }
        .then { it.refuseUnservable(now) }
        .then { it.drainAll(policy, now) }
}

private fun RoutingState.withTargetWeights(now: Timestamp): RoutingState {
    val newer = view.catalogue.weights.values
        .filter { it.number > (targetWeights[it.model]?.lastOrNull()?.number ?: 0) }
    return copy(
        targetWeights = newer.fold(targetWeights) { all, weights ->
            all.put(weights.model, (all[weights.model] ?: persistentListOf()).with(TargetWeights(weights.number, now)))
        },
    )
}

private fun RoutingState.onFleet(newFleet: FleetView, policy: PlacementPolicy, now: Timestamp): RoutingStep =
    copy(fleet = newFleet, cacheIndex = withoutRestartedStores(newFleet))
        .withChangedEndpoints(fleet, now)
        .then { it.reportDoubtsSince(this) }
        .then { it.drainAll(policy, now) }

/** A store with a new incarnation is empty. */
private fun RoutingState.withoutRestartedStores(newFleet: FleetView): PrefixCacheIndex =
    newFleet.stores.entries
        .filter { (service, incarnation) -> fleet.stores[service]?.let { it != incarnation } ?: false }
        .fold(cacheIndex) { all, (service, _) -> all.removeEndpoint(EndpointName(service.text)) }

private fun RoutingState.onTokens(input: TokensGranted, policy: PlacementPolicy, now: Timestamp): RoutingStep =
    copy(tokens = tokens.grant(input.workspace, input.tokens, input.retryAfter, now)).drainAll(policy, now)

private fun RoutingState.onReported(input: EndpointReported, policy: PlacementPolicy, now: Timestamp): RoutingStep {
    val known = endpoints[input.endpoint] ?: return unchanged()
    val isRestarted = known.incarnation != null && known.incarnation != input.incarnation
    val hasOtherWeights = known.weights != input.weights
    val current = if (isRestarted) onCrash(input.endpoint, now) else unchanged()
    return current.then { state ->
        val reported = state.takeReport(input, hasOtherWeights && known.weights != null, now)
        if (known.isUsable(now) && !hasOtherWeights) reported.unchanged() else reported.drain(known.service, policy, now)
    }
}

private fun RoutingState.takeReport(input: EndpointReported, hasChangedWeights: Boolean, now: Timestamp): RoutingState {
    val cleared = if (hasChangedWeights) copy(cacheIndex = cacheIndex.removeEndpoint(input.endpoint)) else this
    return cleared.withEndpoint(input.endpoint) { endpoint ->
        val report = LoadReport(now, input.running, input.waitingTokens, endpoint.ownRequests.size, endpoint.ownWaitingTokens())
        endpoint.withIdentity(input.incarnation, input.weights).copy(isLeaving = input.isLeaving, report = report)
    }
}

private fun RoutingState.onCacheChanged(input: CacheChanged, now: Timestamp): RoutingState {
    val known = endpoints[input.endpoint] ?: return this
    if (known.incarnation != null && known.incarnation != input.incarnation) return this
    val index = if (input.hasGap) cacheIndex.recordGap(input.endpoint, now) else cacheIndex
    return copy(cacheIndex = index.removeBlocks(input.endpoint, input.removed).addBlocks(input.endpoint, input.added, now))
}

private fun RoutingState.onEndpointsLeaving(input: EndpointsLeaving): RoutingState =
    input.leaving.fold(this) { state, name -> state.withEndpoint(name) { it.copy(isLeaving = true) } }
