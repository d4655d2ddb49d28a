/**
 * Reading of checked files: settings of a process and declarations of a service. Every mistake is found in one pass: a
 * reader notes it, returns a value that lets the reading go on, and the whole file is refused at the end.
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

/** The mistakes found so far in one file. */
internal class MistakeCollector {
    var found: PersistentList<ValidationError> = persistentListOf()
        private set

    fun add(position: SourcePosition, found: String, expected: String) {
        this.found = this.found.add(ValidationError(position, found, expected))
    }
}

/** Reads the members of one object; each member that no call asked for is a mistake. */
public class ObjectReader internal constructor(private val source: LocatedObject, private val collector: MistakeCollector) {
    private var asked: PersistentSet<String> = persistentSetOf()

    /** The place of the object. */
    public val position: SourcePosition get() = source.position

    /** Returns the place of the member [name], or of the object when it is absent. */
    public fun positionOf(name: String): SourcePosition = source.members[name]?.value?.position ?: source.position

    /** Notes a mistake that a caller found at the member [name]. */
    public fun addError(name: String, found: String, expected: String): Unit = collector.add(positionOf(name), found, expected)

    /** Returns whether the member [name] is there. */
    public fun has(name: String): Boolean = name in source.members

    /** Returns the names of all members, for objects whose names are data. */
    public fun names(): ImmutableList<String> = source.members.keys.toImmutableList()

    /** Returns the text [name]; [default] makes it optional. */
    public fun string(name: String, default: String? = null, pattern: Regex? = null): String {
        val expected = "a text" + (pattern?.let { " that matches $it" } ?: "")
        val value = member(name, expected, default != null) ?: return default.orEmpty()
        if (value is LocatedString && (pattern == null || pattern.matches(value.text))) return value.text
        collector.add(value.position, "\"$name\" is ${value.describe()}", expected)
        return default.orEmpty()
    }

    /** Returns the text [name], or `null` when it is absent. */
    public fun stringOrNull(name: String): String? = if (has(name)) string(name) else null

    /** Returns the whole number [name] within [range]; [default] makes it optional. */
    public fun long(name: String, range: LongRange, default: Long? = null): Long {
        val expected = "a whole number from ${range.first} to ${range.last}"
        val fallback = default ?: range.first
        val value = member(name, expected, default != null) ?: return fallback
        val number = (value as? LocatedNumber)?.text?.toLongOrNull()
        if (number != null && number in range) return number
        collector.add(value.position, "\"$name\" is ${value.describe()}", expected)
        return fallback
    }

    /** Returns the number [name] within [range]. */
    public fun double(name: String, range: ClosedFloatingPointRange<Double>): Double {
        val expected = "a number from ${range.start} to ${range.endInclusive}"
        val value = member(name, expected, optional = false) ?: return range.start
        val number = (value as? LocatedNumber)?.text?.toDoubleOrNull()
        if (number != null && number in range) return number
        collector.add(value.position, "\"$name\" is ${value.describe()}", expected)
        return range.start
    }

    /** Returns the number of milliseconds [name] as a duration. */
    public fun milliseconds(name: String, range: LongRange, default: Duration? = null): Duration =
        long(name, range, default?.inWholeMilliseconds).milliseconds

    /** Returns the truth value [name]; [default] makes it optional. */
    public fun boolean(name: String, default: Boolean? = null): Boolean {
        val value = member(name, "true or false", default != null) ?: return default ?: false
        if (value is LocatedBoolean) return value.truth
        collector.add(value.position, "\"$name\" is ${value.describe()}", "true or false")
        return default ?: false
    }

    /** Returns the constant among [choices] whose [nameOf] is written at [name]. */
    public fun <T : Any> oneOf(name: String, choices: List<T>, default: T? = null, nameOf: (T) -> String): T {
        val expected = "one of " + choices.joinToString { "\"${nameOf(it)}\"" }
        val value = member(name, expected, default != null) ?: return default ?: choices.first()
        val chosen = choices.firstOrNull { value is LocatedString && nameOf(it) == value.text }
        if (chosen == null) collector.add(value.position, "\"$name\" is ${value.describe()}", expected)
        return chosen ?: default ?: choices.first()
    }

    /** Returns what [read] makes of the object [name], or `null` when it is absent. */
    public fun <T> objectOrNull(name: String, read: ObjectReader.() -> T): T? =
        if (has(name)) member(name, "an object", true)?.readObject(name, read) else null

    /** Returns what [read] makes of the object [name], or `null` after noting that it is absent or no object. */
    public fun <T> requiredObjectOrNull(name: String, read: ObjectReader.() -> T): T? =
        member(name, "an object", false)?.readObject(name, read)

    /** Returns what [read] makes of each object in the list [name]. */
    public fun <T> objects(name: String, optional: Boolean = false, read: ObjectReader.() -> T): ImmutableList<T> =
        items(name, "a list of objects", optional).mapNotNull { it.readObject(name, read) }.toImmutableList()

    /** Returns the texts in the list [name]. */
    public fun strings(name: String, optional: Boolean = false): ImmutableList<String> =
        items(name, "a list of texts", optional).mapNotNull { it.readText(name) }.toImmutableList()

    internal fun finish() {
        source.members
            .filterKeys { it !in asked }
            .forEach { (name, member) ->
                collector.add(member.namePosition, "\"$name\" is not known here", knownNames())
            }
    }

    private fun knownNames(): String = "one of " + asked.sorted().joinToString { "\"$it\"" }

    private fun member(name: String, expected: String, optional: Boolean): LocatedValue? {
        asked = asked.add(name)
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

    private fun LocatedValue.readText(name: String): String? {
        if (this is LocatedString) return text
        collector.add(position, "\"$name\" holds ${describe()}", "texts only")
        return null
    }
}

private fun LocatedValue.describe(): String = when (this) {
    is LocatedString -> "the text \"$text\""
    is LocatedNumber -> "the number $text"
    is LocatedBoolean -> "$truth"
    is LocatedNull -> "null"
    is LocatedArray -> "a list"
    is LocatedObject -> "an object"
}

/** Returns what [read] makes of the object in [text], or every mistake in it; [file] only names it. */
public fun <T> readValidated(file: String, text: String, read: ObjectReader.() -> T): Either<InvalidFile, T> {
    val collector = MistakeCollector()
    val result = placedValueOf(file, text).fold(
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
    check(result == Unit) { "reading ends with a value or with mistakes" }
    return InvalidFile(collector.found.sortedWith(compareBy({ it.position.line }, { it.position.column })).toImmutableList()).left()
}

/** Returns what [read] makes of the file at [path], or every mistake in it; an unreadable file is one mistake. */
public fun <T> readValidatedFile(path: Path, read: ObjectReader.() -> T): Either<InvalidFile, T> {
    val text = try {
        Files.readString(path)
    } catch (failure: IOException) {
        val mistake =
            ValidationError(SourcePosition(path.toString(), 1, 1), "the file can't be read (${failure.message})", "a readable file")
        return InvalidFile(persistentListOf(mistake)).left()
    }
    return readValidated(path.toString(), text, read)
}
