/**
 * What tests of HTTP connections share.
 */
package sniperoute.connection

import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import io.netty.pkitesting.CertificateBuilder
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertTimeoutPreemptively
import org.junit.jupiter.api.io.TempDir
import sniperoute.connection.endpoint.decision.*
import sniperoute.connection.endpoint.endpointClient
import sniperoute.connection.endpoint.message.*
import sniperoute.connection.http.*
import sniperoute.process.clock.Timestamp
import sniperoute.process.clock.systemClock
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNull
import strikt.assertions.isTrue
import strikt.assertions.startsWith
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketException
import java.nio.charset.Charset
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.CompletableFuture
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicReference
import javax.net.ssl.SSLContext
import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration

internal const val RESET_DELAY_MILLISECONDS = 100L

internal val smallLimits = HttpLimits(headerBytes = 1_000, bodyBytes = 1_000)

/** Starts a server with [smallLimits] that returns the body of each request, unless [handle] responds to it. */
internal fun HttpThreads.server(handle: HandleExchange = { it.respond(ResponseHead(200), it.body) }): HttpServer =
    serve("127.0.0.1", 0, { smallLimits }, handle = handle)

/** Returns what is received first in response to [request], or an empty text at the end of the connection. */
internal fun exchange(port: Int, request: String, charset: Charset = Charsets.UTF_8): String = Socket("127.0.0.1", port).use { socket ->
    socket.soTimeout = 5_000
    socket.getOutputStream().write(request.toByteArray(charset))
    val bytes = ByteArray(4_096)
    val count = socket.getInputStream().read(bytes)
    if (count < 0) "" else bytes.decodeToString(0, count)
}
