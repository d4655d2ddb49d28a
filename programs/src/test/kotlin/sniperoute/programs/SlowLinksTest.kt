/**
 * A leader and a router over a link that is slow for the length of their messages. Guards against configurations that never reach a router
 * because each reply takes longer than the router waits for it.
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
import sniperoute.control.message.*
import sniperoute.process.clock.Timestamp
import sniperoute.process.identity.Incarnation
import sniperoute.process.identity.VmName
import sniperoute.request.admission.decision.isReady
import sniperoute.router.decision.newControlSession
import sniperoute.router.decision.step
import sniperoute.router.message.*
import sniperoute.version.codec.digest
import sniperoute.version.codec.emptyDeclarations
import sniperoute.version.codec.encode
import sniperoute.version.decision.Catalogue
import sniperoute.version.decision.RouterName
import sniperoute.version.message.*
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val BITS_PER_BYTE = 8
private const val ENVELOPE_BYTES = 100
private val DELAY = 1.milliseconds
private val STEP = 5.milliseconds
private val leaderVm = VmName("c1")

/** One direction of a link of [megabits] megabits a second, on which messages queue. */
private class SlowLink<T>(private val megabits: Double) {
    private var freeAt = Timestamp.EARLIEST
    private var queue = persistentListOf<Pair<Timestamp, T>>()

    fun send(message: T, bytes: Int, now: Timestamp) {
        val time = ((bytes + ENVELOPE_BYTES) * BITS_PER_BYTE / megabits).microseconds
        freeAt = maxOf(freeAt, now) + time
        queue = queue.add(freeAt + DELAY to message)
    }

    fun arrivedBy(now: Timestamp): List<T> {
        val (arrived, later) = queue.partition { it.first <= now }
        queue = later.toPersistentList()
        return arrived.map { it.second }
    }
}

/** A leader and a router; each message takes its length's time on the link, in both directions. */
private class SlowlyLinkedRouter(private val megabits: Double, val leader: ControlDutyDriver = ControlDutyDriver()) {
    private var toLeader = SlowLink<SendSession>(megabits)
    private var toRouter = SlowLink<SessionMessageReceived>(megabits)
    var session = newControlSession(persistentListOf(leaderVm), leader.now)

    /** Every catalogue that the router served, in order. */
    var served = emptyList<Catalogue>()

    init {
        router(LinkOpened(leaderVm))
    }

    private fun router(input: SessionInput?) {
        val step = session.step(leader.now, input)
        session = step.session
        step.effects.forEach { effect ->
            when (effect) {
                is SendSession -> toLeader.send(effect, effect.message.encode().size, leader.now)
                is ServeView -> served = served + effect.view.catalogue
                else -> Unit
            }
        }
    }

    private fun leader(effects: List<ControlEffect>) = effects.forEach { effect ->
        when (effect) {
            is SendSessionReply -> sendToRouter(effect.to.correlation, effect.message)
            is NotifyRouters -> sendToRouter(0, effect.message)
            else -> Unit
        }
    }

    private fun sendToRouter(correlation: Long, message: SessionMessage) =
        toRouter.send(SessionMessageReceived(leaderVm, correlation, message), message.encode().size, leader.now)

    fun submit(declarations: Declarations) {
        val follows = leader.state.replicatedState.configurations.number
        val command = SubmitConfiguration(leader.now, follows, declarations.digest(), "o", declarations)
        leader(leader.input(OperatorCommandReceived(OperatorRequestId(1), command)))
        leader(leader.commit())
    }

    /** The link ends with all that is on it, and opens again. */
    fun breakLink() {
        toLeader = SlowLink(megabits)
        toRouter = SlowLink(megabits)
        router(LinkClosed(leaderVm))
        router(LinkOpened(leaderVm))
    }

    /** Another leader begins; it has the same replicated state and no leader's state. */
    fun changeLeader() {
        leader.term += 1
        leader(leader.input(null))
    }

    /** Plays until [isDone], for [limit] at most; returns the time it took, or `null`. */
    fun playUntil(limit: Duration, isDone: () -> Boolean): Duration? {
        val start = leader.now
        while (!isDone()) {
            if (leader.now - start >= limit) return null
            leader.now += STEP
            leader(leader.input(null))
            leader(leader.commit())
            toLeader.arrivedBy(leader.now).forEach {
                val from = RouterName(VmName("r1"), Incarnation(1))
                leader(leader.input(RouterMessageReceived(from, ReplyAddress(LinkId(1), it.correlation), it.message)))
            }
            toRouter.arrivedBy(leader.now).forEach(::router)
            router(null)
        }
        return leader.now - start
    }

    fun isCurrent(): Boolean = session.view.catalogue.revision == leader.state.replicatedState.published.revision
}

class SlowLinksTest {
    private val service = Service(
        ServiceName("book"),
        ServiceKind.PLAIN,
        persistentListOf(),
        weights = null,
        move = null,
        isListed = true,
    )

    private fun declarations(routes: Int, deadlineMilliseconds: Long = 1_000): Declarations = emptyDeclarations().copy(
        services = persistentListOf(service),
        routes = (0 until routes)
            .map {
                Route(
                    name = RouteName("added-$it"),
                    path = "/added$it/x/",
                    service = service.name,
                    requestClass = RequestClass.DRAFTING,
                    deadlineMilliseconds = deadlineMilliseconds,
                    gapMilliseconds = 1_000,
                    repetition = Repetition.REPEATABLE,
                    isOpen = true,
                    host = "shop.example",
                )
            }.toPersistentList(),
    )

    @Test
    fun `a configuration that grows by 1,400 routes is in force over a link of 7 Mbit a second within 2,5 s, and the lease holds`() {
        val router = SlowlyLinkedRouter(megabits = 7.0)
        router.submit(declarations(1))
        expectThat(router.playUntil(1.seconds, router::isCurrent)).describedAs("the first configuration").isA<Duration>()
        router.playUntil(3.seconds) { false }
        router.submit(declarations(1_401))
        val wasReady = mutableListOf<Boolean>()
        val taken = router.playUntil(30.seconds) {
            wasReady += router.session.view.isReady(router.leader.now)
            router.isCurrent()
        }
        expectThat(taken).describedAs("time until it is in force").isA<Duration>().isLessThan(2_500.milliseconds)
        expectThat(wasReady.all { it }).describedAs("the router stayed ready").isTrue()
        expectThat(router.session.view.catalogue.routes.size).isEqualTo(1_401)
        expectThat(router.served.map { it.routes.size }.distinct()).describedAs("served catalogues").isEqualTo(listOf(1, 1_401))
    }

    @Test
    fun `a router that starts beside a long configuration gets ready within seconds`() {
        val leader = ControlDutyDriver()
        val early = SlowlyLinkedRouter(megabits = 1_000.0, leader)
        early.submit(declarations(1_400))
        val started = SlowlyLinkedRouter(megabits = 7.0, leader)
        val taken = started.playUntil(25.seconds) { started.session.view.isReady(leader.now) }
        expectThat(taken).describedAs("time until it is ready").isA<Duration>().isLessThan(4.seconds)
        expectThat(started.session.view.catalogue.routes.size).isEqualTo(1_400)
    }

    @Test
    fun `over any link, through changes, broken links and new leaders, a router serves only whole configurations and ends at the newest`() {
        runBlocking {
            checkAll(PropTestConfig(seed = 44, iterations = 40), Arb.long()) { seed ->
                val random = Random(seed)
                val router = SlowlyLinkedRouter(megabits = random.nextDouble(0.5, 12.0))
                val submitted = mutableMapOf<Int, Long>()
                repeat(random.nextInt(2, 7)) { number ->
                    val routes = random.nextInt(1, 180) * 8 + number
                    submitted[routes] = 1_000L + number
                    router.submit(declarations(routes, 1_000L + number))
                    router.playUntil(random.nextInt(0, 1_500).milliseconds) { false }
                    if (random.nextInt(3) == 0) router.breakLink()
                    if (random.nextInt(4) == 0) router.changeLeader()
                }
                val taken = router.playUntil(30.seconds) { router.isCurrent() }
                expectThat(taken).describedAs("seed $seed: time until the newest is in force").isA<Duration>()
                router.served.forEach { catalogue ->
                    val deadlines = catalogue.routes.map { it.deadlineMilliseconds }.distinct()
                    expectThat(deadlines).describedAs("seed $seed: routes of one configuration").isEqualTo(
                        if (catalogue.routes.isEmpty()) emptyList() else listOf(submitted.getValue(catalogue.routes.size)),
                    )
                }
                expectThat(router.served.zipWithNext().firstOrNull { (older, newer) -> newer.revision < older.revision }).isNull()
            }
        }
    }
}
