/**
 * Tests of limits that endpoints set on the requests that they take, with several routers and the leader's limits, without connections.
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
import sniperoute.version.decision.RouterName
import sniperoute.version.decision.advance
import sniperoute.version.decision.emptyCatalogue
import sniperoute.version.decision.grant
import sniperoute.version.decision.noRequestLimits
import sniperoute.version.decision.noticeForNewRouterOrNull
import sniperoute.version.decision.record
import sniperoute.version.message.*
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val limited = EndpointName("e0")

/** The time in which a rate is judged, the part above the limit that is allowed then, and the requests allowed besides. */
private val WINDOW = 4.seconds
private const val ALLOWED_PART = 1.5
private const val ALLOWED_EXTRA = 5

/** The time until a limit must bind after it was first named. */
private val BINDING_TIME = 3.seconds

/** Routers and a leader; messages between them take [MESSAGE_TIME]. The endpoint [limited] names [limit], another one takes all. */
private class LimitedFleet(private val routerCount: Int, seed: Int) {
    var now = listedStart
    var limit: Double? = null
    var leader: Boolean = true
    val arrivals = mutableListOf<Timestamp>()

    /** A router that receives no notice. */
    var deafRouter: Int? = null
    private val arrivalsByRouter = mutableListOf<Pair<Int, Timestamp>>()
    private val random = Random(seed)
    private val names = List(routerCount) { RouterName(VmName("r$it"), Incarnation(1)) }
    private val states = MutableList(routerCount) { newState() }
    private var limits = noRequestLimits(listedStart)
    private var lastRequest = 0
    private val pending = mutableListOf<Pair<Timestamp, () -> Unit>>()

    private fun newState(): RoutingState {
        val item = ServiceItem(Service(listedService, ServiceKind.PLAIN, persistentListOf(), null, null, isListed = true))
        val changes = listOf(item, RouteItem(listedRoute)).map { ItemChange(1, it.name, it) }.toPersistentList()
        val view = ServingView(emptyCatalogue().advance(RenewReply(1, 1, 1, 1, isWhole = true, changes = changes)), now + 1.hours)
        val fleet = listedFleet(1, listOf(1, 1), emptyMap())
        return listOf(ViewChanged(view), FleetChanged(fleet), RouterCountChanged(routerCount))
            .fold(newRoutingState(now)) { state, input -> state.step(earliestFirstToken(2.0), now, input).state }
    }

    fun restartRouter(router: Int) {
        states[router] = newState()
        if (leader) limits.noticeForNewRouterOrNull()?.let { input(router, RequestLimitsReceived(it)) }
    }

    /** A new leader knows nothing of the limits and permits before. */
    fun replaceLeader() {
        limits = noRequestLimits(now)
    }

    fun send() {
        val id = RequestId("q${++lastRequest}")
        val request = AdmittedRequest(
            id = id,
            workspace = null,
            key = null,
            route = listedRoute,
            digest = RequestDigest("d-$id"),
            hash = random.nextLong(),
            chain = persistentListOf(),
            promptTokens = 100,
            answerTokens = 10,
            arrived = now,
            deadline = now + 6.seconds,
            queueDeadline = now + 100.milliseconds,
        )
        input(random.nextInt(routerCount), RequestAdmitted(request))
    }

    private fun input(router: Int, input: RoutingInput?) {
        val step = states[router].step(earliestFirstToken(2.0), now, input)
        states[router] = step.state
        step.effects.forEach { perform(router, it) }
    }

    private fun perform(router: Int, effect: RoutingEffect) {
        if (effect is ReportRequestLimits) {
            later(MESSAGE_TIME) { if (leader) limits = limits.record(effect.report.limits, now) }
        }
        if (effect is Dispatch) {
            val isLimited = effect.endpoint.name == limited
            if (isLimited) {
                arrivals += now
                arrivalsByRouter += router to now
            }
            val named = NamedLimit(limit.takeIf { isLimited })
            later(ANSWER_TIME) {
                input(router, ResponseHeadReceived(effect.id, ResponseLoadReport(limit = named)))
                input(router, AttemptEnded(effect.id, AttemptCompleted(null, null, null, false)))
            }
        }
    }

    private fun later(delay: Duration, action: () -> Unit) {
        pending += now + delay to action
    }

    fun arrivalsFrom(router: Int, since: Timestamp): Int = arrivalsByRouter.count { (from, at) -> from == router && at >= since }

    fun advance() {
        now += TICK
        val due = pending.filter { it.first <= now }
        pending.removeAll(due)
        due.forEach { it.second() }
        if (leader) {
            val step = limits.grant(names, now) { _, _ -> 1 }
            limits = step.limits
            step.notices.forEach { (router, notice) -> sendNotice(names.indexOf(router), notice) }
            names.indices.forEach { index -> states[index] = states[index].copy(lastControlContact = now) }
        }
        states.indices.forEach { input(it, null) }
    }

    private fun sendNotice(router: Int, notice: RequestLimitNotice) {
        if (router != deafRouter) later(MESSAGE_TIME) { input(router, RequestLimitsReceived(notice)) }
    }

    private companion object {
        val TICK = 10.milliseconds
        val MESSAGE_TIME = 20.milliseconds
        val ANSWER_TIME = 60.milliseconds
    }
}

private fun LimitedFleet.play(length: Duration, perSecond: Int, random: Random, onStep: (Int) -> Unit = {}) {
    repeat((length / 10.milliseconds).toInt()) { step ->
        repeat(perSecond / 100 + if (random.nextInt(100) < perSecond % 100) 1 else 0) { send() }
        onStep(step)
        advance()
    }
}

private fun LimitedFleet.mostArrivals(from: Timestamp, to: Timestamp): Int {
    val counted = arrivals.filter { it >= from && it <= to }
    return counted.maxOfOrNull { first -> counted.count { it >= first && it < first + WINDOW } } ?: 0
}

class RequestLimitTest {
    @Test
    fun `all routers together keep the limit that an endpoint names, across restarts and changes of leader`() {
        runBlocking {
            checkAll(PropTestConfig(iterations = 30), Arb.long()) { seed ->
                val random = Random(seed)
                val perSecond = random.nextDouble(0.5, 30.0)
                val fleet = LimitedFleet(routerCount = random.nextInt(1, 40), seed = seed.toInt())
                fleet.play(2.seconds, 150, random)
                fleet.limit = perSecond
                val named = fleet.now
                fleet.play(20.seconds, 150, random) { step ->
                    if (step % 400 == 200) fleet.replaceLeader()
                    if (random.nextInt(300) == 0) fleet.restartRouter(0)
                }
                val most = fleet.mostArrivals(named + BINDING_TIME, fleet.now)
                val allowed = (perSecond * WINDOW.inWholeSeconds * ALLOWED_PART + ALLOWED_EXTRA).toInt()
                expectThat(most).describedAs("requests in $WINDOW at a limit of $perSecond a second").isLessThanOrEqualTo(allowed)
                val used = fleet.arrivals.count { it > named + BINDING_TIME } / (perSecond * 17)
                expectThat(used).describedAs("used part of a limit of $perSecond a second").isGreaterThan(0.5)
            }
        }
    }

    @Test
    fun `routers without a leader keep the limit by equal shares`() {
        val random = Random(1)
        val fleet = LimitedFleet(routerCount = 6, seed = 1)
        fleet.limit = 5.0
        fleet.play(4.seconds, 150, random)
        fleet.leader = false
        val alone = fleet.now
        fleet.play(20.seconds, 150, random)
        expectThat(fleet.mostArrivals(alone, fleet.now)).isLessThanOrEqualTo(35)
        expectThat(fleet.arrivals.count { it > alone + 2.seconds }).isGreaterThan(60)
    }

    @Test
    fun `a limit ends when the endpoint answers without it`() {
        val random = Random(2)
        val fleet = LimitedFleet(routerCount = 6, seed = 2)
        fleet.limit = 2.0
        fleet.play(10.seconds, 150, random)
        fleet.limit = null
        fleet.play(3.seconds, 150, random)
        val ended = fleet.now
        fleet.play(4.seconds, 150, random)
        expectThat(fleet.arrivals.count { it > ended }).isGreaterThan(150)
    }

    @Test
    fun `a limit that no answer names any more ends after a while, and at once with a report that there is none`() {
        val router = RouterName(VmName("r"), Incarnation(1))
        val kept = noRequestLimits(listedStart).record(listOf(RequestLimit(limited, 3.0)), listedStart)
        expectThat(kept.grant(listOf(router), listedStart + 9.seconds) { _, _ -> 0 }.limits.byEndpoint[limited]).isNotNull()
        expectThat(kept.grant(listOf(router), listedStart + 11.seconds) { _, _ -> 0 }.limits.byEndpoint[limited]).isNull()
        expectThat(kept.record(listOf(RequestLimit(limited, null)), listedStart).byEndpoint[limited]).isNull()
    }

    @Test
    fun `permits go to routers in proportion to their demand`() {
        val routers = List(3) { RouterName(VmName("r$it"), Incarnation(1)) }
        val demand = routers.zip(listOf(1, 3, 8)).toMap()
        var limits = noRequestLimits(listedStart).record(listOf(RequestLimit(limited, 20.0)), listedStart)
        val granted = IntArray(3)
        repeat(90) { step ->
            val granting = limits.grant(routers, listedStart + (100 * (step + 1)).milliseconds) { router, _ -> demand.getValue(router) }
            limits = granting.limits
            granting.notices.forEach { (router, notice) -> granted[routers.indexOf(router)] += notice.permits.sumOf { it.count } }
        }
        expectThat(granted.sum()).isLessThanOrEqualTo(190)
        expectThat(granted[2]).isGreaterThan(granted[1] * 2)
        expectThat(granted[1]).isGreaterThan(granted[0])
        expectThat(granted.sorted()).isEqualTo(granted.toList())
    }

    @Test
    fun `a router that misses the notice that a limit ended sends requests there again`() {
        val fleet = LimitedFleet(routerCount = 6, seed = 3)
        val random = Random(3)
        fleet.limit = 2.0
        fleet.play(5.seconds, 150, random)
        fleet.deafRouter = 0
        fleet.limit = null
        fleet.play(4.seconds, 150, random)
        fleet.deafRouter = null
        fleet.play(4.seconds, 150, random)
        expectThat(fleet.arrivalsFrom(0, since = fleet.now - 1.seconds)).isGreaterThan(0)
    }
}
