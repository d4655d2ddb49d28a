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
    val id = run.facts.id
    val facts = run.facts
    val isFree = result.reach.isNotRun
    val runs = (retries[id]?.runs ?: 0) + if (isFree) 0 else 1
    val budget = budgetOf(facts.service)
    val spent = if (result.reach == Reach.NOT_RUN) budget else budget.spendOrNull(now, settings.retries, routers)
    if (spent == null || !mayTryAgain(run, result, runs, now)) return giveUp(run, result, now)
    val note = RetryNote(
        attempts = run.attempt,
        failedAt = (retries[id]?.failedAt ?: noFailures()).add(run.endpoint),
        weights = if (isFree && retries[id] == null) null else run.weights,
        runs = runs,
        until = minOf(facts.deadline, now + (facts.queueUntil - facts.arrived)),
    )
    val weight = workspaceOrNull(facts)?.tokensPerSecond ?: 1
    val queue = queueOf(facts.service).addFirst(Waiting(facts, weight))
    return copy(
        budgets = budgets.put(facts.service, spent),
        retries = retries.put(id, note),
        queues = queues.put(facts.service, queue),
    ).unchanged()
}

/** A request that no endpoint ran costs its workspace nothing. */
private fun RoutingState.giveUp(run: RunningRequest, result: Unanswered, now: Timestamp): RoutingStep {
    val facts = run.facts
    val isNotRun = result.reach.isNotRun && (retries[facts.id]?.runs ?: 0) == 0
    val refunded = if (isNotRun && facts.workspace != null) tokens.settle(facts.workspace, facts.tokens, now) else tokens
    return copy(retries = retries.remove(facts.id), tokens = refunded).unchanged().emit(GiveUp(facts.id, result.reason))
}

/** Whether this attempt broke like an earlier one that is suspected of an endpoint's death. */
private fun RoutingState.isSecondDeath(run: RunningRequest, result: Unanswered): Boolean =
    result.reach == Reach.BROKEN && run.facts.id in retries && run.facts.digest in suspects

private fun RoutingState.mayTryAgain(run: RunningRequest, result: Unanswered, runs: Int, now: Timestamp): Boolean {
    val route = run.facts.route
    val isAllowed = result.reach.isNotRun || (result.mayRepeat && route.repetition == Repetition.REPEATABLE)
    val hasAttempts = runs < route.mostEndpoints && run.attempt < route.mostEndpoints + MOST_REJECTIONS
    return isAllowed && hasAttempts && !isSecondDeath(run, result) && now < run.facts.deadline
}
