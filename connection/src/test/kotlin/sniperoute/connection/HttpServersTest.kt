/**
 * The HTTP server: invalid requests are refused in their turn, and a response is whole or seen to be broken.
 */
package sniperoute.connection

import io.netty.pkitesting.CertificateBuilder
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import sniperoute.connection.endpoint.decision.*
import sniperoute.connection.endpoint.message.*
import sniperoute.connection.http.*
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import strikt.assertions.startsWith
import java.io.ByteArrayOutputStream
import java.net.Socket
import java.net.SocketException
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.CompletableFuture
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicReference
import javax.net.ssl.SSLContext
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val SLOW_RESPONSE_MILLISECONDS = 500L
private const val PAUSE_MILLISECONDS = 50L

class HttpServersTest {
    private val threads = startHttpThreads(1)

    @TempDir
    lateinit var folder: Path

    @AfterEach
    fun close() = threads.close()

    @Test
    fun `malformed, overlong and oversized requests are refused with their status, and the server keeps serving`() {
        val port = threads.server().port
        expectThat(exchange(port, "nonsense\r\n\r\n")).startsWith("HTTP/1.1 400").contains("not-run")
        expectThat(exchange(port, "GET / HTTP/1.1\r\nx: ${"y".repeat(2_000)}\r\n\r\n")).startsWith("HTTP/1.1 431")
        expectThat(exchange(port, "GET /${"y".repeat(20_000)} HTTP/1.1\r\n\r\n")).startsWith("HTTP/1.1 414")
        expectThat(exchange(port, "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5000\r\n\r\n")).startsWith("HTTP/1.1 413")
        expectThat(exchange(port, "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nhi")).startsWith("HTTP/1.1 200").contains("hi")
    }

    @Test
    fun `pipelined requests get their responses in order`() {
        val port = threads
            .server { exchange ->
                Thread { exchange.respond(ResponseHead(200), exchange.head.path.toByteArray()) }.start()
            }.port
        Socket("127.0.0.1", port).use { socket ->
            socket.soTimeout = 5_000
            socket.getOutputStream().write((1..5).joinToString("") { "GET /$it HTTP/1.1\r\nhost: a\r\n\r\n" }.toByteArray())
            val text = StringBuilder()
            val bytes = ByteArray(4_096)
            while (!text.contains("/5")) text.append(bytes.decodeToString(0, socket.getInputStream().read(bytes)))
            expectThat(Regex("\r\n\r\n/(\\d)").findAll(text).map { it.groupValues[1] }.toList()).containsExactly("1", "2", "3", "4", "5")
        }
    }

    private val get = "GET /first HTTP/1.1\r\nhost: a\r\n\r\n"

    private fun slowly(exchange: Exchange) {
        thread(isDaemon = true) {
            Thread.sleep(SLOW_RESPONSE_MILLISECONDS)
            exchange.respond(ResponseHead(200), exchange.head.path.toByteArray())
        }
    }

    /** Sends [requests] one by one and returns all that comes until the server closes the connection, or nothing comes for two seconds. */
    private fun conversation(port: Int, vararg requests: String): String = Socket("127.0.0.1", port).use { socket ->
        socket.soTimeout = 2_000
        requests.forEach { request ->
            socket.getOutputStream().write(request.toByteArray())
            Thread.sleep(PAUSE_MILLISECONDS)
        }
        val text = StringBuilder()
        val bytes = ByteArray(4_096)
        runCatching {
            while (true) text.append(bytes.decodeToString(0, socket.getInputStream().read(bytes).also { check(it >= 0) { "closed" } }))
        }
        text.toString()
    }

    private fun statuses(text: String) = Regex("HTTP/1.1 (\\d+)").findAll(text).map { it.groupValues[1].toInt() }.toList()

    @Test
    fun `an invalid request is refused after the response in progress on its connection, which it does not cut`() {
        val port = threads.server(::slowly).port
        val invalid = mapOf(
            "nonsense\r\n\r\n" to 400,
            "GET / HTTP/1.1\r\nhost: a\r\nx: ${"y".repeat(2_000)}\r\n\r\n" to 431,
            "GET / HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n" to 400,
            "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5000\r\n\r\n" to 413,
            "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5000\r\nexpect: 100-continue\r\n\r\n" to 413,
        )
        invalid.forEach { (request, status) ->
            val text = conversation(port, get + request)
            expectThat(statuses(text)).describedAs("$request: $text").containsExactly(200, status)
            expectThat(text).contains("/first")
        }
    }

    @Test
    fun `the head of the next request may time out without cutting the response in progress`() {
        val hasty = smallLimits.copy(headTimeout = 100.milliseconds)
        val port = threads.serve("127.0.0.1", 0, { hasty }, handle = ::slowly).port
        expectThat(statuses(conversation(port, get, "GET /second HTTP/1.1\r\n"))).containsExactly(200)
    }

    @Test
    fun `a closing server answers the requests that it has read on a connection before it closes it`() {
        val port = threads.serve("127.0.0.1", 0, { smallLimits }, isClosing = { true }, handle = ::slowly).port
        val text = conversation(port, get + get + get)
        expectThat(statuses(text)).containsExactly(200, 200, 200)
        expectThat(Regex("connection: close").findAll(text).count()).isEqualTo(1)
    }

    @Test
    fun `no request is handled after one that asked for the connection to be closed`() {
        val handled = AtomicInteger()
        val port = threads.server { handled.incrementAndGet().also { _ -> slowly(it) } }.port
        val text = conversation(port, "GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n$get")
        expectThat(statuses(text)).containsExactly(200)
        expectThat(handled.get()).isEqualTo(1)
    }

    @Test
    fun `a kept connection is closed by the idle timeout in force, not by that at its start`() {
        val idle = AtomicReference(1.seconds)
        val port = threads
            .serve(
                "127.0.0.1",
                0,
                { smallLimits.copy(idleTimeout = idle.get()) },
            ) { it.respond(ResponseHead(200), ByteArray(0)) }
            .port
        Socket("127.0.0.1", port).use { socket ->
            socket.soTimeout = 5_000
            val bytes = ByteArray(4_096)
            socket.getOutputStream().write(get.toByteArray())
            expectThat(socket.getInputStream().read(bytes)).isGreaterThan(0)
            idle.set(3.seconds)
            Thread.sleep(1_800)
            socket.getOutputStream().write(get.toByteArray())
            expectThat(socket.getInputStream().read(bytes)).isGreaterThan(0)
            idle.set(300.milliseconds)
            socket.getOutputStream().write(get.toByteArray())
            expectThat(socket.getInputStream().read(bytes)).isGreaterThan(0)
            expectThat(socket.getInputStream().read(bytes)).isEqualTo(-1)
        }
    }

    @Test
    fun `a request whose handling fails is answered`() {
        val port = threads.server { error("a fault of the handler") }.port
        expectThat(statuses(conversation(port, get))).containsExactly(500)
    }

    @Test
    fun `an aborted response has no last chunk`() {
        val port = threads
            .server {
                it.startResponse(ResponseHead(200))
                it.send("part".toByteArray())
                it.abort()
            }.port
        val text = Socket("127.0.0.1", port).use { socket ->
            socket.getOutputStream().write("GET / HTTP/1.1\r\nhost: a\r\n\r\n".toByteArray())
            runCatching { socket.getInputStream().readAllBytes().decodeToString() }.getOrDefault("")
        }
        expectThat(text.contains("\r\n0\r\n")).isEqualTo(false)
    }

    /** What a caller receives until its connection ends, and whether a reset ended it. */
    private fun exchangeUntilEnd(port: Int, request: String): Pair<String, Boolean> = Socket("127.0.0.1", port).use { socket ->
        socket.soTimeout = 5_000
        socket.getOutputStream().write(request.toByteArray())
        val received = ByteArrayOutputStream()
        val isReset = try {
            socket.getInputStream().copyTo(received)
            false
        } catch (_: SocketException) {
            true
        }
        received.toString() to isReset
    }

    @Test
    fun `a whole response or a second head is never written into a response that has started`() {
        val misuses: List<(Exchange) -> Unit> = listOf(
            { it.respond(ResponseHead(500), "error".toByteArray()) },
            { it.startResponse(ResponseHead(500)) },
        )
        val requests = listOf("GET / HTTP/1.1\r\nhost: a\r\n\r\n", "GET / HTTP/1.0\r\n\r\n")
        misuses.forEach { misuse ->
            requests.forEach { request ->
                val thrown = CompletableFuture<Throwable?>()
                val port = threads
                    .server {
                        it.startResponse(ResponseHead(200))
                        it.send("part".toByteArray())
                        thrown.complete(runCatching { misuse(it) }.exceptionOrNull())
                        it.send("rest".toByteArray())
                        it.end()
                    }.port
                val (text, isReset) = exchangeUntilEnd(port, request)
                expectThat(Regex("HTTP/1").findAll(text).count()).describedAs(text).isLessThanOrEqualTo(1)
                expectThat(text.contains("rest") || text.contains("error") || text.contains("\r\n0\r\n")).isFalse()
                expectThat(thrown.get(5, TimeUnit.SECONDS)).isA<IllegalStateException>()
                if ("HTTP/1.0" in request) expectThat(isReset).isTrue()
            }
        }
    }

    @Test
    fun `a streamed response to an HTTP 1_0 caller has no chunks, ends with its connection, and with a reset unless it is complete`() {
        val request = "GET / HTTP/1.0\r\nconnection: keep-alive\r\n\r\n"
        val whole = threads.server {
            it.startResponse(ResponseHead(200))
            it.send("part".toByteArray())
            it.end()
        }
        val (text, isReset) = exchangeUntilEnd(whole.port, request)
        expectThat(text.lowercase()).contains("connection: close")
        expectThat(text.lowercase().contains("transfer-encoding")).isFalse()
        expectThat(text.substringAfter("\r\n\r\n")).isEqualTo("part")
        expectThat(isReset).isFalse()
        val aborted = threads.server {
            it.startResponse(ResponseHead(200))
            it.send("part".toByteArray())
            it.after(RESET_DELAY_MILLISECONDS.milliseconds) { it.abort() }
        }
        expectThat(exchangeUntilEnd(aborted.port, request).second).isTrue()
    }

    @Test
    fun `a refused request is answered after the response before it, and its refusal does not stand in a streamed one`() {
        val first = "GET /1 HTTP/1.1\r\nhost: a\r\n\r\n"
        val refused = mapOf(
            "HTTP/1.1 400" to "GET /2 HTTP/1.1\r\n\r\n",
            "HTTP/1.1 505" to "GET /2 HTTP/1.9\r\nhost: a\r\n\r\n",
            "HTTP/1.1 431" to "GET /2 HTTP/1.1\r\nx: ${"y".repeat(2_000)}\r\n\r\n",
            "HTTP/1.1 413" to "POST /2 HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 5000\r\n\r\n",
        )
        val respond: Map<String, (Exchange) -> Unit> = mapOf(
            "whole" to { it.respond(ResponseHead(200), "first".toByteArray()) },
            "streamed" to {
                it.send("st".toByteArray())
                it.end()
            },
        )
        respond.forEach { (kind, action) ->
            refused.forEach { (status, request) ->
                val port = threads
                    .server { exchange ->
                        if (kind == "streamed") exchange.startResponse(ResponseHead(200)).also { exchange.send("fir".toByteArray()) }
                        exchange.after(RESET_DELAY_MILLISECONDS.milliseconds) { action(exchange) }
                    }.port
                val (text, _) = exchangeUntilEnd(port, first + request)
                val heads = Regex("HTTP/1.1 \\d+").findAll(text).map { it.value }.toList()
                expectThat(heads).describedAs("$kind, then $status: $text").containsExactly("HTTP/1.1 200", status)
            }
        }
    }

    @Test
    fun `a pipelined request that expects an interim response does not cut the response before it`() {
        val port = threads
            .server { exchange ->
                exchange.startResponse(ResponseHead(200))
                exchange.send("first".toByteArray())
                exchange.after(RESET_DELAY_MILLISECONDS.milliseconds) { exchange.end() }
            }.port
        val expecting = "POST /2 HTTP/1.1\r\nhost: a\r\nconnection: close\r\nexpect: 100-continue\r\ncontent-length: 2\r\n\r\nhi"
        val (text, _) = exchangeUntilEnd(port, "GET /1 HTTP/1.1\r\nhost: a\r\n\r\n$expecting")
        expectThat(Regex("\r\n0\r\n").findAll(text).count()).describedAs(text).isEqualTo(2)
    }

    @Test
    fun `no request is handled after a response that closes its connection`() {
        val handled = LinkedBlockingQueue<String>()
        val port = threads
            .server {
                handled.put(it.head.path)
                it.respond(ResponseHead(200), it.body)
            }.port
        exchangeUntilEnd(port, "GET /1 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\nGET /2 HTTP/1.1\r\nhost: a\r\n\r\n")
        Thread.sleep(RESET_DELAY_MILLISECONDS)
        expectThat(handled.toList()).containsExactly("/1")
    }

    @Test
    fun `callers can be served over TLS`() {
        val bundle = CertificateBuilder()
            .subject(
                "CN=localhost",
            ).addSanDnsName("localhost")
            .setIsCertificateAuthority(true)
            .buildSelfSigned()
        val chain = folder.resolve("chain.pem").also { Files.writeString(it, bundle.certificatePathPEM) }
        val key = folder.resolve("key.pem").also { Files.writeString(it, bundle.privateKeyPEM) }
        val server = threads.serve("127.0.0.1", 0, tls = TlsFiles(chain, key)) { it.respond(ResponseHead(200), "secret".toByteArray()) }
        val context = SSLContext.getInstance("TLS").apply { init(null, bundle.toTrustManagerFactory().trustManagers, null) }
        context.socketFactory.createSocket("localhost", server.port).use { socket ->
            socket.getOutputStream().write("GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n".toByteArray())
            expectThat(socket.getInputStream().readAllBytes().decodeToString()).contains("secret")
        }
        expectThat(exchange(server.port, "GET / HTTP/1.1\r\n\r\n").contains("secret")).isEqualTo(false)
    }
}
