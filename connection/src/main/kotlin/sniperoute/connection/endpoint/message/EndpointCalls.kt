/**
 * Calls to endpoints: what is sent, and what is told of the answer.
 */
package sniperoute.connection.endpoint.message

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import sniperoute.connection.http.Header
import sniperoute.connection.http.ResponseHead
import kotlin.time.Duration

/** Where an endpoint listens. */
public data class EndpointAddress(public val host: String, public val port: Int)

/**
 * A call. An answer that names a request must name [requestId], unless that is `null`. When nothing comes for [idleTimeout] the connection
 * is taken for silent. A call on a [requiresNewConnection] connection never uses one that served before.
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
)

/** Why a call has no complete answer. */
public enum class CallFailure {
    /** No connection: not a byte of the call was written. */
    NOT_SENT,

    /** The connection broke after something may have been written. */
    BROKEN,

    /** Nothing came for the time allowed. */
    SILENT,

    /** What came isn't the answer to this call. */
    CROSSED,

    /** What came can't be read as an answer. */
    MALFORMED,
}

/** What happens to a call; [CallCompleted] or [CallFailed] comes last. */
public sealed interface CallEvent

/** The head of the answer came. */
public data class ResponseStarted(public val head: ResponseHead) : CallEvent

/** Part of the content came. */
public class ContentReceived(public val bytes: ByteArray) : CallEvent

/** The answer is complete. */
public data object CallCompleted : CallEvent

/** The call failed. */
public data class CallFailed(public val failure: CallFailure, public val reason: String) : CallEvent

/** Is told what happens to a call, on the thread of the call's connection. */
public typealias OnCallEvent = (CallEvent) -> Unit

/** A call under way. */
public interface RunningCall {
    /** Gives the call up; no event follows. */
    public fun cancel()

    /** Stops or goes on reading the answer, to hold it back for a slow reader. */
    public fun setReading(wanted: Boolean)
}
