/**
 * What the leader tells routers of the fleet: differences of the view, and the sum of all routers' work.
 */
package sniperoute.version

import io.kotest.property.Arb
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
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
    fun `a router that takes every notice, or the whole view after a gap, has the leader's view`() {
        runBlocking {
            checkAll(Arb.long()) { seed ->
                val random = Random(seed)
                var leader = FleetView(firstFleetNumber(1), persistentMapOf())
                var router = emptyFleetView()
                repeat(60) {
                    val number = random.nextInt(6)
                    val name = EndpointName("e$number")
                    val isGone = random.nextInt(4) == 0
                    val changed = leader.endpoints.put(name, endpoint(number, random.nextLong(3)))
                    val endpoints = if (isGone) leader.endpoints.remove(name) else changed
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
    fun `a notice of an earlier leader changes nothing, and one that follows an unknown view is not taken`() {
        val newer = FleetView(firstFleetNumber(2), persistentMapOf())
        val older = FleetView(firstFleetNumber(1) + 5, persistentMapOf(EndpointName("e1") to endpoint(1, 1)))
        expectThat(newer.applyOrNull(older.fullNotice())).isEqualTo(newer)
        expectThat(newer.applyOrNull(FleetNotice(newer.number + 2, newer.number + 1, persistentListOf(), persistentListOf()))).isNull()
    }

    @Test
    fun `the sum of work is that of the live routers' last notes`() {
        runBlocking {
            checkAll(Arb.long()) { seed ->
                val random = Random(seed)
                val routers = List(4) { RouterName(VmName("r$it"), Incarnation(1)) }
                val notes = mutableMapOf<RouterName, MutableMap<EndpointName, EndpointWorkload>>()
                var works = noFleetWorkloads()
                var now = Timestamp(1_000_000)
                val told = mutableMapOf<EndpointName, EndpointWorkload>()
                repeat(80) {
                    now += 50.milliseconds
                    val router = routers.random(random)
                    val work = EndpointWorkload(EndpointName("e${random.nextInt(3)}"), random.nextInt(3), random.nextLong(100)).let {
                        if (it.running == 0) it.copy(waitingTokens = 0) else it
                    }
                    notes.getOrPut(router) { mutableMapOf() }[work.endpoint] = work
                    works = works.recordReport(router, WorkloadReport(persistentListOf(work), persistentListOf()))
                    if (random.nextInt(10) == 0) {
                        val gone = routers.random(random)
                        notes.remove(gone)
                        works = works.keepOnly(routers.filter { it != gone }.toSet())
                    }
                    val step = works.nextMessage(now)
                    works = step.works
                    step.message?.work?.forEach { told[it.endpoint] = it }
                }
                told.values.forEach { total ->
                    val parts = notes.values.mapNotNull { it[total.endpoint] }
                    expectThat(total.running).describedAs("seed $seed").isEqualTo(parts.sumOf { it.running })
                    expectThat(total.waitingTokens).describedAs("seed $seed").isEqualTo(parts.sumOf { it.waitingTokens })
                }
            }
        }
    }

    private val service = ServiceName("s")

    private fun observation(since: Timestamp, new: EvidenceSum = noEvidence()) = MoveObservation(
        since,
        persistentMapOf(),
        persistentListOf(RouteComparison(RouteName("r"), (1..50).fold(noEvidence()) { all, _ -> all.addAnswer(10.0) }, new)),
    )

    @Test
    fun `a good release is done in time, and never has more than a small share before it has everything`() {
        val start = Timestamp(1_000_000)
        var move = startRelease(service, WeightsVersion("v1"), WeightsVersion("v2"), 12.seconds, start, 1)
        var stepStarted = start
        val shares = mutableListOf(move.share)
        repeat(240) { round ->
            val now = start + 50.milliseconds * round
            val advice = decideRelease(move, observation(stepStarted), now) as? MoveTransition ?: return@repeat
            if (advice.share != move.share) stepStarted = now
            move = move.applyTransition(advice, 1)
            shares += move.share
        }
        expectThat(move.stage).isEqualTo(MoveStage.DONE)
        expectThat(shares.filter { it < 1_000 }.max()).isEqualTo(70)
    }

    @Test
    fun `a release that fails is taken back at once`() {
        val start = Timestamp(1_000_000)
        val move = startRelease(service, WeightsVersion("v1"), WeightsVersion("v2"), 12.seconds, start, 1)
        val failing = (1..5).fold(noEvidence()) { all, _ -> all.addFailure() }
        val advice = decideRelease(move, observation(start, failing), start + 1.seconds)
        expectThat(advice).isA<MoveTransition>().get { share }.isEqualTo(0)
        val back = move.applyTransition(advice as MoveTransition, 1)
        expectThat((decideRelease(back, observation(start), start + 2.seconds) as MoveTransition).stage).isEqualTo(MoveStage.TAKEN_BACK)
    }
}
