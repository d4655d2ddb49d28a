/**
 * What routing needs of a completion request in the common JSON form: the prompt's text, the most tokens of the answer, and
 * whether it is streamed. Everything else passes unread.
 */
package sniperoute.request.prefix.codec

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.fasterxml.jackson.core.JsonFactory
import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.core.JsonToken
import java.io.ByteArrayOutputStream

/** The parts of a completion request that routing reads. */
public class Prompt(public val text: ByteArray, public val maxAnswerTokens: Long, public val isStreamed: Boolean)

/** Why a body is no completion request. */
public data class PromptUnreadable(public val reason: String)

private const val DEFAULT_ANSWER_TOKENS = 256L
private const val MOST_ANSWER_TOKENS = 1_000_000L
private val factory = JsonFactory()
private val textFields = setOf("content", "prompt", "role", "text")

/** Returns the prompt in [body]. */
public fun parsePrompt(body: ByteArray): Either<PromptUnreadable, Prompt> =
    try {
        factory.createParser(body).use { it.readBody() }
    } catch (failure: JsonProcessingException) {
        PromptUnreadable("the body is not JSON: ${failure.originalMessage}").left()
    }

private fun JsonParser.readBody(): Either<PromptUnreadable, Prompt> {
    if (nextToken() != JsonToken.START_OBJECT) return PromptUnreadable("the body is not a JSON object").left()
    val text = ByteArrayOutputStream()
    var answerTokens = DEFAULT_ANSWER_TOKENS
    var isStreamed = false
    var hasPrompt = false
    while (nextToken() == JsonToken.FIELD_NAME) {
        val name = currentName()
        nextToken()
        when (name) {
            "messages", "prompt" -> {
                hasPrompt = true
                collectText(name, text)
            }
            "max_tokens", "max_completion_tokens" -> answerTokens = longOr(DEFAULT_ANSWER_TOKENS)
            "stream" -> isStreamed = currentToken() == JsonToken.VALUE_TRUE
            else -> skipChildren()
        }
    }
    if (currentToken() != JsonToken.END_OBJECT) return PromptUnreadable("the body ends early").left()
    if (!hasPrompt) return PromptUnreadable("the body has neither messages nor a prompt").left()
    return Prompt(text.toByteArray(), answerTokens.coerceIn(0, MOST_ANSWER_TOKENS), isStreamed).right()
}

private fun JsonParser.longOr(default: Long): Long = if (currentToken() == JsonToken.VALUE_NUMBER_INT) longValue else default

private fun JsonParser.collectText(field: String, text: ByteArrayOutputStream) {
    var depth = 0
    var current = field
    do {
        when (currentToken()) {
            JsonToken.START_OBJECT, JsonToken.START_ARRAY -> depth += 1
            JsonToken.END_OBJECT, JsonToken.END_ARRAY -> depth -= 1
            JsonToken.FIELD_NAME -> current = currentName()
            JsonToken.VALUE_STRING -> if (current in textFields) text.write(getText().toByteArray())
            else -> Unit
        }
    } while (depth > 0 && nextToken() != null)
}
