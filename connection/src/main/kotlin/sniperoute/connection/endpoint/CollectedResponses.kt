/**
 * Whole responses of endpoints, for callers that do not stream them.
 */
package sniperoute.connection.endpoint

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import sniperoute.connection.endpoint.message.*
import sniperoute.connection.http.ResponseHead
import java.io.ByteArrayOutputStream

/** A response with its whole content. */
public class CollectedResponse(public val head: ResponseHead, public val content: ByteArray)

/** Returns a handler of call events that calls [onEnd] once, with the whole response or the failure of the call. */
public fun collectResponse(onEnd: (Either<CallFailed, CollectedResponse>) -> Unit): OnCallEvent {
    var head: ResponseHead? = null
    val content = ByteArrayOutputStream()
    return { event ->
        when (event) {
            is ResponseStarted -> head = event.head
            is ContentReceived -> content.write(event.bytes)
            is CallStalled -> Unit
            is CallCompleted -> onEnd(head?.let { CollectedResponse(it, content.toByteArray()).right() } ?: missingHead.left())
            is CallFailed -> onEnd(event.left())
        }
    }
}

private val missingHead = CallFailed(CallFailure.MALFORMED, "the response has no head")
