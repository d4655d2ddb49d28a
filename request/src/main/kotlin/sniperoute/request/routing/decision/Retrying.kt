/**
 * Whether a request that was not answered goes to another endpoint, and what is kept of it meanwhile.
 */
package sniperoute.request.routing.decision

import sniperoute.process.clock.Timestamp
import sniperoute.request.routing.message.*
import sniperoute.version.message.Repetition

/** Endpoints that may turn a request away beside those that run it. */
private const val MOST_REJECTIONS = 2

internal fun RoutingState.retryOrGiveUp(run: RunningRequest, result: Unanswered, now: Timestamp): RoutingStep {
    val id = run.admitted.id
    val admitted = run.admitted
    val isFree = result.reach.isNotRun
    val runs = (retries[id]?.runs ?: 0) + if (isFree) 0 else 1
    val budget = budgetOf(admitted.service)
    val spent = if (result.reach == Reach.NOT_RUN) budget else budget.spendOrNull(now, settings.retries, routers)
    if (spent == null || !mayTryAgain(run, result, runs, now)) return giveUp(run, result, now)
    val note = RetryNote(
        attempts = run.attempt,
        failedAt = (retries[id]?.failedAt ?: noFailures()).add(run.endpoint),
        weights = if (isFree && retries[id] == null) null else run.weights,
        runs = runs,
        until = minOf(admitted.deadline, now + (admitted.queueDeadline - admitted.arrived)),
    )
    val weight = workspaceOrNull(admitted)?.tokensPerSecond ?: 1
    val queue = queueOf(admitted.service).addFirst(Waiting(admitted, weight))
    return copy(
        budgets = budgets.put(admitted.service, spent),
        retries = retries.put(id, note),
        queues = queues.put(admitted.service, queue),
    ).unchanged()
}

/** A request that no endpoint ran costs its workspace nothing. */
private fun RoutingState.giveUp(run: RunningRequest, result: Unanswered, now: Timestamp): RoutingStep {
    val admitted = run.admitted
    val isNotRun = result.reach.isNotRun && (retries[admitted.id]?.runs ?: 0) == 0
    val refunded = if (isNotRun && admitted.workspace != null) tokens.settle(admitted.workspace, admitted.tokens, now) else tokens
    return copy(retries = retries.remove(admitted.id), tokens = refunded).unchanged().emit(GiveUp(admitted.id, result.reason))
}

/** Whether this attempt broke like an earlier one that is suspected of an endpoint's death. */
private fun RoutingState.isSecondDeath(run: RunningRequest, result: Unanswered): Boolean =
    result.reach == Reach.BROKEN && run.admitted.id in retries && run.admitted.digest in suspects

private fun RoutingState.mayTryAgain(run: RunningRequest, result: Unanswered, runs: Int, now: Timestamp): Boolean {
    val route = run.admitted.route
    val isAllowed = result.reach.isNotRun || (result.mayRepeat && route.repetition == Repetition.REPEATABLE)
    val hasAttempts = runs < route.mostEndpoints && run.attempt < route.mostEndpoints + MOST_REJECTIONS
    return isAllowed && hasAttempts && !isSecondDeath(run, result) && now < run.admitted.deadline
}
