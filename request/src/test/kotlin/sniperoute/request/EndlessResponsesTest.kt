/**
 * Responses that do not end: what they hold together is bounded, and other responses are delivered beside them.
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
import sniperoute.request.run.requestRun
import sniperoute.version.message.*
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import kotlin.time.Duration

private const val BUDGET_BYTES = 8L * 1024 * 1024
private const val BLOCK_BYTES = 64 * 1024
private const val MOST_BLOCKS = 400

class EndlessResponsesTest {
    private val budget = byteBudget(BUDGET_BYTES)

    private inner class PlayedRun(number: Int) : Exchange {
        override val head = RequestHead("GET", "/v1", "", persistentListOf())
        override val body = ByteArray(0)
        var response: ByteArray? = null
        var isCancelled = false
        var received = 0L
        lateinit var onEvent: OnCallEvent
        val run: RequestRun = newRun(number)

        private fun newRun(number: Int) = requestRun(
            admitted("$number"),
            plainContext("$number", wantsStream = false),
            this,
            RequestRunDependencies(
                sendToRouting = { true },
                call = { _, onEvent -> runningCall().also { this@PlayedRun.onEvent = onEvent } },
                requestLedger = { _, _, _ -> },
                record = { _, _, _ -> },
                clock = { start },
                ended = { _, _, _ -> },
                bufferedBytes = budget,
            ),
        )

        private fun runningCall() = object : RunningCall {
            override fun cancel() {
                isCancelled = true
            }

            override fun setReading(isEnabled: Boolean) = Unit

            override fun recordProgress() = Unit
        }

        fun begin(number: Int): PlayedRun {
            run.begin()
            run.perform(Dispatch(RequestId("$number"), endpoint("e"), null, 1, isFresh = true))
            onEvent(ResponseStarted(ResponseHead(200, persistentListOf(Header("content-type", "text/plain")))))
            return this
        }

        fun receive(bytes: Int) {
            received += bytes
            onEvent(ContentReceived(ByteArray(bytes)))
        }

        override fun respond(head: ResponseHead, content: ByteArray) {
            response = content
        }

        override fun startResponse(head: ResponseHead) = Unit

        override fun send(content: ByteArray) = Unit

        override fun end() = Unit

        override fun abort() = Unit

        override fun setListener(listener: CallerConnectionListener) = Unit

        override fun after(delay: Duration, action: () -> Unit): CancelTimer = {}

        override fun onConnectionThread(action: () -> Unit) = action()
    }

    /** Guards against a router that runs out of memory and hangs after a dozen responses without end. */
    @Test
    fun `a dozen responses without end hold a bounded number of bytes together, and another response is delivered`() {
        val endless = List(12) { PlayedRun(it).begin(it) }
        var most = 0L
        repeat(MOST_BLOCKS) {
            endless.filter { !it.isCancelled }.forEach { it.receive(BLOCK_BYTES) }
            most = maxOf(most, endless.filter { !it.isCancelled }.sumOf { it.received })
            if (it == 2) {
                val ordinary = PlayedRun(100).begin(100)
                ordinary.receive(BLOCK_BYTES / 2)
                ordinary.onEvent(CallCompleted)
                expectThat(ordinary.response?.size).isEqualTo(BLOCK_BYTES / 2)
            }
        }
        expectThat(most).isLessThanOrEqualTo(BUDGET_BYTES)
        expectThat(endless.all { it.isCancelled }).isTrue()
        expectThat(budget.heldBytes).isEqualTo(0)
    }

    @Test
    fun `what a response held is free after its end, whatever the end was`() {
        val delivered = PlayedRun(1).begin(1)
        delivered.receive(BLOCK_BYTES)
        expectThat(budget.heldBytes).isEqualTo(BLOCK_BYTES.toLong())
        delivered.onEvent(CallCompleted)
        val stopped = PlayedRun(2).begin(2)
        stopped.receive(BLOCK_BYTES)
        stopped.run.endAtStop()
        val broken = PlayedRun(3).begin(3)
        broken.receive(BLOCK_BYTES)
        broken.onEvent(CallFailed(CallFailure.BROKEN, "reset"))
        expectThat(budget.heldBytes).isEqualTo(0)
    }
}
