/**
 * What the routing decisions know of a request.
 */
package sniperoute.request.routing.message

import kotlinx.collections.immutable.PersistentList
import sniperoute.process.clock.Moment
import sniperoute.version.message.KeyDigest
import sniperoute.version.message.RequestClass
import sniperoute.version.message.RequestDigest
import sniperoute.version.message.Route
import sniperoute.version.message.WorkspaceName

/** The identity of one request at one router. */
@JvmInline
public value class RequestId(public val text: String) {
    override fun toString(): String = text
}

/**
 * A request that was admitted. [chain] holds one hash for each whole piece of the prompt, each covering the pieces before
 * it; [promptTokens] and [answerTokens] are upper estimates; [hash] spreads requests over shares and endpoints.
 */
public data class RequestFacts(
    public val id: RequestId,
    public val workspace: WorkspaceName?,
    public val key: KeyDigest?,
    public val route: Route,
    public val digest: RequestDigest,
    public val hash: Long,
    public val chain: PersistentList<Long>,
    public val promptTokens: Long,
    public val answerTokens: Long,
    public val arrived: Moment,
    public val deadline: Moment,
) {
    /** What the request may use of its workspace's rate, in tokens. */
    public val tokens: Long get() = promptTokens + answerTokens

    /** How urgent it is. */
    public val requestClass: RequestClass get() = route.requestClass
}
