/**
 * Reads completion requests in the common JSON form. Routing needs only the text of the prompt, the upper bound on answer tokens, and
 * whether the response is streamed; all other fields are passed through unread.
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
import java.io.IOException

/** The fields of a completion request that routing needs; [text] is UTF-8. */
public class Prompt(public val text: ByteArray, public val maxAnswerTokens: Long, public val isStreamed: Boolean)

/** Why a body is not a completion request. */
public data class InvalidPrompt(public val reason: String)

private const val DEFAULT_ANSWER_TOKENS = 256L
private const val MAX_ANSWER_TOKENS = 1_000_000L
private val factory = JsonFactory()
private val textFields = setOf("content", "prompt", "role", "text")

/** Returns the prompt in the JSON object [body]. */
public fun parsePrompt(body: ByteArray): Either<InvalidPrompt, Prompt> =
    try {
        factory.createParser(body).use { it.readBody() }
    } catch (failure: JsonProcessingException) {
        InvalidPrompt("the body is not JSON: ${failure.originalMessage}").left()
    } catch (failure: IOException) {
        InvalidPrompt("the body is no text: ${failure.message}").left()
    }

private fun JsonParser.readBody(): Either<InvalidPrompt, Prompt> {
    if (nextToken() != JsonToken.START_OBJECT) return InvalidPrompt("the body is not a JSON object").left()
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
    if (currentToken() != JsonToken.END_OBJECT) return InvalidPrompt("the body is incomplete").left()
    if (!hasPrompt) return InvalidPrompt("the body has neither a messages nor a prompt field").left()
    return Prompt(text.toByteArray(), answerTokens.coerceIn(0, MAX_ANSWER_TOKENS), isStreamed).right()
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
