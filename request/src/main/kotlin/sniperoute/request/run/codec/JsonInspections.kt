/**
 * Reads token counts from an engine's response in the common JSON form.
 */
package sniperoute.request.run.codec

import com.fasterxml.jackson.core.JsonFactory
import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.core.JsonToken
import sniperoute.request.run.message.Usage

/** Whether a JSON text is a single object, and its token usage, if it has any. */
public data class JsonInspection(public val isObject: Boolean, public val usage: Usage?)

private val factory = JsonFactory()

/** Returns the inspection of [text], which need not be JSON. */
public fun inspectJson(text: String): JsonInspection =
    try {
        factory.createParser(text).use { it.inspect() }
    } catch (_: JsonProcessingException) {
        JsonInspection(false, null)
    }

private fun JsonParser.inspect(): JsonInspection {
    if (nextToken() != JsonToken.START_OBJECT) return JsonInspection(false, null)
    var usage: Usage? = null
    var depth = 1
    while (depth > 0) {
        when (nextToken() ?: return JsonInspection(false, null)) {
            JsonToken.START_OBJECT, JsonToken.START_ARRAY -> depth += 1
            JsonToken.END_OBJECT, JsonToken.END_ARRAY -> depth -= 1
            JsonToken.FIELD_NAME -> if (depth == 1 && currentName() == "usage") usage = readUsage() ?: usage
            else -> Unit
        }
    }
    return JsonInspection(nextToken() == null, usage)
}

private fun JsonParser.readUsage(): Usage? {
    if (nextToken() != JsonToken.START_OBJECT) return null
    var usage = Usage(null, null, null)
    var depth = 1
    while (depth > 0) {
        when (nextToken() ?: return null) {
            JsonToken.START_OBJECT -> depth += 1
            JsonToken.END_OBJECT -> depth -= 1
            JsonToken.VALUE_NUMBER_INT -> usage = usage.with(currentName().orEmpty(), longValue)
            else -> Unit
        }
    }
    return usage
}

private fun Usage.with(name: String, value: Long): Usage = when (name) {
    "prompt_tokens" -> copy(promptTokens = value)
    "completion_tokens" -> copy(answerTokens = value)
    "cached_tokens" -> copy(cachedTokens = value)
    else -> this
}
