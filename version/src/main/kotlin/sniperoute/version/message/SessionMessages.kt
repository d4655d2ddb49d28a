/**
 * Messages of the session between a router and the control replicas.
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

/**
 * A position in the changes of the catalogue, which are ordered by revision and then by name: after the change of [name] in [revision], or
 * after all changes of the revision if that is `null`. Items that were removed up to the revision [base] are not among the changes.
 */
@Serializable
public data class CatalogueCursor(public val base: Long, public val revision: Long, public val name: ItemName? = null)

/**
 * Requests a new lease. The router serves by [revision] and by the fleet view numbered [fleet] now; its [evidence] counts from its
 * start. It sends this at [sentMicroseconds] by its own clock, and has these [doubts] about endpoints. The [cursor] is the end of the last
 * page of changes that it has received, if more pages are to follow. The [cacheUses] are not recorded in the catalogue that it serves by.
 */
@Serializable
public data class RenewRequest(
    public val revision: Long,
    public val evidence: SerializableList<RouteEvidence>,
    public val fleet: Long = 0,
    public val sentMicroseconds: Long = 0,
    public val doubts: SerializableList<EndpointDoubt> = persistentListOf(),
    public val cursor: CatalogueCursor? = null,
    public val cacheUses: SerializableList<CacheUse> = persistentListOf(),
) : SessionMessage

/**
 * Grants a lease of [leaseMilliseconds], counted from when the request was sent, to a router that has the catalogue of [revision]. The
 * [changes] that lead there come in pages, each of which the router requests: this one follows the cursor [continues], or what the router
 * serves if that is `null`, and ends at [next], which is `null` on the last page. When [isWhole], the changes of all pages replace
 * everything that the router has. [members] are the VMs of the control replicas, [routers] is the number of routers that share the
 * allowances of the fleet, and [fleet] the number of the leader's fleet view, 0 while it has none. The router's [settledDoubts] are over.
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
    public val settledDoubts: SerializableList<EndpointDoubt> = persistentListOf(),
    public val continues: CatalogueCursor? = null,
    public val next: CatalogueCursor? = null,
) : SessionMessage

/** Stands for the incarnation of a store that does not respond. */
public const val STORE_UNREACHABLE: Long = 0

/**
 * The workload of routers at an endpoint: the number of running requests, of prompt tokens that are not computed yet, and of tokens that
 * the running requests hold in its memory, or will hold. [waitingByRank] has the [waitingTokens] by the rank of their requests, where it is
 * used. The [timePercent] is the time that work takes there in percent of the usual
 * time, as an answer stated it since the last message; 0 if none did.
 */
@Serializable
@SerialName("sniperoute.version.message.EndpointWork")
public data class EndpointWorkload(
    public val endpoint: EndpointName,
    public val running: Int,
    public val waitingTokens: Long,
    public val heldTokens: Long = 0,
    public val waitingByRank: SerializableMap<Int, Long> = persistentMapOf(),
    public val timePercent: Int = 0,
)

/** The keys of cache blocks that an endpoint or a store holds from now on. */
@Serializable
@SerialName("sniperoute.version.message.HeldParts")
public data class CachedBlocks(public val endpoint: EndpointName, public val keys: SerializableList<Long>)

/**
 * The requests a second that an endpoint takes from all routers together; `null` when it takes any number. An answer named it
 * [ageMilliseconds] ago.
 */
@Serializable
public data class RequestLimit(public val endpoint: EndpointName, public val perSecond: Double?, public val ageMilliseconds: Long = 0)

/** A number of requests that a router may send to an endpoint with a limit. */
@Serializable
public data class RequestPermits(public val endpoint: EndpointName, public val count: Int)

/**
 * Notifies a router of the [limits] of endpoints, and grants it [permits] for them. When [isComplete], no other endpoint has a limit.
 * Each grant is in one message only; if the message is lost, the permits are lost. The [warmingPermits] are for cold endpoints; their time
 * counts from the renewal that the router sent at [renewalMicroseconds] by its own clock.
 */
@Serializable
public data class RequestLimitNotice(
    public val isComplete: Boolean,
    public val limits: SerializableList<RequestLimit>,
    public val permits: SerializableList<RequestPermits>,
    public val warmingPermits: SerializableList<RequestPermits> = persistentListOf(),
    public val renewalMicroseconds: Long = 0,
) : SessionMessage

/** Reports to the leader the limits that endpoints named or ended in their last answers to this router. */
@Serializable
public data class RequestLimitReport(public val limits: SerializableList<RequestLimit>) : SessionMessage

/**
 * Reports to the leader the router's workload at the endpoints where it changed, and the cache blocks computed for its requests. When
 * [isComplete], the router has no workload at other endpoints.
 */
@Serializable
@SerialName("sniperoute.version.message.WorkNote")
public data class WorkloadReport(
    public val work: SerializableList<EndpointWorkload>,
    public val held: SerializableList<CachedBlocks>,
    public val isComplete: Boolean = false,
) : SessionMessage

/** Notifies routers of the workload of all routers at endpoints, and of cache blocks computed for their requests. */
@Serializable
@SerialName("sniperoute.version.message.FleetWork")
public data class FleetWorkload(
    public val work: SerializableList<EndpointWorkload>,
    public val held: SerializableList<CachedBlocks>,
) : SessionMessage

/**
 * Notifies a router of the changes from the fleet view [follows] to the view [number]; when [follows] is 0, the notice holds the whole
 * view. It carries the incarnations of all [stores], [STORE_UNREACHABLE] for a store that does not respond.
 */
@Serializable
public data class FleetNotice(
    public val number: Long,
    public val follows: Long,
    public val changed: SerializableList<FleetEndpoint>,
    public val gone: SerializableList<EndpointName>,
    public val stores: SerializableMap<ServiceName, Long> = persistentMapOf(),
) : SessionMessage

/** Notifies a router that [revision] is in force, so that it renews its lease at once. */
@Serializable
public data class ChangeNotice(public val revision: Long) : SessionMessage

/** Refuses a request because the replica is not the leader; [leader] may be. [members] are the VMs of the replicas that it knows. */
@Serializable
public data class NotLeader(public val leader: VmName?, public val members: SerializableList<VmName> = persistentListOf()) : SessionMessage

/** Requests [tokens] from the token bucket of [workspace]. */
@Serializable
public data class TokenRequest(public val workspace: WorkspaceName, public val tokens: Long) : SessionMessage

/** Grants [tokens] to the router; when they are fewer than requested, more will be available after [retryMilliseconds]. */
@Serializable
public data class TokenGrant(
    public val workspace: WorkspaceName,
    public val tokens: Long,
    public val retryMilliseconds: Long,
) : SessionMessage

/** Returns tokens that were granted and not used. Sent at most once: if the message is lost, the workspace loses the tokens. */
@Serializable
public data class TokenReturn(public val workspace: WorkspaceName, public val tokens: Long) : SessionMessage

/**
 * The responses and failures of one version on one route that a router has counted since its start. [firstTokenBuckets] counts
 * responses by the time to their first token, in the buckets of `firstTokenBucket`; trailing buckets without responses are omitted.
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
