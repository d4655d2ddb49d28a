/**
 * The pages that every server has at its administration address: liveness, readiness, metrics and the time line.
 */
package sniperoute.common

import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import sniperoute.connection.http.Exchange
import sniperoute.connection.http.HttpStatus
import sniperoute.connection.http.RequestHead
import sniperoute.connection.http.codec.WholeResponse
import sniperoute.connection.http.codec.errorResponse
import sniperoute.connection.http.codec.jsonResponse
import sniperoute.connection.http.codec.textResponse
import sniperoute.connection.http.valueOrNull
import sniperoute.process.metrics.MetricsRegistry
import sniperoute.process.metrics.toText
import sniperoute.process.timeline.EventRecorder
import sniperoute.process.timeline.message.Event
import sniperoute.version.codec.sha256Hexadecimal
import java.security.MessageDigest

/** The JSON format of all administration pages. */
public val administrationJson: Json = Json {
    encodeDefaults = true
    explicitNulls = false
    ignoreUnknownKeys = true
}

/** Returns why the process is not ready, or `null` when it is ready. */
public typealias NotReadyReason = () -> String?

/** Returns the page that [exchange] requests if it is one that every server has, otherwise `null`. */
public fun commonPageOrNull(
    exchange: Exchange,
    metrics: MetricsRegistry,
    recorder: EventRecorder,
    unreadyReason: NotReadyReason,
): WholeResponse? = when (exchange.head.path) {
    "/live" -> textResponse(HttpStatus.OK, "live\n")
    "/ready" -> readinessPage(unreadyReason)
    METRICS_PAGE -> metricsPage(metrics)
    "/timeline" -> jsonResponse(HttpStatus.OK, recorder.toJson())
    else -> null
}

/** The path of the metrics. */
public const val METRICS_PAGE: String = "/metrics"

/** Returns the page of all metrics. */
public fun metricsPage(metrics: MetricsRegistry): WholeResponse = textResponse(HttpStatus.OK, metrics.toText())

/** Returns the readiness page: 200 when the process is ready, otherwise 503 with the reason. */
public fun readinessPage(unreadyReason: NotReadyReason): WholeResponse =
    unreadyReason()?.let { textResponse(HttpStatus.UNAVAILABLE, "not ready: $it\n") } ?: textResponse(HttpStatus.OK, "ready\n")

private fun EventRecorder.toJson(): String = administrationJson.encodeToString(ListSerializer(Event.serializer()), timeline.events)

/** Sends [response]. */
public fun Exchange.reply(response: WholeResponse): Unit = respond(response.head, response.content)

/** Returns the response to a request for a page that doesn't exist. */
public fun notFoundPage(path: String): WholeResponse =
    errorResponse(HttpStatus.NOT_FOUND, "unknown_page", "there is no page $path", "not-run")

/** An operator, and the SHA-256 digest of the key that authenticates it. */
public data class Operator(public val name: String, public val keyDigest: String)

/** Pages that need no key, because load balancers and monitoring read them. */
public val unauthenticatedPages: Set<String> = setOf("/live", "/ready", METRICS_PAGE)

/** Returns the operator whose key is in [head], or `null`. */
public fun List<Operator>.authenticateOrNull(head: RequestHead): Operator? {
    val key = head.headers.valueOrNull("authorization")?.removePrefix("Bearer ") ?: return null
    val digest = sha256Hexadecimal(key.toByteArray()).toByteArray()
    return firstOrNull { MessageDigest.isEqual(it.keyDigest.toByteArray(), digest) }
}

/** Returns the response to a request without an operator's key. */
public fun unauthorizedPage(): WholeResponse =
    errorResponse(HttpStatus.UNAUTHORIZED, "unauthorized", "send an operator's key as a bearer token", "not-run")
