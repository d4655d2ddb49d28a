/**
 * Whole answers of endpoints, for callers that don't need them part by part.
 */
package sniperoute.connection.endpoint

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import sniperoute.connection.endpoint.message.*
import sniperoute.connection.http.AnswerHead
import java.io.ByteArrayOutputStream

/** A whole answer. */
public class CollectedAnswer(public val head: AnswerHead, public val content: ByteArray)

/** Returns what gathers an answer and tells [onEnd] once: the whole answer, or why there is none. */
public fun collecting(onEnd: (Either<Failed, CollectedAnswer>) -> Unit): OnCallEvent {
    var head: AnswerHead? = null
    val content = ByteArrayOutputStream()
    return { event ->
        when (event) {
            is AnswerBegan -> head = event.head
            is ContentCame -> content.write(event.bytes)
            is Ended -> onEnd(head?.let { CollectedAnswer(it, content.toByteArray()).right() } ?: headless.left())
            is Failed -> onEnd(event.left())
        }
    }
}

private val headless = Failed(CallFailure.MALFORMED, "the answer has no head")
