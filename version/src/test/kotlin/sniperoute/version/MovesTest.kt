/**
 * Moves of weights: each is done by its deadline or rolled back, and bad versions are detected.
 */
package sniperoute.version

import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.collections.immutable.toImmutableMap
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import sniperoute.process.clock.Timestamp
import sniperoute.process.identity.FailureDomain
import sniperoute.version.decision.*
import sniperoute.version.message.*
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class MovesTest {
    private val old = WeightsVersion("v1")
    private val new = WeightsVersion("v2")
    private val route = RouteName("chat")
    private val start = Timestamp(1_000_000_000)

    private fun service(count: Int): Service {
        val endpoints = List(count) { Endpoint(EndpointName("e$it"), "h", it + 1, FailureDomain("d"), 8, false) }
        return Service(ServiceName("s"), ServiceKind.MODEL, endpoints.toPersistentList(), old, null)
    }

    /**
     * Simulates a move and returns its states with the time since its start. [evidence] returns the evidence about the new version in the
     * current step, given the time since the start of the move.
     */
    private fun simulate(
        count: Int,
        deadline: Duration,
        loadTime: Duration = 500.milliseconds,
        evidence: (Duration) -> EvidenceSum,
    ): List<Pair<Duration, Move>> {
        val service = service(count)
        var move = startMove(service, old, DeclaredMove(new, deadline.inWholeMilliseconds), start, 1, 1)
        var loaded = service.endpoints.associate { it.name to old }
        val loadingSince = mutableMapOf<EndpointName, Timestamp>()
        var stepStarted = start
        val history = mutableListOf(Duration.ZERO to move)
        var now = start
        while (move.isRunning && now < start + deadline * 3) {
            now += 50.milliseconds
            val loading = move.assigned
                .filter { loaded[it.key] != it.value }
                .keys
                .sorted()
                .take(2)
            loading.forEach { loadingSince.putIfAbsent(it, now) }
            loading.filter { now - loadingSince.getValue(it) >= loadTime }.forEach {
                loaded = loaded + (it to move.assigned.getValue(it))
                loadingSince.remove(it)
            }
            val healthy = noEvidence().let { none -> (1..50).fold(none) { sum, _ -> sum.addResponse(20.0) } }
            val observed = if (move.share > 0) evidence(now - start) else noEvidence()
            val observation = MoveObservation(stepStarted, loaded.toImmutableMap(), listOf(RouteComparison(route, healthy, observed)))
            val transition = decideMove(move, service, observation, now) as? MoveTransition ?: continue
            if (transition.share != move.share) stepStarted = now
            move = move.applyTransition(transition, move.fence + 1)
            history += (now - start) to move
        }
        return history
    }

    private fun answered(count: Int, milliseconds: Double = 20.0): EvidenceSum =
        (1..count).fold(noEvidence()) { sum, _ -> sum.addResponse(milliseconds) }

    private fun failed(count: Int, of: EvidenceSum): EvidenceSum = (1..count).fold(of) { sum, _ -> sum.addFailure() }

    @Test
    fun `a good version is done before its deadline, in steps that begin with at most 5 percent`() {
        val history = simulate(8, 60.seconds) { answered(30) }
        expectThat(history.last().second.stage).isEqualTo(MoveStage.DONE)
        expectThat(history.last().first).isLessThan(60.seconds)
        expectThat(history.map { it.second.share }.first { it > 0 }).isLessThanOrEqualTo(50)
        expectThat(history.map { it.second.share }).isEqualTo(history.map { it.second.share }.sorted())
    }

    @Test
    fun `a good version that loads slowly is still done, or rolled back by the deadline`() {
        expectThat(simulate(8, 60.seconds, loadTime = 3.seconds) { answered(30) }.last().second.stage).isEqualTo(MoveStage.DONE)
        val late = simulate(8, 10.seconds, loadTime = 4.seconds) { answered(30) }
        expectThat(late.last().second.stage).isEqualTo(MoveStage.TAKEN_BACK)
        expectThat(late.first { it.second.stage == MoveStage.TAKING_BACK }.first).isLessThanOrEqualTo(10.seconds + 50.milliseconds)
    }

    @Test
    fun `a version that fails at once gets no more than the first share`() {
        val history = simulate(8, 60.seconds) { failed(3, noEvidence()) }
        expectThat(history.maxOf { it.second.share }).isEqualTo(50)
        expectThat(history.last().second.stage).isEqualTo(MoveStage.TAKEN_BACK)
        expectThat(history.last().second.reason).contains("3 of 3 failed")
    }

    @Test
    fun `a version that fails later or is slow under load is rolled back when the evidence shows it, and gets no more requests at once`() {
        val later = simulate(8, 60.seconds) { if (it > 25.seconds) failed(5, answered(20)) else answered(30) }
        val slow = simulate(8, 60.seconds) { if (it > 25.seconds) answered(40, milliseconds = 80.0) else answered(30) }
        listOf(later, slow).forEach { history ->
            val rollback = history.first { it.second.stage == MoveStage.TAKING_BACK }
            expectThat(rollback.second.share).isEqualTo(0)
            expectThat(rollback.first).isLessThanOrEqualTo(25.seconds + 100.milliseconds)
            expectThat(history.last().second.stage).isEqualTo(MoveStage.TAKEN_BACK)
        }
    }

    @Test
    fun `a version that is bad on one route only is detected there`() {
        val good = RouteComparison(route, answered(100), answered(100))
        val bad = RouteComparison(RouteName("summary"), answered(100), failed(4, answered(10)))
        val move = startMove(service(4), old, DeclaredMove(new, 60_000), start, 1, 1).copy(share = 50, stage = MoveStage.FIRST_SHARE)
        val transition = decideMove(move, service(4), MoveObservation(start, move.assigned, listOf(good, bad)), start + 1.seconds)
        expectThat((transition as MoveTransition).stage).isEqualTo(MoveStage.TAKING_BACK)
        expectThat(transition.reason).contains("summary")
    }

    @Test
    fun `the share of a version without requests on a busy route is not widened`() {
        val history = simulate(8, 30.seconds) { noEvidence() }
        expectThat(history.maxOf { it.second.share }).isEqualTo(50)
        expectThat(history.last().second.stage).isEqualTo(MoveStage.TAKEN_BACK)
    }

    @Test
    fun `whatever the evidence, a move ends, its share only grows until it is rolled back, and both versions are served meanwhile`() {
        runBlocking {
            checkAll(Arb.long(), Arb.int(2..12)) { seed, count ->
                val random = Random(seed)
                val history = simulate(count, 20.seconds, loadTime = random.nextInt(100, 2_000).milliseconds) {
                    failed(if (random.nextInt(200) == 0) 4 else 0, answered(random.nextInt(40)))
                }
                expectThat(history.last().second.isRunning).describedAs("seed $seed").isEqualTo(false)
                history.filter { it.second.stage != MoveStage.TAKING_BACK && it.second.share < 1_000 }.forEach { (_, move) ->
                    expectThat(move.assigned.values.count { it == old }).isGreaterThanOrEqualTo(1)
                }
                val shares = history.map { it.second }.takeWhile { it.stage != MoveStage.TAKING_BACK }.map { it.share }
                expectThat(shares).isEqualTo(shares.sorted())
            }
        }
    }

    @Test
    fun `evidence of several routers is summed, and only evidence since the start of the step counts`() {
        val key = EvidenceKey(ServiceName("s"), route, new)
        val before = noEvidenceTable().put(key, answered(10))
        val now = listOf(before, noEvidenceTable().put(key, failed(2, answered(5)))).total()
        val comparison = compareVersions(ServiceName("s"), old, new, before, now).single()
        expectThat(comparison.new.answered).isEqualTo(5)
        expectThat(comparison.new.failed).isEqualTo(2)
        expectThat(evidenceTable(now.toReport())).isEqualTo(now)
    }
}
