/**
 * The run of one request, with an exchange and a call that the test plays.
 */
package sniperoute.request

import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.Test
import sniperoute.connection.endpoint.message.*
import sniperoute.connection.http.*
import sniperoute.process.memory.byteBudget
import sniperoute.request.routing.message.*
import sniperoute.request.run.RequestRun
import sniperoute.request.run.RequestRunDependencies
import sniperoute.request.run.UnwantedStage
import sniperoute.request.run.requestRun
import sniperoute.version.message.*
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class RequestRunTest {
    private val sent = mutableListOf<RoutingInput>()
    private val content = StringBuilder()
    private val cancelled = mutableListOf<EndpointAddress>()
    private val listeners = mutableListOf<OnCallEvent>()
    private val calls = mutableListOf<EndpointCall>()
    private val timers = mutableListOf<() -> Unit>()
    private val unwanted = mutableListOf<UnwantedStage>()
    private var caller: CallerConnectionListener? = null
    private var now = start

    private inner class PlayedExchange(private val isConnected: Boolean) : Exchange {
        override val head = RequestHead("GET", "/v1", "", persistentListOf())
        override val body = ByteArray(0)

        override fun respond(head: ResponseHead, content: ByteArray) {
            this@RequestRunTest.content.append(content.decodeToString())
        }

        override fun startResponse(head: ResponseHead) = Unit

        override fun send(content: ByteArray) {
            this@RequestRunTest.content.append(content.decodeToString())
        }

        override fun end() = Unit

        override fun abort() {
            content.append("aborted")
        }

        override fun setListener(listener: CallerConnectionListener) {
            caller = listener
            if (!isConnected) listener.onDisconnected()
        }

        override fun after(delay: Duration, action: () -> Unit): CancelTimer {
            timers += action
            return {}
        }

        override fun onConnectionThread(action: () -> Unit) = action()
    }

    private fun run(isConnected: Boolean = true) = requestRun(
        admitted("1"),
        plainContext("1", wantsStream = true),
        PlayedExchange(isConnected),
        RequestRunDependencies(
            sendToRouting = sent::add,
            call = { call, onEvent ->
                listeners += onEvent
                calls += call
                object : RunningCall {
                    override fun cancel() {
                        cancelled += call.address
                    }

                    override fun setReading(isEnabled: Boolean) = Unit

                    override fun recordProgress() = Unit
                }
            },
            requestLedger = { _, _, _ -> },
            record = { _, _, _ -> },
            clock = { now },
            ended = { _, _, _ -> },
            bufferedBytes = byteBudget(Long.MAX_VALUE),
            onUnwanted = unwanted::add,
        ),
    )

    private fun dispatch(attempt: Int) = Dispatch(RequestId("1"), endpoint("e$attempt"), null, attempt, isFresh = true)

    private fun event(number: Int) = ContentReceived("id: $number\ndata: {\"n\":$number}\n\n".toByteArray())

    private val head = ResponseStarted(ResponseHead(200, persistentListOf(Header("content-type", "text/event-stream"))))

    @Test
    fun `a request whose caller has left is not admitted to routing, where nothing would end it`() {
        run(isConnected = false).begin()
        expectThat(sent).containsExactly(RequestCancelled(RequestId("1")))
    }

    @Test
    fun `what a stalled attempt sends while routing decides is neither lost when it is kept nor sent twice when it is replaced`() {
        listOf(KeepAttempt(RequestId("1")) to "123", dispatch(2) to "1").forEach { (decision, numbers) ->
            content.clear()
            listOf(sent, cancelled, listeners).forEach { it.clear() }
            val run = run()
            run.begin()
            run.perform(dispatch(1))
            val call = listeners.single()
            listOf(head, event(1), CallStalled("silent"), event(2), CallStalled("silent"), event(3)).forEach(call)
            expectThat(sent.filterIsInstance<AttemptStalled>().size).isEqualTo(1)
            expectThat(content.lines().filter { it.startsWith("id: ") }).containsExactly("id: 1")
            run.perform(decision)
            call(event(4))
            val expected = if (decision is Dispatch) numbers else "${numbers}4"
            expectThat(content.lines().mapNotNull { it.substringAfter("id: ", "").ifEmpty { null } }.joinToString("")).isEqualTo(expected)
            expectThat(cancelled.size).isEqualTo(if (decision is Dispatch) 1 else 0)
        }
    }

    @Test
    fun `a thread that stood still reads the end of the caller's connection before it sends the request`() {
        listOf(true, false).forEach { leaves ->
            listOf(calls, timers, unwanted).forEach { it.clear() }
            now = start
            val run = run()
            run.begin()
            now = start + 1.seconds
            run.perform(dispatch(1), emitted = start)
            expectThat(calls).isEmpty()
            if (leaves) checkNotNull(caller).onDisconnected()
            timers.last().invoke()
            expectThat(calls.size).isEqualTo(if (leaves) 0 else 1)
            expectThat(unwanted).isEqualTo(if (leaves) mutableListOf(UnwantedStage.PLACED) else mutableListOf())
        }
    }

    @Test
    fun `nothing is sent once the deadline has passed, and a call that waits for its connection learns that it is no longer wanted`() {
        val late = run()
        late.begin()
        now = late.admitted.deadline
        late.perform(dispatch(1))
        expectThat(calls).isEmpty()
        expectThat(sent.last()).isEqualTo(RequestCancelled(RequestId("1")))
        now = start
        listOf<
            (
                RequestRun,
            ) -> Unit,
        >({ checkNotNull(caller).onDisconnected() }, { now = it.admitted.deadline }, { it.endAtStop() }).forEach {
            now = start
            unwanted.clear()
            val run = run()
            run.begin()
            run.perform(dispatch(1))
            expectThat(calls.last().isWanted()).isTrue()
            it(run)
            expectThat(calls.last().isWanted()).isFalse()
            expectThat(unwanted).containsExactly(UnwantedStage.CONNECTING)
        }
    }

    @Test
    fun `a request in progress when the process ends is answered with what is known of it, never as not run once it was sent`() {
        val sentBefore = run()
        sentBefore.begin()
        sentBefore.perform(dispatch(1))
        sentBefore.endAtStop()
        expectThat(content.toString()).contains("may-have-run").contains("this router stopped")
        expectThat(cancelled.size).isEqualTo(1)
        content.clear()
        val waiting = run()
        waiting.begin()
        waiting.endAtStop()
        waiting.perform(dispatch(1))
        expectThat(content.toString()).contains("not-run")
        expectThat(listeners.size).isEqualTo(1)
    }
}
