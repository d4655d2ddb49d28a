/**
 * Values of a JSON file with comments, each with the place where it stands. The tokens come from a parser library; this file
 * only keeps their places beside them.
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
import com.fasterxml.jackson.core.StreamReadFeature
import com.fasterxml.jackson.core.json.JsonReadFeature
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap

/** A value of the file and its place. */
internal sealed interface PlacedValue {
    val place: Place
}

internal data class PlacedText(override val place: Place, val text: String) : PlacedValue

internal data class PlacedNumber(override val place: Place, val text: String) : PlacedValue

internal data class PlacedTruth(override val place: Place, val truth: Boolean) : PlacedValue

internal data class PlacedNothing(override val place: Place) : PlacedValue

internal data class PlacedList(override val place: Place, val items: PersistentList<PlacedValue>) : PlacedValue

internal data class PlacedObject(override val place: Place, val members: PersistentMap<String, PlacedMember>) : PlacedValue

internal data class PlacedMember(val namePlace: Place, val value: PlacedValue)

private val factory: JsonFactory = JsonFactory
    .builder()
    .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
    .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
    .build()

/** Returns the value that [text] holds, or the one place where it is no JSON. */
internal fun placedValueOf(file: String, text: String): Either<Mistake, PlacedValue> =
    try {
        factory.createParser(text).use { parser ->
            parser.nextToken()
            val value = parser.readPlaced(file)
            if (parser.nextToken() == null) {
                value.right()
            } else {
                Mistake(parser.placeIn(file), "more text after the end", "one JSON object").left()
            }
        }
    } catch (failure: JsonProcessingException) {
        failure.toMistake(file).left()
    }

private fun JsonProcessingException.toMistake(file: String): Mistake {
    val place = location?.let { Place(file, it.lineNr, it.columnNr) } ?: Place(file, 1, 1)
    return Mistake(place, originalMessage.orEmpty().lineSequence().first(), "JSON with comments")
}

private fun JsonParser.placeIn(file: String): Place = currentTokenLocation().let { Place(file, it.lineNr, it.columnNr) }

private fun JsonParser.readPlaced(file: String): PlacedValue {
    val place = placeIn(file)
    return when (currentToken()) {
        JsonToken.START_OBJECT -> readObject(file, place)
        JsonToken.START_ARRAY -> readList(file, place)
        JsonToken.VALUE_STRING -> PlacedText(place, text)
        JsonToken.VALUE_NUMBER_INT, JsonToken.VALUE_NUMBER_FLOAT -> PlacedNumber(place, text)
        JsonToken.VALUE_TRUE, JsonToken.VALUE_FALSE -> PlacedTruth(place, booleanValue)
        JsonToken.VALUE_NULL -> PlacedNothing(place)
        else -> throw JsonParseException(this, "the file ends where a value should be")
    }
}

private fun JsonParser.readObject(file: String, place: Place): PlacedObject {
    val members = persistentMapOf<String, PlacedMember>().builder()
    while (nextToken() == JsonToken.FIELD_NAME) {
        val namePlace = placeIn(file)
        val name = currentName()
        nextToken()
        members[name] = PlacedMember(namePlace, readPlaced(file))
    }
    return PlacedObject(place, members.build().toPersistentMap())
}

private fun JsonParser.readList(file: String, place: Place): PlacedList {
    val items = persistentListOf<PlacedValue>().builder()
    while (nextToken() != JsonToken.END_ARRAY) items += readPlaced(file)
    return PlacedList(place, items.toPersistentList())
}
