/**
 * What operators declare, in files beside each service's code.
 */
package sniperoute.version.message

import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import sniperoute.process.codec.SerializableList
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
    STORE("store"),
}

/** What a workspace's allowance counts. */
public enum class AllowanceUnit { TOKENS, REQUESTS }

/**
 * A workspace and what it may use: [tokensPerSecond] in the long run, [burstTokens] at once, over the whole fleet; a rate of 0
 * means no limit. A request that says nothing of tokens counts as [plainTokens]. The [rank] of a workspace goes before that of
 * the route. One that [isIsolated] shares no cached part of a prompt with any other.
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

/** Whether the workspace's use is limited at all. */
public val Workspace.isLimited: Boolean get() = tokensPerSecond > 0

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

/** A service that gets [weight] parts of a route's requests. */
@Serializable
public data class RouteShare(public val service: ServiceName, public val weight: Int)

/**
 * Requests for [host], or for any when it is `null`, whose path starts with [path] go to [service], or where there are
 * [shares], to those services. Times are in milliseconds; [isOpen] routes need no key. A request runs at [mostEndpoints]
 * endpoints at most; requests of a lower [rank] go first. An answer that [isStreamed] can go on at another endpoint when it
 * [isResumable].
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
    public val mostEndpoints: Int = MOST_ENDPOINTS,
    public val objectiveMilliseconds: Long = deadlineMilliseconds,
    public val isStreamed: Boolean = false,
    public val isResumable: Boolean = true,
)

/** The most endpoints at which a request runs when its route does not say. */
public const val MOST_ENDPOINTS: Int = 4

/** How urgent requests of this route are, lower first: as declared, or by their class. */
public val Route.urgency: Int get() = rank ?: requestClass.ordinal

/** The services that may get requests of this route. */
public val Route.services: List<ServiceName> get() = if (shares.isEmpty()) listOf(service) else shares.map { it.service }

/** A wish to serve [to] on all endpoints within [deadlineMilliseconds] of being accepted. */
@Serializable
public data class DeclaredMove(public val to: WeightsVersion, public val deadlineMilliseconds: Long)

/** What an engine of a model service can hold: [cacheTokens] of [bytesPerToken] each, moved over links of [linkMegabits] a second. */
@Serializable
public data class EngineProfile(
    public val slots: Int,
    public val cacheTokens: Long,
    public val bytesPerToken: Long,
    public val linkMegabits: Double,
    public val models: SerializableList<ModelName>,
)

/** Where a store of cached parts is, and how many tokens it holds. */
@Serializable
@SerialName("sniperoute.version.message.StorePlace")
public data class StoreAddress(
    public val host: String,
    public val port: Int,
    public val failureDomain: FailureDomain,
    public val cacheTokens: Long,
)

/** What callers may send: sizes in bytes, times in milliseconds. */
@Serializable
public data class CallerLimits(
    public val headerBytes: Int,
    public val bodyBytes: Int,
    public val headerMilliseconds: Long,
    public val idleMilliseconds: Long,
)

/**
 * A service, the weights that its endpoints serve (models only) and a move to other weights. The endpoints of one that
 * [isListed] come from the platform's list.
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
)

/** Everything that was declared, from all files together; [document] is the text of it, where it was one text. */
@Serializable
public data class Declarations(
    public val workspaces: SerializableList<Workspace>,
    public val keys: SerializableList<DeclaredKey>,
    public val services: SerializableList<Service>,
    public val routes: SerializableList<Route>,
    public val limits: CallerLimits? = null,
    public val document: String? = null,
)
