/**
 * What operators declare, in files beside each service's code.
 */
package sniperoute.version.message

import kotlinx.serialization.Serializable
import sniperoute.process.codec.ItemList
import sniperoute.process.identity.FailureDomain

/** How urgent a request is; earlier constants go first. */
public enum class RequestClass(public val text: String) {
    STATUS("status"),
    CONFIRMATION("confirmation"),
    DRAFTING("drafting"),
}

/** Whether a call may run more than once. */
public enum class Repetition(public val text: String) {
    REPEATABLE("repeatable"),
    ONCE_ONLY("once-only"),
}

/** What stands behind a service's endpoints. */
public enum class ServiceKind(public val text: String) {
    MODEL("model"),
    PLAIN("plain"),
}

/** A workspace and what it may use: [tokensPerSecond] in the long run, [burstTokens] at once, over the whole fleet. */
@Serializable
public data class Workspace(public val name: WorkspaceName, public val tokensPerSecond: Long, public val burstTokens: Long)

/** A key that a workspace's callers show. */
@Serializable
public data class DeclaredKey(public val digest: KeyDigest, public val workspace: WorkspaceName)

/** A replica at [host] and [port] that works on up to [slots] requests at once. */
@Serializable
public data class Endpoint(
    public val name: EndpointName,
    public val host: String,
    public val port: Int,
    public val failureDomain: FailureDomain,
    public val slots: Int,
    public val checksOrders: Boolean,
)

/** Requests whose path starts with [path] go to [service]. Times are in milliseconds; [isOpen] routes need no key. */
@Serializable
public data class Route(
    public val name: RouteName,
    public val path: String,
    public val service: ServiceName,
    public val requestClass: RequestClass,
    public val deadlineMilliseconds: Long,
    public val gapMilliseconds: Long,
    public val repetition: Repetition,
    public val isOpen: Boolean,
)

/** A wish to serve [to] on all endpoints within [deadlineMilliseconds] of being accepted. */
@Serializable
public data class DeclaredMove(public val to: WeightsVersion, public val deadlineMilliseconds: Long)

/** A service, the weights that its endpoints serve (models only) and a move to other weights. */
@Serializable
public data class Service(
    public val name: ServiceName,
    public val kind: ServiceKind,
    public val endpoints: ItemList<Endpoint>,
    public val weights: WeightsVersion?,
    public val move: DeclaredMove?,
)

/** Everything that was declared, from all files together. */
@Serializable
public data class Declarations(
    public val workspaces: ItemList<Workspace>,
    public val keys: ItemList<DeclaredKey>,
    public val services: ItemList<Service>,
    public val routes: ItemList<Route>,
)
