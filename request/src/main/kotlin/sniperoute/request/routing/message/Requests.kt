/**
 * Requests as the routing decisions see them.
 */
package sniperoute.request.routing.message

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import sniperoute.process.clock.Timestamp
import sniperoute.request.prefix.decision.BLOCK_TOKENS
import sniperoute.version.message.BlockId
import sniperoute.version.message.KeyDigest
import sniperoute.version.message.ModelName
import sniperoute.version.message.RequestClass
import sniperoute.version.message.RequestDigest
import sniperoute.version.message.Route
import sniperoute.version.message.ServiceName
import sniperoute.version.message.WorkspaceName
import sniperoute.version.message.effectiveRank

/** Identifies a request at one router. */
@JvmInline
public value class RequestId(public val text: String) {
    override fun toString(): String = text
}

/**
 * A request after admission.
 *
 * @property hash spreads requests over the shares of a route.
 * @property chain holds one hash for each whole cache block of the prompt; each hash covers its block and all blocks before it.
 * @property sharedBlocks identify the content of the blocks of the prompt that other prompts may contain.
 * @property promptTokens is an upper estimate.
 * @property answerTokens is an upper estimate.
 * @property expectedAnswerTokens is the number of tokens that the answer is likely to have.
 * @property blockTokens holds the tokens up to the end of each block; empty when all blocks have [BLOCK_TOKENS] tokens.
 * @property affinityKey is the key of rendezvous hashing: requests with the same key prefer the same endpoint.
 * @property rank orders requests in the queue; lower ranks go first.
 * @property queueDeadline is the time until which the request may wait at this router.
 * @property tokens counts against the workspace's rate.
 */
public data class AdmittedRequest(
    public val id: RequestId,
    public val workspace: WorkspaceName?,
    public val key: KeyDigest?,
    public val route: Route,
    public val digest: RequestDigest,
    public val hash: Long,
    public val chain: PersistentList<Long>,
    public val promptTokens: Long,
    public val answerTokens: Long,
    public val arrived: Timestamp,
    public val deadline: Timestamp,
    public val service: ServiceName = route.service,
    public val model: ModelName? = null,
    public val blockTokens: PersistentList<Long> = persistentListOf(),
    public val affinityKey: Long = chain.firstOrNull() ?: hash,
    public val rank: Int = route.effectiveRank,
    public val queueDeadline: Timestamp = deadline,
    public val tokens: Long = promptTokens + answerTokens,
    public val sharedBlocks: PersistentList<BlockId> = persistentListOf(),
    public val expectedAnswerTokens: Long = answerTokens,
) {
    /** The tokens of all blocks but the last. Other prompts may share these; the last block belongs to this request alone. */
    public val sharedTokens: Long get() = tokensOf(chain.size - 1)

    /** Returns the tokens of the first [blocks] blocks of the prompt. */
    public fun tokensOf(blocks: Int): Long = when {
        blocks <= 0 -> 0
        blockTokens.isEmpty() -> blocks.toLong() * BLOCK_TOKENS
        else -> blockTokens[minOf(blocks, blockTokens.size) - 1]
    }

    /** The urgency class of the route. */
    public val requestClass: RequestClass get() = route.requestClass
}
