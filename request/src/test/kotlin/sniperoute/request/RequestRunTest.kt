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
import sniperoute.request.run.RequestRunDependencies
import sniperoute.request.run.requestRun
import sniperoute.version.message.*
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import kotlin.time.Duration

class RequestRunTest {
    private val sent = mutableListOf<RoutingInput>()
    private val content = StringBuilder()
    private val cancelled = mutableListOf<EndpointAddress>()
    private val listeners = mutableListOf<OnCallEvent>()

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
            if (!isConnected) listener.onDisconnected()
        }

        override fun after(delay: Duration, action: () -> Unit): CancelTimer = {}

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
            clock = { start },
            ended = { _, _, _ -> },
            bufferedBytes = byteBudget(Long.MAX_VALUE),
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
