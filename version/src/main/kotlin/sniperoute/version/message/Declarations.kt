/**
 * Declarations: the workspaces, keys, services and routes that operators declare in files beside the code of each service.
 */
package sniperoute.version.message

import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import sniperoute.process.codec.SerializableList
import sniperoute.process.identity.FailureDomain

/** The class of a request by urgency; requests of an earlier constant are served first. */
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

/** What the endpoints of a service run. */
public enum class ServiceKind(public val text: String) {
    MODEL("model"),
    PLAIN("plain"),
    STORE("store"),
}

/** The unit in which the allowance of a workspace is counted. */
public enum class AllowanceUnit { TOKENS, REQUESTS }

/**
 * A workspace and its limits over the whole fleet: [tokensPerSecond] in the long run and [burstTokens] at once; a rate of 0 means no
 * limit. A request that states no number of tokens counts as [plainTokens]. The [rank] of a workspace takes precedence over that of
 * the route. A workspace that [isIsolated] shares no cache blocks with other workspaces.
 */
@Serializable
public data class Workspace(
    public val name: WorkspaceName,
    public val tokensPerSecond: Long,
    public val burstTokens: Long,
    public val unit: AllowanceUnit = AllowanceUnit.TOKENS,
    public val plainTokens: Long = 1,
    public val rank: Int? = null,
    public val isIsolated: Boolean = false,
)

/** Whether the workspace has a rate limit. */
public val Workspace.isLimited: Boolean get() = tokensPerSecond > 0

/** A key with which callers of [workspace] authenticate. */
@Serializable
public data class DeclaredKey(public val digest: KeyDigest, public val workspace: WorkspaceName)

/** A replica of a service at [host] and [port], which runs up to [slots] requests at once. */
@Serializable
public data class Endpoint(
    public val name: EndpointName,
    public val host: String,
    public val port: Int,
    public val failureDomain: FailureDomain,
    public val slots: Int,
    public val checksOrders: Boolean,
)

/** A service and its [weight], by which it gets a part of the requests of a route. */
@Serializable
public data class RouteShare(public val service: ServiceName, public val weight: Int)

/**
 * A route: requests for [host], or for any host when it is `null`, whose path starts with [path] go to [service], or to the services
 * of [shares] when there are any. A request must be answered within [deadlineMilliseconds]; [objectiveMilliseconds] is the target for
 * its latency and [gapMilliseconds] the longest pause in a streamed response. A route that [isOpen] needs no key. A request
 * is tried at [mostEndpoints] endpoints at most; requests of a lower [rank] are served first. A response that [isStreamed] and
 * [isResumable] can be continued at another endpoint.
 */
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
    public val host: String? = null,
    public val shares: SerializableList<RouteShare> = persistentListOf(),
    public val rank: Int? = null,
    public val mostEndpoints: Int = DEFAULT_MAX_ENDPOINTS,
    public val objectiveMilliseconds: Long = deadlineMilliseconds,
    public val isStreamed: Boolean = false,
    public val isResumable: Boolean = true,
)

/** The number of endpoints at which a request is tried at most, unless its route sets another limit. */
public const val DEFAULT_MAX_ENDPOINTS: Int = 4

/** The rank of requests of this route, lower first: as declared, or else by their class. */
public val Route.effectiveRank: Int get() = rank ?: requestClass.ordinal

/** The services that may get requests of this route. */
public val Route.services: List<ServiceName> get() = if (shares.isEmpty()) listOf(service) else shares.map { it.service }

/** A declared move: all endpoints are to serve the weights [to] within [deadlineMilliseconds] after the move was accepted. */
@Serializable
public data class DeclaredMove(public val to: WeightsVersion, public val deadlineMilliseconds: Long)

/**
 * The capacity of each engine of a model service: [slots] concurrent requests and a KV cache of [cacheTokens] tokens with
 * [bytesPerToken] each, which can be transferred over links of [linkMegabits] megabits per second.
 */
@Serializable
public data class EngineProfile(
    public val slots: Int,
    public val cacheTokens: Long,
    public val bytesPerToken: Long,
    public val linkMegabits: Double,
    public val models: SerializableList<ModelName>,
)

/** The address of a KV cache store, its failure domain, and the number of tokens that it can hold. */
@Serializable
@SerialName("sniperoute.version.message.StorePlace")
public data class StoreAddress(
    public val host: String,
    public val port: Int,
    public val failureDomain: FailureDomain,
    public val cacheTokens: Long,
)

/** Limits on requests and connections of callers, in bytes and milliseconds. */
@Serializable
public data class CallerLimits(
    public val headerBytes: Int,
    public val bodyBytes: Int,
    public val headerMilliseconds: Long,
    public val idleMilliseconds: Long,
)

/**
 * A service with its endpoints, the weights that they serve (models only), and a move to other weights, if one is declared. The
 * endpoints of a service that [isListed] come from the platform's list. They are cold for the time of [warmUp] after they start; `null` if
 * they never are.
 */
@Serializable
public data class Service(
    public val name: ServiceName,
    public val kind: ServiceKind,
    public val endpoints: SerializableList<Endpoint>,
    public val weights: WeightsVersion?,
    public val move: DeclaredMove?,
    public val isListed: Boolean = false,
    public val engine: EngineProfile? = null,
    public val store: StoreAddress? = null,
    public val healthPath: String? = null,
    public val warmUp: WarmUp? = null,
)

/** The declarations of all files together; [document] is their text when they were submitted as one document. */
@Serializable
public data class Declarations(
    public val workspaces: SerializableList<Workspace>,
    public val keys: SerializableList<DeclaredKey>,
    public val services: SerializableList<Service>,
    public val routes: SerializableList<Route>,
    public val limits: CallerLimits? = null,
    public val document: String? = null,
)
