/**
 * Responses that an endpoint writes once more, or late, on a connection that is kept: none is taken for the answer to another call.
 */
package sniperoute.connection

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import sniperoute.connection.endpoint.EndpointClient
import sniperoute.connection.endpoint.RequestIdHeader
import sniperoute.connection.endpoint.endpointClient
import sniperoute.connection.endpoint.message.*
import sniperoute.connection.http.startHttpThreads
import sniperoute.process.clock.systemClock
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.seconds

private const val LATER_MILLISECONDS = 100L

class RepeatedResponsesTest {
    private val threads = startHttpThreads(1)
    private val connections = AtomicInteger()

    @AfterEach
    fun close() = threads.close()

    private fun response(status: Int, id: String?, content: String = ""): String {
        val header = id?.let { "x-request-id: $it\r\n" }.orEmpty()
        return "HTTP/1.1 $status x\r\n${header}content-length: ${content.length}\r\n\r\n$content"
    }

    /**
     * Starts a server that writes what [answer] returns for each connection and request, both counted from 1, and what [after] returns
     * for the request a moment later.
     */
    private fun server(after: (request: Int) -> String = { "" }, answer: (connection: Int, request: Int) -> String): EndpointAddress {
        val listener = ServerSocket(0)
        thread(isDaemon = true) {
            while (true) {
                val socket = listener.accept()
                val connection = connections.incrementAndGet()
                thread(isDaemon = true) { socket.serve(after) { request -> answer(connection, request) } }
            }
        }
        return EndpointAddress("127.0.0.1", listener.localPort)
    }

    private fun Socket.serve(after: (request: Int) -> String, answer: (request: Int) -> String) = use {
        val lines = getInputStream().bufferedReader()
        var requests = 0
        while (true) {
            val line = lines.readLine() ?: break
            requests += if (line.isEmpty()) 1 else 0
            if (line.isEmpty()) write(answer(requests), after(requests))
        }
    }

    private fun Socket.write(atOnce: String, later: String) {
        getOutputStream().write(atOnce.toByteArray())
        if (later.isNotEmpty()) Thread.sleep(LATER_MILLISECONDS)
        getOutputStream().write(later.toByteArray())
    }

    private fun client(isIdRequired: Boolean = false) =
        endpointClient(threads, systemClock(), RequestIdHeader(isRequired = isIdRequired))

    private fun EndpointClient.start(address: EndpointAddress, id: String?, events: LinkedBlockingQueue<CallEvent>) =
        call(EndpointCall(address, id, "GET", "/", idleTimeout = 5.seconds)) { events.put(it) }

    private fun LinkedBlockingQueue<CallEvent>.awaitEnd(): List<CallEvent> {
        val all = mutableListOf<CallEvent>()
        while (all.lastOrNull().let { it !is CallCompleted && it !is CallFailed }) {
            all += poll(10, TimeUnit.SECONDS) ?: error("no event after $all")
        }
        return all
    }

    private fun EndpointClient.run(address: EndpointAddress, id: String?): List<CallEvent> =
        LinkedBlockingQueue<CallEvent>().also { start(address, id, it) }.awaitEnd()

    private fun List<CallEvent>.content(): String = filterIsInstance<ContentReceived>().joinToString("") { it.bytes.decodeToString() }

    @Test
    fun `a response without an ID, or with that of an earlier call, on a kept connection is not taken for an answer`() {
        val repeated = listOf(response(503, null), response(421, null), response(500, null), response(200, null), response(503, "r1"))
        repeated.forEach { response ->
            val address = server { _, request -> if (request == 1) response(200, "r1") else response }
            val client = client()
            expectThat(client.run(address, "r1").last()).isA<CallCompleted>()
            expectThat(client.run(address, "r2").last())
                .describedAs(response)
                .isA<CallFailed>()
                .get { failure }
                .isEqualTo(CallFailure.CROSSED)
        }
    }

    @Test
    fun `where endpoints must repeat the ID, no response without it is taken for an answer, whatever its status`() {
        listOf(200, 400, 421, 429, 500, 503).forEach { status ->
            val address = server { _, _ -> response(status, null) }
            expectThat(client(isIdRequired = true).run(address, "r1").last())
                .describedAs("$status")
                .isA<CallFailed>()
                .get { failure }
                .isEqualTo(CallFailure.CROSSED)
        }
    }

    @Test
    fun `a refusal that is repeated is not taken for the answer to a second call with the same ID`() {
        val address = server { connection, request -> if (request == 1) response(200, "r1", "of $connection") else response(503, "r1") }
        val client = client()
        expectThat(client.run(address, "r1").content()).isEqualTo("of 1")
        expectThat(client.run(address, "r1").content()).isEqualTo("of 2")
    }

    @Test
    fun `an endpoint that repeats no IDs is served on a new connection each time, one that does on a kept one`() {
        val address = server { _, _ -> response(200, null, "x") }
        val client = client()
        repeat(3) { expectThat(client.run(address, "r$it").content()).isEqualTo("x") }
        expectThat(connections.get()).isEqualTo(3)
        val repeating = server { _, request -> response(503, "r$request") }
        (1..3).forEach { expectThat(client.run(repeating, "r$it").last()).isA<CallCompleted>() }
        expectThat(connections.get()).isEqualTo(4)
    }

    @Test
    fun `interim responses of an earlier call are not taken for an answer`() {
        val interim = "HTTP/1.1 103 x\r\nx-request-id: r1\r\n\r\n"
        val address = server { _, request -> if (request == 1) response(200, "r1") else interim + response(200, "r2", "own") }
        val client = client()
        client.run(address, "r1")
        expectThat(client.run(address, "r2").content()).isEqualTo("own")
    }

    @Test
    fun `a response in the same read as the answer before it is not taken for the answer to the call that follows at once`() {
        val address = server { connection, _ -> response(200, null, "of $connection") + response(200, null, "extra") }
        val client = client()
        val second = LinkedBlockingQueue<CallEvent>()
        client.call(EndpointCall(address, null, "GET", "/", idleTimeout = 5.seconds)) {
            if (it is CallCompleted) client.start(address, null, second)
        }
        expectThat(second.awaitEnd().content()).isEqualTo("of 2")
    }

    @Test
    fun `a response to a HEAD request has no content, and its connection is kept`() {
        val address = server { connection, request -> response(200, "r$request", "of $connection").substringBefore("of") }
        val client = client()
        (1..2).forEach { number ->
            val events = LinkedBlockingQueue<CallEvent>()
            client.call(EndpointCall(address, "r$number", "HEAD", "/", idleTimeout = 5.seconds)) { events.put(it) }
            expectThat(events.awaitEnd().last()).isA<CallCompleted>()
        }
        expectThat(connections.get()).isEqualTo(1)
    }

    @Test
    fun `the start of a response after a complete one, in the same read or later, closes its connection`() {
        val (start, rest) = response(200, null, "extra").let { it.take(20) to it.drop(20) }
        listOf("" to start, start to "").forEach { (atOnce, later) ->
            connections.set(0)
            val address = server(after = { if (it == 1) later else "" }) { connection, request ->
                if (request == 1) response(200, null, "of $connection") + atOnce else rest
            }
            val client = client()
            expectThat(client.run(address, null).content()).isEqualTo("of 1")
            Thread.sleep(2 * LATER_MILLISECONDS)
            expectThat(client.run(address, null).content()).isEqualTo("of 2")
        }
    }
}
