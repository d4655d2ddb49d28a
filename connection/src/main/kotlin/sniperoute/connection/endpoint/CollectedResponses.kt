/**
 * Whole answers of endpoints, for callers that don't need them part by part.
 */
package sniperoute.connection.endpoint

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import sniperoute.connection.endpoint.message.*
import sniperoute.connection.http.ResponseHead
import java.io.ByteArrayOutputStream

/** A whole answer. */
public class CollectedResponse(public val head: ResponseHead, public val content: ByteArray)

/** Returns what gathers an answer and tells [onEnd] once: the whole answer, or why there is none. */
public fun collectResponse(onEnd: (Either<CallFailed, CollectedResponse>) -> Unit): OnCallEvent {
    var head: ResponseHead? = null
    val content = ByteArrayOutputStream()
    return { event ->
        when (event) {
            is ResponseStarted -> head = event.head
            is ContentReceived -> content.write(event.bytes)
            is CallCompleted -> onEnd(head?.let { CollectedResponse(it, content.toByteArray()).right() } ?: headless.left())
            is CallFailed -> onEnd(event.left())
        }
    }
}

private val headless = CallFailed(CallFailure.MALFORMED, "the answer has no head")
