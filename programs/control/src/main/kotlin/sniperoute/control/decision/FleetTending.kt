/**
 * What a leader does about listed services: it reads the platform's list, has endpoints load the newest weights, and tells routers
 * how the fleet changed.
 */
package sniperoute.control.decision

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import sniperoute.control.message.*
import sniperoute.process.clock.Timestamp
import sniperoute.process.identity.VmName
import sniperoute.process.timeline.message.EventKind
import sniperoute.process.timeline.message.EventSubject
import sniperoute.version.decision.*
import sniperoute.version.message.EndpointName
import sniperoute.version.message.FleetEndpoint
import sniperoute.version.message.STORE_UNREACHABLE
import kotlin.time.Duration.Companion.milliseconds

/** The list is read this often: several times within the time in which a leaving endpoint must be left alone. */
private val LIST_INTERVAL = 600.milliseconds

/** Orders of an earlier leader are over after the rest that the platform asks for; the very first leader has none before it. */
internal fun ControlDutyState.loadCommandGracePeriod(now: Timestamp): Timestamp {
    val isFirst = replicatedState.configurations.number == 0L && replicatedState.published.revision == 0L
    return if (isFirst) now else now + settings.loadCommandGracePeriod
}

internal fun Leadership.withOrdersAfter(moment: Timestamp): Leadership =
    copy(loads = noWeightLoads(moment))

internal fun AgreementStatus.memberVms(): PersistentList<VmName> =
    membership.members
        .map { it.vm }
        .distinct()
        .toPersistentList()

/** Returns the state after what is due for listed services. */
internal fun ControlDutyState.tendFleet(now: Timestamp): ControlStep {
    val known = leadership ?: return unchanged()
    if (!settings.readsPlatformList) return unchanged()
    val listing = if (now < known.nextList) unchanged() else lead { copy(nextList = now + LIST_INTERVAL) }.unchanged().emit(ReadList)
    return listing.then { it.readStores(now) }.then { it.tendLoads(now) { loads -> loads } }
}

/** A store that stops answering is noticed within two of these. */
private val STORE_INTERVAL = 1_100.milliseconds

private fun ControlDutyState.readStores(now: Timestamp): ControlStep {
    val known = leadership ?: return unchanged()
    if (now < known.nextStoreRead) return unchanged()
    val reads = replicatedState.stores().map { (name, place) -> ReadStore(name, place) }
    return reads.fold(lead { copy(nextStoreRead = now + STORE_INTERVAL) }.unchanged()) { step, read -> step.emit(read) }
}

internal fun ControlDutyState.onStoreSeen(input: StoreSeen): ControlStep {
    val known = leadership ?: return unchanged()
    if (known.stores[input.service] == input.incarnation) return unchanged()
    val isDown = input.incarnation == STORE_UNREACHABLE
    val kind = if (isDown) EventKind.STORE_DOWN else EventKind.STORE_UP
    val detail = if (isDown) "it does not answer" else "run ${input.incarnation}"
    return lead { copy(stores = stores.put(input.service, input.incarnation)) }
        .publishFleet()
        .emit(NoteEvent(kind, EventSubject(endpoint = input.service.text), detail))
}

internal fun ControlDutyState.onListed(input: EndpointsListed, now: Timestamp): ControlStep {
    val listed = input.listed ?: return unchanged()
    val known = leadership ?: return unchanged()
    val started = lead { copy(fleet = known.fleet ?: FleetView(firstFleetNumber(known.term), persistentMapOf())) }
    return started.tendLoads(now) { it.withListing(listed) }
}

/** Returns the state after [update] of what is known of the loads, with what is due after that. */
internal fun ControlDutyState.tendLoads(now: Timestamp, update: (WeightLoads) -> WeightLoads): ControlStep {
    val known = leadership ?: return unchanged()
    val step = update(known.loads).reconcile(replicatedState.targetWeights(), replicatedState::modelsOf, now)
    val next = lead { copy(loads = step.loads) }.unchanged()
    val asked = step.effects.fold(next) { all, action -> all.emit(AskEndpoint(action, known.term)) }
    return if (step.loads === known.loads) asked else asked.then { it.publishFleet() }
}

internal fun ControlDutyState.publishFleet(): ControlStep {
    val known = leadership ?: return unchanged()
    val before = known.fleet ?: return unchanged()
    val endpoints = known.loads.endpoints.values.fold(persistentMapOf<EndpointName, FleetEndpoint>()) { all, load ->
        all.put(load.listed.endpoint.name, FleetEndpoint(load.listed, load.weights, isChanging = load.open != null || load.isBusy))
    }
    val after = before.next(endpoints, known.stores)
    if (after === before) return unchanged()
    return lead { copy(fleet = after) }.unchanged().emit(NotifyRouters(known.links.keys.toPersistentList(), after.noticeSince(before)))
}

/** Tells routers what all of them have at endpoints. */
internal fun ControlDutyState.tellWork(now: Timestamp): ControlStep {
    val known = leadership ?: return unchanged()
    val live = known.leases.routers
        .filterValues { it.until > now }
        .keys
    val step = known.works.keepOnly(live).nextMessage(now)
    val next = lead { copy(works = step.works) }
    val message = step.message ?: return next.unchanged()
    return next.unchanged().emit(NotifyRouters(known.links.keys.toPersistentList(), message))
}

/** Sends the whole view to a router that has another one. */
internal fun ControlDutyState.sendFleet(to: ReplyAddress, known: Long): ControlStep {
    val fleet = leadership?.fleet ?: return unchanged()
    return if (fleet.number == known) unchanged() else unchanged().emit(SendSessionReply(to, fleet.fullNotice()))
}
