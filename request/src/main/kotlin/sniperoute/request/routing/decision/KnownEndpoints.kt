/**
 * The endpoints that a router knows: those that are declared, and those that the platform lists for listed services.
 */
package sniperoute.request.routing.decision

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import sniperoute.process.clock.Timestamp
import sniperoute.version.message.Endpoint
import sniperoute.version.message.EndpointName
import sniperoute.version.message.FleetEndpoint
import sniperoute.version.message.ModelName
import sniperoute.version.message.Service
import sniperoute.version.message.ServiceName
import sniperoute.version.message.WeightsVersion

/** Returns the state with the endpoints of the present catalogue and fleet; those that came back as another run count as dead before. */
internal fun RoutingState.withKnownEndpoints(now: Timestamp): RoutingStep {
    val listed = fleet.endpoints.values.filter { view.catalogue.services[it.listed.service]?.isListed ?: false }
    val reborn = listed.filter { endpoints[it.name]?.isEarlierRunOf(it) ?: false }.map { it.name }
    return reborn.fold(unchanged()) { step, name -> step.then { it.onDeath(name, now) } }.then { it.rebuilt(listed).unchanged() }
}

private fun EndpointState.isEarlierRunOf(listed: FleetEndpoint): Boolean = incarnation != null && incarnation != listed.listed.incarnation

private fun RoutingState.rebuilt(listed: List<FleetEndpoint>): RoutingState {
    val declared = view.catalogue.services.values
        .filter { !it.isListed }
        .flatMap { service -> service.endpoints.map { service to it } }
    val kept = declared.fold(endpoints.clear()) { all, (service, endpoint) ->
        all.put(endpoint.name, endpoints[endpoint.name]?.redeclared(service, endpoint) ?: newEndpoint(service, endpoint))
    }
    val all = listed.fold(kept) { known, endpoint -> known.put(endpoint.name, relisted(endpoint)) }
    val gone = endpoints.keys.filter { it !in all }
    val members = all.values.groupBy { it.service }.mapValues { (_, states) -> states.map { it.endpoint.name }.sorted().toPersistentList() }
    return copy(
        endpoints = all,
        members = persistentMapOf<ServiceName, PersistentList<EndpointName>>().putAll(members),
        cacheIndex = gone.fold(cacheIndex, PrefixCacheIndex::forget),
    )
}

private fun newEndpoint(service: Service, endpoint: Endpoint): EndpointState = EndpointState(endpoint, service.name, service.kind)

private fun EndpointState.redeclared(service: Service, declared: Endpoint): EndpointState =
    copy(endpoint = declared, service = service.name, kind = service.kind)

private fun RoutingState.relisted(fleetEndpoint: FleetEndpoint): EndpointState {
    val listed = fleetEndpoint.listed
    val service = view.catalogue.services.getValue(listed.service)
    val name = listed.endpoint.name
    val known = endpoints[name]?.takeIf { it.incarnation == listed.incarnation }
        ?: EndpointState(listed.endpoint, service.name, service.kind, incarnation = listed.incarnation, diedAt = lastDeath(name))
    return known.copy(
        endpoint = listed.endpoint,
        release = listed.release,
        isLeaving = listed.isLeaving,
        isChanging = fleetEndpoint.isChanging,
        modelWeights = known.newestWeights(fleetEndpoint.weights),
    )
}

private fun RoutingState.lastDeath(name: EndpointName): Timestamp = endpoints[name]?.diedAt ?: Timestamp.EARLIEST

/** What an answer said may be newer than the leader's view, never older weights than that. */
private fun EndpointState.newestWeights(told: Map<ModelName, Long>): PersistentMap<ModelName, WeightsVersion> =
    told.entries.fold(modelWeights) { all, (model, number) ->
        if (number > weightsNumber(model)) all.put(model, WeightsVersion(number.toString())) else all
    }
