/**
 * Load commands to listed endpoints, some of which are lost, delayed or rejected.
 */
package sniperoute.version

import io.kotest.property.Arb
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableMap
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import sniperoute.process.clock.Timestamp
import sniperoute.process.identity.FailureDomain
import sniperoute.version.decision.*
import sniperoute.version.message.*
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val model = ModelName("m")
private val service = ServiceName("s")
private val start = Timestamp(1_000_000_000)

private fun listed(name: String, incarnation: String = "1", weights: Long = 1) = ListedEndpoint(
    Endpoint(EndpointName(name), "h", 1, FailureDomain("d"), 64, true),
    service,
    incarnation,
    "v1",
    false,
    mapOf(model to weights).toImmutableMap(),
)

private fun report(weights: Long, count: Long, isBusy: Boolean = false) =
    EndpointReport("1", persistentMapOf(model to weights), count, isBusy)

/** A simulated endpoint: it accepts a command only when the command count matches, and one command at a time. */
private class SimulatedEndpoint(var weights: Long = 1) {
    var count = 0L
    var loading: Long? = null
    var loadedAt = start
    val delayed = mutableListOf<Pair<Timestamp, SendLoadCommand>>()

    fun receive(command: SendLoadCommand, now: Timestamp): LoadCommandOutcome {
        finishLoading(now)
        if (loading != null || command.count != count) return LoadCommandOutcome.CONFLICT
        if (command.number == weights) return LoadCommandOutcome.HOLDS
        count += 1
        loading = command.number
        loadedAt = now + 600.milliseconds
        return LoadCommandOutcome.TAKEN
    }

    fun finishLoading(now: Timestamp) {
        val number = loading ?: return
        if (now >= loadedAt) {
            weights = number
            loading = null
        }
    }
}

class WeightLoadsTest {
    private fun reconcile(loads: WeightLoads, number: Long, now: Timestamp): LoadStep =
        loads.reconcile(mapOf(model to ModelWeights(model, number, start)), { listOf(model) }, now)

    private fun reportedLoads(vararg weights: Long): WeightLoads = weights.foldIndexed(
        noWeightLoads(start).withListing(weights.mapIndexed { index, number -> listed("e$index", weights = number) }),
    ) { index, loads, number -> loads.reportRead(EndpointName("e$index"), report(number, 0), start) }

    @Test
    fun `the endpoints furthest behind load first`() {
        val planned = reconcile(reportedLoads(3, 1, 2, 3), 4, start).loads
        val chosen = planned.endpoints.values
            .filter { it.openCommand != null }
            .map { it.listed.endpoint.name.text }
        expectThat(chosen.sorted()).isEqualTo(listOf("e1", "e2"))
    }

    @Test
    fun `routers have time to stop using an endpoint before its command is sent`() {
        val planned = reconcile(reportedLoads(1, 1), 2, start)
        expectThat(planned.effects).isEmpty()
        expectThat(
            planned.loads.endpoints.values
                .count { it.openCommand != null },
        ).isEqualTo(1)
        expectThat(reconcile(planned.loads, 2, start + 50.milliseconds).effects.filterIsInstance<SendLoadCommand>()).hasSize(1)
    }

    @Test
    fun `a command without a reply is sent again with the same count, so that only one of them is accepted`() {
        val planned = reconcile(reportedLoads(1, 1), 2, start).loads
        val first = reconcile(planned, 2, start + 50.milliseconds)
        val name = first.effects
            .filterIsInstance<SendLoadCommand>()
            .single()
            .listed.endpoint.name
        val lost = first.loads.commandEnded(name, 2, LoadCommandOutcome.LOST, start + 900.milliseconds)
        val resent = reconcile(lost, 2, start + 2.seconds).effects.filterIsInstance<SendLoadCommand>().single()
        expectThat(resent.count).isEqualTo(
            first.effects
                .filterIsInstance<SendLoadCommand>()
                .single()
                .count,
        )
    }

    @Test
    fun `an endpoint that was loading when its service lost the model does not count as loading for good`() {
        val planned = reconcile(reportedLoads(1, 1), 2, start).loads
        val commanded = reconcile(planned, 2, start + 50.milliseconds)
        val name = commanded.effects
            .filterIsInstance<SendLoadCommand>()
            .single()
            .listed.endpoint.name
        val loading = commanded.loads.commandEnded(name, 2, LoadCommandOutcome.TAKEN, start + 60.milliseconds)
        val last = (1..100).fold(loading) { loads, step ->
            val now = start + 60.milliseconds + 100.milliseconds * step
            val next = loads.reconcile(emptyMap(), { emptyList() }, now)
            next.effects.filterIsInstance<ReadEndpoint>().fold(next.loads) { read, effect ->
                read.reportRead(effect.listed.endpoint.name, report(2, 1), now)
            }
        }
        expectThat(last.endpoints.getValue(name).isBusy).isFalse()
        expectThat(last.endpoints.getValue(name).openCommand).isNull()
    }

    @Test
    fun `a leader whose command was rejected by a higher fencing token sends no more commands`() {
        val fenced = reportedLoads(1, 1, 1).commandEnded(EndpointName("e0"), 2, LoadCommandOutcome.FENCED, start)
        expectThat(
            reconcile(fenced, 2, start + 10.seconds)
                .loads.endpoints.values
                .count { it.openCommand != null },
        ).isEqualTo(0)
    }

    @Test
    fun `a new leader sends no command before its grace period is over, and none to busy endpoints`() {
        val initial = noWeightLoads(start + 3.seconds).withListing(listOf(listed("e0"), listed("e1")))
        val read = reconcile(initial, 2, start)
        expectThat(read.effects).hasSize(2).all { get { this is ReadEndpoint }.isTrue() }
        val reported = read.loads
            .reportRead(EndpointName("e0"), report(1, 4, isBusy = true), start)
            .reportRead(EndpointName("e1"), report(1, 2), start)
        expectThat(
            reconcile(reported, 2, start + 1.seconds)
                .loads.endpoints.values
                .count { it.openCommand != null },
        ).isEqualTo(0)
        val due = reconcile(reported, 2, start + 3.seconds).loads.endpoints
        expectThat(due.filterValues { it.openCommand != null }.keys.map { it.text }).isEqualTo(listOf("e1"))
    }

    @Test
    fun `whatever is lost or delayed, every endpoint loads the newest weights, and no delayed command reverts them`() {
        runBlocking {
            checkAll(Arb.long()) { seed ->
                val random = Random(seed)
                val names = List(6) { EndpointName("e$it") }
                val endpoints = names.associateWith { SimulatedEndpoint() }
                var loads = noWeightLoads(start).withListing(names.map { listed(it.text) })
                var now = start
                var number = 1L
                var mostOpen = 0
                repeat(600) { round ->
                    now += 50.milliseconds
                    if (round % 60 == 0 && round < 240) number += 1
                    endpoints.values.forEach { endpoint ->
                        endpoint.finishLoading(now)
                        endpoint.delayed.filter { it.first <= now }.forEach { endpoint.receive(it.second, now) }
                        endpoint.delayed.removeAll { it.first <= now }
                    }
                    val step = reconcile(loads, number, now)
                    loads = step.loads
                    mostOpen = maxOf(mostOpen, loads.endpoints.values.count { it.openCommand != null })
                    step.effects.forEach { effect ->
                        val name = effect.listed.endpoint.name
                        val endpoint = endpoints.getValue(name)
                        loads = when (effect) {
                            is ReadEndpoint -> loads.reportRead(
                                name,
                                report(endpoint.weights, endpoint.count, endpoint.loading != null),
                                now,
                            )
                            is SendLoadCommand -> {
                                val isDelayed = round < 300 && random.nextInt(3) == 0
                                if (isDelayed) endpoint.delayed += (now + random.nextInt(2_000, 12_000).milliseconds) to effect
                                val outcome = if (isDelayed) LoadCommandOutcome.LOST else endpoint.receive(effect, now)
                                loads.commandEnded(name, effect.number, outcome, now)
                            }
                        }
                    }
                }
                expectThat(mostOpen).describedAs("seed $seed").isLessThanOrEqualTo(names.size / 2)
                expectThat(endpoints.values.map { it.weights }).describedAs("seed $seed").all { isEqualTo(number) }
            }
        }
    }
}
