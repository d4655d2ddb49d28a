/**
 * A caller of the router, for the demonstration and the load measurement: HTTP with a workspace's key.
 */
package sniperoute.standin.trial

import sniperoute.common.ListenAddress
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration

/** The response that a caller received; [status] is 0 when no complete response arrived, and [body] is then the reason. */
public data class CallerResponse(public val status: Int, public val outcome: String?, public val body: String)

private const val TIMEOUT_SECONDS = 10L

/** A blocking client of routers. */
public class Caller internal constructor() {
    private val client = HttpClient
        .newBuilder()
        .connectTimeout(Duration.ofSeconds(1))
        .version(HttpClient.Version.HTTP_1_1)
        .build()

    /** Returns the response of the router at [address] to a GET of [path]. */
    public fun get(address: ListenAddress, path: String, key: String?): CallerResponse = send(request(address, path, key).GET().build())

    /** Returns the response of the router at [address] to a POST of [body]; with an [idempotencyKey] the call runs at most once. */
    public fun post(address: ListenAddress, path: String, key: String?, body: String, idempotencyKey: String? = null): CallerResponse {
        val builder = request(address, path, key).POST(HttpRequest.BodyPublishers.ofString(body))
        idempotencyKey?.let { builder.header("idempotency-key", it) }
        return send(builder.build())
    }

    private fun request(address: ListenAddress, path: String, key: String?): HttpRequest.Builder {
        val uri = URI("http://${address.host}:${address.port}$path")
        val builder = HttpRequest.newBuilder(uri).timeout(Duration.ofSeconds(TIMEOUT_SECONDS))
        return if (key == null) builder else builder.header("authorization", "Bearer $key")
    }

    private fun send(request: HttpRequest): CallerResponse =
        try {
            val response = client.send(request, HttpResponse.BodyHandlers.ofString())
            CallerResponse(response.statusCode(), response.headers().firstValue("sniperoute-outcome").orElse(null), response.body())
        } catch (failure: IOException) {
            CallerResponse(0, null, failure.message ?: failure.javaClass.simpleName)
        }
}

/** Returns a caller that reuses its connections. */
public fun newCaller(): Caller = Caller()

/** Returns the JSON of a completion request; [levels] are the nested levels of its prompt, one message each. */
public fun completionBody(levels: List<String>, answerTokens: Int, isStreamed: Boolean): String {
    val messages = levels.joinToString(",") { "{\"role\":\"user\",\"content\":\"$it\"}" }
    return "{\"model\":\"drafting\",\"stream\":$isStreamed,\"max_tokens\":$answerTokens,\"messages\":[$messages]}"
}

/** Returns [bytes] bytes of ASCII text that repeats [seed], which must be ASCII too. */
public fun fillerText(seed: String, bytes: Int): String {
    val unit = "$seed lorem ipsum dolor "
    return unit.repeat(bytes / unit.length + 1).take(bytes)
}
