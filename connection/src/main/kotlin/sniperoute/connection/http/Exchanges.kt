/**
 * One HTTP request and its answer, as programs see them: plain values in, function calls out, no type of the HTTP library.
 */
package sniperoute.connection.http

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import java.net.URLDecoder
import kotlin.time.Duration

/** One header of a request or an answer; names are lower case. */
public data class Header(public val name: String, public val value: String)

/** The head of a request; [path] and [query] are split at the question mark. */
public data class RequestHead(
    public val method: String,
    public val path: String,
    public val query: String,
    public val headers: ImmutableList<Header>,
)

/** Returns the first value of the header [name], or `null`. */
public fun ImmutableList<Header>.valueOrNull(name: String): String? = firstOrNull { it.name == name }?.value

/** Returns the value of [name] in the query, or `null`. */
public fun RequestHead.queryValueOrNull(name: String): String? =
    query
        .split('&')
        .firstOrNull { it.substringBefore('=') == name }
        ?.substringAfter('=', "")
        ?.let { URLDecoder.decode(it, Charsets.UTF_8) }

/** The head of an answer. */
public data class ResponseHead(public val status: Int, public val headers: ImmutableList<Header> = persistentListOf())

private const val SUCCESSES = 200
private const val REDIRECTIONS = 300
private const val SERVER_ERRORS = 500

/** Whether the status says that the request succeeded. */
public val ResponseHead.isSuccess: Boolean get() = status in SUCCESSES until REDIRECTIONS

/** Whether the status says that the server failed. */
public val ResponseHead.isServerError: Boolean get() = status >= SERVER_ERRORS

/** The statuses that this project sends. */
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

/** Stops a timer that has not fired yet. */
public typealias CancelTimer = () -> Unit

/** What an answer's sender is told about the caller's connection. */
public class CallerConnectionListener(public val onWritabilityChanged: (Boolean) -> Unit, public val onDisconnected: () -> Unit)

/**
 * A request that waits for its answer. An answer is either [answer], or [begin], any number of [send] and one of [end] or
 * [abort]; every call may come from any thread and takes effect in order.
 */
public interface Exchange {
    /** The request's head. */
    public val head: RequestHead

    /** The request's whole body. */
    public val body: ByteArray

    /** Sends a whole answer. */
    public fun answer(head: ResponseHead, content: ByteArray)

    /** Sends the head of an answer whose content follows. */
    public fun begin(head: ResponseHead)

    /** Sends part of the content. */
    public fun send(content: ByteArray)

    /** Ends the content: the answer is complete. */
    public fun end()

    /** Breaks the connection, so that no client can take the answer for complete. */
    public fun abort()

    /** Notifies [listener] about the caller's connection. */
    public fun setListener(listener: CallerConnectionListener)

    /** Runs [action] after [delay] on the thread that owns the caller's connection, unless it is cancelled before. */
    public fun after(delay: Duration, action: () -> Unit): CancelTimer

    /** Runs [action] on the thread that owns the caller's connection. */
    public fun onConnectionThread(action: () -> Unit)
}
