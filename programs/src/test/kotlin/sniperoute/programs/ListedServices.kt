/**
 * A listed service with one route, for tests that drive several routers without connections.
 */
package sniperoute.programs

import kotlinx.collections.immutable.persistentMapOf
import sniperoute.process.clock.Timestamp
import sniperoute.process.identity.FailureDomain
import sniperoute.version.decision.FleetView
import sniperoute.version.message.*

internal val listedService = ServiceName("desk")

internal val listedRoute = Route(
    name = RouteName("review"),
    path = "/",
    service = listedService,
    requestClass = RequestClass.DRAFTING,
    deadlineMilliseconds = 6_000,
    gapMilliseconds = 1_600,
    repetition = Repetition.REPEATABLE,
    isOpen = true,
    mostEndpoints = 2,
    objectiveMilliseconds = 800,
    isStreamed = true,
)

/** The time at which these tests start. */
internal val listedStart = Timestamp(1_000_000_000)

/** Returns the view [number] of endpoints `e0`, `e1` and so on, one for each of [incarnations], which serve [weights]. */
internal fun listedFleet(number: Long, incarnations: List<Int>, weights: Map<ModelName, Long>, slots: Int = 64): FleetView {
    val listed = incarnations.mapIndexed { index, incarnation ->
        val endpoint = Endpoint(EndpointName("e$index"), "h", index + 1, FailureDomain("d"), slots, true)
        FleetEndpoint(
            ListedEndpoint(endpoint, listedService, incarnation.toString(), "v1", false, persistentMapOf()),
            persistentMapOf<ModelName, Long>().putAll(weights),
            isChanging = false,
        )
    }
    return FleetView(number, listed.fold(persistentMapOf()) { all, endpoint -> all.put(endpoint.name, endpoint) })
}
