/**
 * Cache groups: a coarse division of the blocks in the caches of endpoints, by which the history of shared blocks is kept.
 */
package sniperoute.version.message

import kotlinx.serialization.Serializable

/** The number of cache groups. More groups make the separation of a workspace cheaper for the others, and its history longer. */
public const val CACHE_GROUP_COUNT: Int = 256

/** A cache group. All prompts with the same first block are in the same one, so that a block has the same group as those it follows. */
@Serializable
@JvmInline
public value class CacheGroup(public val number: Int) : Comparable<CacheGroup> {
    override fun compareTo(other: CacheGroup): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()
}

/** A request of [workspace] with a prompt in [group], after which blocks of that group that [workspace] made may be cached. */
@Serializable
public data class CacheUse(public val workspace: WorkspaceName, public val group: CacheGroup)
