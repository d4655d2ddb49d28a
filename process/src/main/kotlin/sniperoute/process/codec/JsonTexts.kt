/**
 * Decoding of JSON that other programs wrote. All of it passes here, where its nesting is bounded: the parser and the printer of JSON
 * trees recurse, so that nesting without a bound could exhaust the stack of the thread that reads a text.
 */
package sniperoute.process.codec

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import com.fasterxml.jackson.core.JsonFactory
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.core.StreamReadConstraints
import com.fasterxml.jackson.core.exc.StreamConstraintsException
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import java.nio.charset.CharacterCodingException

/** Objects and arrays may be nested this deeply; more than ten times what any known format needs. */
public const val MAX_JSON_DEPTH: Int = 64

private val strictSyntax: JsonFactory = JsonFactory
    .builder()
    .streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(MAX_JSON_DEPTH).build())
    .build()

/** Returns the value that [text] encodes, or why it can't be decoded. */
public fun <T> Json.decode(deserializer: DeserializationStrategy<T>, text: String): Either<DecodingError, T> =
    checkSyntax(text)
        .mapLeft { DecodingError(it.originalMessage.substringBefore('\n')) }
        .flatMap { catchDecodingErrors { decodeFromString(deserializer, text) } }

/**
 * Returns the first syntax error in [text], or a [StreamConstraintsException] where it exceeds a limit. The streaming parser neither
 * recurses nor accepts other literals than those of JSON.
 */
internal fun checkSyntax(text: String): Either<JsonProcessingException, Unit> =
    try {
        strictSyntax.createParser(text).use { parser -> generateSequence { parser.nextToken() }.forEach { _ -> } }
        Unit.right()
    } catch (failure: JsonProcessingException) {
        failure.left()
    }

/** Returns the value that [bytes], which must be UTF-8, encode, or why they can't be decoded. */
public fun <T> Json.decode(deserializer: DeserializationStrategy<T>, bytes: ByteArray): Either<DecodingError, T> =
    decodeUtf8(bytes).flatMap { decode(deserializer, it) }

/** Returns the JSON object that [bytes] encode, or why they can't be decoded. */
public fun decodeJsonObject(bytes: ByteArray): Either<DecodingError, JsonObject> =
    Json.decode(JsonElement.serializer(), bytes).flatMap {
        (it as? JsonObject)?.right() ?: DecodingError("the text is not a JSON object").left()
    }

private fun decodeUtf8(bytes: ByteArray): Either<DecodingError, String> =
    try {
        bytes.decodeToString(throwOnInvalidSequence = true).right()
    } catch (_: CharacterCodingException) {
        DecodingError("the text is not UTF-8").left()
    }
