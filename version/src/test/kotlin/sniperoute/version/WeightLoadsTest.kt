/**
 * Which endpoints are ordered to load named weights, through lost, late and refused orders.
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
import strikt.assertions.isLessThanOrEqualTo
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

/** An endpoint that takes orders as the platform says: the count must fit, one order at a time. */
private class PlayedEndpoint(var weights: Long = 1) {
    var count = 0L
    var loading: Long? = null
    var doneAt = start
    val late = mutableListOf<Pair<Timestamp, SendLoadCommand>>()

    fun take(order: SendLoadCommand, now: Timestamp): LoadCommandOutcome {
        settle(now)
        if (loading != null || order.count != count) return LoadCommandOutcome.CONFLICT
        if (order.number == weights) return LoadCommandOutcome.HOLDS
        count += 1
        loading = order.number
        doneAt = now + 600.milliseconds
        return LoadCommandOutcome.TAKEN
    }

    fun settle(now: Timestamp) {
        val loads = loading ?: return
        if (now >= doneAt) {
            weights = loads
            loading = null
        }
    }
}

class WeightLoadsTest {
    private fun tend(loads: WeightLoads, number: Long, now: Timestamp): LoadStep =
        loads.reconcile(mapOf(model to ModelWeights(model, number, start)), { listOf(model) }, now)

    private fun known(vararg weights: Long): WeightLoads = weights.foldIndexed(
        noWeightLoads(start).withListing(weights.mapIndexed { position, number -> listed("e$position", weights = number) }),
    ) { position, loads, number -> loads.reportRead(EndpointName("e$position"), report(number, 0), start) }

    @Test
    fun `the endpoints furthest behind load first`() {
        val planned = tend(known(3, 1, 2, 3), 4, start).loads
        val chosen = planned.endpoints.values
            .filter { it.open != null }
            .map { it.listed.endpoint.name.text }
        expectThat(chosen.sorted()).isEqualTo(listOf("e1", "e2"))
    }

    @Test
    fun `routers have time to leave an endpoint alone before it is ordered`() {
        val planned = tend(known(1, 1), 2, start)
        expectThat(planned.effects).isEmpty()
        expectThat(
            planned.loads.endpoints.values
                .count { it.open != null },
        ).isEqualTo(1)
        expectThat(tend(planned.loads, 2, start + 50.milliseconds).effects.filterIsInstance<SendLoadCommand>()).hasSize(1)
    }

    @Test
    fun `an order without answer is sent again under the same count, so that only one of them is taken`() {
        val planned = tend(known(1, 1), 2, start).loads
        val first = tend(planned, 2, start + 50.milliseconds)
        val name = first.effects
            .filterIsInstance<SendLoadCommand>()
            .single()
            .listed.endpoint.name
        val lost = first.loads.commandEnded(name, 2, LoadCommandOutcome.LOST, start + 900.milliseconds)
        val again = tend(lost, 2, start + 2.seconds).effects.filterIsInstance<SendLoadCommand>().single()
        expectThat(again.count).isEqualTo(
            first.effects
                .filterIsInstance<SendLoadCommand>()
                .single()
                .count,
        )
    }

    @Test
    fun `a leader whose order met a higher fence orders nothing more`() {
        val fenced = known(1, 1, 1).commandEnded(EndpointName("e0"), 2, LoadCommandOutcome.FENCED, start)
        expectThat(
            tend(fenced, 2, start + 10.seconds)
                .loads.endpoints.values
                .count { it.open != null },
        ).isEqualTo(0)
    }

    @Test
    fun `a new leader orders nothing before the rest is over, and nothing to busy endpoints`() {
        val resting = noWeightLoads(start + 3.seconds).withListing(listOf(listed("e0"), listed("e1")))
        val read = tend(resting, 2, start)
        expectThat(read.effects).hasSize(2).all { get { this is ReadEndpoint }.isTrue() }
        val reported = read.loads
            .reportRead(EndpointName("e0"), report(1, 4, isBusy = true), start)
            .reportRead(EndpointName("e1"), report(1, 2), start)
        expectThat(
            tend(reported, 2, start + 1.seconds)
                .loads.endpoints.values
                .count { it.open != null },
        ).isEqualTo(0)
        val due = tend(reported, 2, start + 3.seconds).loads.endpoints
        expectThat(due.filterValues { it.open != null }.keys.map { it.text }).isEqualTo(listOf("e1"))
    }

    @Test
    fun `whatever is lost or late, every endpoint comes to the newest weights and no late order undoes them`() {
        runBlocking {
            checkAll(Arb.long()) { seed ->
                val random = Random(seed)
                val names = List(6) { EndpointName("e$it") }
                val played = names.associateWith { PlayedEndpoint() }
                var loads = noWeightLoads(start).withListing(names.map { listed(it.text) })
                var now = start
                var number = 1L
                var mostOpen = 0
                repeat(600) { round ->
                    now += 50.milliseconds
                    if (round % 60 == 0 && round < 240) number += 1
                    played.values.forEach { endpoint ->
                        endpoint.settle(now)
                        endpoint.late.filter { it.first <= now }.forEach { endpoint.take(it.second, now) }
                        endpoint.late.removeAll { it.first <= now }
                    }
                    val step = tend(loads, number, now)
                    loads = step.loads
                    mostOpen = maxOf(mostOpen, loads.endpoints.values.count { it.open != null })
                    step.effects.forEach { action ->
                        val name = action.listed.endpoint.name
                        val endpoint = played.getValue(name)
                        loads = when (action) {
                            is ReadEndpoint -> loads.reportRead(
                                name,
                                report(endpoint.weights, endpoint.count, endpoint.loading != null),
                                now,
                            )
                            is SendLoadCommand -> {
                                val isDisturbed = round < 300 && random.nextInt(3) == 0
                                if (isDisturbed) endpoint.late += (now + random.nextInt(2_000, 12_000).milliseconds) to action
                                val outcome = if (isDisturbed) LoadCommandOutcome.LOST else endpoint.take(action, now)
                                loads.commandEnded(name, action.number, outcome, now)
                            }
                        }
                    }
                }
                expectThat(mostOpen).describedAs("seed $seed").isLessThanOrEqualTo(names.size / 2)
                expectThat(played.values.map { it.weights }).describedAs("seed $seed").all { isEqualTo(number) }
            }
        }
    }
}
