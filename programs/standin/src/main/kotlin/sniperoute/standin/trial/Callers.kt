/**
 * A caller of the router, for the story and the load: plain HTTP with the workspace's key.
 */
package sniperoute.standin.trial

import sniperoute.common.ListenAddress
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration

/** An answer as a caller sees it; a [status] of 0 means that no whole answer came, for the reason in [body]. */
public data class CallerAnswer(public val status: Int, public val outcome: String?, public val body: String)

private const val PATIENCE_SECONDS = 10L

/** Calls routers. */
public class Caller internal constructor() {
    private val client = HttpClient
        .newBuilder()
        .connectTimeout(Duration.ofSeconds(1))
        .version(HttpClient.Version.HTTP_1_1)
        .build()

    /** Returns the answer of the router at [address] to a GET of [path]. */
    public fun get(address: ListenAddress, path: String, key: String?): CallerAnswer = send(request(address, path, key).GET().build())

    /** Returns the answer of the router at [address] to [body]; with an [idempotencyKey] the call may run only once. */
    public fun post(address: ListenAddress, path: String, key: String?, body: String, idempotencyKey: String? = null): CallerAnswer {
        val builder = request(address, path, key).POST(HttpRequest.BodyPublishers.ofString(body))
        idempotencyKey?.let { builder.header("idempotency-key", it) }
        return send(builder.build())
    }

    private fun request(address: ListenAddress, path: String, key: String?): HttpRequest.Builder {
        val uri = URI("http://${address.host}:${address.port}$path")
        val builder = HttpRequest.newBuilder(uri).timeout(Duration.ofSeconds(PATIENCE_SECONDS))
        return if (key == null) builder else builder.header("authorization", "Bearer $key")
    }

    private fun send(request: HttpRequest): CallerAnswer =
        try {
            val answer = client.send(request, HttpResponse.BodyHandlers.ofString())
            CallerAnswer(answer.statusCode(), answer.headers().firstValue("sniperoute-outcome").orElse(null), answer.body())
        } catch (failure: IOException) {
            CallerAnswer(0, null, failure.message ?: failure.javaClass.simpleName)
        }
}

/** Returns a caller that keeps its connections. */
public fun newCaller(): Caller = Caller()

/** Returns the JSON of a completion request; [parts] are the nested levels of its prompt. */
public fun completionBody(parts: List<String>, answerTokens: Int, isStreamed: Boolean): String {
    val messages = parts.joinToString(",") { "{\"role\":\"user\",\"content\":\"$it\"}" }
    return "{\"model\":\"drafting\",\"stream\":$isStreamed,\"max_tokens\":$answerTokens,\"messages\":[$messages]}"
}

/** Returns text of [bytes] bytes that differs for each [seed]. */
public fun textOf(seed: String, bytes: Int): String {
    val unit = "$seed lorem ipsum dolor "
    return unit.repeat(bytes / unit.length + 1).take(bytes)
}
