/**
 * Messages of a router's session with the control replicas.
 */
package sniperoute.version.message

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import sniperoute.process.codec.SerializableList
import sniperoute.process.codec.SerializableMap
import sniperoute.process.identity.VmName

/** A message of the session, in either direction. */
@Serializable
public sealed interface SessionMessage

/** Asks for a lease; the router serves by [revision] and by the fleet view [fleet] now. [evidence] counts from the router's start. */
@Serializable
public data class RenewRequest(
    public val revision: Long,
    public val evidence: SerializableList<RouteEvidence>,
    public val fleet: Long = 0,
) : SessionMessage

/**
 * Grants a lease of [leaseMilliseconds], counted from when the request was sent. [changes] lead to [revision]; when
 * [isWhole] they replace everything the router has. [members] are the VMs of the control replicas, [routers] how many routers
 * share the fleet's allowances now, [fleet] is the leader's view of listed endpoints, 0 while it has none.
 */
@Serializable
public data class RenewReply(
    public val term: Long,
    public val leaseMilliseconds: Long,
    public val revision: Long,
    public val configuration: Long,
    public val isWhole: Boolean,
    public val changes: SerializableList<ItemChange>,
    public val members: SerializableList<VmName> = persistentListOf(),
    public val routers: Int = 1,
    public val fleet: Long = 0,
) : SessionMessage

/** In place of the run of a store that does not answer. */
public const val STORE_UNREACHABLE: Long = 0

/** What routers have at an endpoint: requests in work, and prompt tokens that wait to be computed. */
@Serializable
@SerialName("sniperoute.version.message.EndpointWork")
public data class EndpointWorkload(public val endpoint: EndpointName, public val running: Int, public val waitingTokens: Long)

/** Parts of prompts, by their keys, that an endpoint or a store holds from now on. */
@Serializable
@SerialName("sniperoute.version.message.HeldParts")
public data class CachedBlocks(public val endpoint: EndpointName, public val keys: SerializableList<Long>)

/** Tells the leader what this router has at the endpoints where that changed, and which parts it had computed. */
@Serializable
@SerialName("sniperoute.version.message.WorkNote")
public data class WorkloadReport(
    public val work: SerializableList<EndpointWorkload>,
    public val held: SerializableList<CachedBlocks>,
) : SessionMessage

/** Tells routers what all of them together have at endpoints, and which parts one of them had computed. */
@Serializable
@SerialName("sniperoute.version.message.FleetWork")
public data class FleetWorkload(
    public val work: SerializableList<EndpointWorkload>,
    public val held: SerializableList<CachedBlocks>,
) : SessionMessage

/**
 * Tells a router how the fleet changed: from its view [follows], or from nothing when that is 0, to the view [number]. The runs of
 * all [stores] come with it; [STORE_UNREACHABLE] stands for one that does not answer.
 */
@Serializable
public data class FleetNotice(
    public val number: Long,
    public val follows: Long,
    public val changed: SerializableList<FleetEndpoint>,
    public val gone: SerializableList<EndpointName>,
    public val stores: SerializableMap<ServiceName, Long> = persistentMapOf(),
) : SessionMessage

/** Tells a router that something changed, so that it renews at once. */
@Serializable
public data class ChangeNotice(public val revision: Long) : SessionMessage

/** The replica that was asked does not lead; [leader] may. [members] are the VMs of the replicas that it knows. */
@Serializable
public data class NotLeader(public val leader: VmName?, public val members: SerializableList<VmName> = persistentListOf()) : SessionMessage

/** Asks for [tokens] of the workspace's rate. */
@Serializable
public data class TokenRequest(public val workspace: WorkspaceName, public val tokens: Long) : SessionMessage

/** Hands [tokens] to the router; when they are fewer than asked, more are there after [retryMilliseconds]. */
@Serializable
public data class TokenGrant(
    public val workspace: WorkspaceName,
    public val tokens: Long,
    public val retryMilliseconds: Long,
) : SessionMessage

/** Gives back tokens that were granted and not used. Sent once at most: a return that is lost is lost to the workspace. */
@Serializable
public data class TokenReturn(public val workspace: WorkspaceName, public val tokens: Long) : SessionMessage

/**
 * What a router saw of one version on one route since the router's start. [firstTokenBuckets] counts answers by the time to
 * their first byte: bucket n holds times below 2^n milliseconds that no earlier bucket holds.
 */
@Serializable
public data class RouteEvidence(
    public val service: ServiceName,
    public val route: RouteName,
    public val weights: WeightsVersion,
    public val answered: Long,
    public val failed: Long,
    public val firstTokenBuckets: SerializableList<Long>,
)
