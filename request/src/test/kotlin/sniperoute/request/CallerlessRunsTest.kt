/**
 * Calls that may run only once, with callers that leave, connections that open late and a router that stands still. Guards against runs
 * that never end: their slots stay taken for all routers, until the service is refused for good.
 */
package sniperoute.request

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import sniperoute.connection.endpoint.message.*
import sniperoute.connection.http.*
import sniperoute.process.clock.Timestamp
import sniperoute.process.memory.byteBudget
import sniperoute.request.admission.decision.Outcome
import sniperoute.request.routing.message.*
import sniperoute.request.run.RequestContext
import sniperoute.request.run.RequestRun
import sniperoute.request.run.RequestRunDependencies
import sniperoute.request.run.codec.jsonResponseParser
import sniperoute.request.run.codec.nativeProtocol
import sniperoute.request.run.requestRun
import sniperoute.version.message.ServiceKind
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A call to an endpoint that the test plays. */
private class PlayedCall(private val call: EndpointCall, val onEvent: OnCallEvent) : RunningCall {
    var isOver = false
    var isSent = false

    /** The connection opens; the request is sent if it is still wanted. */
    fun open() {
        if (isOver || isSent) return
        if (call.isWanted()) isSent = true else isOver = true
    }

    fun end(event: CallEvent) {
        if (isOver) return
        if (event !is CallStalled) isOver = true
        onEvent(event)
    }

    override fun cancel() {
        isOver = true
    }

    override fun setReading(isEnabled: Boolean) = Unit

    override fun recordProgress() = Unit
}

/** One run beside the routing state of its router; the connections, the caller and the clock are played. */
private class PlayedRun(hasAnswerDeadline: Boolean) {
    private class Timer(val due: Timestamp, val action: () -> Unit) {
        var isCancelled = false
    }

    val routing = RoutingDriver(catalogueItems(engines = 1), grantsTokens = true)
    val calls = mutableListOf<PlayedCall>()
    val outcomes = mutableListOf<Outcome>()
    val responses = mutableListOf<Int>()
    private var timers = emptyList<Timer>()
    private lateinit var caller: CallerConnectionListener
    private var hasLeft = false
    private val request = admitted("1", route = confirm).copy(deadline = start + confirm.deadlineMilliseconds.milliseconds)
    private val run: RequestRun

    init {
        val context = RequestContext(
            responseParser = jsonResponseParser(ServiceKind.PLAIN, false),
            protocol = nativeProtocol(),
            wantsStream = false,
            cacheSalt = 0,
            ledgerKey = null,
            owner = plainContext("1", wantsStream = false).owner,
            configuration = 1,
            answerDeadline = request.deadline.takeIf { hasAnswerDeadline },
        )
        run = requestRun(
            request,
            context,
            playedExchange(),
            RequestRunDependencies(
                sendToRouting = { input -> true.also { perform(routing.input(input)) } },
                call = { call, onEvent -> PlayedCall(call, onEvent).also { calls += it } },
                requestLedger = { _, _, _ -> },
                record = { _, _, _ -> },
                clock = { routing.now },
                ended = { _, outcome, _ -> outcomes += outcome },
                bufferedBytes = byteBudget(Long.MAX_VALUE),
            ),
        )
        run.begin()
    }

    private fun playedExchange() = object : Exchange {
        override val head = RequestHead("POST", "/confirm", "", persistentListOf())
        override val body = ByteArray(0)

        override fun respond(head: ResponseHead, content: ByteArray) {
            check(!hasLeft) { "a response to a caller who has left" }
            responses += head.status
        }

        override fun startResponse(head: ResponseHead) = Unit

        override fun send(content: ByteArray) = Unit

        override fun end() = Unit

        override fun abort() = Unit

        override fun setListener(listener: CallerConnectionListener) {
            caller = listener
        }

        override fun after(delay: Duration, action: () -> Unit): CancelTimer {
            val timer = Timer(routing.now + delay, action)
            timers = timers + timer
            return { timer.isCancelled = true }
        }

        override fun onConnectionThread(action: () -> Unit) = action()
    }

    /** The routing duty is another thread: its effects are performed after what caused them. */
    private fun perform(effects: List<RoutingEffect>) = effects.forEach { effect ->
        timers = timers + Timer(routing.now) { run.perform(effect, routing.now) }
    }

    fun leave() {
        if (hasLeft || outcomes.isNotEmpty()) return
        hasLeft = true
        caller.onDisconnected()
    }

    /** Time passes without anything being done, as in a process that is frozen. */
    fun freeze(time: Duration) {
        routing.now += time
    }

    /** Fires the timers that are due, until there is none. */
    fun wake() {
        while (true) {
            val due = timers.filter { it.due <= routing.now }.ifEmpty { return }
            timers = timers - due.toSet()
            due.filterNot { it.isCancelled }.forEach { it.action() }
        }
    }

    fun tick() = perform(routing.input(null))

    fun breakSentCall() = calls.lastOrNull()?.takeIf { it.isSent }?.end(CallFailed(CallFailure.BROKEN, "broken"))

    /** What is still under way ends as calls do: those that were sent by their idle timeout, others with their connection. */
    fun endCalls() = calls.toList().forEach { call ->
        call.open()
        if (call.isSent) call.end(CallFailed(CallFailure.SILENT, "silent"))
    }

    val deadline get() = request.deadline
    val takenSlots get() = routing.state.endpoints.values
        .sumOf { it.ownRequests.size }
}

class CallerlessRunsTest {
    @Test
    fun `a call whose caller has left ends when its connection opens after the deadline, and gives its slot back`() {
        listOf(true, false).forEach { hasAnswerDeadline ->
            val played = PlayedRun(hasAnswerDeadline)
            played.wake()
            expectThat(played.calls).hasSize(1)
            played.leave()
            played.freeze(6.seconds)
            played.calls.single().open()
            played.wake()
            expectThat(played.calls.single().isSent).isEqualTo(false)
            expectThat(played.outcomes).containsExactly(Outcome.NOT_RUN)
            expectThat(played.takenSlots).isEqualTo(0)
        }
    }

    @Test
    fun `a call whose caller has left is placed again after its deadline at no endpoint, and ends`() {
        val played = PlayedRun(hasAnswerDeadline = false)
        played.wake()
        played.leave()
        played.calls.single().end(CallFailed(CallFailure.NOT_SENT, "refused"))
        played.freeze(6.seconds)
        played.wake()
        expectThat(played.calls).hasSize(1)
        expectThat(played.outcomes).hasSize(1)
        expectThat(played.takenSlots).isEqualTo(0)
    }

    @Test
    fun `a call that an endpoint runs on without a caller ends at its deadline, and its outcome is told truly`() {
        val played = PlayedRun(hasAnswerDeadline = false)
        played.wake()
        played.calls.single().open()
        played.leave()
        played.freeze(4_900.milliseconds)
        played.wake()
        expectThat(played.outcomes).isEmpty()
        played.freeze(100.milliseconds)
        played.wake()
        expectThat(played.outcomes).containsExactly(Outcome.MAY_HAVE_RUN)
        expectThat(played.takenSlots).isEqualTo(0)
    }

    @Test
    fun `in any order of events, every run ends once, holds no slot then, and is sent once at most`() {
        runBlocking {
            checkAll(PropTestConfig(seed = 7, iterations = 3_000), Arb.long()) { seed ->
                val random = Random(seed)
                val played = PlayedRun(hasAnswerDeadline = random.nextBoolean())
                repeat(random.nextInt(1, 14)) {
                    when (random.nextInt(9)) {
                        0 -> played.leave()
                        1 -> played.freeze(random.nextInt(1, 7_000).milliseconds)
                        2, 3 -> played.calls.lastOrNull()?.open()
                        4 -> played.calls.lastOrNull()?.let { call ->
                            if (call.isSent) call.end(CallStalled("stalled")) else call.end(CallFailed(CallFailure.NOT_SENT, "refused"))
                        }
                        5 -> if (random.nextInt(3) == 0) played.breakSentCall()
                        6 -> played.tick()
                        else -> played.wake()
                    }
                }
                // At the latest, the idle timeouts of calls end what is left of a run with a caller.
                played.freeze(maxOf(Duration.ZERO, played.deadline + 1.seconds - played.routing.now))
                repeat(4) {
                    played.wake()
                    played.endCalls()
                    played.tick()
                }
                expectThat(played.outcomes).describedAs("seed $seed: ends of the run").hasSize(1)
                expectThat(played.takenSlots).describedAs("seed $seed: slots").isEqualTo(0)
                expectThat(played.routing.state.running.size).describedAs("seed $seed: requests at routing").isEqualTo(0)
                expectThat(played.responses.size).describedAs("seed $seed: responses").isLessThanOrEqualTo(1)
                val sent = played.calls.count { it.isSent }
                expectThat(sent).describedAs("seed $seed: attempts that were sent").isLessThanOrEqualTo(1)
                if (sent == 1) expectThat(played.outcomes).describedAs("seed $seed").containsExactly(Outcome.MAY_HAVE_RUN)
            }
        }
    }
}
