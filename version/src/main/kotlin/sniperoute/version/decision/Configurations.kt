/**
 * Numbered configurations. A submission names the number that it follows and its digest: the first one wins, the same one
 * again gets the same answer, and another one is told who won.
 */
package sniperoute.version.decision

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import sniperoute.version.message.Declarations

/** Which digest won which number, for the last [KEPT_NUMBERS] numbers, and the declarations of the last one. */
public data class Configurations(
    public val number: Long,
    public val winners: PersistentMap<Long, AcceptedSubmission>,
    public val declarations: Declarations?,
)

/** A submission that won its number; [revision] is the one at which it came into force. */
public data class AcceptedSubmission(public val digest: String, public val operator: String, public val revision: Long)

/** How many accepted numbers are remembered for resent submissions. */
public const val KEPT_NUMBERS: Int = 5_000

/** Returns the state before the first configuration. */
public fun noConfiguration(): Configurations = Configurations(0, persistentMapOf(), null)

/** How a submission's number stands to those before it. */
public enum class Numbering {
    /** It follows just the number that it names. */
    NEXT,

    /** Any higher number takes the place of the present one; one that is not higher changes nothing. */
    HIGHEST,
}

/** Declarations that should follow the configuration [follows]; [digest] identifies them. */
public data class Submission(
    public val follows: Long,
    public val digest: String,
    public val operator: String,
    public val declarations: Declarations,
    public val numbering: Numbering = Numbering.NEXT,
)

/** What became of a submission. */
public sealed interface SubmissionOutcome

/** It is now the configuration [number]. */
public data class SubmissionAccepted(public val number: Long) : SubmissionOutcome

/** It had been accepted before as [number]. */
public data class SubmissionAlreadyAccepted(public val number: Long, public val revision: Long) : SubmissionOutcome

/** Another one holds the number it wanted; the present one is [current]. Nothing of it is in force. */
public data class SubmissionConflict(public val number: Long, public val winner: AcceptedSubmission?, public val current: Long) :
    SubmissionOutcome

/** Its declarations contradict each other. */
public data class SubmissionInvalid(public val problems: List<DeclarationProblem>) : SubmissionOutcome

/** Returns what becomes of [submission] now. */
public fun Configurations.evaluate(submission: Submission): SubmissionOutcome {
    val wanted = submission.follows + 1
    val winner = winners[wanted]
    if (submission.numbering == Numbering.HIGHEST) return judgeHighest(submission, wanted)
    if (winner != null && winner.digest == submission.digest) return SubmissionAlreadyAccepted(wanted, winner.revision)
    if (submission.follows != number) return SubmissionConflict(wanted, winner, number)
    val problems = submission.declarations.problems()
    return if (problems.isEmpty()) SubmissionAccepted(wanted) else SubmissionInvalid(problems)
}

private fun Configurations.judgeHighest(submission: Submission, wanted: Long): SubmissionOutcome {
    val problems = submission.declarations.problems()
    return when {
        problems.isNotEmpty() -> SubmissionInvalid(problems)
        wanted <= number -> SubmissionAlreadyAccepted(number, winners[number]?.revision ?: 0)
        else -> SubmissionAccepted(wanted)
    }
}

/** Returns the state after [submission] was accepted, in force at [revision]. */
public fun Configurations.accept(submission: Submission, revision: Long): Configurations {
    val next = submission.follows + 1
    check(next > number) { "a submission after ${submission.follows} can't follow $number" }
    val accepted = AcceptedSubmission(submission.digest, submission.operator, revision)
    return Configurations(next, winners.put(next, accepted).remove(next - KEPT_NUMBERS), submission.declarations)
}
