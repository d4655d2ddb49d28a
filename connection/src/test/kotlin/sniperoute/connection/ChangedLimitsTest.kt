/**
 * Limits that change while connections are kept: each request is held to those in force when it begins.
 */
package sniperoute.connection

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import sniperoute.connection.http.*
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import java.io.BufferedReader
import java.net.Socket
import java.util.concurrent.atomic.AtomicReference
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

private const val HIGHER_LIMIT = 100_000
private const val LONG_BODY = 50_000
private const val LONG_HEADER = 3_000
private const val BEYOND_DECODER = 200_000

class ChangedLimitsTest {
    private val threads = startHttpThreads(1)
    private val limits = AtomicReference(smallLimits)
    private val port = threads.serve("127.0.0.1", 0, { limits.get() }) { it.respond(ResponseHead(200), it.body) }.port

    @AfterEach
    fun close() = threads.close()

    private fun post(bytes: Int) = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: $bytes\r\n\r\n${"x".repeat(bytes)}"

    private fun get(headerBytes: Int) = "GET / HTTP/1.1\r\nhost: a\r\nx: ${"y".repeat(headerBytes)}\r\n\r\n"

    /** Reads one response and returns its head. */
    private fun BufferedReader.response(): String {
        val head = generateSequence { readLine() }.takeWhile { it.isNotEmpty() }.joinToString("\n")
        val length = Regex("(?i)content-length: (\\d+)")
            .find(head)
            ?.groupValues
            ?.get(1)
            ?.toInt() ?: 0
        repeat(length) { read() }
        return head
    }

    private fun Socket.exchange(reader: BufferedReader, request: String): String {
        getOutputStream().write(request.toByteArray())
        return reader.response()
    }

    private fun onKeptConnection(action: (send: (String) -> String) -> Unit) = Socket("127.0.0.1", port).use { socket ->
        socket.soTimeout = 5_000
        val reader = socket.getInputStream().bufferedReader()
        action { socket.exchange(reader, it) }
    }

    private fun statusOf(head: String) = head.substringAfter(' ').take(3).toInt()

    /** Guards against requests that are refused with 413 on kept connections after the limit was raised. */
    @Test
    fun `a body is held to the limit in force on a kept connection, be it raised or lowered`() = onKeptConnection { send ->
        expectThat(statusOf(send(post(10)))).isEqualTo(200)
        limits.set(smallLimits.copy(bodyBytes = HIGHER_LIMIT))
        expectThat(statusOf(send(post(LONG_BODY)))).isEqualTo(200)
        limits.set(smallLimits)
        expectThat(statusOf(send(post(LONG_BODY)))).isEqualTo(413)
        expectThat(statusOf(send(post(10)))).isEqualTo(200)
    }

    @Test
    fun `headers that became allowed are taken on a kept connection`() = onKeptConnection { send ->
        expectThat(statusOf(send(get(10)))).isEqualTo(200)
        limits.set(smallLimits.copy(headerBytes = 2 * LONG_HEADER))
        expectThat(statusOf(send(get(LONG_HEADER)))).isEqualTo(200)
        limits.set(smallLimits)
        expectThat(statusOf(send(get(LONG_HEADER)))).isEqualTo(431)
    }

    @Test
    fun `a connection whose decoder is too small for the limit in force ends with its next response`() = onKeptConnection { send ->
        expectThat(send(get(10)).contains("connection: close")).isFalse()
        limits.set(smallLimits.copy(headerBytes = BEYOND_DECODER))
        expectThat(send(get(10))).contains("connection: close")
    }

    /** Guards against a request that gets neither an answer nor a refusal beside a change of the configuration. */
    @Test
    fun `every pipelined request is answered in turn while the limits change between reads`() {
        val random = Random(23)
        repeat(40) {
            val lengths = List(random.nextInt(1, 12)) { listOf(10, 900, LONG_BODY).random(random) }
            val bytes = lengths.joinToString("", transform = ::post).toByteArray()
            Socket("127.0.0.1", port).use { socket ->
                socket.soTimeout = 5_000
                val reader = socket.getInputStream().bufferedReader()
                var sent = 0
                while (sent < bytes.size) {
                    val count = minOf(random.nextInt(1, 60_000), bytes.size - sent)
                    socket.getOutputStream().write(bytes, sent, count)
                    sent += count
                    limits.set(smallLimits.copy(bodyBytes = listOf(1_000, HIGHER_LIMIT).random(random)))
                }
                val statuses = lengths.map { statusOf(reader.response()) }
                val short = lengths.zip(statuses).filter { (length, _) -> length < LONG_BODY }
                expectThat(short.map { it.second }).all { isEqualTo(200) }
                expectThat(statuses - setOf(200, 413)).isEmpty()
            }
        }
    }

    @Test
    fun `the head timeout in force applies to a kept connection`() {
        Socket("127.0.0.1", port).use { socket ->
            socket.soTimeout = 5_000
            val reader = socket.getInputStream().bufferedReader()
            expectThat(statusOf(socket.exchange(reader, get(10)))).isEqualTo(200)
            limits.set(smallLimits.copy(headTimeout = 100.milliseconds))
            socket.getOutputStream().write("GET / HT".toByteArray())
            expectThat(reader.read()).isEqualTo(-1)
        }
    }
}
