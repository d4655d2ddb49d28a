/**
 * Mistakes in written files, each with its place and the form that was expected there.
 */
package sniperoute.process.settings

import kotlinx.collections.immutable.ImmutableList

/** A place in a file; [line] and [column] count from 1. */
public data class SourcePosition(public val file: String, public val line: Int, public val column: Int) {
    override fun toString(): String = "$file:$line:$column"
}

/** Something that is wrong at [position], and what belongs there. */
public data class ValidationError(public val position: SourcePosition, public val found: String, public val expected: String) {
    override fun toString(): String = "$position: $found; expected $expected"
}

/** A file that can't be used, with every mistake that was found in it, in order of place. */
public data class InvalidFile(public val errors: ImmutableList<ValidationError>) {
    /** Returns one line per mistake. */
    public fun describe(): String = errors.joinToString("\n")
}
