/**
 * Tests routing to endpoints that the platform lists: new target weights, endpoints that change their weights, workload reports of
 * other routers, and the retry budget.
 */
package sniperoute.request

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import org.junit.jupiter.api.Test
import sniperoute.process.clock.Timestamp
import sniperoute.process.identity.FailureDomain
import sniperoute.request.prefix.decision.contentHash
import sniperoute.request.routing.decision.*
import sniperoute.request.routing.message.*
import sniperoute.version.decision.FleetView
import sniperoute.version.message.*
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal val model = ModelName("m")
internal val service = ServiceName("desk")
private val store = StoreAddress("10.0.0.9", 80, FailureDomain("d"), 100_000)
internal val review = Route(
    name = RouteName("review"),
    path = "/",
    service = service,
    requestClass = RequestClass.DRAFTING,
    deadlineMilliseconds = 6_000,
    gapMilliseconds = 1_600,
    repetition = Repetition.REPEATABLE,
    isOpen = true,
    mostEndpoints = 2,
    objectiveMilliseconds = 800,
    isStreamed = true,
)

internal fun items(weights: Long): List<CatalogueItem> = listOf(
    ServiceItem(
        Service(
            service,
            ServiceKind.MODEL,
            persistentListOf(),
            null,
            null,
            isListed = true,
            engine = EngineProfile(64, 90_000, 1, 1.0, persistentListOf(model)),
        ),
    ),
    ServiceItem(Service(ServiceName("memory"), ServiceKind.STORE, persistentListOf(), null, null, store = store)),
    RouteItem(review),
    ModelWeightsItem(ModelWeights(model, weights, start)),
)

internal fun fleetEndpoint(name: String, weights: Long = 1, isChanging: Boolean = false, incarnation: String = "1") = FleetEndpoint(
    ListedEndpoint(
        Endpoint(EndpointName(name), "h-$name", 1, FailureDomain("d"), 64, true),
        service,
        incarnation,
        "v1",
        false,
        persistentMapOf(),
    ),
    persistentMapOf(model to weights),
    isChanging,
)

internal fun fleet(number: Long, vararg endpoints: FleetEndpoint) =
    FleetChanged(FleetView(number, endpoints.fold(persistentMapOf()) { all, endpoint -> all.put(endpoint.name, endpoint) }))

internal fun listedRequest(id: String, at: Timestamp, session: Long = 7, route: Route = review) = AdmittedRequest(
    id = RequestId(id),
    workspace = null,
    key = null,
    route = route,
    digest = RequestDigest("digest-$id"),
    hash = contentHash(id.toByteArray()),
    chain = listOf(1L, session, contentHash(id.toByteArray())).toPersistentList(),
    promptTokens = 9_000,
    answerTokens = 20,
    arrived = at,
    deadline = at + 6.seconds,
    model = model,
    blockTokens = persistentListOf(2_500, 6_300, 9_000),
    affinityKey = session,
    queueDeadline = at + 100.milliseconds,
)

internal class ListedDriver(settings: RoutingSettings = RoutingSettings(), weights: Long = 1) {
    var now = start
    var state = newRoutingState(start - 60.seconds, settings)

    init {
        input(ViewChanged(view(items(weights))))
    }

    fun input(input: RoutingInput?): List<RoutingEffect> {
        val step = state.step(earliestFirstToken(2.0), now, input)
        state = step.state
        return step.effects
    }

    fun send(id: String, session: Long = 7, route: Route = review): Dispatch? =
        input(RequestAdmitted(listedRequest(id, now, session, route))).filterIsInstance<Dispatch>().firstOrNull()

    fun end(id: String, kind: AttemptFailureKind): List<RoutingEffect> = input(AttemptEnded(RequestId(id), AttemptFailed(kind, true, "x")))

    fun wait(milliseconds: Int): List<RoutingEffect> {
        now += milliseconds.milliseconds
        return input(null)
    }
}

class ListedRoutingTest {
    @Test
    fun `an endpoint that is about to change its weights gets no requests`() {
        val router = ListedDriver()
        router.input(fleet(1, fleetEndpoint("a", isChanging = true), fleetEndpoint("b")))
        expectThat(List(8) { router.send("$it", session = it.toLong()) }.mapNotNull { it?.endpoint?.name?.text }.distinct())
            .isEqualTo(listOf("b"))
    }

    @Test
    fun `a request names the weights that its endpoint serves, and the newest are preferred`() {
        val router = ListedDriver(weights = 3)
        router.input(fleet(1, fleetEndpoint("a", weights = 2), fleetEndpoint("b", weights = 3)))
        val sent = router.send("1")!!
        expectThat(sent.endpoint.name.text).isEqualTo("b")
        expectThat(sent.weights).isEqualTo(WeightsVersion("3"))
    }

    @Test
    fun `weights are outdated since the first newer target weights, not since the newest`() {
        val router = ListedDriver(RoutingSettings(weightsLimit = 7.seconds), weights = 2)
        router.input(fleet(1, fleetEndpoint("a", weights = 1)))
        expectThat(router.send("1")).isNotNull()
        router.now += 6.seconds
        router.input(ViewChanged(view(items(3), revision = 2)))
        router.now += 2.seconds
        expectThat(router.send("2")).isNull()
        expectThat(router.wait(150).filterIsInstance<Refuse>()).hasSize(1)
    }

    @Test
    fun `routers with empty cache indexes choose the same preferred endpoint for a session`() {
        val choices = listOf("x", "y").map { first ->
            val router = ListedDriver()
            router.input(fleet(1, *List(6) { fleetEndpoint("e$it") }.toTypedArray()))
            router.send(first, session = 1)
            List(20) { router.send("$first$it", session = 100L + it)?.endpoint?.name }
        }
        expectThat(choices[0]).isEqualTo(choices[1])
    }

    @Test
    fun `blocks that another router's request computed are known here and are not saved twice`() {
        val first = ListedDriver()
        val second = ListedDriver()
        val members = List(6) { fleetEndpoint("e$it") }.toTypedArray()
        listOf(first, second).forEach { it.input(fleet(1, *members)) }
        val sent = first.send("1")!!
        expectThat(sent.storeTo).isEqualTo(store)
        val report = first
            .wait(60)
            .filterIsInstance<ReportWorkload>()
            .single()
            .report
        second.input(FleetWorkloadReceived(FleetWorkload(report.work, report.held)))
        val other = second.send("2")!!
        expectThat(other.endpoint.name).isEqualTo(sent.endpoint.name)
        expectThat(other.storeTo).isNull()
        expectThat(other.importFrom).isEqualTo(store)
    }

    @Test
    fun `the workload of other routers counts, and this router's own reported workload does not count twice`() {
        val router = ListedDriver()
        router.input(fleet(1, fleetEndpoint("a"), fleetEndpoint("b")))
        val name = router.send("1")!!.endpoint.name
        router.wait(60)
        router.input(FleetWorkloadReceived(FleetWorkload(persistentListOf(EndpointWorkload(name, 11, 90_000)), persistentListOf())))
        val endpoint = router.state.endpoints.getValue(name)
        expectThat(endpoint.freeSlots(router.now)).isEqualTo(64 - 11)
        expectThat(endpoint.waitingTokens(router.now)).isEqualTo(90_000)
        expectThat(router.send("2", session = 8)?.endpoint?.name).isNotEqualTo(name)
    }

    @Test
    fun `a rejected request is retried elsewhere a bounded number of times without counting as a run`() {
        val router = ListedDriver()
        router.input(fleet(1, *List(6) { fleetEndpoint("e$it") }.toTypedArray()))
        val once = review.copy(repetition = Repetition.ONCE_ONLY, mostEndpoints = 1)
        var sent = router.send("1", route = once)
        var count = 0
        while (sent != null) {
            count += 1
            sent = router.end("1", AttemptFailureKind.REJECTED).filterIsInstance<Dispatch>().firstOrNull()
        }
        expectThat(count).isEqualTo(3)
    }

    @Test
    fun `a request runs at no more endpoints than its route allows`() {
        val router = ListedDriver()
        router.input(fleet(1, *List(6) { fleetEndpoint("e$it") }.toTypedArray()))
        router.send("1")
        expectThat(router.end("1", AttemptFailureKind.BROKEN).filterIsInstance<Dispatch>()).hasSize(1)
        expectThat(router.end("1", AttemptFailureKind.FAULTED).single { it is GiveUp }).isA<GiveUp>()
    }

    @Test
    fun `retries stay within one router's share of the fleet's budget`() {
        val router = ListedDriver(RoutingSettings(RetryAllowance(ratio = 0.2, extra = 56.0, window = 10.seconds)))
        router.input(RouterCountChanged(8))
        router.input(fleet(1, *List(6) { fleetEndpoint("e$it") }.toTypedArray()))
        var retries = 0
        repeat(100) { number ->
            router.now += 50.milliseconds
            router.send("$number", session = number.toLong())
            retries += router.end("$number", AttemptFailureKind.BROKEN).filterIsInstance<Dispatch>().size
            router.end("$number", AttemptFailureKind.BROKEN)
        }
        expectThat(retries).isLessThanOrEqualTo((100 * 0.2 + 56.0 / 8).toInt())
    }

    @Test
    fun `an endpoint with a new incarnation has an empty cache, and the requests that broke there are charged with its crash`() {
        val router = ListedDriver()
        router.input(fleet(1, fleetEndpoint("a"), fleetEndpoint("b")))
        val sent = router.send("1")!!
        router.end("1", AttemptFailureKind.BROKEN)
        val others = listOf("a", "b").filter { it != sent.endpoint.name.text }.map { fleetEndpoint(it) }
        val effects = router.input(fleet(2, fleetEndpoint(sent.endpoint.name.text, incarnation = "2"), *others.toTypedArray()))
        expectThat(
            effects
                .filterIsInstance<ReportCrash>()
                .single()
                .digests
                .map { it.text },
        ).isEqualTo(listOf("digest-1"))
        val cached = router.state.cacheIndex.cachedBlocksAt(sent.endpoint.name, listOf(1L, 7L), WeightsVersion("1"), router.now)
        expectThat(cached).isEqualTo(0)
    }

    @Test
    fun `a router without contact to the control replicas spends its share of each rate, and no more`() {
        val limited = WorkspaceName("w")
        val items = items(1) + WorkspaceItem(Workspace(limited, tokensPerSecond = 80_000, burstTokens = 80_000))
        val router = ListedDriver(RoutingSettings(accruesWithoutControl = true))
        router.input(ViewChanged(view(items, revision = 2)))
        router.input(RouterCountChanged(8))
        router.input(fleet(1, *List(6) { fleetEndpoint("e$it") }.toTypedArray()))
        var sent = 0L
        repeat(400) { number ->
            router.now += 50.milliseconds
            val admitted = listedRequest("$number", router.now, number.toLong()).copy(workspace = limited, tokens = 9_000)
            val effects = router.input(null) + router.input(RequestAdmitted(admitted))
            effects.filterIsInstance<Dispatch>().forEach {
                sent += 9_000
                router.input(AttemptEnded(it.id, AttemptCompleted(null, null, null, false)))
            }
        }
        expectThat(sent).isGreaterThan(100_000)
        expectThat(sent).isLessThanOrEqualTo(20 * 10_000L + 10_000 + 9_000)
    }

    @Test
    fun `a request that its caller gives up on after the objective is evidence of a slow version`() {
        val router = ListedDriver()
        router.input(fleet(1, fleetEndpoint("a")))
        router.send("1")
        router.send("2")
        router.wait(200)
        router.input(RequestCancelled(RequestId("1")))
        router.wait(800)
        router.input(RequestCancelled(RequestId("2")))
        expectThat(
            router.state.evidence.values
                .sumOf { it.answered },
        ).isEqualTo(1)
    }

    @Test
    fun `an endpoint that is removed from the list gets no requests`() {
        val router = ListedDriver()
        router.input(fleet(1, fleetEndpoint("a")))
        router.input(fleet(2))
        expectThat(router.send("1")).isNull()
        expectThat(router.state.endpoints).isEmpty()
    }

    @Test
    fun `a service whose endpoints all fell silent gets a request at a time at each, not none for seconds`() {
        val router = ListedDriver()
        router.input(fleet(1, fleetEndpoint("a"), fleetEndpoint("b")))
        val once = review.copy(repetition = Repetition.ONCE_ONLY)
        val first = List(8) { "$it" }.mapNotNull { id -> router.send(id, session = id.toLong(), route = once) }
        expectThat(first.map { it.endpoint.name.text }.toSet()).isEqualTo(setOf("a", "b"))
        while (router.state.running.isNotEmpty()) {
            router.end(
                router.state.running.keys
                    .first()
                    .text,
                AttemptFailureKind.SILENT,
            )
        }
        router.wait(1_000)
        val sent = List(4) { router.send("later$it", session = it.toLong(), route = once) }.mapNotNull { it?.endpoint?.name?.text }
        expectThat(sent.sorted()).isEqualTo(listOf("a", "b"))
    }

    @Test
    fun `a fleet view that changes step by step leaves the same endpoints as one that is read at once`() {
        val random = Random(9)
        repeat(100) {
            val stepwise = ListedDriver()
            var entries = emptyMap<String, FleetEndpoint>()
            repeat(20) { number ->
                val name = "e${random.nextInt(6)}"
                val incarnation = "${1 + number / 8}"
                val next = fleetEndpoint(name, 1L + number / 5, random.nextBoolean(), incarnation)
                entries = if (random.nextInt(6) == 0) entries - name else entries + (name to next)
                stepwise.input(fleet(1L + number, *entries.values.toTypedArray()))
            }
            val atOnce = ListedDriver()
            atOnce.input(fleet(1, *entries.values.toTypedArray()))
            expectThat(stepwise.state.members).isEqualTo(atOnce.state.members)
            expectThat(stepwise.state.endpoints.mapValues { (_, state) -> Triple(state.isChanging, state.incarnation, state.release) })
                .isEqualTo(atOnce.state.endpoints.mapValues { (_, state) -> Triple(state.isChanging, state.incarnation, state.release) })
        }
    }

    @Test
    fun `work at an endpoint that is silent, or whose reports and listing are late, is neither started again nor given up`() {
        val router = ListedDriver()
        router.input(fleet(1, fleetEndpoint("a"), fleetEndpoint("b")))
        val running = checkNotNull(router.send("1"))
        val name = running.endpoint.name.text
        val quiet = (1..50).flatMap { router.wait(100) }
        val other = if (name == "a") "b" else "a"
        val unlisted = router.input(fleet(2, fleetEndpoint(other))) + (1..20).flatMap { router.wait(50) }
        val listedAgain = router.input(fleet(3, fleetEndpoint("a"), fleetEndpoint("b"))) + router.wait(50)
        expectThat((quiet + unlisted + listedAgain).filter { it is Dispatch || it is GiveUp || it is Refuse }).isEmpty()
        expectThat(
            router.state.running.keys
                .map { it.text },
        ).isEqualTo(listOf("1"))
    }
}
