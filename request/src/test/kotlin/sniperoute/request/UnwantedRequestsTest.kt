/**
 * Requests that nobody waits for any more: a cancellation at each step of a request, and duties that stood still.
 */
package sniperoute.request

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import sniperoute.request.admission.decision.*
import sniperoute.request.routing.decision.*
import sniperoute.request.routing.message.*
import sniperoute.version.message.EndpointName
import sniperoute.version.message.WorkspaceName
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class UnwantedRequestsTest {
    private fun driver(grantsTokens: Boolean = true, slots: Int = 1) =
        RoutingDriver(catalogueItems(engines = 1, slots = slots, rate = 1_000, burst = 1_000), grantsTokens = grantsTokens).also {
            it.report("e0")
        }

    private fun RoutingBacklog.inOrder(): List<RoutingInput> =
        generateSequence(dueOrNull()) { it.rest.dueOrNull() }.mapNotNull { it.input }.toList()

    private fun backlog(vararg inputs: RoutingInput) = inputs.fold(RoutingBacklog(), RoutingBacklog::add)

    private fun cancelled(id: String) = RequestCancelled(RequestId(id))

    private fun ended(id: String) = AttemptEnded(RequestId(id), AttemptCompleted(null, null, null, false))

    @Test
    fun `a late duty drops what was cancelled meanwhile, and works on ends before it begins new requests`() {
        val new = listOf("1", "2", "3").map { RequestAdmitted(admitted(it)) }
        val late = backlog(new[0], new[1], RouterCountChanged(2), cancelled("2"), ended("0"), cancelled("9"), new[2])
        expectThat(late.inOrder()).containsExactly(ended("0"), cancelled("9"), new[0], RouterCountChanged(2), new[2])
    }

    @Test
    fun `each cancellation belongs to one request, also when an id is used again`() {
        val again = RequestAdmitted(admitted("1", at = start + 1.seconds))
        val first = RequestAdmitted(admitted("1"))
        expectThat(backlog(cancelled("1"), first).inOrder()).containsExactly(cancelled("1"), first)
        expectThat(backlog(first, cancelled("1"), again).inOrder()).containsExactly(again)
        expectThat(backlog(first, cancelled("1"), again, cancelled("1")).inOrder()).containsExactly(again, cancelled("1"))
    }

    @Test
    fun `in any order of arrivals, each request that was not cancelled is worked on once and nothing is lost`() = runBlocking<Unit> {
        checkAll(PropTestConfig(seed = 5, iterations = 200), Arb.long()) { seed ->
            val random = Random(seed)
            val isCancelled = List(30) { random.nextBoolean() }
            val arrivals = isCancelled
                .flatMapIndexed { id, leaves -> listOf(id to false) + if (leaves) listOf(id to true) else emptyList() }
                .map { (id, isCancel) -> Triple(random.nextInt(40) + if (isCancel) 100 * random.nextInt(2) else 0, id, isCancel) }
                .sortedBy { (at, _, isCancel) -> at * 2 + if (isCancel) 1 else 0 }
            // A cancellation always follows its request.
            val inOrder = arrivals.filter { !it.third || arrivals.indexOfFirst { new -> new.second == it.second } < arrivals.indexOf(it) }
            val leaving = inOrder.filter { it.third }.map { it.second }.toSet()
            val inputs = inOrder.map { (_, id, isCancel) -> if (isCancel) cancelled("$id") else RequestAdmitted(admitted("$id")) }
            val worked = inputs.fold(RoutingBacklog(), RoutingBacklog::add).inOrder()
            expectThat(
                worked
                    .filterIsInstance<RequestAdmitted>()
                    .map {
                        it.request.id.text
                            .toInt()
                    }.sorted(),
            ).isEqualTo((0 until 30).filter { it !in leaving })
        }
    }

    @Test
    fun `a request that is cancelled while it waits for tokens or for an endpoint leaves its queue and takes nothing with it`() {
        val withoutTokens = driver(grantsTokens = false)
        withoutTokens.send(admitted("1"))
        val withoutSlot = driver()
        withoutSlot.send(admitted("0"))
        withoutSlot.input(EndpointsLeaving(kotlinx.collections.immutable.persistentListOf(EndpointName("e0"))))
        withoutSlot.send(admitted("1"))
        listOf(withoutTokens, withoutSlot).forEach { router ->
            expectThat(
                router.state.queues.values
                    .sumOf { it.requests().size },
            ).isEqualTo(1)
            router.input(cancelled("1"))
            expectThat(
                router.state.queues.values
                    .sumOf { it.requests().size },
            ).isEqualTo(0)
        }
        val tokensBefore = withoutTokens.state.tokens
            .poolOf(WorkspaceName("a"))
            .available
        withoutTokens.input(TokensGranted(WorkspaceName("a"), 1_000, Duration.ZERO))
        expectThat(withoutTokens.effects.filterIsInstance<Dispatch>()).isEmpty()
        expectThat(
            withoutTokens.state.tokens
                .poolOf(WorkspaceName("a"))
                .available,
        ).isEqualTo(tokensBefore + 1_000)
    }

    @Test
    fun `a duty that stood still for a second places nothing whose deadline or objective has passed`() {
        listOf(admitted("1").copy(deadline = start + 500.milliseconds) to RefusalKind.DEADLINE, lateRequest("1") to RefusalKind.OVERLOADED)
            .forEach { (request, kind) ->
                val router = driver()
                router.now = start + 1.seconds
                val effects = router.input(RequestAdmitted(request))
                expectThat(effects.filterIsInstance<Refuse>().map { it.refusal.kind }).containsExactly(kind)
                expectThat(effects.filterIsInstance<Dispatch>()).isEmpty()
                expectThat(router.state.running.size).isEqualTo(0)
            }
    }

    @Test
    fun `a request whose objective passed in the queue is refused by the input that would have placed it, before any tick`() {
        val router = driver(grantsTokens = false)
        router.input(RequestAdmitted(lateRequest("1")))
        expectThat(router.effects.filterIsInstance<Refuse>()).isEmpty()
        router.now = start + 1.seconds
        val effects = router.input(TokensGranted(WorkspaceName("a"), 1_000, Duration.ZERO))
        expectThat(effects.filterIsInstance<Dispatch>()).isEmpty()
        expectThat(effects.filterIsInstance<Refuse>().map { it.refusal.kind }).containsExactly(RefusalKind.OVERLOADED)
    }

    private fun lateRequest(id: String) =
        admitted(id, route = chat.copy(objectiveMilliseconds = 800)).copy(queueDeadline = start + 100.milliseconds)

    @Test
    fun `a router that stands still expects a delay of that time, and none once it has caught up`() {
        val calm = RouterPace().given(start).taken(start + 1.milliseconds)
        expectThat(calm.expectedDelay(start + 10.seconds)).isEqualTo(Duration.ZERO)
        expectThat(calm.given(start + 10.seconds).expectedDelay(start + 10.seconds + 1.milliseconds)).isLessThan(2.milliseconds)
        val still = (1..100).fold(calm) { pace, _ -> pace.given(start + 10.seconds) }
        expectThat(still.expectedDelay(start + 11.seconds)).isEqualTo(1.seconds)
        val working = (1..50).fold(still) { pace, number -> pace.taken(start + 10.seconds + 10.milliseconds * number) }
        expectThat(
            working.expectedDelay(start + 10.seconds + 500.milliseconds),
        ).isGreaterThan(400.milliseconds).isLessThan(600.milliseconds)
        val caughtUp = (51..100).fold(working) { pace, number -> pace.taken(start + 10.seconds + 10.milliseconds * number) }
        expectThat(caughtUp.expectedDelay(start + 20.seconds)).isEqualTo(Duration.ZERO)
    }

    @Test
    fun `only a delay that the objective does not allow is refused, and callers are told to come back at different times`() {
        val route = chat.copy(objectiveMilliseconds = 800)
        expectThat(latenessRefusalOrNull(route, 399.milliseconds, 1)).isNull()
        expectThat(latenessRefusalOrNull(route.copy(objectiveMilliseconds = 20), 40.milliseconds, 1)).isNull()
        val times = listOf(0L, 1L shl 40, Long.MAX_VALUE, Long.MIN_VALUE, -1L).map { hash ->
            val refusal = latenessRefusalOrNull(route, 400.milliseconds, hash)
            expectThat(refusal).isNotNull()
            checkNotNull(refusal?.retryAfter)
        }
        times.forEach { expectThat(it).isGreaterThanOrEqualTo(400.milliseconds).isLessThan(801.milliseconds) }
        expectThat(times.distinct().size).isGreaterThan(3)
    }

    /** Requests arrive at four times the pace at which a router works; each takes it [cost]. Returns how many were placed in time. */
    private fun placedInTime(refuses: Boolean): Int {
        val cost = 20.milliseconds
        val route = chat.copy(objectiveMilliseconds = 400)
        var pace = RouterPace()
        var waiting = emptyList<kotlin.time.Duration>()
        var freeAt = Duration.ZERO
        var placed = 0
        (0 until 2_000).map { 5.milliseconds * it }.forEach { at ->
            while (waiting.isNotEmpty() && maxOf(freeAt, waiting.first()) + cost <= at) {
                freeAt = maxOf(freeAt, waiting.first()) + cost
                if (freeAt - waiting.first() < 300.milliseconds) placed += 1
                waiting = waiting.drop(1)
                pace = pace.taken(start + freeAt)
            }
            val refusal = latenessRefusalOrNull(route, pace.expectedDelay(start + at), at.inWholeMicroseconds)
            if (!refuses || refusal == null) {
                waiting = waiting + at
                pace = pace.given(start + at)
            }
        }
        return placed
    }

    @Test
    fun `at four times of what a router can do it goes on placing as many requests in time as it can`() {
        val possible = 10_000 / 20
        expectThat(placedInTime(refuses = false)).isLessThan(possible / 10)
        expectThat(placedInTime(refuses = true)).isGreaterThan(possible * 9 / 10)
    }
}
