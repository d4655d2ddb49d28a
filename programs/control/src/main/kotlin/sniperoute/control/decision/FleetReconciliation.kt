/**
 * Reconciliation of listed services by the leader: it reads the platform's list, has endpoints load the newest weights, checks cache
 * stores, and notifies routers of changes to the fleet.
 */
package sniperoute.control.decision

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentSet
import sniperoute.control.message.*
import sniperoute.process.clock.Timestamp
import sniperoute.process.identity.VmName
import sniperoute.process.timeline.message.EventKind
import sniperoute.process.timeline.message.EventSubject
import sniperoute.version.decision.*
import sniperoute.version.decision.EndpointLoad
import sniperoute.version.decision.EvidenceTable
import sniperoute.version.decision.MaxOpenCommands
import sniperoute.version.decision.RunningRequests
import sniperoute.version.decision.fewestOpenCommands
import sniperoute.version.decision.isStrained
import sniperoute.version.decision.lateSince
import sniperoute.version.decision.maxOpenCommands
import sniperoute.version.decision.noEvidence
import sniperoute.version.decision.noLateness
import sniperoute.version.decision.openCommandsWithRoom
import sniperoute.version.decision.outdatedSinceOrNull
import sniperoute.version.decision.record
import sniperoute.version.decision.runningByEndpoint
import sniperoute.version.message.EndpointName
import sniperoute.version.message.FleetEndpoint
import sniperoute.version.message.STORE_UNREACHABLE
import kotlin.time.Duration.Companion.milliseconds

/** The list is read several times within the period in which no new requests may go to a leaving endpoint. */
private val LIST_INTERVAL = 600.milliseconds

/**
 * Returns the state in which load commands are allowed at once if nothing was ever configured or published: then no earlier leader has
 * sent any. Only a leader that has applied all entries of earlier terms can tell, so this is decided when it acts, not when it is elected.
 */
private fun ControlDutyState.withoutNeedlessGracePeriod(now: Timestamp): ControlDutyState {
    val leader = leaderState ?: return this
    val isFirstLeader = replicatedState.configurations.number == 0L && replicatedState.published.revision == 0L
    if (!isFirstLeader || leader.fleet != null) return this
    return updateLeader { withLoadsFrom(minOf(loads.loadCommandsAllowedFrom, now)) }
}

/** Returns the leader's state without known endpoints, in which load commands are allowed from [start] on. */
internal fun LeaderState.withLoadsFrom(start: Timestamp): LeaderState =
    copy(loads = noWeightLoads(start))

internal fun AgreementStatus.memberVms(): PersistentList<VmName> =
    membership.members
        .map { it.vm }
        .distinct()
        .toPersistentList()

/** Returns the state after what is due for listed services at [now]. */
internal fun ControlDutyState.reconcileFleet(status: AgreementStatus, now: Timestamp): ControlStep {
    val leader = leaderState ?: return unchanged()
    if (!settings.readsPlatformList) return unchanged()
    val current = withoutNeedlessGracePeriod(now)
    val listing = if (now < leader.nextListRead) {
        current.unchanged()
    } else {
        current.updateLeader { copy(nextListRead = now + LIST_INTERVAL) }.unchanged().emit(ReadPlatformList)
    }
    return listing.then { it.checkStores(now) }.then { it.reconcileLoads(status, now) { loads -> loads } }
}

/** A store that stops responding is detected within two intervals. */
private val STORE_CHECK_INTERVAL = 1_100.milliseconds

private fun ControlDutyState.checkStores(now: Timestamp): ControlStep {
    val leader = leaderState ?: return unchanged()
    if (now < leader.nextStoreCheck) return unchanged()
    val checks = replicatedState.stores().map { (name, address) -> CheckStore(name, address) }
    return checks.fold(updateLeader { copy(nextStoreCheck = now + STORE_CHECK_INTERVAL) }.unchanged()) { step, check -> step.emit(check) }
}

internal fun ControlDutyState.onStoreChecked(input: StoreChecked): ControlStep {
    val leader = leaderState ?: return unchanged()
    if (leader.storeIncarnations[input.service] == input.incarnation) return unchanged()
    val isDown = input.incarnation == STORE_UNREACHABLE
    val kind = if (isDown) EventKind.STORE_DOWN else EventKind.STORE_UP
    val detail = if (isDown) "the store does not respond" else "incarnation ${input.incarnation}"
    return updateLeader { copy(storeIncarnations = storeIncarnations.put(input.service, input.incarnation)) }
        .publishFleet()
        .emit(RecordTimelineEvent(kind, EventSubject(endpoint = input.service.text), detail))
}

internal fun ControlDutyState.onPlatformListRead(input: PlatformListRead, status: AgreementStatus, now: Timestamp): ControlStep {
    val listed = input.listed ?: return unchanged()
    val leader = leaderState ?: return unchanged()
    val fleet = leader.fleet ?: FleetView(firstFleetNumber(leader.term), persistentMapOf())
    val started = updateLeader { copy(fleet = fleet, lastListRead = now) }
    return started.learnStarts(listed, now).then { state -> state.reconcileLoads(status, now) { it.withListing(listed) } }
}

/**
 * Returns the state after [update] of the weight loads, with the reads and load commands that are due after it. Without the lease for
 * them nothing is due: replies still come in once another replica may lead.
 */
internal fun ControlDutyState.reconcileLoads(
    status: AgreementStatus,
    now: Timestamp,
    update: (WeightLoads) -> WeightLoads,
): ControlStep {
    val leader = leaderState ?: return unchanged()
    val updated = update(leader.loads)
    val mayCommand = isLeading(status, now) && status.maySendLoadCommand(leader.term, now)
    val running: RunningRequests = lazy(LazyThreadSafetyMode.NONE) { leader.workloads.runningByEndpoint() }::value
    val step = if (mayCommand) {
        val maxOpen = maxOpenCommands(leader, now, running)
        updated.reconcile(replicatedState.targetWeights(), replicatedState::modelsOf, now, maxOpen, running)
    } else {
        LoadStep(updated, emptyList())
    }
    val next = updateLeader { copy(loads = step.loads) }.unchanged()
    val emitted = step.effects.fold(next) { all, effect -> all.emit(PerformLoadEffect(effect, leader.term)) }
    return if (step.loads === leader.loads) emitted else emitted.then { it.publishFleet() }
}

private fun ControlDutyState.maxOpenCommands(
    leader: LeaderState,
    now: Timestamp,
    running: RunningRequests,
): MaxOpenCommands = { service, members, outdated ->
    val limit = settings.weightsLimit
    if (limit == null) {
        maxOpenCommands(members.size)
    } else {
        val since = outdated.map { it.outdatedSinceOrNull(targetWeights) ?: Timestamp.EARLIEST }
        val due = fewestOpenCommands(members.size, since, limit, now)
        val open = if (service in leader.strained) due else maxOf(due, members.openCommandsWithRoom(running()))
        (open - members.count { it.isBusy && it.openCommand == null }).coerceAtLeast(0)
    }
}

private fun List<EndpointLoad>.openCommandsWithRoom(running: Map<EndpointName, Int>): Int =
    openCommandsWithRoom(size, sumOf { it.listed.endpoint.slots }, sumOf { running[it.listed.endpoint.name] ?: 0 })

/** Counts the first tokens that a router reports [after] those that it reported [before], by the objectives of their routes. */
internal fun ControlDutyState.recordLateness(before: EvidenceTable?, after: EvidenceTable, now: Timestamp): ControlDutyState {
    if (before == null || settings.weightsLimit == null) return this
    val changed = after.filter { (key, sum) -> before[key]?.answered != sum.answered }
    return changed.entries.fold(this) { state, (key, sum) ->
        val objective = state.replicatedState.objectiveOrNull(key.route) ?: return@fold state
        val (late, total) = lateSince(before[key] ?: noEvidence(), sum, objective)
        state.updateLeader {
            copy(lateness = lateness.put(key.service, (lateness[key.service] ?: noLateness(now)).record(late, total, now)))
        }
    }
}

/** Records in the time line which services have become strained or are so no longer. */
internal fun ControlDutyState.reportStrain(now: Timestamp): ControlStep {
    val leader = leaderState ?: return unchanged()
    val strained = leader.lateness.filter { (service, lateness) -> lateness.isStrained(now, service in leader.strained) }.keys
    if (strained == leader.strained) return unchanged()
    val begun = (strained - leader.strained).map { service ->
        val lateness = leader.lateness.getValue(service)
        val detail = "service $service: ${(lateness.late * PERCENT / lateness.total).toInt()} % of the first tokens came late"
        RecordTimelineEvent(EventKind.SERVICE_STRAINED, EventSubject(), detail)
    }
    val ended = (leader.strained - strained).map { RecordTimelineEvent(EventKind.SERVICE_RELIEVED, EventSubject(), "service $it") }
    return (begun + ended).fold(
        updateLeader { copy(strained = strained.toPersistentSet()) }.unchanged(),
    ) { step, event -> step.emit(event) }
}

private const val PERCENT = 100

/** Computes the fleet view anew; when it differs from the last one, stores it and notifies routers of the changes. */
internal fun ControlDutyState.publishFleet(): ControlStep {
    val leader = leaderState ?: return unchanged()
    val before = leader.fleet ?: return unchanged()
    val endpoints = leader.loads.endpoints.values.fold(persistentMapOf<EndpointName, FleetEndpoint>()) { all, load ->
        val name = load.listed.endpoint.name
        // The time left changes with each list and says no more than whether the endpoint is cold.
        val listed = load.listed.copy(coldMilliseconds = 0)
        all.put(name, FleetEndpoint(listed, load.weights, load.isChanging, isWarming = name in leader.warming.byEndpoint))
    }
    val after = before.next(endpoints, leader.storeIncarnations)
    if (after === before) return unchanged()
    return updateLeader { copy(fleet = after) }
        .unchanged()
        .emit(NotifyRouters(leader.links.keys.toPersistentList(), after.noticeSince(before)))
}

/** Sends the total workload of all live routers at each endpoint to every router. */
internal fun ControlDutyState.broadcastWorkloads(now: Timestamp): ControlStep {
    val leader = leaderState ?: return unchanged()
    val live = leader.leases.routers
        .filterValues { it.until > now }
        .keys
    val step = leader.workloads.keepOnly(live).nextMessage(now)
    val next = updateLeader { copy(workloads = step.workloads) }
    val message = step.message ?: return next.unchanged()
    return next.unchanged().emit(NotifyRouters(leader.links.keys.toPersistentList(), message))
}

/** Sends the whole fleet view to the router at [to], unless [number], that of the router's view, is the current one. */
internal fun ControlDutyState.sendFleetIfStale(to: ReplyAddress, number: Long): ControlStep {
    val fleet = leaderState?.fleet ?: return unchanged()
    return if (fleet.number == number) unchanged() else unchanged().emit(SendSessionReply(to, fleet.fullNotice()))
}
