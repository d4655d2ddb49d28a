/**
 * Tests placement by the memory, the speed and the queue of each endpoint.
 */
package sniperoute.request

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.junit.jupiter.api.Test
import sniperoute.request.routing.decision.CapacityPlacement
import sniperoute.request.routing.decision.RoutingSettings
import sniperoute.request.routing.decision.heldTokens
import sniperoute.request.routing.decision.timeRatio
import sniperoute.request.routing.message.*
import sniperoute.version.message.EndpointName
import sniperoute.version.message.EndpointWorkload
import sniperoute.version.message.FleetWorkload
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.seconds

class CapacityTest {
    private val always = RoutingSettings(capacityPlacement = CapacityPlacement.ALWAYS)

    private fun driver(vararg names: String, settings: RoutingSettings = always) =
        ListedDriver(settings).apply { input(fleet(1, *names.map { fleetEndpoint(it) }.toTypedArray())) }

    private fun ListedDriver.share(vararg work: EndpointWorkload) =
        input(FleetWorkloadReceived(FleetWorkload(persistentListOf(*work), persistentListOf())))

    private fun ListedDriver.state(ratio: Double, id: String) =
        input(ResponseHeadReceived(RequestId(id), ResponseLoadReport(timeRatio = ratio)))

    @Test
    fun `a large request is not placed where requests of other routers hold the memory, and a small one fits beside them`() {
        val router = driver("a", "b")
        router.share(EndpointWorkload(EndpointName("a"), 8, 0, 75_000), EndpointWorkload(EndpointName("b"), 8, 0, 76_000))
        expectThat(router.send("1")).isNull()
        val small = listedRequest("2", router.now).copy(promptTokens = 800, chain = persistentListOf(), blockTokens = persistentListOf())
        expectThat(router.input(RequestAdmitted(small)).filterIsInstance<Dispatch>().firstOrNull()).isNotNull()
    }

    @Test
    fun `a shared beginning of prompts counts once in the memory of an endpoint`() {
        val router = driver("a")
        repeat(3) { router.send("$it") }
        expectThat(
            router.state.endpoints
                .getValue(EndpointName("a"))
                .heldTokens(router.now),
        ).isEqualTo(6_300L + 3 * (2_700 + 20))
    }

    @Test
    fun `a request does not wait for the endpoint that caches its prompt while another can serve it in time`() {
        listOf(RoutingSettings() to false, always to true).forEach { (settings, isServed) ->
            val router = driver("a", "b", settings = settings)
            val long = { id: String -> listedRequest(id, router.now).copy(blockTokens = persistentListOf(2_500, 8_900, 9_000)) }
            val send = { id: String -> router.input(RequestAdmitted(long(id))).filterIsInstance<Dispatch>().firstOrNull() }
            val holder = send("1")!!.endpoint.name
            router.input(AttemptEnded(RequestId("1"), AttemptCompleted(9_000, 0, 20, false)))
            router.share(EndpointWorkload(holder, 2, 13_000))
            val sent = send("x")
            if (isServed) expectThat(sent?.endpoint?.name).isNotNull().isNotEqualTo(holder) else expectThat(sent).isNull()
        }
    }

    @Test
    fun `less urgent prompts that wait do not keep an urgent one away`() {
        val router = driver("a")
        val byRank = persistentMapOf(1 to 50_000L)
        router.share(EndpointWorkload(EndpointName("a"), 5, 50_000, waitingByRank = byRank))
        expectThat(router.send("1", route = review.copy(rank = 1))).isNull()
        expectThat(router.send("2", route = review.copy(rank = 0))).isNotNull()
    }

    @Test
    fun `a stated time is bounded, reaches the other routers and expires`() {
        val router = driver("a", settings = RoutingSettings(capacityPlacement = CapacityPlacement.WHERE_STATED))
        val name = EndpointName("a")
        router.send("1")
        listOf(2.5 to 2.5, 1e9 to 100.0, 0.0 to 50.05).forEach { (stated, believed) ->
            router.state(stated, "1")
            expectThat(
                router.state.endpoints
                    .getValue(name)
                    .timeRatio(router.now),
            ).isEqualTo(believed)
        }
        val report = router
            .wait(60)
            .filterIsInstance<ReportWorkload>()
            .single()
            .report
        val other = driver("a", settings = RoutingSettings(capacityPlacement = CapacityPlacement.WHERE_STATED))
        other.share(*report.work.toTypedArray())
        expectThat(
            other.state.endpoints
                .getValue(name)
                .timeRatio(other.now),
        ).isGreaterThan(50.0)
        other.wait(1_100)
        expectThat(
            other.state.endpoints
                .getValue(name)
                .timeRatio(other.now),
        ).isEqualTo(1.0)
    }
}
