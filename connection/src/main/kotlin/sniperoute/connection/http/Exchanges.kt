/**
 * HTTP requests and responses without any type of the HTTP library: requests are plain values, responses are sent by function calls.
 */
package sniperoute.connection.http

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import sniperoute.process.codec.catchDecodingErrors
import java.net.URLDecoder
import kotlin.time.Duration

/** A header of a request or a response; names are in lower case. */
public data class Header(public val name: String, public val value: String)

/** The head of a request, with the target split at the question mark into [path] and [query]. */
public data class RequestHead(
    public val method: String,
    public val path: String,
    public val query: String,
    public val headers: ImmutableList<Header>,
)

/** Returns the first value of the header [name], or `null`. */
public fun ImmutableList<Header>.valueOrNull(name: String): String? = firstOrNull { it.name == name }?.value

/** Returns the first value of the parameter [name] in the query, decoded, or `null` if it is absent or malformed. */
public fun RequestHead.queryValueOrNull(name: String): String? =
    query
        .split('&')
        .firstOrNull { it.substringBefore('=') == name }
        ?.substringAfter('=', "")
        ?.let { value -> catchDecodingErrors { URLDecoder.decode(value, Charsets.UTF_8) }.getOrNull() }

/** The head of a response. */
public data class ResponseHead(public val status: Int, public val headers: ImmutableList<Header> = persistentListOf())

private const val FIRST_SUCCESS = 200
private const val FIRST_REDIRECTION = 300
private const val FIRST_SERVER_ERROR = 500

/** Whether the status code is of the class 2xx. */
public val ResponseHead.isSuccess: Boolean get() = status in FIRST_SUCCESS until FIRST_REDIRECTION

/** Whether the status code reports a failure of the server: 500 or above. */
public val ResponseHead.isServerError: Boolean get() = status >= FIRST_SERVER_ERROR

/** The status codes that this project uses. */
public object HttpStatus {
    public const val OK: Int = 200
    public const val TEMPORARY_REDIRECT: Int = 307
    public const val BAD_REQUEST: Int = 400
    public const val UNAUTHORIZED: Int = 401
    public const val FORBIDDEN: Int = 403
    public const val NOT_FOUND: Int = 404
    public const val METHOD_NOT_ALLOWED: Int = 405
    public const val REQUEST_TIMEOUT: Int = 408
    public const val MISDIRECTED: Int = 421
    public const val CONFLICT: Int = 409
    public const val PAYLOAD_TOO_LARGE: Int = 413
    public const val UNPROCESSABLE: Int = 422
    public const val TOO_MANY_REQUESTS: Int = 429
    public const val INTERNAL_ERROR: Int = 500
    public const val BAD_GATEWAY: Int = 502
    public const val UNAVAILABLE: Int = 503
    public const val GATEWAY_TIMEOUT: Int = 504
}

/** Cancels a timer that has not fired yet. */
public typealias CancelTimer = () -> Unit

/** Handles events of a caller's connection: it became writable or stopped being so, or it was closed before the response was complete. */
public class CallerConnectionListener(public val onWritabilityChanged: (Boolean) -> Unit, public val onDisconnected: () -> Unit)

/**
 * A request and the means to respond to it: either one call of [respond], or [startResponse], any number of [send], and one of [end] or
 * [abort]. All functions may be called on any thread; calls take effect in order. A call out of this sequence aborts the response and
 * throws [IllegalStateException] on the thread of the caller's connection, but after the end of the response it has no effect.
 */
public interface Exchange {
    /** The request's head. */
    public val head: RequestHead

    /** The request's whole body. */
    public val body: ByteArray

    /** Sends a whole response. */
    public fun respond(head: ResponseHead, content: ByteArray)

    /** Sends the head of a response whose content follows. */
    public fun startResponse(head: ResponseHead)

    /** Sends part of the content. */
    public fun send(content: ByteArray)

    /** Ends the content; the response is complete. */
    public fun end()

    /**
     * Closes the connection before the end of the content, so that the client sees an incomplete response. Content that only the end of
     * the connection would end, as for a caller of HTTP/1.0, is ended by a reset.
     */
    public fun abort()

    /** Sends the events of the caller's connection to [listener]. */
    public fun setListener(listener: CallerConnectionListener)

    /** Runs [action] after [delay] on the thread that owns the caller's connection, unless the returned function cancels it before. */
    public fun after(delay: Duration, action: () -> Unit): CancelTimer

    /** Runs [action] on the thread that owns the caller's connection. */
    public fun onConnectionThread(action: () -> Unit)
}
