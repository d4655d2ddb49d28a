/**
 * Tests routing with prefix caches and under failures: retries, ejection of endpoints, quarantine, tokens and moves.
 */
package sniperoute.request

import io.kotest.property.Arb
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import sniperoute.request.admission.decision.RefusalKind
import sniperoute.request.prefix.decision.cacheKey
import sniperoute.request.routing.decision.*
import sniperoute.request.routing.message.*
import sniperoute.version.message.*
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RoutingTest {
    private val sharedChain = listOf(11L, 12L, 13L, 14L, 15L)

    private fun driver(engines: Int = 4, slots: Int = 4) =
        RoutingDriver(catalogueItems(engines, slots)).also { driver -> repeat(engines) { driver.report("e$it") } }

    private fun Dispatch?.target(): String? = this?.endpoint?.name?.text

    @Test
    fun `a prefix goes to the endpoint that caches it, and routers with empty cache indexes choose the same endpoint`() {
        val targets = List(3) { driver().send(admitted("x", chain = sharedChain, tokens = 10_100)).target() }
        expectThat(targets.distinct()).hasSize(1)
        val router = driver()
        val first = router.send(admitted("1", chain = sharedChain, tokens = 10_100)).target()
        router.end("1")
        val second = router.send(admitted("2", chain = sharedChain + 99L, tokens = 12_100)).target()
        expectThat(second).isEqualTo(first)
    }

    @Test
    fun `a prefix under other weights or from an earlier incarnation of an engine does not count as cached`() {
        val router = driver()
        val holder = router.send(admitted("1", chain = sharedChain, tokens = 10_100)).target()!!
        router.end("1")
        val cached = { weights: WeightsVersion ->
            router.state.cacheIndex.cachedBlocks(sharedChain, weights, router.now)[EndpointName(holder)]
                ?: 0
        }
        expectThat(cached(v1)).isEqualTo(5)
        expectThat(cached(v2)).isEqualTo(0)
        router.report(holder, incarnation = "another incarnation")
        expectThat(cached(v1)).isEqualTo(0)
    }

    @Test
    fun `entries from before a gap in an engine's events expire`() {
        val index = emptyPrefixCacheIndex().addBlocks(EndpointName("e0"), sharedChain.map { cacheKey(it, v1) }, start)
        val withGap = index.recordGap(EndpointName("e0"), start + 1.seconds)
        expectThat(withGap.cachedBlocks(sharedChain, v1, start + 2.seconds)[EndpointName("e0")]).isEqualTo(5)
        expectThat(withGap.cachedBlocks(sharedChain, v1, start + 7.seconds)[EndpointName("e0")]).isNull()
    }

    @Test
    fun `a hot prefix spreads before its engine is full`() {
        val router = driver(engines = 4, slots = 16)
        val targets = (1..24).map { number ->
            router
                .send(admitted("$number", chain = sharedChain, tokens = 10_100))
                .target()
                .also { router.input(FirstTokenReceived(RequestId("$number"), 50.milliseconds)) }
        }
        expectThat(targets.distinct().size).isGreaterThan(1)
        expectThat(
            targets
                .groupingBy { it }
                .eachCount()
                .values
                .max(),
        ).isLessThan(16)
    }

    @Test
    fun `a broken attempt is retried at another endpoint if the call may be repeated`() {
        val router = driver()
        val first = router.send(admitted("1")).target()
        val retry = router.breakOff("1").filterIsInstance<Dispatch>().single()
        expectThat(retry.endpoint.name.text).isNotEqualTo(first!!)
        expectThat(retry.isFresh).isEqualTo(true)

        val once = router.send(admitted("2", route = confirm))
        expectThat(once).isNotNull()
        expectThat(router.breakOff("2").single()).isA<GiveUp>()
    }

    @Test
    fun `a once-only call is retried at another endpoint only if no byte of it was sent`() {
        val router = driver()
        val first = router.send(admitted("1", route = confirm)).target()
        val effects = router.end("1", AttemptFailed(AttemptFailureKind.NOT_RUN, false, "no connection"))
        expectThat(
            effects
                .filterIsInstance<Dispatch>()
                .single()
                .endpoint.name.text,
        ).isNotEqualTo(first!!)
    }

    @Test
    fun `a once-only call is sent at most once, whatever fails`() {
        runBlocking {
            checkAll(Arb.long()) { seed ->
                val random = Random(seed)
                val router = driver()
                val sent = mutableMapOf<String, Int>()
                repeat(80) { step ->
                    router.now += random.nextInt(200).milliseconds
                    val running = router.state.running.keys
                        .map { it.text }
                    val effects = when (random.nextInt(5)) {
                        0, 1 -> router.input(RequestAdmitted(admitted("$step", route = confirm, at = router.now)))
                        2 -> running.randomOrNull(random)?.let { id ->
                            sent.merge(id, 1, Int::plus)
                            router.end(
                                id,
                                AttemptFailed(AttemptFailureKind.entries.filter { !it.isNotRun }.random(random), random.nextBoolean(), "x"),
                            )
                        }
                        3 -> running.randomOrNull(random)?.let { router.end(it, AttemptFailed(AttemptFailureKind.NOT_RUN, true, "x")) }
                        else -> router.input(null)
                    }.orEmpty()
                    effects.filterIsInstance<Dispatch>().forEach {
                        expectThat(
                            sent[it.id.text] ?: 0,
                        ).describedAs("seed $seed").isEqualTo(0)
                    }
                }
            }
        }
    }

    @Test
    fun `retries stay within their budget when everything fails`() {
        val router = driver(engines = 8, slots = 1_000)
        var dispatched = 0
        repeat(1_000) { number ->
            router.now += 1.milliseconds
            var effects = router.input(RequestAdmitted(admitted("$number", at = router.now)))
            while (effects.any { it is Dispatch }) {
                dispatched += 1
                effects = router.end("$number", AttemptFailed(AttemptFailureKind.WRONG, true, "x"))
            }
        }
        expectThat(dispatched).isLessThanOrEqualTo(1_000 + 100 + 20 + 2)
    }

    @Test
    fun `an endpoint gets no requests after it or the platform reports that it leaves, or after it fails`() {
        val router = driver(engines = 2)
        router.report("e0", isLeaving = true)
        expectThat(List(4) { router.send(admitted("a$it")).target() }.toSet()).isEqualTo(setOf("e1"))
        val other = driver(engines = 2)
        other.input(EndpointsLeaving(persistentListOf(EndpointName("e1"))))
        expectThat(List(4) { other.send(admitted("b$it")).target() }.toSet()).isEqualTo(setOf("e0"))
        val failing = driver(engines = 2)
        val bad = failing.send(admitted("1")).target()!!
        failing.end("1", AttemptFailed(AttemptFailureKind.NOT_RUN, true, "refused"))
        expectThat(List(2) { failing.send(admitted("c$it")).target() }.contains(bad)).isEqualTo(false)
    }

    @Test
    fun `an endpoint with a silent connection gets no requests for a while, even if its event stream goes on`() {
        val router = driver(engines = 2)
        val silent = router.send(admitted("1")).target()!!
        router.end("1", AttemptFailed(AttemptFailureKind.SILENT, true, "nothing came"))
        router.end("1")
        repeat(20) { number ->
            router.now += 100.milliseconds
            router.report(silent)
            expectThat(router.send(admitted("s$number", at = router.now)).target()).isNotEqualTo(silent)
            router.end("s$number")
        }
    }

    @Test
    fun `a stalled attempt is kept while no endpoint takes another one, and replaced as soon as one does`() {
        val router = driver(engines = 2)
        val silent = router.send(admitted("1")).target()!!
        val other = listOf("e0", "e1").single { it != silent }
        val stalled = AttemptStalled(RequestId("1"), true, "nothing came")
        router.report(other, isLeaving = true)
        expectThat(router.input(stalled)).contains(KeepAttempt(RequestId("1")))
        expectThat(router.state.running.keys).contains(RequestId("1"))
        router.report(other)
        expectThat(router.input(stalled).filterIsInstance<Dispatch>().single()).and {
            get { endpoint.name.text }.isEqualTo(other)
            get { attempt }.isEqualTo(2)
        }
        expectThat(
            router.state.endpoints
                .getValue(EndpointName(silent))
                .ownRequests.size,
        ).isEqualTo(0)
    }

    @Test
    fun `a stalled attempt that may not be repeated is kept`() {
        val router = driver(engines = 2)
        router.send(admitted("1"))
        expectThat(router.input(AttemptStalled(RequestId("1"), false, "nothing came"))).contains(KeepAttempt(RequestId("1")))
        router.send(admitted("2", route = chat.copy(mostEndpoints = 1)))
        expectThat(router.input(AttemptStalled(RequestId("2"), true, "nothing came"))).contains(KeepAttempt(RequestId("2")))
        expectThat(router.state.running.keys).contains(RequestId("1"), RequestId("2"))
    }

    @Test
    fun `a request that broke in an endpoint's crash is reported, and is given up at the second crash`() {
        val router = driver()
        val first = router.send(admitted("killer")).target()!!
        router.breakOff("killer")
        val report = router.input(EndpointStreamLost(EndpointName(first))).filterIsInstance<ReportCrash>().single()
        expectThat(report.digests).contains(RequestDigest("digest-killer"))
        val second = router.state.running
            .getValue(RequestId("killer"))
            .endpoint
        val effects = router.input(EndpointStreamLost(second)) + router.breakOff("killer")
        expectThat(effects.filterIsInstance<ReportCrash>().single().endpoint).isEqualTo(second)
        expectThat(effects.filterIsInstance<GiveUp>()).hasSize(1)
    }

    @Test
    fun `two suspects never share an endpoint`() {
        val router = driver(engines = 3)
        repeat(6) { router.send(admitted("s$it")) }
        val crashed = router.state.running.values
            .groupBy { it.endpoint }
            .maxByOrNull { it.value.size }!!
        crashed.value.forEach { router.breakOff(it.request.id.text) }
        router.input(EndpointStreamLost(crashed.key))
        val suspects = router.state.running.values
            .filter { it.request.digest in router.state.suspects }
        val ids = crashed.value.map { it.request.id.text }.map { RequestId(it) }
        router.now += 5.seconds
        router.input(null)
        val perEndpoint = router.state.endpoints.values
            .map { state -> state.ownRequests.values.count { it.isSuspect } }
        expectThat(perEndpoint.max()).describedAs("$suspects of $ids").isLessThanOrEqualTo(1)
    }

    @Test
    fun `a quarantined request is refused, even if it is already in the queue`() {
        val router = RoutingDriver(catalogueItems(1, slots = 1))
        router.send(admitted("1"))
        router.send(admitted("2"))
        val quarantined =
            view(
                catalogueItems(1, slots = 1) + QuarantineItem(RequestDigest("digest-2")) + QuarantineItem(RequestDigest("digest-3")),
                revision = 2,
            )
        val refused = router.input(ViewChanged(quarantined)).filterIsInstance<Refuse>().single()
        expectThat(refused.refusal.kind).isEqualTo(RefusalKind.QUARANTINED)
        expectThat(router.input(RequestAdmitted(admitted("3"))).filterIsInstance<Refuse>()).hasSize(1)
    }

    @Test
    fun `a queued request is refused as not run when its key is withdrawn`() {
        val router = RoutingDriver(catalogueItems(1, slots = 1))
        router.send(admitted("1"))
        router.send(admitted("2"))
        val without = catalogueItems(1, slots = 1).filter { it.name != ItemName(ItemKind.KEY, "ka") }
        val refused = router.input(ViewChanged(view(without, revision = 2))).filterIsInstance<Refuse>().single()
        expectThat(refused.refusal.kind).isEqualTo(RefusalKind.UNKNOWN_KEY)
    }

    @Test
    fun `a router with an expired lease dispatches no requests`() {
        val router = driver()
        router.now = start + 2.seconds * 3_600
        val refused = router.input(RequestAdmitted(admitted("1", at = router.now))).single()
        expectThat((refused as Refuse).refusal.kind).isEqualTo(RefusalKind.NOT_READY)
    }

    @Test
    fun `nothing is dispatched without tokens, and a request over the workspace's rate is refused at its deadline`() {
        val router = RoutingDriver(catalogueItems(2), grantsTokens = false)
        expectThat(router.send(admitted("1"))).isNull()
        expectThat(
            router.effects
                .filterIsInstance<RequestTokens>()
                .single()
                .tokens,
        ).isEqualTo(100)
        router.now += 31.seconds
        expectThat((router.input(null).filterIsInstance<Refuse>().single()).refusal.kind).isEqualTo(RefusalKind.OVER_RATE)
    }

    @Test
    fun `unused tokens of a request serve the next one or are returned`() {
        val router = RoutingDriver(catalogueItems(2), grantsTokens = false)
        router.input(RequestAdmitted(admitted("1", tokens = 1_000)))
        router.input(TokensGranted(WorkspaceName("a"), 1_000, kotlin.time.Duration.ZERO))
        router.end("1", AttemptCompleted(100, 0, 0, false))
        expectThat(
            router.state.tokens
                .poolOf(WorkspaceName("a"))
                .available,
        ).isEqualTo(900)
        router.now += 3.seconds
        val returned = router.input(null).filterIsInstance<ReturnTokens>().sumOf { it.tokens }
        expectThat(returned).isEqualTo(900)
    }

    @Test
    fun `during a move the share decides, and an engine gets no requests for weights that it does not serve`() {
        val move = Move(
            ServiceName("model"),
            v1,
            v2,
            0,
            Long.MAX_VALUE,
            MoveStage.FIRST_SHARE,
            250,
            mapOf(EndpointName("e0") to v2, EndpointName("e1") to v1, EndpointName("e2") to v1, EndpointName("e3") to v1).toPersistentMap(),
            1,
            1,
            "",
        )
        val router = RoutingDriver(catalogueItems(4, slots = 1_000) + MoveItem(move))
        router.report("e0", weights = v2)
        (1..3).forEach { router.report("e$it", weights = v1) }
        val sent = List(800) { router.send(admitted("m$it"))!! }
        sent.forEach { expectThat(it.weights).isEqualTo(if (it.endpoint.name.text == "e0") v2 else v1) }
        expectThat(sent.count { it.weights == v2 }).isGreaterThan(140).isLessThan(260)
        router.report("e0", weights = v1)
        expectThat(List(50) { router.send(admitted("n$it"))!! }.count { it.weights == v2 }).isEqualTo(0)
    }

    @Test
    fun `a cancelled request frees its slot`() {
        val router = RoutingDriver(catalogueItems(1, slots = 1))
        router.send(admitted("1"))
        router.send(admitted("2"))
        expectThat(
            router
                .input(RequestCancelled(RequestId("1")))
                .filterIsInstance<Dispatch>()
                .single()
                .id.text,
        ).isEqualTo("2")
        router.input(RequestCancelled(RequestId("2")))
        expectThat(router.state.running.keys).isEmpty()
    }

    @Test
    fun `a decision takes less than a millisecond at the median with 100,000 cached blocks`() {
        val router = driver(engines = 8, slots = 100_000)
        (0L until 100_000L step 500).forEach { first ->
            router.input(
                CacheChanged(
                    EndpointName("e${first % 8}"),
                    "i-e${first % 8}",
                    persistentListOf<Long>().addAll(
                        (
                            first until
                                first + 500
                        ).map { cacheKey(it, v1) },
                    ),
                    persistentListOf(),
                    false,
                ),
            )
        }
        val samples = (1..6_000)
            .map { number ->
                val request = admitted("$number", chain = (number * 7L until number * 7L + 12).toList(), tokens = 24_100)
                val begun = System.nanoTime()
                router.input(RequestAdmitted(request))
                val taken = System.nanoTime() - begun
                router.end("$number")
                taken / 1_000
            }.drop(2_000)
            .sorted()
        println(
            "decision with 100,000 cached blocks: p50 ${samples[samples.size / 2]} microseconds, p99 ${samples[samples.size * 99 / 100]}",
        )
        expectThat(samples[samples.size / 2]).isLessThan(1_000)
    }
}
