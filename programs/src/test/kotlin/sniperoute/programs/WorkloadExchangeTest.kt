/**
 * Tests of the workload that routers exchange through the leader, with several routers and the leader's sums, without connections.
 */
package sniperoute.programs

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import sniperoute.process.clock.Timestamp
import sniperoute.process.identity.Incarnation
import sniperoute.process.identity.VmName
import sniperoute.request.admission.decision.ServingView
import sniperoute.request.routing.decision.RoutingState
import sniperoute.request.routing.decision.earliestFirstToken
import sniperoute.request.routing.decision.newRoutingState
import sniperoute.request.routing.decision.step
import sniperoute.request.routing.message.*
import sniperoute.version.decision.LEASE_DURATION
import sniperoute.version.decision.RouterName
import sniperoute.version.decision.advance
import sniperoute.version.decision.emptyCatalogue
import sniperoute.version.decision.keepOnly
import sniperoute.version.decision.nextMessage
import sniperoute.version.decision.noFleetWorkloads
import sniperoute.version.decision.recordReport
import sniperoute.version.message.*
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Routers that send requests to three endpoints of [slots] slots, and a leader; messages between them take [MESSAGE_TIME] unless they
 * are lost. An endpoint answers after [answerTime].
 */
private class WorkloadFleet(private val routerCount: Int, private val slots: Int, private val random: Random) {
    var now = listedStart
    var answerTime: Duration = 20.milliseconds
    var isLost: () -> Boolean = { false }
    var sent = 0
    var served = 0
    var refused = 0
    private val names = MutableList(routerCount) { RouterName(VmName("r$it"), Incarnation(1)) }
    private val states = MutableList(routerCount) { newState() }
    private var workloads = noFleetWorkloads()
    private val pending = mutableListOf<Pair<Timestamp, () -> Unit>>()
    private val leases = mutableMapOf<RouterName, Timestamp>()

    /** The requests in flight as the leader sums them. */
    val sumAtLeader: Int get() = workloads.byRouter.values.sumOf { ofRouter -> ofRouter.values.sumOf { it.running } }

    /** A new leader knows nothing of what routers reported before. */
    fun replaceLeader() {
        workloads = noFleetWorkloads()
    }

    /** The leader drops what it knows of a router, as when its lease lapses for a moment. */
    fun forgetRouter(router: Int) {
        workloads = workloads.keepOnly(names.toSet() - names[router])
    }

    /** The router starts again; the lease of the process before runs on. */
    fun restartRouter(router: Int) {
        leases[names[router]] = now + LEASE_DURATION
        names[router] = RouterName(names[router].vm, Incarnation(names[router].incarnation.bits + 1))
        states[router] = newState()
    }

    private fun newState(): RoutingState {
        val item = ServiceItem(Service(listedService, ServiceKind.PLAIN, persistentListOf(), null, null, isListed = true))
        val changes = listOf(item, RouteItem(listedRoute)).map { ItemChange(1, it.name, it) }.toPersistentList()
        val view = ServingView(emptyCatalogue().advance(RenewReply(1, 1, 1, 1, isWhole = true, changes = changes)), now + 1.hours)
        return listOf(ViewChanged(view), FleetChanged(listedFleet(1, listOf(1, 1, 1), emptyMap(), slots)), RouterCountChanged(routerCount))
            .fold(newRoutingState(now)) { state, input -> state.step(earliestFirstToken(2.0), now, input).state }
    }

    fun send() {
        val id = RequestId("q${++sent}")
        val request = AdmittedRequest(
            id = id,
            workspace = null,
            key = null,
            route = listedRoute,
            digest = RequestDigest("d-$id"),
            hash = random.nextLong(),
            chain = persistentListOf(),
            promptTokens = 0,
            answerTokens = 0,
            arrived = now,
            deadline = now + 1.seconds,
            queueDeadline = now + 25.milliseconds,
        )
        input(random.nextInt(routerCount), RequestAdmitted(request))
    }

    private fun input(router: Int, input: RoutingInput?) {
        val step = states[router].step(earliestFirstToken(2.0), now, input)
        states[router] = step.state
        step.effects.forEach { perform(router, it) }
    }

    private fun perform(router: Int, effect: RoutingEffect) {
        when (effect) {
            is ReportWorkload -> if (!isLost()) {
                val name = names[router]
                later(MESSAGE_TIME) { workloads = workloads.recordReport(name, effect.report) }
            }
            is Dispatch -> later(answerTime) {
                served++
                input(router, AttemptEnded(effect.id, AttemptCompleted(null, null, null, false)))
            }
            is Refuse -> refused++
            else -> Unit
        }
    }

    private fun later(delay: Duration, action: () -> Unit) {
        pending += now + delay to action
    }

    fun advance() {
        now += TICK
        val due = pending.filter { it.first <= now }
        pending.removeAll(due)
        due.forEach { it.second() }
        val step = workloads.keepOnly(names.toSet() + leases.filterValues { it > now }.keys).nextMessage(now)
        workloads = step.workloads
        step.message?.let { message -> states.indices.forEach { receive(it, message) } }
        states.indices.forEach { input(it, null) }
    }

    private fun receive(router: Int, message: FleetWorkload) {
        if (!isLost()) later(MESSAGE_TIME) { input(router, FleetWorkloadReceived(message)) }
    }

    fun play(length: Duration, perSecond: Int, onStep: () -> Unit = {}) {
        repeat((length / TICK).toInt()) {
            repeat(perSecond / 100 + if (random.nextInt(100) < perSecond % 100) 1 else 0) { send() }
            onStep()
            advance()
        }
    }

    private companion object {
        val TICK = 10.milliseconds
        val MESSAGE_TIME = 5.milliseconds
    }
}

class WorkloadExchangeTest {
    @Test
    fun `a service is served again after workload reports were lost while its endpoints were full`() {
        val fleet = WorkloadFleet(routerCount = 30, slots = 6, random = Random(1))
        fleet.play(2.seconds, 60)
        fleet.answerTime = 500.milliseconds
        fleet.play(1.seconds, 60)
        fleet.isLost = { true }
        fleet.answerTime = 20.milliseconds
        fleet.play(1.seconds, 60)
        fleet.isLost = { false }
        fleet.play(2.seconds, 60)
        val (sentBefore, servedBefore) = fleet.sent to fleet.served
        fleet.play(5.seconds, 60)
        val sent = fleet.sent - sentBefore
        val served = fleet.served - servedBefore
        expectThat(sent).isGreaterThan(200)
        expectThat(served).describedAs("served $served of $sent").isGreaterThanOrEqualTo(sent * 9 / 10)
    }

    @Test
    fun `after losses, restarts and changes of leader the sums are right again and requests are served`() {
        runBlocking {
            checkAll(PropTestConfig(iterations = 30), Arb.long()) { seed ->
                val random = Random(seed)
                val fleet = WorkloadFleet(routerCount = random.nextInt(1, 30), slots = random.nextInt(2, 8), random = random)
                repeat(6) {
                    fleet.answerTime = random.nextInt(10, 600).milliseconds
                    val lossRate = random.nextDouble()
                    fleet.isLost = { random.nextDouble() < lossRate }
                    fleet.play(500.milliseconds, random.nextInt(10, 150)) {
                        if (random.nextInt(100) == 0) fleet.replaceLeader()
                        if (random.nextInt(50) == 0) fleet.forgetRouter(0)
                        if (random.nextInt(50) == 0) fleet.restartRouter(0)
                    }
                }
                fleet.isLost = { false }
                fleet.answerTime = 20.milliseconds
                fleet.play(LEASE_DURATION + 1.seconds, 0)
                expectThat(fleet.sumAtLeader).describedAs("requests in flight at the leader, seed $seed").isEqualTo(0)
                val (sentBefore, servedBefore) = fleet.sent to fleet.served
                fleet.play(2.seconds, 60)
                val sent = fleet.sent - sentBefore
                val served = fleet.served - servedBefore
                expectThat(served).describedAs("served of $sent, seed $seed").isGreaterThanOrEqualTo(sent * 9 / 10)
            }
        }
    }
}
