/**
 * Calls to endpoints: the request, and the events of its response.
 */
package sniperoute.connection.endpoint.message

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import sniperoute.connection.http.Header
import sniperoute.connection.http.ResponseHead
import kotlin.time.Duration

/** The address at which an endpoint listens. */
public data class EndpointAddress(public val host: String, public val port: Int)

/**
 * A call to the endpoint at [address]. Its response carries [requestId], unless that is `null`. The call fails when it makes no progress
 * for [idleTimeout] while reading is enabled, or when the content is longer than [maxContentBytes], unless that is `null`. Unless
 * [stallTimeout] is `null`, the call reports each such time without progress, and goes on. The head of the response is progress, and so
 * is each byte of its content, unless the [progress] is reported by [RunningCall.recordProgress]. A call that [requiresNewConnection] does
 * not reuse an idle one. Nothing is sent, and no event follows, once [isWanted] returns `false`; it is asked at the last moment before.
 */
public class EndpointCall(
    public val address: EndpointAddress,
    public val requestId: String?,
    public val method: String,
    public val target: String,
    public val headers: ImmutableList<Header> = persistentListOf(),
    public val body: ByteArray = ByteArray(0),
    public val idleTimeout: Duration,
    public val requiresNewConnection: Boolean = false,
    public val maxContentBytes: Long? = DEFAULT_MAX_CONTENT_BYTES,
    public val stallTimeout: Duration? = null,
    public val progress: ProgressSource = ProgressSource.RECEIVED_BYTES,
    public val isWanted: () -> Boolean = { true },
)

/** Who tells that a call makes progress: its connection, for each byte, or the one that started the call. */
public enum class ProgressSource { RECEIVED_BYTES, REPORTED }

private const val DEFAULT_MAX_CONTENT_BYTES = 4L * 1024 * 1024

/** The reason why a call has no complete response. */
public enum class CallFailure {
    /** No connection was opened; no byte of the request was written. */
    NOT_SENT,

    /** The connection broke after part of the request may have been written. */
    BROKEN,

    /** The call made no progress for its idle timeout. */
    SILENT,

    /** The response does not belong to the call: it has another request ID, lacks a required one, or is a second response. */
    CROSSED,

    /** The response cannot be parsed, or is too long. */
    MALFORMED,
}

/** An event of a call; [CallCompleted] or [CallFailed] is the last one. */
public sealed interface CallEvent

/** The head of the response was received. */
public data class ResponseStarted(public val head: ResponseHead) : CallEvent

/** Part of the content was received. */
public class ContentReceived(public val bytes: ByteArray) : CallEvent

/** The call made no progress for its stall timeout, and goes on. */
public data class CallStalled(public val reason: String) : CallEvent

/** The response is complete. */
public data object CallCompleted : CallEvent

/** The call failed with [failure]; [reason] describes it for logs. */
public data class CallFailed(public val failure: CallFailure, public val reason: String) : CallEvent

/** Handles the events of a call, on the thread of the call's connection. */
public typealias OnCallEvent = (CallEvent) -> Unit

/** A call in progress. */
public interface RunningCall {
    /** Cancels the call; no event follows. */
    public fun cancel()

    /** Starts or stops reading the response, as backpressure from a slow caller. */
    public fun setReading(isEnabled: Boolean)

    /** Tells that the content received last is progress. */
    public fun recordProgress()
}
