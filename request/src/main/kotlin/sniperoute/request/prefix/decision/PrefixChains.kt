/**
 * Prefix chains: one hash for each whole cache block of a prompt, which covers the block and all blocks before it. Two prompts have a
 * hash in common exactly if they have the same salt and the same prefix up to that block.
 */
package sniperoute.request.prefix.decision

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import net.openhft.hashing.LongHashFunction
import sniperoute.version.message.BlockId
import sniperoute.version.message.WeightsVersion
import sniperoute.version.message.WorkspaceName

/** The tokens of one block in an engine's prefix cache. */
public const val BLOCK_TOKENS: Int = 2_000

/** The average number of bytes of text in one token, assumed until a response gives the engine's own count. */
public const val BYTES_PER_TOKEN: Int = 4

/** The number of bytes of text that count as one block. */
public const val BLOCK_BYTES: Int = BLOCK_TOKENS * BYTES_PER_TOKEN

/** Returns the chain of [text] under [salt]. An incomplete last block is left out. */
public fun prefixChain(salt: Long, text: ByteArray): PersistentList<Long> =
    (0 until text.size / BLOCK_BYTES)
        .runningFold(salt) { parent, block -> LongHashFunction.xx3(parent).hashBytes(text, block * BLOCK_BYTES, BLOCK_BYTES) }
        .drop(1)
        .toPersistentList()

/** Returns the identity of each whole block of [text]. */
public fun blockIds(text: ByteArray): PersistentList<BlockId> =
    (0 until text.size / BLOCK_BYTES)
        .map { block -> BlockId(LongHashFunction.xx3().hashBytes(text, block * BLOCK_BYTES, BLOCK_BYTES).toHexString()) }
        .toPersistentList()

/** Returns the salt that separates the cache entries of [workspace] from those of all others; open routes share one salt. */
public fun workspaceSalt(workspace: WorkspaceName?): Long = LongHashFunction.xx3().hashChars(workspace?.text.orEmpty())

/** Returns the key of a block in the cache of an engine with [weights]; [link] is the block's hash in a chain. */
public fun cacheKey(link: Long, weights: WeightsVersion): Long =
    LongHashFunction.xx3(link).hashChars(weights.text)

/** Returns the weight of the candidate [name] for the key [affinityKey] in rendezvous hashing. It is the same on every router. */
public fun rendezvousWeight(affinityKey: Long, name: String): Long = LongHashFunction.xx3(affinityKey).hashChars(name)

/** Returns a hash of [bytes]. */
public fun contentHash(bytes: ByteArray): Long = LongHashFunction.xx3().hashBytes(bytes)
