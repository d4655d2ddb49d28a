/**
 * The target weights of a model in the order in which they became known, from which follows since when an endpoint is outdated.
 */
package sniperoute.version.decision

import kotlinx.collections.immutable.PersistentList
import sniperoute.process.clock.Timestamp

/** Target weights of a model, and when this process learned of them. */
public data class TargetWeights(public val number: Long, public val seen: Timestamp) {
    /** The number as endpoints name it. */
    public val text: String = number.toString()
}

/** The upper bound on target weights that are kept for a model. */
private const val MAX_TARGET_WEIGHTS = 16

/** Returns the list with [newer] at its end, without the oldest if there are more than [MAX_TARGET_WEIGHTS]. */
public fun PersistentList<TargetWeights>.with(newer: TargetWeights): PersistentList<TargetWeights> =
    (if (size >= MAX_TARGET_WEIGHTS) removeAt(0) else this).add(newer)

/** Returns the time since when weights above [number] are known, or `null` if there are none. */
public fun PersistentList<TargetWeights>.outdatedSinceOrNull(number: Long): Timestamp? = firstOrNull { it.number > number }?.seen
