/**
 * Whole responses of endpoints, for callers that do not stream them.
 */
package sniperoute.connection.endpoint

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import sniperoute.connection.endpoint.message.*
import sniperoute.connection.http.AnswerHead
import java.io.ByteArrayOutputStream

/** A response with its whole content. */
public class CollectedAnswer(public val head: AnswerHead, public val content: ByteArray)

/** Returns a handler of call events that calls [onEnd] once, with the whole response or the failure of the call. */
public fun collecting(onEnd: (Either<Failed, CollectedAnswer>) -> Unit): OnCallEvent {
    var head: AnswerHead? = null
    val content = ByteArrayOutputStream()
    return { event ->
        when (event) {
            is AnswerBegan -> head = event.head
            is ContentCame -> content.write(event.bytes)
            is Ended -> onEnd(head?.let { CollectedAnswer(it, content.toByteArray()).right() } ?: missingHead.left())
            is Failed -> onEnd(event.left())
        }
    }
}

private val missingHead = Failed(CallFailure.MALFORMED, "the response has no head")
