/**
 * Requests in the queues of this router: the tokens that they need, and when and why they are refused.
 */
package sniperoute.request.routing.decision

import sniperoute.process.clock.Timestamp
import sniperoute.request.admission.decision.Refusal
import sniperoute.request.admission.decision.RefusalKind
import sniperoute.request.admission.decision.isReady
import sniperoute.request.admission.decision.returnDelay
import sniperoute.request.routing.message.AdmittedRequest
import sniperoute.request.routing.message.GiveUp
import sniperoute.request.routing.message.Refuse
import sniperoute.request.routing.message.RequestId
import sniperoute.request.routing.message.RequestTokens
import sniperoute.request.routing.message.ReturnTokens
import sniperoute.version.message.ServiceName
import sniperoute.version.message.WorkspaceName
import sniperoute.version.message.isLimited
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

/** Returns the state after each workspace with requests of [service] in the queue requested or returned tokens. */
internal fun RoutingState.adjustTokensOf(service: ServiceName, now: Timestamp): RoutingStep =
    queueOf(service)
        .requests()
        .filter { it.request.id !in retries }
        .mapNotNull { it.request.workspace }
        .distinct()
        .filter { view.catalogue.workspaces[it]?.isLimited ?: false }
        .fold(unchanged()) { step, workspace -> step.then { it.adjustTokens(workspace, now) } }

/**
 * Returns the state after [workspace] requested or returned tokens as needed. A router that acts alone does neither, since no control
 * replica would receive its messages.
 */
internal fun RoutingState.adjustTokens(workspace: WorkspaceName, now: Timestamp): RoutingStep {
    if (accruesAlone(now)) return unchanged()
    val queued = queues.values.sumOf { it.queuedTokens(workspace) }
    val reserve = view.catalogue.workspaces[workspace]?.let { settings.minimumTokenReserve(it, routers) } ?: 0
    val adjustment = tokens.adjust(workspace, queued, now, reserve)
    val next = copy(tokens = adjustment.pools).unchanged()
    return when {
        adjustment.requested > 0 -> next.emit(RequestTokens(workspace, adjustment.requested))
        adjustment.returned > 0 -> next.emit(ReturnTokens(workspace, adjustment.returned))
        else -> next
    }
}

/**
 * Returns the state without the queued requests that can no longer be served. A request without an attempt is refused as not run; one
 * with a failed attempt is given up.
 */
internal fun RoutingState.refuseUnservable(now: Timestamp): RoutingStep =
    queues.keys.fold(unchanged()) { step, service -> step.then { it.refuseUnservable(service, now) } }

private fun RoutingState.refuseUnservable(service: ServiceName, now: Timestamp): RoutingStep =
    refuseWhere(service) { refusalOrNull(it, now) }

/** Returns the state without the queued requests of [service] whose answers would be late wherever they were sent at [now]. */
internal fun RoutingState.refuseLate(service: ServiceName, now: Timestamp): RoutingStep =
    refuseWhere(service) { lateRefusalOrNull(it, now) }

/**
 * Returns the refusal of a request that is no longer wanted, since its deadline has passed, or that has waited for as long as it may and
 * can't be answered within its objective any more; `null` while it may be sent. One that was sent before is repeated up to its deadline.
 */
internal fun RoutingState.lateRefusalOrNull(request: AdmittedRequest, now: Timestamp): Refusal? = when {
    now >= request.deadline -> Refusal(RefusalKind.DEADLINE, "the deadline passed before the request could be sent")
    request.id !in retries && now >= maxOf(request.queueDeadline, request.arrived + request.route.objectiveMilliseconds.milliseconds) ->
        Refusal(RefusalKind.OVERLOADED, "the objective passed before the request could be sent", retryAfter = retryAfter(request))
    else -> null
}

private fun RoutingState.refuseWhere(service: ServiceName, refusalOrNull: (AdmittedRequest) -> Refusal?): RoutingStep {
    val refused = queueOf(service).requests().mapNotNull { queued ->
        refusalOrNull(queued.request)?.let { queued.request.id to it }
    }
    if (refused.isEmpty()) return unchanged()
    val ids = refused.map { it.first }.toSet()
    val next = copy(
        queues = queues.put(service, queueOf(service).without(ids)),
        retries = ids.fold(retries) { all, id -> all.remove(id) },
    )
    return refused.fold(next.unchanged()) { step, (id, refusal) -> step.emit(refuse(id, refusal)) }
}

private fun RoutingState.refuse(id: RequestId, refusal: Refusal) =
    if (id in retries) {
        GiveUp(id, refusal.message)
    } else {
        Refuse(id, refusal)
    }

/** Returns why a queued request must be refused at [now], or `null` while it may wait. */
private fun RoutingState.refusalOrNull(request: AdmittedRequest, now: Timestamp): Refusal? {
    val workspace = request.workspace
    val queueDeadline = retries[request.id]?.queueDeadline ?: request.queueDeadline
    val evacuated = evacuatedRefusalOrNull(request)
    return when {
        view.catalogue.isQuarantined(request) -> quarantined()
        !view.isReady(now) -> Refusal(RefusalKind.NOT_READY, "this router lost its lease from the control replicas")
        request.key != null && request.key !in view.catalogue.keys -> Refusal(RefusalKind.UNKNOWN_KEY, "the key was withdrawn")
        evacuated != null -> evacuated
        workspace != null && !hasTokens(request, now) -> overRateRefusalOrNull(workspace, request, queueDeadline, now)
        now < queueDeadline -> pausedRefusalOrNull(request, queueDeadline, now)
        request.queueDeadline < request.deadline ->
            Refusal(RefusalKind.OVERLOADED, overloadMessage(request, now), retryAfter = overloadRetryAfter(request, now))
        else -> Refusal(RefusalKind.DEADLINE, "no endpoint had a free slot before the route's deadline")
    }
}

/** The share of its objective for which a request waits for tokens that may be granted in time. */
private const val GRANT_WAIT_SHARE = 0.5

/**
 * Returns the refusal of a request for which this router has not enough tokens, or `null` while it may wait for them. While a request for
 * tokens is under way, or one is due in time, the leader may still find the request within the rate. It is refused at once when the
 * leader has said that there will be none in time.
 */
private fun RoutingState.overRateRefusalOrNull(
    workspace: WorkspaceName,
    request: AdmittedRequest,
    queueDeadline: Timestamp,
    now: Timestamp,
): Refusal? {
    val pool = tokens.poolOf(workspace)
    val grantDeadline = maxOf(queueDeadline, request.arrived + request.route.objectiveMilliseconds.milliseconds * GRANT_WAIT_SHARE)
    val waitsUntil = when {
        accruesAlone(now) -> queueDeadline
        pool.isAwaitingGrant(now) || now < pool.retryAt -> if (pool.retryAt <= grantDeadline) grantDeadline else Timestamp.EARLIEST
        else -> queueDeadline
    }
    if (now < waitsUntil) return null
    val retryAfter = maxOf(retryAfter(request), pool.retryAt - now)
    return Refusal(RefusalKind.OVER_RATE, overRateMessage(workspace, request, now), retryAfter = retryAfter)
}

/** Describes for people why no endpoint took the request. */
private fun RoutingState.overloadMessage(request: AdmittedRequest, now: Timestamp): String {
    val known = members[request.service].orEmpty().mapNotNull { endpoints[it] }
    val usable = known.filter { it.isUsable(now) && !isOutdated(it, request, now) }
    val shortest = shortestQueueOrNull(request, now) ?: Duration.ZERO
    val changing = known.count { it.isChanging }
    val ejected = known.count { now < maxOf(it.ejectedUntil, it.silentUntil) }
    val limited = known.count { !it.isPermitted(now) }
    val evacuated = known.count(::isEvacuated)
    val own = known.sumOf { it.ownRequests.size }
    val others = known.sumOf { it.othersRunning(now) }
    return "no endpoint had a free slot in time: ${usable.size} of ${known.size} usable, ${usable.count { it.freeSlots(now) > 0 }} with " +
        "a free slot, $changing changing weights, $ejected ejected, $limited at their request limit, $evacuated evacuated, " +
        "$own own requests and $others of other routers in ${known.sumOf {
            it.endpoint.slots
        }} slots, shortest queue ${shortest.inWholeMilliseconds} ms, " +
        "fleet ${fleet.number}"
}

/** Returns the time of the shortest queue at endpoints that the request may use, or `null` if there are none. */
private fun RoutingState.shortestQueueOrNull(request: AdmittedRequest, now: Timestamp): Duration? =
    members[request.service]
        .orEmpty()
        .mapNotNull { endpoints[it] }
        .filter { it.isUsable(now) && !isOutdated(it, request, now) }
        .minOfOrNull { it.timePerToken * it.waitingTokens(now).toDouble() }

private fun RoutingState.overloadRetryAfter(request: AdmittedRequest, now: Timestamp): Duration = returnDelay(
    shortest = shortestQueueOrNull(request, now) ?: Duration.ZERO,
    allowed = request.route.objectiveMilliseconds.milliseconds * QUEUEING_SHARE,
    least = retryAfter(request),
    left = request.deadline - now,
    hash = request.hash,
)

private fun RoutingState.overRateMessage(workspace: WorkspaceName, request: AdmittedRequest, now: Timestamp): String {
    val pool = tokens.poolOf(workspace)
    return "workspace $workspace is over its rate: ${request.tokens} tokens needed, ${pool.available} available, " +
        "${pool.requested} requested ${(now - pool.requestedAt).inWholeMilliseconds} ms ago"
}

/** The caller may retry after about as long as the request was allowed to wait here. */
private fun retryAfter(request: AdmittedRequest): Duration = request.queueDeadline - request.arrived

internal fun quarantined(): Refusal = Refusal(
    RefusalKind.QUARANTINED,
    "this request is in quarantine: endpoints crashed while they worked on it or on prompts with the same blocks",
    retryAfter = QUARANTINE_RETRY_DELAY,
)

/** A quarantine lasts for minutes, so a caller gains nothing by trying again soon. */
private val QUARANTINE_RETRY_DELAY = 1.minutes
