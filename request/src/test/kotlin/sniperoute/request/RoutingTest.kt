/**
 * Routing under failures: what may be tried again, where nothing goes any more, and what is held back.
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
    private val handbook = listOf(11L, 12L, 13L, 14L, 15L)

    private fun driver(engines: Int = 4, slots: Int = 4) =
        RoutingDriver(catalogueItems(engines, slots)).also { driver -> repeat(engines) { driver.report("e$it") } }

    private fun Dispatch?.place(): String? = this?.endpoint?.name?.text

    @Test
    fun `a prefix goes where it is cached, and to the same place on every router that knows nothing`() {
        val places = List(3) { driver().send(admitted("x", chain = handbook, tokens = 10_100)).place() }
        expectThat(places.distinct()).hasSize(1)
        val router = driver()
        val first = router.send(admitted("1", chain = handbook, tokens = 10_100)).place()
        router.end("1")
        val second = router.send(admitted("2", chain = handbook + 99L, tokens = 12_100)).place()
        expectThat(second).isEqualTo(first)
    }

    @Test
    fun `a prefix of another workspace, older weights or a dead run of an engine is not taken for cached`() {
        val router = driver()
        val home = router.send(admitted("1", chain = handbook, tokens = 10_100)).place()!!
        router.end("1")
        val held = { weights: WeightsVersion -> router.state.cacheIndex.heldPieces(handbook, weights, router.now)[EndpointName(home)] ?: 0 }
        expectThat(held(v1)).isEqualTo(5)
        expectThat(held(v2)).isEqualTo(0)
        router.report(home, incarnation = "another run")
        expectThat(held(v1)).isEqualTo(0)
    }

    @Test
    fun `after a gap in an engine's events older knowledge is believed for a while only`() {
        val known = emptyPrefixCacheIndex().addBlocks(EndpointName("e0"), handbook.map { cacheKey(it, v1) }, start)
        val gapped = known.noteGap(EndpointName("e0"), start + 1.seconds)
        expectThat(gapped.heldPieces(handbook, v1, start + 2.seconds)[EndpointName("e0")]).isEqualTo(5)
        expectThat(gapped.heldPieces(handbook, v1, start + 7.seconds)[EndpointName("e0")]).isNull()
    }

    @Test
    fun `a hot prefix spreads before its engine is full`() {
        val router = driver(engines = 4, slots = 16)
        val places = (1..24).map { number ->
            router
                .send(admitted("$number", chain = handbook, tokens = 10_100))
                .place()
                .also { router.input(FirstTokenCame(RequestId("$number"), 50.milliseconds)) }
        }
        expectThat(places.distinct().size).isGreaterThan(1)
        expectThat(
            places
                .groupingBy { it }
                .eachCount()
                .values
                .max(),
        ).isLessThan(16)
    }

    @Test
    fun `a broken attempt is tried elsewhere, as far as the call may be repeated`() {
        val router = driver()
        val first = router.send(admitted("1")).place()
        val again = router.breakOff("1").filterIsInstance<Dispatch>().single()
        expectThat(again.endpoint.name.text).isNotEqualTo(first!!)
        expectThat(again.isFresh).isEqualTo(true)

        val once = router.send(admitted("2", route = confirm))
        expectThat(once).isNotNull()
        expectThat(router.breakOff("2").single()).isA<GiveUp>()
    }

    @Test
    fun `a call that may run only once goes to another endpoint only when not a byte was sent`() {
        val router = driver()
        val first = router.send(admitted("1", route = confirm)).place()
        val effects = router.end("1", Unanswered(Reach.NOT_RUN, false, "no connection"))
        expectThat(
            effects
                .filterIsInstance<Dispatch>()
                .single()
                .endpoint.name.text,
        ).isNotEqualTo(first!!)
    }

    @Test
    fun `whatever fails, a call that may run only once is sent at most once`() {
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
                        0, 1 -> router.input(Arrived(admitted("$step", route = confirm, at = router.now)))
                        2 -> running.randomOrNull(random)?.let { id ->
                            sent.merge(id, 1, Int::plus)
                            router.end(
                                id,
                                Unanswered(Reach.entries.filter { !it.isNotRun }.random(random), random.nextBoolean(), "x"),
                            )
                        }
                        3 -> running.randomOrNull(random)?.let { router.end(it, Unanswered(Reach.NOT_RUN, true, "x")) }
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
            var effects = router.input(Arrived(admitted("$number", at = router.now)))
            while (effects.any { it is Dispatch }) {
                dispatched += 1
                effects = router.end("$number", Unanswered(Reach.WRONG, true, "x"))
            }
        }
        expectThat(dispatched).isLessThanOrEqualTo(1_000 + 100 + 20 + 2)
    }

    @Test
    fun `an endpoint that leaves gets nothing new, by its own word, by the platform's, or by failing`() {
        val router = driver(engines = 2)
        router.report("e0", isLeaving = true)
        expectThat(List(4) { router.send(admitted("a$it")).place() }.toSet()).isEqualTo(setOf("e1"))
        val other = driver(engines = 2)
        other.input(EndpointsLeaving(persistentListOf(EndpointName("e1"))))
        expectThat(List(4) { other.send(admitted("b$it")).place() }.toSet()).isEqualTo(setOf("e0"))
        val failing = driver(engines = 2)
        val bad = failing.send(admitted("1")).place()!!
        failing.end("1", Unanswered(Reach.NOT_RUN, true, "refused"))
        expectThat(List(2) { failing.send(admitted("c$it")).place() }.contains(bad)).isEqualTo(false)
    }

    @Test
    fun `an endpoint that went silent on a connection gets nothing new for a while, though its events go on`() {
        val router = driver(engines = 2)
        val silent = router.send(admitted("1")).place()!!
        router.end("1", Unanswered(Reach.SILENT, true, "nothing came"))
        router.end("1")
        repeat(20) { number ->
            router.now += 100.milliseconds
            router.report(silent)
            expectThat(router.send(admitted("s$number", at = router.now)).place()).isNotEqualTo(silent)
            router.end("s$number")
        }
    }

    @Test
    fun `a request that broke when its endpoint died is reported, and given up at the second death`() {
        val router = driver()
        val first = router.send(admitted("killer")).place()!!
        router.breakOff("killer")
        val charged = router.input(EndpointStreamLost(EndpointName(first))).filterIsInstance<ReportCrash>().single()
        expectThat(charged.digests).contains(RequestDigest("digest-killer"))
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
        val dead = router.state.running.values
            .groupBy { it.endpoint }
            .maxByOrNull { it.value.size }!!
        dead.value.forEach { router.breakOff(it.admitted.id.text) }
        router.input(EndpointStreamLost(dead.key))
        val suspects = router.state.running.values
            .filter { it.admitted.digest in router.state.suspects }
        val later = dead.value.map { it.admitted.id.text }.map { RequestId(it) }
        router.now += 5.seconds
        router.input(null)
        val perEndpoint = router.state.endpoints.values
            .map { state -> state.own.values.count { it.isSuspect } }
        expectThat(perEndpoint.max()).describedAs("$suspects of $later").isLessThanOrEqualTo(1)
    }

    @Test
    fun `a request that is held back is refused, also when it waits already`() {
        val router = RoutingDriver(catalogueItems(1, slots = 1))
        router.send(admitted("1"))
        router.send(admitted("2"))
        val held =
            view(
                catalogueItems(1, slots = 1) + QuarantineItem(RequestDigest("digest-2")) + QuarantineItem(RequestDigest("digest-3")),
                revision = 2,
            )
        val refused = router.input(ViewChanged(held)).filterIsInstance<Refuse>().single()
        expectThat(refused.refusal.kind).isEqualTo(RefusalKind.QUARANTINED)
        expectThat(router.input(Arrived(admitted("3"))).filterIsInstance<Refuse>()).hasSize(1)
    }

    @Test
    fun `a request whose key is withdrawn while it waits is refused as not run`() {
        val router = RoutingDriver(catalogueItems(1, slots = 1))
        router.send(admitted("1"))
        router.send(admitted("2"))
        val without = catalogueItems(1, slots = 1).filter { it.name != ItemName(ItemKind.KEY, "ka") }
        val refused = router.input(ViewChanged(view(without, revision = 2))).filterIsInstance<Refuse>().single()
        expectThat(refused.refusal.kind).isEqualTo(RefusalKind.UNKNOWN_KEY)
    }

    @Test
    fun `a router whose lease ran out sends nothing more`() {
        val router = driver()
        router.now = start + 2.seconds * 3_600
        val refused = router.input(Arrived(admitted("1", at = router.now))).single()
        expectThat((refused as Refuse).refusal.kind).isEqualTo(RefusalKind.NOT_READY)
    }

    @Test
    fun `nothing is sent without tokens, and a workspace over its rate is refused at its deadline`() {
        val router = RoutingDriver(catalogueItems(2), tokens = false)
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
    fun `tokens that a request did not need serve the next one or go back`() {
        val router = RoutingDriver(catalogueItems(2), tokens = false)
        router.input(Arrived(admitted("1", tokens = 1_000)))
        router.input(TokensGranted(WorkspaceName("a"), 1_000, kotlin.time.Duration.ZERO))
        router.end("1", Answered(100, 0, 0, false))
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
    fun `during a move the share decides, and weights that an engine does not serve are never asked of it`() {
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
    fun `a cancelled request frees its place`() {
        val router = RoutingDriver(catalogueItems(1, slots = 1))
        router.send(admitted("1"))
        router.send(admitted("2"))
        expectThat(
            router
                .input(Cancelled(RequestId("1")))
                .filterIsInstance<Dispatch>()
                .single()
                .id.text,
        ).isEqualTo("2")
        router.input(Cancelled(RequestId("2")))
        expectThat(router.state.running.keys).isEmpty()
    }

    @Test
    fun `a decision takes little time with 100,000 known pieces`() {
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
                router.input(Arrived(request))
                val taken = System.nanoTime() - begun
                router.end("$number")
                taken / 1_000
            }.drop(2_000)
            .sorted()
        println("decision with 100,000 pieces: p50 ${samples[samples.size / 2]} microseconds, p99 ${samples[samples.size * 99 / 100]}")
        expectThat(samples[samples.size / 2]).isLessThan(1_000)
    }
}
