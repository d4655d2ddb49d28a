/**
 * Numbered configurations with optimistic concurrency. A submission names the configuration that it follows and carries a digest
 * of its declarations: the first submission for a number is accepted, a resend of the same one gets the same result, and any other
 * one is refused, and the refusal names the submission that holds the number.
 */
package sniperoute.version.decision

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import sniperoute.version.message.Declarations

/** The last accepted [number] with its [declarations], and which submission holds each of the last [MAX_KEPT_NUMBERS] numbers. */
public data class Configurations(
    public val number: Long,
    public val winners: PersistentMap<Long, AcceptedSubmission>,
    public val declarations: Declarations?,
)

/** An accepted submission; [revision] is the first one in which it is in force. */
public data class AcceptedSubmission(public val digest: String, public val operator: String, public val revision: Long)

/** How many accepted numbers are kept, so that resent submissions are recognized. */
public const val MAX_KEPT_NUMBERS: Int = 5_000

/** Returns the state before the first configuration. */
public fun noConfiguration(): Configurations = Configurations(0, persistentMapOf(), null)

/** How the number of a submission must relate to the current one. */
public enum class Numbering {
    /** The submission must follow the current number directly. */
    NEXT,

    /** Any higher number replaces the current one; a number that is not higher changes nothing. */
    HIGHEST,
}

/** Declarations that are to follow the configuration numbered [follows]; [digest] identifies them. */
public data class Submission(
    public val follows: Long,
    public val digest: String,
    public val operator: String,
    public val declarations: Declarations,
    public val numbering: Numbering = Numbering.NEXT,
)

/** The result of a submission. */
public sealed interface SubmissionOutcome

/** The submission is now the configuration [number]. */
public data class SubmissionAccepted(public val number: Long) : SubmissionOutcome

/**
 * The submission was accepted earlier as [number] and is in force since [revision]. With [Numbering.HIGHEST], these are the current
 * configuration's, whose number is at least that of the submission.
 */
public data class SubmissionAlreadyAccepted(public val number: Long, public val revision: Long) : SubmissionOutcome

/**
 * The submission does not follow the current configuration, [current]. The [number] that it would get is held by [winner], which is
 * `null` when no submission is known for it. Nothing of the submission is in force.
 */
public data class SubmissionConflict(public val number: Long, public val winner: AcceptedSubmission?, public val current: Long) :
    SubmissionOutcome

/** The declarations contradict each other. */
public data class SubmissionInvalid(public val problems: List<DeclarationProblem>) : SubmissionOutcome

/** Returns the result of [submission], without applying it. */
public fun Configurations.evaluate(submission: Submission): SubmissionOutcome {
    val nextNumber = submission.follows + 1
    val winner = winners[nextNumber]
    if (submission.numbering == Numbering.HIGHEST) return evaluateHighest(submission, nextNumber)
    if (winner != null && winner.digest == submission.digest) return SubmissionAlreadyAccepted(nextNumber, winner.revision)
    if (submission.follows != number) return SubmissionConflict(nextNumber, winner, number)
    val problems = submission.declarations.problems()
    return if (problems.isEmpty()) SubmissionAccepted(nextNumber) else SubmissionInvalid(problems)
}

private fun Configurations.evaluateHighest(submission: Submission, nextNumber: Long): SubmissionOutcome {
    val problems = submission.declarations.problems()
    return when {
        problems.isNotEmpty() -> SubmissionInvalid(problems)
        nextNumber <= number -> SubmissionAlreadyAccepted(number, winners[number]?.revision ?: 0)
        else -> SubmissionAccepted(nextNumber)
    }
}

/** Returns the state with [submission] accepted and in force from [revision] on. */
public fun Configurations.accept(submission: Submission, revision: Long): Configurations {
    val nextNumber = submission.follows + 1
    check(nextNumber > number) { "a submission that follows configuration ${submission.follows} cannot follow configuration $number" }
    val accepted = AcceptedSubmission(submission.digest, submission.operator, revision)
    return Configurations(nextNumber, winners.put(nextNumber, accepted).remove(nextNumber - MAX_KEPT_NUMBERS), submission.declarations)
}
