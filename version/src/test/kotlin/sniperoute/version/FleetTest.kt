/**
 * The fleet view and the fleet workload, as the leader sends them to routers, and moves to another release.
 */
package sniperoute.version

import io.kotest.property.Arb
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import sniperoute.process.clock.Timestamp
import sniperoute.process.identity.FailureDomain
import sniperoute.process.identity.Incarnation
import sniperoute.process.identity.VmName
import sniperoute.version.decision.*
import sniperoute.version.message.*
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNull
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class FleetTest {
    private fun endpoint(number: Int, weights: Long) = FleetEndpoint(
        ListedEndpoint(
            Endpoint(EndpointName("e$number"), "h", 1, FailureDomain("d"), 4, true),
            ServiceName("s"),
            "1",
            "v1",
            false,
            persistentMapOf(),
        ),
        persistentMapOf(ModelName("m") to weights),
        false,
    )

    @Test
    fun `a router that applies every notice, or the full view after a missed one, has the leader's view`() {
        runBlocking {
            checkAll(Arb.long()) { seed ->
                val random = Random(seed)
                var leader = FleetView(firstFleetNumber(1), persistentMapOf())
                var router = emptyFleetView()
                repeat(60) {
                    val number = random.nextInt(6)
                    val name = EndpointName("e$number")
                    val isRemoved = random.nextInt(4) == 0
                    val changed = leader.endpoints.put(name, endpoint(number, random.nextLong(3)))
                    val endpoints = if (isRemoved) leader.endpoints.remove(name) else changed
                    val next = leader.next(endpoints, leader.stores.put(ServiceName("store"), random.nextLong(2)))
                    val notice = next.noticeSince(leader)
                    leader = next
                    if (random.nextInt(3) > 0) router = router.applyOrNull(notice) ?: router.applyOrNull(leader.fullNotice())!!
                }
                router = router.applyOrNull(leader.fullNotice()) ?: router
                expectThat(router).describedAs("seed $seed").isEqualTo(leader)
            }
        }
    }

    @Test
    fun `a notice of an earlier leader changes nothing, and one that follows an unknown view is rejected`() {
        val newer = FleetView(firstFleetNumber(2), persistentMapOf())
        val older = FleetView(firstFleetNumber(1) + 5, persistentMapOf(EndpointName("e1") to endpoint(1, 1)))
        expectThat(newer.applyOrNull(older.fullNotice())).isEqualTo(newer)
        expectThat(newer.applyOrNull(FleetNotice(newer.number + 2, newer.number + 1, persistentListOf(), persistentListOf()))).isNull()
    }

    @Test
    fun `the fleet workload is the sum of the last reports of the live routers`() {
        runBlocking {
            checkAll(Arb.long()) { seed ->
                val random = Random(seed)
                val routers = List(4) { RouterName(VmName("r$it"), Incarnation(1)) }
                val reported = mutableMapOf<RouterName, MutableMap<EndpointName, EndpointWorkload>>()
                var workloads = noFleetWorkloads()
                var now = Timestamp(1_000_000)
                val sent = mutableMapOf<EndpointName, EndpointWorkload>()
                repeat(80) {
                    now += 50.milliseconds
                    val router = routers.random(random)
                    val workload = EndpointWorkload(EndpointName("e${random.nextInt(3)}"), random.nextInt(3), random.nextLong(100)).let {
                        if (it.running == 0) it.copy(waitingTokens = 0) else it
                    }
                    reported.getOrPut(router) { mutableMapOf() }[workload.endpoint] = workload
                    workloads = workloads.recordReport(router, WorkloadReport(persistentListOf(workload), persistentListOf()))
                    if (random.nextInt(10) == 0) {
                        val removed = routers.random(random)
                        reported.remove(removed)
                        workloads = workloads.keepOnly(routers.filter { it != removed }.toSet())
                    }
                    val step = workloads.nextMessage(now)
                    workloads = step.workloads
                    step.message?.work?.forEach { sent[it.endpoint] = it }
                }
                sent.values.forEach { total ->
                    val ofRouters = reported.values.mapNotNull { it[total.endpoint] }
                    expectThat(total.running).describedAs("seed $seed").isEqualTo(ofRouters.sumOf { it.running })
                    expectThat(total.waitingTokens).describedAs("seed $seed").isEqualTo(ofRouters.sumOf { it.waitingTokens })
                }
            }
        }
    }

    @Test
    fun `a leader sends at most a thousand messages a second, however many routers there are, and one more to each at first`() {
        val messages = listOf(8, 30, 100, 300).associateWith { count ->
            val routers = List(count) { RouterName(VmName("r$it"), Incarnation(1)) }
            val random = Random(count)
            var workloads = noFleetWorkloads()
            var now = Timestamp(1_000_000)
            (1..200).count {
                now += 50.milliseconds
                workloads = routers.fold(workloads) { all, router ->
                    val workload = EndpointWorkload(EndpointName("e${random.nextInt(50)}"), 1 + random.nextInt(9), 0)
                    all.recordReport(router, WorkloadReport(persistentListOf(workload), persistentListOf()))
                }
                workloads.nextMessage(now).also { step -> workloads = step.workloads }.message != null
            } * count
        }
        expectThat(messages.getValue(8)).isEqualTo(8 * 200)
        messages.forEach { (count, sent) -> expectThat(sent).describedAs("$count routers").isLessThanOrEqualTo(10 * 1_000 + count) }
    }

    private val service = ServiceName("s")

    private fun observation(stepStarted: Timestamp, new: EvidenceSum = noEvidence()) = MoveObservation(
        stepStarted,
        persistentMapOf(),
        persistentListOf(RouteComparison(RouteName("r"), (1..50).fold(noEvidence()) { all, _ -> all.addResponse(10.0) }, new)),
    )

    private fun responses(count: Int, milliseconds: Double) =
        (1..count).fold(noEvidence()) { all, number -> all.addResponse(milliseconds * (1 + number % 5)) }

    private fun observed(vararg comparisons: RouteComparison) =
        MoveObservation(Timestamp(1_000_000), persistentMapOf(), comparisons.toList().toPersistentList())

    @Test
    fun `a release that is several times slower is rolled back after few responses, however they are spread over routes`() {
        val start = Timestamp(1_000_000)
        val move = startRelease(service, WeightsVersion("v1"), WeightsVersion("v2"), 15.seconds, start, 1)
        val slow = List(4) { RouteComparison(RouteName("r$it"), responses(60, 20.0 * (it + 1)), responses(4, 80.0 * (it + 1))) }
        expectThat((decideRelease(move, observed(*slow.toTypedArray()), start + 4.seconds) as MoveTransition).stage)
            .isEqualTo(MoveStage.TAKING_BACK)
        val equal = List(4) { RouteComparison(RouteName("r$it"), responses(60, 20.0 * (it + 1)), responses(4, 20.0 * (it + 1))) }
        expectThat(decideRelease(move, observed(*equal.toTypedArray()), start + 4.seconds)).isEqualTo(NoMoveChange)
    }

    @Test
    fun `a release without enough responses does not get all requests`() {
        val start = Timestamp(1_000_000)
        var move = startRelease(service, WeightsVersion("v1"), WeightsVersion("v2"), 15.seconds, start, 1)
        val scarce = observed(RouteComparison(RouteName("r"), responses(60, 20.0), responses(3, 20.0)))
        val shares = mutableListOf<Int>()
        repeat(320) { round ->
            val decision = decideRelease(move, scarce, start + 50.milliseconds * round) as? MoveTransition ?: return@repeat
            move = move.applyTransition(decision, 1)
            shares += move.share
        }
        expectThat(shares.filter { it > 70 }).isEqualTo(emptyList())
        expectThat(move.stage).isEqualTo(MoveStage.TAKEN_BACK)
    }

    @Test
    fun `a good release is done in time, and gets no more than the canary share before it gets all requests`() {
        val start = Timestamp(1_000_000)
        var move = startRelease(service, WeightsVersion("v1"), WeightsVersion("v2"), 12.seconds, start, 1)
        var stepStarted = start
        val shares = mutableListOf(move.share)
        repeat(240) { round ->
            val now = start + 50.milliseconds * round
            val good = (1..10).fold(noEvidence()) { all, _ -> all.addResponse(10.0) }
            val decision = decideRelease(move, observation(stepStarted, good), now) as? MoveTransition ?: return@repeat
            if (decision.share != move.share) stepStarted = now
            move = move.applyTransition(decision, 1)
            shares += move.share
        }
        expectThat(move.stage).isEqualTo(MoveStage.DONE)
        expectThat(shares.filter { it < 1_000 }.max()).isEqualTo(70)
    }

    @Test
    fun `a release that fails is rolled back at once`() {
        val start = Timestamp(1_000_000)
        val move = startRelease(service, WeightsVersion("v1"), WeightsVersion("v2"), 12.seconds, start, 1)
        val failing = (1..5).fold(noEvidence()) { all, _ -> all.addFailure() }
        val decision = decideRelease(move, observation(start, failing), start + 1.seconds)
        expectThat(decision).isA<MoveTransition>().get { share }.isEqualTo(0)
        val rollback = move.applyTransition(decision as MoveTransition, 1)
        expectThat((decideRelease(rollback, observation(start), start + 2.seconds) as MoveTransition).stage).isEqualTo(MoveStage.TAKEN_BACK)
    }
}
