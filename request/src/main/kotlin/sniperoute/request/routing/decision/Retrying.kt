/**
 * Decides whether a request is retried at another endpoint after a failed attempt, and what is kept of it meanwhile.
 */
package sniperoute.request.routing.decision

import sniperoute.process.clock.Timestamp
import sniperoute.request.routing.message.*
import sniperoute.version.message.Repetition

/** The number of endpoints that may reject a request in addition to those that run it. */
private const val MAX_REJECTIONS = 2

internal fun RoutingState.retryOrGiveUp(run: RunningRequest, result: AttemptFailed, now: Timestamp): RoutingStep {
    val charged = chargeRetryOrNull(run, result, now) ?: return giveUp(run, result, now)
    val request = run.request
    val weight = workspaceOrNull(request)?.tokensPerSecond ?: 1
    val queue = queueOf(request.service).enqueueFirst(QueuedRequest(request, weight))
    return charged.copy(queues = queues.put(request.service, queue)).unchanged()
}

/** Returns the state in which the request of [run] may be sent once more, charged to the retry budget, or `null` if it may not. */
internal fun RoutingState.chargeRetryOrNull(run: RunningRequest, result: AttemptFailed, now: Timestamp): RoutingState? {
    val id = run.request.id
    val request = run.request
    val isNotRun = result.kind.isNotRun
    val possibleRuns = (retries[id]?.possibleRuns ?: 0) + if (isNotRun) 0 else 1
    val budget = budgetOf(request.service)
    val spent = if (result.kind == AttemptFailureKind.NOT_RUN) budget else budget.spendOrNull(now, settings.retries, routers)
    if (spent == null || !mayRetry(run, result, possibleRuns, now)) return null
    val retry = RetryState(
        attempts = run.attempt,
        failedAt = (retries[id]?.failedAt ?: noFailedEndpoints()).add(run.endpoint),
        weights = if (isNotRun && retries[id] == null) null else run.weights,
        possibleRuns = possibleRuns,
        queueDeadline = minOf(request.deadline, now + (request.queueDeadline - request.arrived)),
    )
    return copy(budgets = budgets.put(request.service, spent), retries = retries.put(id, retry))
}

/** A request that no endpoint ran gets its tokens back. */
private fun RoutingState.giveUp(run: RunningRequest, result: AttemptFailed, now: Timestamp): RoutingStep {
    val request = run.request
    val isNotRun = result.kind.isNotRun && (retries[request.id]?.possibleRuns ?: 0) == 0
    val refunded = if (isNotRun && request.workspace != null) tokens.refund(request.workspace, request.tokens, now) else tokens
    return copy(retries = retries.remove(request.id), tokens = refunded).unchanged().emit(GiveUp(request.id, result.reason))
}

/** Whether the attempt was a retry of a request that is suspected of an endpoint's crash, and broke as well. */
private fun RoutingState.isSecondCrash(run: RunningRequest, result: AttemptFailed): Boolean =
    result.kind == AttemptFailureKind.BROKEN && run.request.id in retries && run.request.digest in suspects

private fun RoutingState.mayRetry(run: RunningRequest, result: AttemptFailed, possibleRuns: Int, now: Timestamp): Boolean {
    val route = run.request.route
    val isAllowed = result.kind.isNotRun || (result.mayRepeat && route.repetition == Repetition.REPEATABLE)
    val hasAttempts = possibleRuns < route.mostEndpoints && run.attempt < route.mostEndpoints + MAX_REJECTIONS
    return isAllowed && hasAttempts && !isSecondCrash(run, result) && now < run.request.deadline
}
