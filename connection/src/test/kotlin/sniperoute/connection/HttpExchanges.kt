/**
 * What tests of HTTP connections share.
 */
package sniperoute.connection

import sniperoute.connection.endpoint.decision.*
import sniperoute.connection.endpoint.message.*
import sniperoute.connection.http.*
import java.net.Socket
import java.nio.charset.Charset

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
