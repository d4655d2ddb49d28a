/**
 * JSON values with their positions in the source file, read with a streaming parser that accepts comments and trailing commas.
 */
package sniperoute.process.settings

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.fasterxml.jackson.core.JsonFactory
import com.fasterxml.jackson.core.JsonParseException
import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.core.JsonToken
import com.fasterxml.jackson.core.StreamReadConstraints
import com.fasterxml.jackson.core.StreamReadFeature
import com.fasterxml.jackson.core.json.JsonReadFeature
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import sniperoute.process.codec.MAX_JSON_DEPTH

/** A JSON value and its position. */
internal sealed interface LocatedValue {
    val position: SourcePosition
}

internal data class LocatedString(override val position: SourcePosition, val text: String) : LocatedValue

internal data class LocatedNumber(override val position: SourcePosition, val text: String) : LocatedValue

internal data class LocatedBoolean(override val position: SourcePosition, val boolean: Boolean) : LocatedValue

internal data class LocatedNull(override val position: SourcePosition) : LocatedValue

internal data class LocatedArray(override val position: SourcePosition, val items: PersistentList<LocatedValue>) : LocatedValue

internal data class LocatedObject(override val position: SourcePosition, val members: PersistentMap<String, LocatedMember>) : LocatedValue

internal data class LocatedMember(val namePosition: SourcePosition, val value: LocatedValue)

private val factory: JsonFactory = JsonFactory
    .builder()
    .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
    .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
    .streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(MAX_JSON_DEPTH).build())
    .build()

/** Returns the single JSON value in [text], or its first syntax error. */
internal fun parseLocatedValue(file: String, text: String): Either<ValidationError, LocatedValue> =
    try {
        factory.createParser(text).use { parser ->
            parser.nextToken()
            val value = parser.readValue(file)
            if (parser.nextToken() == null) {
                value.right()
            } else {
                ValidationError(parser.positionIn(file), "text after the end of the value", "one JSON object").left()
            }
        }
    } catch (failure: JsonProcessingException) {
        failure.toValidationError(file).left()
    }

private fun JsonProcessingException.toValidationError(file: String): ValidationError {
    val position = location?.let { SourcePosition(file, it.lineNr, it.columnNr) } ?: SourcePosition(file, 1, 1)
    return ValidationError(position, originalMessage.orEmpty().lineSequence().first(), "JSON with comments")
}

private fun JsonParser.positionIn(file: String): SourcePosition = currentTokenLocation().let {
    SourcePosition(file, it.lineNr, it.columnNr)
}

private fun JsonParser.readValue(file: String): LocatedValue {
    val position = positionIn(file)
    return when (currentToken()) {
        JsonToken.START_OBJECT -> readObject(file, position)
        JsonToken.START_ARRAY -> readArray(file, position)
        JsonToken.VALUE_STRING -> LocatedString(position, text)
        JsonToken.VALUE_NUMBER_INT, JsonToken.VALUE_NUMBER_FLOAT -> LocatedNumber(position, text)
        JsonToken.VALUE_TRUE, JsonToken.VALUE_FALSE -> LocatedBoolean(position, booleanValue)
        JsonToken.VALUE_NULL -> LocatedNull(position)
        else -> throw JsonParseException(this, "the file ends before a value")
    }
}

private fun JsonParser.readObject(file: String, position: SourcePosition): LocatedObject {
    val members = persistentMapOf<String, LocatedMember>().builder()
    while (nextToken() == JsonToken.FIELD_NAME) {
        val namePosition = positionIn(file)
        val name = currentName()
        nextToken()
        members[name] = LocatedMember(namePosition, readValue(file))
    }
    return LocatedObject(position, members.build().toPersistentMap())
}

private fun JsonParser.readArray(file: String, position: SourcePosition): LocatedArray {
    val items = persistentListOf<LocatedValue>().builder()
    while (nextToken() != JsonToken.END_ARRAY) items += readValue(file)
    return LocatedArray(position, items.toPersistentList())
}
