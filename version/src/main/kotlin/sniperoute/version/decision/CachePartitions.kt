/**
 * Cache partitions: which workspaces may use cached blocks of each other. Blocks outlast the configuration under which they were made, so
 * the partition of a request follows from the history that the control replicas keep, not only from the configuration in force.
 *
 * Workspaces that aren't isolated share blocks, but only in the groups where the catalogue records them as sharers. When one of them
 * becomes isolated, each group that records it gets a new generation, after which no request reaches the blocks of the earlier one.
 */
package sniperoute.version.decision

import sniperoute.version.message.CacheGroup
import sniperoute.version.message.CacheUse
import sniperoute.version.message.WorkspaceName

/** The blocks that a request can reach and that it adds to. */
public sealed interface CachePartition

/** The blocks that only [workspace] makes and uses. Requests without a workspace have those of `null`. */
public data class OwnPartition(public val workspace: WorkspaceName?) : CachePartition

/** The blocks of one group that its sharers made in [generation]. */
public data class SharedPartition(public val generation: Long) : CachePartition

/** The generation of a group in which no sharer has become isolated. */
private const val FIRST_GENERATION = 0L

/**
 * Returns the partition of a request of [workspace] with a prompt in [group], which is `null` for a prompt without blocks. Until its use
 * of the group is recorded, and when it isn't in force, a workspace has its own.
 */
public fun Catalogue.cachePartition(workspace: WorkspaceName?, group: CacheGroup?): CachePartition {
    val isShared = group != null && (workspace == null || mayShareCache(workspace) && isSharer(workspace, group))
    return if (isShared) SharedPartition(cacheGenerations[group] ?: FIRST_GENERATION) else OwnPartition(workspace)
}

/**
 * Returns whether a request of [workspace] with a prompt in [group] may still reach [partition], which an earlier catalogue gave it.
 * A workspace reaches the blocks that are its own under any configuration.
 */
public fun Catalogue.isInForce(partition: CachePartition, workspace: WorkspaceName?, group: CacheGroup?): Boolean =
    partition is OwnPartition || partition == cachePartition(workspace, group)

/** Returns whether [use] isn't recorded and should be, so that the workspace shares the group from then on. */
public fun Catalogue.isUnrecorded(use: CacheUse): Boolean = mayShareCache(use.workspace) && !isSharer(use.workspace, use.group)

private fun Catalogue.mayShareCache(workspace: WorkspaceName): Boolean = workspaces[workspace]?.isIsolated == false

private fun Catalogue.isSharer(workspace: WorkspaceName, group: CacheGroup): Boolean = group in cacheSharers[workspace].orEmpty()
