/**
 * The endpoints that a router knows: those in the catalogue, and those that the platform lists for listed services.
 */
package sniperoute.request.routing.decision

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import sniperoute.process.clock.Timestamp
import sniperoute.version.decision.FleetView
import sniperoute.version.message.Endpoint
import sniperoute.version.message.EndpointName
import sniperoute.version.message.FleetEndpoint
import sniperoute.version.message.ModelName
import sniperoute.version.message.Service
import sniperoute.version.message.ServiceName
import sniperoute.version.message.WeightsVersion

/**
 * Returns the state with the endpoints of the current catalogue and fleet. A listed endpoint with a new incarnation counts as having
 * crashed.
 */
internal fun RoutingState.withKnownEndpoints(now: Timestamp): RoutingStep {
    val listed = fleet.endpoints.values.filter { view.catalogue.services[it.listed.service]?.isListed ?: false }
    val restarted = listed.filter { endpoints[it.name]?.isEarlierIncarnationOf(it) ?: false }.map { it.name }
    return restarted
        .fold(unchanged()) { step, name -> step.then { it.onCrash(name, now) } }
        .then { it.withEndpoints(listed, now).unchanged() }
}

/**
 * Returns the state after the fleet view [before] was replaced. Views change many times a second in a large fleet, mostly by the weights
 * of single endpoints; where the same endpoints are listed, only those that changed are looked at.
 */
internal fun RoutingState.withChangedEndpoints(before: FleetView, now: Timestamp): RoutingStep {
    val changed = fleet.endpoints.values.filter { before.endpoints[it.name] !== it }
    val isSameList = before.endpoints.size == fleet.endpoints.size &&
        changed.all { before.endpoints[it.name]?.listed?.service == it.listed.service }
    if (!isSameList) return withKnownEndpoints(now)
    val known = changed.filter { it.name in endpoints }
    return known
        .filter { endpoints.getValue(it.name).isEarlierIncarnationOf(it) }
        .fold(unchanged()) { step, endpoint -> step.then { it.onCrash(endpoint.name, now) } }
        .then { state ->
            val updated = known.fold(state.endpoints) { all, endpoint -> all.put(endpoint.name, state.listedState(endpoint, now)) }
            state.copy(endpoints = updated).unchanged()
        }
}

private fun EndpointState.isEarlierIncarnationOf(listed: FleetEndpoint): Boolean =
    incarnation != null && incarnation != listed.listed.incarnation

private fun RoutingState.withEndpoints(listed: List<FleetEndpoint>, now: Timestamp): RoutingState {
    val declared = view.catalogue.services.values
        .filter { !it.isListed }
        .flatMap { service -> service.endpoints.map { service to it } }
    val kept = declared.fold(endpoints.clear()) { all, (service, endpoint) ->
        all.put(endpoint.name, endpoints[endpoint.name]?.redeclared(service, endpoint) ?: newEndpoint(service, endpoint))
    }
    val all = listed.fold(kept) { known, endpoint -> known.put(endpoint.name, listedState(endpoint, now)) }
    val removed = endpoints.keys.filter { it !in all }
    val members = all.values.groupBy { it.service }.mapValues { (_, states) -> states.map { it.endpoint.name }.sorted().toPersistentList() }
    return copy(
        endpoints = all,
        members = persistentMapOf<ServiceName, PersistentList<EndpointName>>().putAll(members),
        cacheIndex = removed.fold(cacheIndex, PrefixCacheIndex::removeEndpoint),
    )
}

private fun newEndpoint(service: Service, endpoint: Endpoint): EndpointState = EndpointState(endpoint, service.name, service.kind)

private fun EndpointState.redeclared(service: Service, declared: Endpoint): EndpointState =
    copy(endpoint = declared, service = service.name, kind = service.kind)

private fun RoutingState.listedState(fleetEndpoint: FleetEndpoint, now: Timestamp): EndpointState {
    val listed = fleetEndpoint.listed
    val service = view.catalogue.services.getValue(listed.service)
    val name = listed.endpoint.name
    val known = endpoints[name]?.takeIf { it.incarnation == listed.incarnation }
        ?: EndpointState(listed.endpoint, service.name, service.kind, incarnation = listed.incarnation, crashedAt = lastCrash(name))
    return withListedWarming(known, fleetEndpoint, now).copy(
        endpoint = listed.endpoint,
        release = listed.release,
        isLeaving = listed.isLeaving,
        isChanging = fleetEndpoint.isChanging,
        modelWeights = known.newestWeights(fleetEndpoint.weights),
    )
}

private fun RoutingState.lastCrash(name: EndpointName): Timestamp = endpoints[name]?.crashedAt ?: Timestamp.EARLIEST

/** Weights only grow: those in the head of a response may be newer than those in the leader's view. */
private fun EndpointState.newestWeights(reported: Map<ModelName, Long>): PersistentMap<ModelName, WeightsVersion> =
    reported.entries.fold(modelWeights) { all, (model, number) ->
        if (number > weightsNumber(model)) all.put(model, WeightsVersion(number.toString())) else all
    }
