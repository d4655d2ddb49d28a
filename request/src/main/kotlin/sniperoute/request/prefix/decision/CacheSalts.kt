/**
 * The salts that keep the cache partitions apart at endpoints, and the cache group of a prompt.
 */
package sniperoute.request.prefix.decision

import net.openhft.hashing.LongHashFunction
import sniperoute.version.decision.CachePartition
import sniperoute.version.decision.OwnPartition
import sniperoute.version.decision.SharedPartition
import sniperoute.version.message.BlockId
import sniperoute.version.message.CACHE_GROUP_COUNT
import sniperoute.version.message.CacheGroup
import sniperoute.version.message.ModelName

/** Sets the salts of generations apart from those of workspaces. */
private const val GENERATION_SEED = 1L

/** Returns the salt of the prefix chains and of the endpoints' cache entries in this partition. */
public fun CachePartition.salt(): Long = when (this) {
    is OwnPartition -> workspaceSalt(workspace)
    is SharedPartition -> LongHashFunction.xx3(GENERATION_SEED).hashLong(generation)
}

/** Returns the cache group of the prompts for [model] that begin with [firstBlock]. */
public fun cacheGroup(model: ModelName, firstBlock: BlockId): CacheGroup {
    val hash = contentHash("${model.text} ${firstBlock.text}".toByteArray())
    return CacheGroup(
        java.lang.Long
            .remainderUnsigned(hash, CACHE_GROUP_COUNT.toLong())
            .toInt(),
    )
}
