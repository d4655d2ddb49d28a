/**
 * Prefix chains: one hash for each whole piece of a prompt, covering the piece and all before it. Two prompts share a hash
 * just when they share the prefix up to there and the salt.
 */
package sniperoute.request.prefix.decision

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import net.openhft.hashing.LongHashFunction
import sniperoute.version.message.WeightsVersion
import sniperoute.version.message.WorkspaceName

/** Tokens in one piece of an engine's cache. */
public const val BLOCK_TOKENS: Int = 2_000

/** Bytes of text that make one token on average, before any answer's own count is known. */
public const val BYTES_PER_TOKEN: Int = 4

/** Bytes of text that are taken for one piece. */
public const val PIECE_BYTES: Int = BLOCK_TOKENS * BYTES_PER_TOKEN

/** Returns the chain of [text] under [salt]; a last piece that is not whole does not count. */
public fun prefixChain(salt: Long, text: ByteArray): PersistentList<Long> =
    (0 until text.size / PIECE_BYTES)
        .runningFold(salt) { parent, piece -> LongHashFunction.xx3(parent).hashBytes(text, piece * PIECE_BYTES, PIECE_BYTES) }
        .drop(1)
        .toPersistentList()

/** Returns the salt that keeps the cache entries of [workspace] apart from all others; open routes share one. */
public fun workspaceSalt(workspace: WorkspaceName?): Long = LongHashFunction.xx3().hashChars(workspace?.text.orEmpty())

/** Returns the hash under which an engine with [weights] keeps the piece [link] of a chain. */
public fun cacheKey(link: Long, weights: WeightsVersion): Long =
    LongHashFunction.xx3(link).hashChars(weights.text)

/** Returns the place of a candidate named [name] for [affinityKey]; the highest one is chosen, the same on every router. */
public fun rendezvousWeight(affinityKey: Long, name: String): Long = LongHashFunction.xx3(affinityKey).hashChars(name)

/** Returns a hash of [bytes]. */
public fun contentHash(bytes: ByteArray): Long = LongHashFunction.xx3().hashBytes(bytes)
