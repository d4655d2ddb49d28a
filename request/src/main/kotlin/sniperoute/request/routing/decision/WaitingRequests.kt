/**
 * Requests that wait here: the tokens that they need, and why one is refused in time.
 */
package sniperoute.request.routing.decision

import sniperoute.process.clock.Timestamp
import sniperoute.request.admission.decision.Refusal
import sniperoute.request.admission.decision.RefusalKind
import sniperoute.request.admission.decision.isReady
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

/** Returns the state after asking for the tokens that requests of [service] wait for. */
internal fun RoutingState.balanceWaiting(service: ServiceName, now: Timestamp): RoutingStep =
    queueOf(service)
        .all()
        .filter { it.admitted.id !in retries }
        .mapNotNull { it.admitted.workspace }
        .distinct()
        .filter { view.catalogue.workspaces[it]?.isLimited ?: false }
        .fold(unchanged()) { step, workspace -> step.then { it.balance(workspace, now) } }

/** Returns the state after [workspace] asked for or gave back tokens, as it needs; nobody hears a router on its own. */
internal fun RoutingState.balance(workspace: WorkspaceName, now: Timestamp): RoutingStep {
    if (isAlone(now)) return unchanged()
    val waiting = queues.values.sumOf { it.tokensWaiting(workspace) }
    val change = tokens.balance(workspace, waiting, now)
    val next = copy(tokens = change.pools).unchanged()
    return when {
        change.ask > 0 -> next.emit(RequestTokens(workspace, change.ask))
        change.giveBack > 0 -> next.emit(ReturnTokens(workspace, change.giveBack))
        else -> next
    }
}

/** Returns the state without the waiting requests that can't be served any more, each refused as not run. */
internal fun RoutingState.refuseWaiting(now: Timestamp): RoutingStep =
    queues.keys.fold(unchanged()) { step, service -> step.then { it.refuseWaiting(service, now) } }

private fun RoutingState.refuseWaiting(service: ServiceName, now: Timestamp): RoutingStep {
    val refused = queueOf(service).all().mapNotNull { waiting ->
        refusalOrNull(waiting.admitted, now)?.let { waiting.admitted.id to it }
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

/** Returns why a waiting request must be refused at [now], or `null` while it may wait. */
private fun RoutingState.refusalOrNull(admitted: AdmittedRequest, now: Timestamp): Refusal? {
    val workspace = admitted.workspace
    return when {
        admitted.digest in view.catalogue.quarantine -> quarantined()
        !view.isReady(now) -> Refusal(RefusalKind.NOT_READY, "this router lost its lease from the control replicas")
        admitted.key != null && admitted.key !in view.catalogue.keys -> Refusal(RefusalKind.UNKNOWN_KEY, "the key was withdrawn")
        now < (retries[admitted.id]?.until ?: admitted.queueDeadline) -> null
        workspace != null && !hasTokens(admitted, now) ->
            Refusal(RefusalKind.OVER_RATE, overRate(workspace, admitted, now), retryAfter = retryAfter(admitted))
        admitted.queueDeadline < admitted.deadline -> Refusal(
            RefusalKind.OVERLOADED,
            overload(admitted, now),
            retryAfter = retryAfter(admitted),
        )
        else -> Refusal(RefusalKind.DEADLINE, "no endpoint was free within the route's deadline")
    }
}

/** For people: which endpoints there were, and why none of them took the request. */
private fun RoutingState.overload(admitted: AdmittedRequest, now: Timestamp): String {
    val known = members[admitted.service].orEmpty().mapNotNull { endpoints[it] }
    val usable = known.filter { it.isUsable(now) && !isOutdated(it, admitted, now) }
    val shortest = usable.minOfOrNull { it.tokenCost * it.waitingTokens(now).toDouble() } ?: Duration.ZERO
    return "no endpoint was free in time: ${usable.size} of ${known.size} usable, ${known.count { it.isChanging }} change their weights, " +
        "shortest queue ${shortest.inWholeMilliseconds} ms, fleet ${fleet.number}"
}

private fun RoutingState.overRate(workspace: WorkspaceName, admitted: AdmittedRequest, now: Timestamp): String {
    val pool = tokens.poolOf(workspace)
    return "workspace $workspace is over its rate: ${admitted.tokens} tokens wanted, ${pool.available} here, ${pool.asked} asked for " +
        "${(now - pool.askedAt).inWholeMilliseconds} ms ago"
}

/** A request may come again after about as long as it was held here. */
private fun retryAfter(admitted: AdmittedRequest): Duration = admitted.queueDeadline - admitted.arrived

internal fun quarantined(): Refusal =
    Refusal(RefusalKind.QUARANTINED, "this request is held back: endpoints died while they worked on it")
