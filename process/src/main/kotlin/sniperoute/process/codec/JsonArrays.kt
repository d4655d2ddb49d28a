/**
 * Decoding of a JSON array whose elements have several writers. Each element is decoded by itself, so that one that can't be read, nested
 * too deeply or cut in its middle, leaves the others.
 */
package sniperoute.process.codec

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import com.fasterxml.jackson.core.exc.StreamConstraintsException
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import java.util.BitSet

/** An element of an array, and its [value], or `null` if it can't be decoded. */
public class DecodedElement<T : Any>(public val bytes: ByteArray, public val value: T?)

/** The elements of an array, and the object that it is a member of, without the elements. */
public class DecodedArray<T : Any>(public val elements: PersistentList<DecodedElement<T>>, public val container: JsonObject)

/** Decodes one element; returns `null` if that is not possible. */
public typealias DecodeElement<T> = (bytes: ByteArray) -> T?

/**
 * Returns the array [member] of the object that [bytes] encode, or why the object can't be decoded. The object is decoded even if
 * elements of the array can't be.
 */
public fun <T : Any> decodeArray(bytes: ByteArray, member: String, decode: DecodeElement<T>): Either<DecodingError, DecodedArray<T>> {
    val start = bytes.arrayStartOrNull(member) ?: return DecodingError("the text has no array \"$member\"").left()
    val elements = persistentListOf<DecodedElement<T>>().builder()
    var end = start - 1
    do {
        val first = bytes.skipWhitespace(end + 1)
        val located = bytes.nextElementOrNull(first, decode) ?: return DecodingError("the array \"$member\" has no end").left()
        end = located.end
        val isEmptyArray = first == end && elements.isEmpty() && bytes[end] == ARRAY_END
        if (!isEmptyArray) elements += DecodedElement(bytes.copyOfRange(first, end), located.value)
    } while (bytes[end] != ARRAY_END)
    return decodeJsonObject(bytes.copyOf(start) + bytes.copyOfRange(end, bytes.size)).flatMap { container ->
        if (container[member] is JsonArray) {
            DecodedArray(elements.build(), container).right()
        } else {
            DecodingError("the member \"$member\" is not an array").left()
        }
    }
}

private const val SEPARATOR = ','.code.toByte()
private const val ARRAY_START = '['.code.toByte()
private const val ARRAY_END = ']'.code.toByte()
private const val OBJECT_START = '{'.code.toByte()
private const val OBJECT_END = '}'.code.toByte()
private const val NAME_END = ':'.code.toByte()
private val whitespace = " \t\r\n".toByteArray().toSet()

/** Bytes of UTF-8 sequences become characters that have no meaning in JSON. */
private fun ByteArray.characterAt(position: Int): Char = this[position].toInt().toChar()

private fun ByteArray.skipWhitespace(start: Int): Int {
    var position = start
    while (position < size && this[position] in whitespace) position += 1
    return position
}

private fun ByteArray.skipWhitespaceBackwards(end: Int): Int {
    var position = end
    while (position > 0 && this[position - 1] in whitespace) position -= 1
    return position
}

/** Returns the position after the bracket that opens the array [member] of the outermost object. */
private fun ByteArray.arrayStartOrNull(member: String): Int? {
    val name = "\"$member\"".toByteArray()
    val nesting = JsonNesting()
    val bracket = indices.firstOrNull { position ->
        val isMemberStart = nesting.depth == 1 && !nesting.isInString && this[position] == ARRAY_START && isValueOf(name, position)
        isMemberStart || !nesting.take(characterAt(position))
    }
    return bracket?.takeIf { this[it] == ARRAY_START }?.plus(1)
}

private fun ByteArray.isValueOf(name: ByteArray, position: Int): Boolean {
    val nameEnd = skipWhitespaceBackwards(position) - 1
    if (nameEnd < 0 || this[nameEnd] != NAME_END) return false
    val end = skipWhitespaceBackwards(nameEnd)
    return end >= name.size && copyOfRange(end - name.size, end).contentEquals(name)
}

/** An element that ends before the comma or bracket at [end]. */
private class LocatedElement<T : Any>(val end: Int, val value: T?)

/** Returns the element at [start]; `null` if the array has no end after it. */
private fun <T : Any> ByteArray.nextElementOrNull(start: Int, decode: DecodeElement<T>): LocatedElement<T>? {
    val end = elementEndOrNull(start)
    val value = end?.let { decode(copyOfRange(start, it)) }
    val isCertain = end != null && (value != null || isSeparate(copyOfRange(start, end)))
    return if (isCertain) LocatedElement(end, value) else resumptionOrNull(start, decode)?.let { LocatedElement(it, null) }
}

/**
 * Whether an [element] that can't be decoded certainly ends where its brackets match. One that isn't JSON may have lost brackets, and an
 * array could contain the elements after it. What exceeds the limits of the parser counts as JSON.
 */
private fun isSeparate(element: ByteArray): Boolean {
    val error = checkSyntax(element.decodeToString()).leftOrNull()
    return element.firstOrNull() != ARRAY_START && (error == null || error is StreamConstraintsException)
}

/**
 * Returns the position of the comma after the element at [start], or of the bracket that ends the array; `null` if brackets of the
 * element don't match, or are nested more deeply than [maxDepth].
 */
private fun ByteArray.elementEndOrNull(start: Int, maxDepth: Int = Int.MAX_VALUE): Int? {
    val nesting = JsonNesting()
    var position = start
    while (position < size && !(nesting.isOutside && (this[position] == SEPARATOR || this[position] == ARRAY_END))) {
        if (!nesting.take(characterAt(position)) || nesting.depth > maxDepth) return null
        position += 1
    }
    return position.takeIf { it < size && (this[it] == SEPARATOR || endsContainer(it + 1)) }
}

/** Whether the rest from [start] on ends the object that the array is a member of, and nothing follows it. */
private fun ByteArray.endsContainer(start: Int): Boolean {
    val next = skipWhitespace(start)
    if (next == size || this[next] != SEPARATOR && this[next] != OBJECT_END) return false
    val nesting = JsonNesting().apply { take('{') }
    val end = (start until size).firstOrNull { !nesting.take(characterAt(it)) || nesting.depth == 0 } ?: return false
    return nesting.depth == 0 && skipWhitespace(end + 1) == size
}

/**
 * Returns where reading resumes after the element at [start], whose end can't be told from its brackets: at the next comma before an
 * object that can be decoded as an element, or at the end of the array.
 */
private fun <T : Any> ByteArray.resumptionOrNull(start: Int, decode: DecodeElement<T>): Int? = (start until size).firstOrNull {
    when (this[it]) {
        SEPARATOR -> isElement(skipWhitespace(it + 1), decode)
        ARRAY_END -> endsContainer(it + 1)
        else -> false
    }
}

private fun <T : Any> ByteArray.isElement(start: Int, decode: DecodeElement<T>): Boolean {
    if (start >= size || this[start] != OBJECT_START) return false
    val end = elementEndOrNull(start, MAX_JSON_DEPTH) ?: return false
    return decode(copyOfRange(start, end)) != null
}

/** The open brackets at a position of a JSON text; those inside of strings don't count. */
private class JsonNesting {
    private val objects = BitSet()
    private var isEscaped = false

    /** The number of open brackets. */
    var depth: Int = 0
        private set

    /** Whether the position is inside a string. */
    var isInString: Boolean = false
        private set

    /** Whether the position is outside of all brackets and strings. */
    val isOutside: Boolean get() = depth == 0 && !isInString

    /** Advances past [character]; returns `false` if it closes another bracket than the last one that is open. */
    fun take(character: Char): Boolean {
        when {
            isEscaped -> isEscaped = false
            isInString -> takeInString(character)
            character == '"' -> isInString = true
            character == '{' || character == '[' -> objects[depth++] = character == '{'
            character == '}' || character == ']' -> return close(character == '}')
        }
        return true
    }

    private fun takeInString(character: Char) {
        if (character == '\\') isEscaped = true
        if (character == '"') isInString = false
    }

    private fun close(isObject: Boolean): Boolean {
        if (depth == 0 || objects[depth - 1] != isObject) return false
        depth -= 1
        return true
    }
}
