/**
 * What the routing decisions know of a request.
 */
package sniperoute.request.routing.message

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import sniperoute.process.clock.Timestamp
import sniperoute.request.prefix.decision.BLOCK_TOKENS
import sniperoute.version.message.KeyDigest
import sniperoute.version.message.ModelName
import sniperoute.version.message.RequestClass
import sniperoute.version.message.RequestDigest
import sniperoute.version.message.Route
import sniperoute.version.message.ServiceName
import sniperoute.version.message.WorkspaceName
import sniperoute.version.message.urgency

/** The identity of one request at one router. */
@JvmInline
public value class RequestId(public val text: String) {
    override fun toString(): String = text
}

/**
 * A request that was admitted. [chain] holds one hash for each whole piece of the prompt, each covering the pieces before
 * it; [blockTokens] are the tokens up to each of them, where pieces differ. [promptTokens] and [answerTokens] are upper
 * estimates, and [tokens] is what counts against the workspace's rate; [hash] spreads requests over shares, and those with the same
 * [affinityKey] belong together. It may wait here until
 * [queueDeadline]; requests of a lower [rank] go first.
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
    public val rank: Int = route.urgency,
    public val queueDeadline: Timestamp = deadline,
    public val tokens: Long = promptTokens + answerTokens,
) {
    /** The tokens of the parts that other prompts may share: all but the last, which is the request's own. */
    public val sharedTokens: Long get() = tokensOf(chain.size - 1)

    /** Returns the tokens of the first [links] parts of the prompt. */
    public fun tokensOf(links: Int): Long = when {
        links <= 0 -> 0
        blockTokens.isEmpty() -> links.toLong() * BLOCK_TOKENS
        else -> blockTokens[minOf(links, blockTokens.size) - 1]
    }

    /** How urgent it is. */
    public val requestClass: RequestClass get() = route.requestClass
}
