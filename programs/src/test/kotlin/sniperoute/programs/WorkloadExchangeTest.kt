/**
 * Tests of the workload that routers exchange through the leader, with several routers and the leader's sums, without connections.
 */
package sniperoute.programs

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
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
import sniperoute.version.decision.RouterName
import sniperoute.version.decision.advance
import sniperoute.version.decision.emptyCatalogue
import sniperoute.version.decision.keepOnly
import sniperoute.version.decision.nextMessage
import sniperoute.version.decision.noFleetWorkloads
import sniperoute.version.decision.recordReport
import sniperoute.version.message.*
import strikt.api.expectThat
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
                later(MESSAGE_TIME) { workloads = workloads.recordReport(names[router], effect.report) }
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
        val step = workloads.keepOnly(names.toSet()).nextMessage(now)
        workloads = step.workloads
        step.message?.let { message -> states.indices.forEach { later(MESSAGE_TIME) { input(it, FleetWorkloadReceived(message)) } } }
        states.indices.forEach { input(it, null) }
    }

    fun play(length: Duration, perSecond: Int) {
        repeat((length / TICK).toInt()) {
            repeat(perSecond / 100 + if (random.nextInt(100) < perSecond % 100) 1 else 0) { send() }
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
}
