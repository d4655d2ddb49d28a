/**
 * Validating readers for settings and declaration files. One pass finds all errors: a reader adds each error and returns a
 * placeholder value, and the file is rejected at the end if there was any error.
 */
package sniperoute.process.settings

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toImmutableList
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit
import kotlin.time.toDuration

/** The errors found so far in a file. */
internal class ErrorCollector {
    var found: PersistentList<ValidationError> = persistentListOf()
        private set

    fun add(position: SourcePosition, found: String, expected: String) {
        this.found = this.found.add(ValidationError(position, found, expected))
    }
}

/** Reads the members of a JSON object. A member that is never read is an error. */
public class ObjectReader internal constructor(private val source: LocatedObject, private val collector: ErrorCollector) {
    private var requestedNames: PersistentSet<String> = persistentSetOf()

    /** The position of the object. */
    public val position: SourcePosition get() = source.position

    /** Returns the position of the member [name], or of the object when the member is absent. */
    public fun positionOf(name: String): SourcePosition = source.members[name]?.value?.position ?: source.position

    /** Adds an error that the caller found in the member [name]. */
    public fun addError(name: String, found: String, expected: String): Unit = collector.add(positionOf(name), found, expected)

    /** Returns whether the member [name] is present. */
    public fun has(name: String): Boolean = name in source.members

    /** Returns the names of all members, for objects whose member names are data. */
    public fun names(): ImmutableList<String> = source.members.keys.toImmutableList()

    /** Returns the string [name], which must match [pattern]; [default] makes it optional. */
    public fun string(name: String, default: String? = null, pattern: Regex? = null): String {
        val expected = "a string" + (pattern?.let { " that matches $it" } ?: "")
        val value = member(name, expected, default != null) ?: return default.orEmpty()
        if (value is LocatedString && (pattern == null || pattern.matches(value.text))) return value.text
        collector.add(value.position, "\"$name\" is ${value.describe()}", expected)
        return default.orEmpty()
    }

    /** Returns the string [name], or `null` when it is absent. */
    public fun stringOrNull(name: String): String? = if (has(name)) string(name) else null

    /** Returns the integer [name], which must be in [range]; [default] makes it optional. */
    public fun long(name: String, range: LongRange, default: Long? = null): Long {
        val expected = "an integer from ${range.first} to ${range.last}"
        val fallback = default ?: range.first
        val value = member(name, expected, default != null) ?: return fallback
        val number = (value as? LocatedNumber)?.text?.toLongOrNull()
        if (number != null && number in range) return number
        collector.add(value.position, "\"$name\" is ${value.describe()}", expected)
        return fallback
    }

    /** Returns the number [name], which must be in [range] and may be a fraction; [default] makes it optional. */
    public fun double(name: String, range: ClosedFloatingPointRange<Double>, default: Double? = null): Double {
        val expected = "a number from ${range.start} to ${range.endInclusive}"
        val fallback = default ?: range.start
        val value = member(name, expected, default != null) ?: return fallback
        val number = (value as? LocatedNumber)?.text?.toDoubleOrNull()
        if (number != null && number in range) return number
        collector.add(value.position, "\"$name\" is ${value.describe()}", expected)
        return fallback
    }

    /** Returns the number [name] of [unit], which may be a fraction, as a duration; [default] makes it optional. */
    public fun duration(name: String, unit: DurationUnit, range: ClosedFloatingPointRange<Double>, default: Duration? = null): Duration =
        double(name, range, default?.toDouble(unit)).toDuration(unit)

    /** Returns the integer number of milliseconds [name] as a duration; [default] makes it optional. */
    public fun milliseconds(name: String, range: LongRange, default: Duration? = null): Duration =
        long(name, range, default?.inWholeMilliseconds).milliseconds

    /** Returns the boolean [name]; [default] makes it optional. */
    public fun boolean(name: String, default: Boolean? = null): Boolean {
        val value = member(name, "true or false", default != null) ?: return default ?: false
        if (value is LocatedBoolean) return value.boolean
        collector.add(value.position, "\"$name\" is ${value.describe()}", "true or false")
        return default ?: false
    }

    /** Returns the element of [choices] whose [nameOf] equals the string [name]; [default] makes it optional. */
    public fun <T : Any> oneOf(name: String, choices: List<T>, default: T? = null, nameOf: (T) -> String): T {
        val expected = "one of " + choices.joinToString { "\"${nameOf(it)}\"" }
        val value = member(name, expected, default != null) ?: return default ?: choices.first()
        val chosen = choices.firstOrNull { value is LocatedString && nameOf(it) == value.text }
        if (chosen == null) collector.add(value.position, "\"$name\" is ${value.describe()}", expected)
        return chosen ?: default ?: choices.first()
    }

    /** Returns the result of [read] for the object [name], or `null` when it is absent. */
    public fun <T> objectOrNull(name: String, read: ObjectReader.() -> T): T? =
        if (has(name)) member(name, "an object", true)?.readObject(name, read) else null

    /** Returns the result of [read] for the object [name], or adds an error and returns `null` when there is no such object. */
    public fun <T> requiredObjectOrNull(name: String, read: ObjectReader.() -> T): T? =
        member(name, "an object", false)?.readObject(name, read)

    /** Returns the results of [read] for the objects in the array [name]. */
    public fun <T> objects(name: String, optional: Boolean = false, read: ObjectReader.() -> T): ImmutableList<T> =
        items(name, "an array of objects", optional).mapNotNull { it.readObject(name, read) }.toImmutableList()

    /** Returns the strings in the array [name]. */
    public fun strings(name: String, optional: Boolean = false): ImmutableList<String> =
        items(name, "an array of strings", optional).mapNotNull { it.readString(name) }.toImmutableList()

    internal fun finish() {
        source.members
            .filterKeys { it !in requestedNames }
            .forEach { (name, member) ->
                collector.add(member.namePosition, "\"$name\" is not known here", knownNames())
            }
    }

    private fun knownNames(): String = "one of " + requestedNames.sorted().joinToString { "\"$it\"" }

    private fun member(name: String, expected: String, optional: Boolean): LocatedValue? {
        requestedNames = requestedNames.add(name)
        val value = source.members[name]?.value
        if (value == null && !optional) collector.add(source.position, "\"$name\" is missing", expected)
        return value
    }

    private fun items(name: String, expected: String, optional: Boolean): List<LocatedValue> {
        val value = member(name, expected, optional) ?: return emptyList()
        if (value is LocatedArray) return value.items
        collector.add(value.position, "\"$name\" is ${value.describe()}", expected)
        return emptyList()
    }

    private fun <T> LocatedValue.readObject(name: String, read: ObjectReader.() -> T): T? {
        if (this is LocatedObject) return ObjectReader(this, collector).let { reader -> reader.read().also { reader.finish() } }
        collector.add(position, "\"$name\" is ${describe()}", "an object")
        return null
    }

    private fun LocatedValue.readString(name: String): String? {
        if (this is LocatedString) return text
        collector.add(position, "\"$name\" holds ${describe()}", "strings only")
        return null
    }
}

private fun LocatedValue.describe(): String = when (this) {
    is LocatedString -> "the string \"$text\""
    is LocatedNumber -> "the number $text"
    is LocatedBoolean -> "$boolean"
    is LocatedNull -> "null"
    is LocatedArray -> "an array"
    is LocatedObject -> "an object"
}

/** Returns the result of [read] for the JSON object in [text], or all errors in it, which are reported for the file [file]. */
public fun <T> readValidated(file: String, text: String, read: ObjectReader.() -> T): Either<InvalidFile, T> {
    val collector = ErrorCollector()
    val result = parseLocatedValue(file, text).fold(
        ifLeft = { collector.add(it.position, it.found, it.expected) },
        ifRight = { value ->
            if (value is LocatedObject) {
                val reader = ObjectReader(value, collector)
                val result = reader.read()
                reader.finish()
                if (collector.found.isEmpty()) return result.right()
            } else {
                collector.add(value.position, value.describe(), "an object")
            }
        },
    )
    check(result == Unit) { "reading ends with a value or with errors" }
    return InvalidFile(collector.found.sortedWith(compareBy({ it.position.line }, { it.position.column })).toImmutableList()).left()
}

/** Returns the result of [read] for the JSON object in the file at [path], or all errors in it; an unreadable file is one error. */
public fun <T> readValidatedFile(path: Path, read: ObjectReader.() -> T): Either<InvalidFile, T> {
    val text = try {
        Files.readString(path)
    } catch (failure: IOException) {
        val error =
            ValidationError(SourcePosition(path.toString(), 1, 1), "the file can't be read (${failure.message})", "a readable file")
        return InvalidFile(persistentListOf(error)).left()
    }
    return readValidated(path.toString(), text, read)
}
