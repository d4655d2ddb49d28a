/**
 * Tests of the quarantine of prompt blocks with several routers and the control duty, without connections: endpoints crash when they
 * begin to answer a prompt with a harmful block.
 */
package sniperoute.programs

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.junit.jupiter.api.Test
import sniperoute.control.codec.decodeControlState
import sniperoute.control.codec.encode
import sniperoute.control.decision.ControlState
import sniperoute.control.decision.LedgerResult
import sniperoute.control.decision.apply
import sniperoute.control.decision.newControlState
import sniperoute.control.message.ChangeLedger
import sniperoute.control.message.ChangeTokens
import sniperoute.control.message.Command
import sniperoute.control.message.LiftQuarantine
import sniperoute.process.clock.Timestamp
import sniperoute.request.admission.decision.ServingView
import sniperoute.request.routing.decision.*
import sniperoute.request.routing.message.*
import sniperoute.router.toNotice
import sniperoute.version.decision.advance
import sniperoute.version.decision.emptyCatalogue
import sniperoute.version.decision.pageSince
import sniperoute.version.message.*
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private val model = ModelName("m")
private val items = listOf(
    ServiceItem(
        Service(
            name = listedService,
            kind = ServiceKind.MODEL,
            endpoints = persistentListOf(),
            weights = null,
            move = null,
            isListed = true,
            engine = EngineProfile(64, 90_000, 1, 1.0, persistentListOf(model)),
        ),
    ),
    RouteItem(listedRoute),
)

private val handbook = BlockId("handbook")
private val chapter = BlockId("chapter")
private val harmful = BlockId("harmful")

/** The time from the start of an answer to the crash, and from the crash to the endpoint's next incarnation. */
private val CRASH_DELAY = 100.milliseconds
private val DOWN_TIME = 3.seconds
private val ANSWER_TIME = 400.milliseconds

/** A request in flight at the endpoint [name] until [until]. */
private class Flight(val router: Int, val request: AdmittedRequest, val name: EndpointName, val begins: Timestamp, val until: Timestamp)

/** Several routers, one control state that all commands reach at once, and endpoints that crash at [harmful]. */
private class CrashingFleet(private val endpointCount: Int, seed: Int) {
    var now = listedStart
    var control: ControlState = newControlState()
    var crashes = 0
    val harmfulArrivals = mutableListOf<Timestamp>()
    val crashTimes = mutableListOf<Timestamp>()
    var served = 0
    var refused = 0
    private val random = Random(seed)
    private val routers = MutableList(3) { newRoutingState(listedStart - 60.seconds, RoutingSettings(RetryAllowance(0.2, 50.0))) }
    private val flights = mutableListOf<Flight>()
    private val incarnations = MutableList(endpointCount) { 1 }
    private val downUntil = MutableList(endpointCount) { listedStart }
    private var fleetNumber = 1L
    private var lastRequest = 0
    private var index = 0L

    init {
        control =
            control.copy(
                published = control.published.copy(
                    revision = 1,
                    changes = items.fold(control.published.changes) { all, item ->
                        all.put(item.name, ItemChange(1, item.name, item))
                    },
                ),
            )
        publish()
        sendFleet()
    }

    fun submit(command: Command) {
        val before = control.published.revision
        val applied = control.apply(command, ++index)
        if (command is ChangeLedger) expectThat(applied.result).isA<LedgerResult>()
        control = applied.state
        if (control.published.revision != before) publish()
    }

    /** Replaces the control state by what a snapshot of it holds, as after a restart of every replica. */
    fun restoreControl() {
        control = decodeControlState(control.encode()).fold({ error(it.reason) }, { it })
    }

    fun restartRouter(router: Int) {
        flights.removeAll { it.router == router }
        routers[router] = newRoutingState(now, RoutingSettings(RetryAllowance(0.2, 50.0)))
        publish()
        sendFleet()
    }

    private fun publish() {
        val changes = control.published.pageSince(0).changes
        val view = ServingView(
            emptyCatalogue().advance(RenewReply(1, 1, control.published.revision, 1, isWhole = true, changes = changes)),
            now + 1.hours,
        )
        routers.indices.forEach { input(it, ViewChanged(view)) }
    }

    private fun sendFleet() {
        fleetNumber += 1
        val view = listedFleet(fleetNumber, incarnations, mapOf(model to 1L))
        routers.indices.forEach { input(it, FleetChanged(view)) }
    }

    fun send(blocks: List<BlockId>) {
        val id = RequestId("r${++lastRequest}")
        val own = blocks.map { it.text.hashCode().toLong() } + lastRequest.toLong()
        val request = AdmittedRequest(
            id = id,
            workspace = null,
            key = null,
            route = listedRoute,
            digest = RequestDigest("digest-$id"),
            hash = random.nextLong(),
            chain = own.toPersistentList(),
            promptTokens = 9_000,
            answerTokens = 20,
            arrived = now,
            deadline = now + 6.seconds,
            model = model,
            queueDeadline = now + 100.milliseconds,
            sharedBlocks = blocks.toPersistentList(),
        )
        input(random.nextInt(routers.size), RequestAdmitted(request))
    }

    private fun input(router: Int, input: RoutingInput?) {
        val step = routers[router].step(earliestFirstToken(2.0), now, input)
        routers[router] = step.state
        step.effects.forEach { perform(router, it) }
    }

    private fun perform(router: Int, effect: RoutingEffect) {
        when (effect) {
            is Dispatch -> dispatch(router, effect)
            is QuarantineReport -> submit(ChangeLedger(now, effect.toNotice()))
            is Refuse -> refused++
            is GiveUp -> flights.removeAll { it.router == router && it.request.id == effect.id }
            else -> Unit
        }
    }

    private fun dispatch(router: Int, dispatch: Dispatch) {
        val request = routers[router].running[dispatch.id]?.request ?: return
        val number = dispatch.endpoint.port - 1
        if (now < downUntil[number]) {
            return input(router, AttemptEnded(dispatch.id, AttemptFailed(AttemptFailureKind.NOT_RUN, true, "refused")))
        }
        if (harmful in request.sharedBlocks) harmfulArrivals += now
        val begins = now + random.nextInt(20, 150).milliseconds
        val until = begins + if (harmful in request.sharedBlocks) CRASH_DELAY else ANSWER_TIME
        flights += Flight(router, request, dispatch.endpoint.name, begins, until)
    }

    fun advance() {
        now += 10.milliseconds
        while (true) {
            val due = flights.filter { it.until <= now }.minByOrNull { it.until } ?: break
            if (harmful in due.request.sharedBlocks) crash(due.name) else complete(due)
        }
        val back = downUntil.indices.filter { downUntil[it] > listedStart && now >= downUntil[it] }
        back.forEach {
            incarnations[it]++
            downUntil[it] = listedStart
        }
        if (back.isNotEmpty()) sendFleet()
        routers.indices.forEach { input(it, null) }
    }

    private fun complete(flight: Flight) {
        flights.remove(flight)
        served++
        input(flight.router, AttemptEnded(flight.request.id, AttemptCompleted(null, null, null, false)))
    }

    fun crashAny(random: Random) = crash(EndpointName("e${random.nextInt(endpointCount)}"))

    private fun crash(name: EndpointName) {
        val number = name.text.drop(1).toInt()
        crashes++
        crashTimes += now
        downUntil[number] = now + DOWN_TIME
        val broken = flights.filter { it.name == name }
        flights.removeAll(broken)
        broken.forEach { flight ->
            val isBegun = flight.begins <= now
            val progress = when {
                isBegun && harmful !in flight.request.sharedBlocks -> AnswerProgress.CONTENT
                isBegun -> AnswerProgress.BEGUN
                else -> AnswerProgress.NONE
            }
            input(flight.router, AttemptEnded(flight.request.id, AttemptFailed(AttemptFailureKind.BROKEN, true, "closed", progress)))
        }
    }
}

private fun CrashingFleet.play(length: kotlin.time.Duration, harmfulPerSecond: Int, seed: Int, onStep: (Int) -> Unit = {}) {
    val random = Random(seed)
    repeat((length / 10.milliseconds).toInt()) { step ->
        if (random.nextInt(100) < 30) send(listOf(handbook, if (random.nextBoolean()) chapter else BlockId("c${random.nextInt(40)}")))
        if (random.nextInt(100) < harmfulPerSecond) send(listOf(handbook, chapter, harmful))
        onStep(step)
        advance()
    }
}

class BlockQuarantineTest {
    @Test
    fun `prompts with a block that crashes endpoints soon reach none, and sound prompts with the other blocks are served`() {
        for (seed in 1..10) {
            val fleet = CrashingFleet(endpointCount = 6, seed = seed)
            fleet.play(30.seconds, harmfulPerSecond = 2, seed = seed)
            val fifth = fleet.crashTimes.getOrNull(4)
            val late = if (fifth == null) 0 else fleet.harmfulArrivals.count { it > fifth + 3.seconds }
            expectThat(late).describedAs("arrivals after five crashes and 3 s, seed $seed").isLessThanOrEqualTo(3)
            val before = fleet.served
            val harmfulBefore = fleet.refused
            fleet.play(10.seconds, harmfulPerSecond = 0, seed = seed)
            expectThat(fleet.refused - harmfulBefore).describedAs("sound prompts refused, seed $seed").isEqualTo(0)
            expectThat(fleet.served - before).isGreaterThan(250)
        }
    }

    @Test
    fun `a quarantine of blocks survives a snapshot, a restart of the control replicas and of routers`() {
        val fleet = CrashingFleet(endpointCount = 6, seed = 3)
        fleet.play(20.seconds, harmfulPerSecond = 3, seed = 3)
        val crashes = fleet.crashes
        fleet.restoreControl()
        repeat(3, fleet::restartRouter)
        fleet.play(10.seconds, harmfulPerSecond = 3, seed = 4)
        expectThat(fleet.crashes).isEqualTo(crashes)
    }

    @Test
    fun `a quarantine of blocks ends by itself, and one crash renews it for twice as long`() {
        val fleet = CrashingFleet(endpointCount = 6, seed = 5)
        fleet.play(20.seconds, harmfulPerSecond = 3, seed = 5)
        val crashes = fleet.crashes
        fleet.now += 10.minutes
        fleet.submit(ChangeTokens(fleet.now, 1, persistentListOf(), persistentListOf()))
        expectThat(
            fleet.control.published.changes.values
                .mapNotNull { it.item as? BlockQuarantineItem },
        ).isEmpty()
        fleet.play(20.seconds, harmfulPerSecond = 3, seed = 6)
        expectThat(fleet.crashes - crashes).isLessThanOrEqualTo(3)
        expectThat(
            fleet.control.blocks.quarantines
                .maxOf { it.length },
        ).isEqualTo(20.minutes)
    }

    @Test
    fun `an operator can lift a quarantine of blocks`() {
        val fleet = CrashingFleet(endpointCount = 6, seed = 7)
        fleet.play(20.seconds, harmfulPerSecond = 3, seed = 7)
        val names = fleet.control.published.changes.values
            .mapNotNull { (it.item as? BlockQuarantineItem)?.name?.text }
        expectThat(names).hasSize(1)
        fleet.submit(LiftQuarantine(fleet.now, RequestDigest(names.single()), "operator"))
        expectThat(
            fleet.control.published.changes.values
                .mapNotNull { it.item as? BlockQuarantineItem },
        ).isEmpty()
    }

    @Test
    fun `crashes for other reasons lead to no quarantine of blocks`() {
        for (seed in 1..10) {
            val fleet = CrashingFleet(endpointCount = 6, seed = seed)
            val random = Random(seed)
            fleet.play(30.seconds, harmfulPerSecond = 0, seed = seed) { if (random.nextInt(200) == 0) fleet.crashAny(random) }
            expectThat(fleet.crashes).isGreaterThanOrEqualTo(5)
            expectThat(fleet.control.blocks.quarantines).describedAs("quarantines, seed $seed").isEmpty()
        }
    }
}
