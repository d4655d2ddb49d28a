/**
 * Tests of evacuated failure domains at routers: nothing new goes there from the view that names them on, and requests go there again
 * after the end.
 */
package sniperoute.request

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import org.junit.jupiter.api.Test
import sniperoute.process.identity.FailureDomain
import sniperoute.request.admission.decision.Outcome
import sniperoute.request.admission.decision.ServingView
import sniperoute.request.routing.decision.RoutingState
import sniperoute.request.routing.decision.earliestFirstToken
import sniperoute.request.routing.decision.newRoutingState
import sniperoute.request.routing.decision.step
import sniperoute.request.routing.message.*
import sniperoute.version.decision.FleetView
import sniperoute.version.decision.advance
import sniperoute.version.decision.emptyCatalogue
import sniperoute.version.message.*
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotEmpty
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.random.Random
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val domains = listOf("a", "b", "c").map(::FailureDomain)
private val order = Route(
    name = RouteName("order"),
    path = "/order",
    service = ServiceName("orders"),
    requestClass = RequestClass.CONFIRMATION,
    deadlineMilliseconds = 6_000,
    gapMilliseconds = 1_600,
    repetition = Repetition.ONCE_ONLY,
    isOpen = true,
    objectiveMilliseconds = 800,
)

/** One router of a fleet with a model service on the list and a declared plain service. */
private class EvacuationDriver {
    var now = start
    var state: RoutingState = newRoutingState(start - 60.seconds)
    private var revision = 1L
    private val orders = Service(
        ServiceName("orders"),
        ServiceKind.PLAIN,
        domains.map { endpoint("o-${it.text}").copy(failureDomain = it) }.toPersistentList(),
        null,
        null,
    )

    init {
        evacuate(emptySet())
        list(List(6) { domains[it % domains.size] })
    }

    fun evacuate(evacuated: Set<FailureDomain>): List<RoutingEffect> {
        revision += 1
        val all = items(1) + ServiceItem(orders) + RouteItem(order) + evacuated.map { EvacuationItem(it, start) }
        val changes = all.map { ItemChange(revision, it.name, it) }.toPersistentList()
        return input(ViewChanged(ServingView(emptyCatalogue().advance(RenewReply(1, 1, revision, 1, true, changes)), now + 1.hours)))
    }

    fun list(where: List<FailureDomain>): List<RoutingEffect> {
        val endpoints = where.mapIndexed { index, domain ->
            val listed = fleetEndpoint("e$index")
            listed.copy(listed = listed.listed.copy(endpoint = listed.listed.endpoint.copy(failureDomain = domain)))
        }
        revision += 1
        return input(FleetChanged(FleetView(revision, endpoints.fold(persistentMapOf()) { all, one -> all.put(one.name, one) })))
    }

    fun input(input: RoutingInput?): List<RoutingEffect> {
        val step = state.step(earliestFirstToken(2.0), now, input)
        state = step.state
        return step.effects
    }

    fun send(id: String, route: Route = review, session: Long = id.hashCode().toLong()): List<RoutingEffect> =
        input(RequestAdmitted(listedRequest(id, now, session, route).copy(model = if (route == order) null else model)))

    fun fail(id: String, kind: AttemptFailureKind): List<RoutingEffect> = input(AttemptEnded(RequestId(id), AttemptFailed(kind, true, "x")))
}

private fun List<RoutingEffect>.domains(): List<FailureDomain> = filterIsInstance<Dispatch>().map { it.endpoint.failureDomain }

private fun List<RoutingEffect>.refusal() = filterIsInstance<Refuse>().singleOrNull()?.refusal

class EvacuationsTest {
    @Test
    fun `an evacuated domain gets nothing new, the others do, and it returns after the end`() {
        val router = EvacuationDriver()
        router.evacuate(setOf(domains[0]))
        val sent = (1..60).flatMap { router.send("e$it", if (it % 3 == 0) order else review).domains() }
        expectThat(sent.distinct().toSet()).isEqualTo(setOf(domains[1], domains[2]))
        val after = router.evacuate(emptySet()).domains()
        expectThat(after.distinct()).describedAs("queued requests").containsExactly(domains[0])
    }

    @Test
    fun `running work is left to end, and its retry goes elsewhere`() {
        val router = EvacuationDriver()
        val first = router.send("1", session = 7).domains().single()
        expectThat(router.evacuate(setOf(first))).isEmpty()
        expectThat(
            router.state.running.keys
                .map { it.text },
        ).containsExactly("1")
        val next = router.fail("1", AttemptFailureKind.NOT_RUN).domains()
        expectThat(next.single()).not().isEqualTo(first)
    }

    @Test
    fun `a stalled attempt is not replaced in an evacuated domain`() {
        val router = EvacuationDriver()
        router.list(listOf(domains[0], domains[1]))
        val first = router.send("1").domains().single()
        router.evacuate(domains.filter { it == first || it == domains[2] }.toSet() + (domains - first).take(1))
        val effects = router.input(AttemptStalled(RequestId("1"), true, "silent"))
        expectThat(effects.domains()).isEmpty()
        expectThat(effects.filterIsInstance<KeepAttempt>()).isNotEmpty()
    }

    @Test
    fun `without an endpoint elsewhere, requests are refused at once as not run, with a time to return`() {
        val router = EvacuationDriver()
        router.evacuate(domains.toSet())
        listOf(review, order).forEach { route ->
            val refusal = router.send("1-${route.name}", route).refusal()
            expectThat(refusal?.outcome).isEqualTo(Outcome.NOT_RUN)
            expectThat(refusal?.retryAfter).isNotNull().isGreaterThan(0.milliseconds)
        }
        router.evacuate(setOf(domains[0]))
        expectThat(router.send("2").refusal()).isNull()
    }

    @Test
    fun `queued requests are refused when the last domain with endpoints is evacuated`() {
        val router = EvacuationDriver()
        router.list(listOf(domains[0]))
        repeat(64) { router.send("r$it") }
        expectThat(router.send("queued").domains()).isEmpty()
        val refused = router.evacuate(setOf(domains[0])).filterIsInstance<Refuse>()
        expectThat(refused.map { it.id.text }).contains("queued")
        expectThat(refused.map { it.refusal.outcome }).all { isEqualTo(Outcome.NOT_RUN) }
    }

    /** Several routers learn of changes at different times; none sends anything to a domain that its own view names as evacuated. */
    @Test
    fun `over any history no router sends anything to a domain that it knows as evacuated`() {
        var returned = 0
        repeat(40) { seed ->
            val random = Random(seed)
            val routers = List(3) { EvacuationDriver() }
            val known = MutableList(3) { emptySet<FailureDomain>() }
            var evacuated = emptySet<FailureDomain>()
            val open = List(3) { mutableListOf<String>() }
            repeat(300) { number ->
                val index = random.nextInt(3)
                val router = routers[index]
                routers.forEach { it.now += random.nextInt(40).milliseconds }
                val effects = when (random.nextInt(9)) {
                    0 -> {
                        val domain = domains.random(random)
                        evacuated = if (domain in evacuated) evacuated - domain else evacuated + domain
                        known[index] = evacuated
                        router.evacuate(evacuated)
                    }
                    1 -> {
                        known[index] = evacuated
                        router.evacuate(evacuated)
                    }
                    2 -> router.list(List(1 + random.nextInt(6)) { domains.random(random) })
                    3 -> router.input(null)
                    4, 5 -> open[index].removeLastOrNull()?.let { router.fail(it, AttemptFailureKind.entries.random(random)) }.orEmpty()
                    else -> router.send("$number", if (random.nextInt(3) == 0) order else review)
                }
                effects.filterIsInstance<Dispatch>().forEach { open[index] += it.id.text }
                expectThat(effects.domains()).describedAs("seed $seed, input $number").all { not().isIn(known[index]) }
                returned += effects.domains().size
            }
        }
        expectThat(returned).isGreaterThan(1_000)
    }
}

private fun <T> strikt.api.Assertion.Builder<T>.isIn(set: Set<T>) = assert("is in $set") { if (it in set) pass() else fail() }
