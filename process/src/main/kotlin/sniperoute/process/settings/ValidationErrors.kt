/**
 * Validation errors in settings and declaration files.
 */
package sniperoute.process.settings

import kotlinx.collections.immutable.ImmutableList

/** A position in a file; [line] and [column] count from 1. */
public data class SourcePosition(public val file: String, public val line: Int, public val column: Int) {
    override fun toString(): String = "$file:$line:$column"
}

/** An error at [position]: what was [found] there, and what was [expected]. */
public data class ValidationError(public val position: SourcePosition, public val found: String, public val expected: String) {
    override fun toString(): String = "$position: $found; expected $expected"
}

/** A file that failed validation, with all [errors] found in it, ordered by position. */
public data class InvalidFile(public val errors: ImmutableList<ValidationError>) {
    /** Returns one line for each error. */
    public fun describe(): String = errors.joinToString("\n")
}
