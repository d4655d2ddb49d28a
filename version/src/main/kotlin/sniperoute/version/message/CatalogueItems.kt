/**
 * The catalogue as routers receive it: named items, each with the revision that changed it last, so that a router that has revision N
 * needs only the changes since.
 */
package sniperoute.version.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import sniperoute.process.clock.Timestamp
import sniperoute.process.codec.SerializableList
import sniperoute.process.codec.SerializableMap
import sniperoute.process.identity.FailureDomain

/** The kind of an item. */
public enum class ItemKind {
    WORKSPACE,
    KEY,
    SERVICE,
    ROUTE,
    MOVE,
    QUARANTINE,
    LIMITS,
    MODEL_WEIGHTS,
    BLOCK_QUARANTINE,
    EVACUATION,
    CACHE_SHARER,
    CACHE_GENERATIONS,
}

/** The name of an item, unique within its kind. */
@Serializable
public data class ItemName(public val kind: ItemKind, public val text: String)

/** An item that is in force. */
@Serializable
@SerialName("sniperoute.version.message.Item")
public sealed interface CatalogueItem {
    /** The item's name. */
    public val name: ItemName
}

/** A workspace with its limits. */
@Serializable
public data class WorkspaceItem(public val workspace: Workspace) : CatalogueItem {
    override val name: ItemName get() = ItemName(ItemKind.WORKSPACE, workspace.name.text)
}

/** A key that is accepted. */
@Serializable
public data class KeyItem(public val key: DeclaredKey) : CatalogueItem {
    override val name: ItemName get() = ItemName(ItemKind.KEY, key.digest.text)
}

/** A service with its endpoints. */
@Serializable
public data class ServiceItem(public val service: Service) : CatalogueItem {
    override val name: ItemName get() = ItemName(ItemKind.SERVICE, service.name.text)
}

/** A route. */
@Serializable
public data class RouteItem(public val route: Route) : CatalogueItem {
    override val name: ItemName get() = ItemName(ItemKind.ROUTE, route.name.text)
}

/** Which weights a service's endpoints should serve and which share of requests goes to the new ones. */
@Serializable
public data class MoveItem(public val move: Move) : CatalogueItem {
    override val name: ItemName get() = ItemName(ItemKind.MOVE, move.service.text)
}

/** The digest of a request that crashed endpoints and must not run again. */
@Serializable
public data class QuarantineItem(public val digest: RequestDigest) : CatalogueItem {
    override val name: ItemName get() = ItemName(ItemKind.QUARANTINE, digest.text)
}

/** The blocks of prompts that crashed endpoints; no prompt that contains all of them may run. */
@Serializable
public data class BlockQuarantineItem(public val blocks: SerializableList<BlockId>) : CatalogueItem {
    override val name: ItemName get() = ItemName(ItemKind.BLOCK_QUARANTINE, blocks.joinToString("+"))
}

/** The limits on requests and connections of callers. */
@Serializable
public data class LimitsItem(public val limits: CallerLimits) : CatalogueItem {
    override val name: ItemName get() = ItemName(ItemKind.LIMITS, "callers")
}

/** The weights [number] that every endpoint of [model] should serve, set by an operator at [namedAt] by the leader's clock. */
@Serializable
public data class ModelWeights(public val model: ModelName, public val number: Long, public val namedAt: Timestamp)

/** The weights that the endpoints of a model should serve. */
@Serializable
public data class ModelWeightsItem(public val weights: ModelWeights) : CatalogueItem {
    override val name: ItemName get() = ItemName(ItemKind.MODEL_WEIGHTS, weights.model.text)
}

/** A failure domain whose endpoints get no new requests, since [startedAt] by the leader's clock. */
@Serializable
public data class EvacuationItem(public val domain: FailureDomain, public val startedAt: Timestamp) : CatalogueItem {
    override val name: ItemName get() = ItemName(ItemKind.EVACUATION, domain.text)
}

/** The cache [groups] in whose generations in force blocks of [workspace] may be cached. */
@Serializable
public data class CacheSharerItem(public val workspace: WorkspaceName, public val groups: SerializableList<CacheGroup>) : CatalogueItem {
    override val name: ItemName get() = ItemName(ItemKind.CACHE_SHARER, workspace.text)
}

/** The name of the only item with the generations of cache groups. */
public val cacheGenerationsName: ItemName = ItemName(ItemKind.CACHE_GENERATIONS, "groups")

/** The generation of each cache group that is not in its first one. */
@Serializable
public data class CacheGenerationsItem(public val generations: SerializableMap<CacheGroup, Long>) : CatalogueItem {
    override val name: ItemName get() = cacheGenerationsName
}

/** The change of an item in [revision]; when [item] is `null`, the item was removed. */
@Serializable
public data class ItemChange(public val revision: Long, public val name: ItemName, public val item: CatalogueItem?)

/** The stage of a move. */
public enum class MoveStage { LOADING, FIRST_SHARE, WIDENING, DONE, TAKING_BACK, TAKEN_BACK }

/**
 * A move of [service] from one version of its weights to another. The [share] of the requests, in thousandths, goes to the new
 * version. [assigned] is the version that each endpoint should serve, and the fencing token [fence] increases with each change of it.
 * The move was declared in the configuration [declaredIn]; [reason] explains its current stage.
 */
@Serializable
public data class Move(
    public val service: ServiceName,
    public val from: WeightsVersion,
    public val to: WeightsVersion,
    public val startedMicroseconds: Long,
    public val deadlineMicroseconds: Long,
    public val stage: MoveStage,
    public val share: Int,
    public val assigned: SerializableMap<EndpointName, WeightsVersion>,
    public val fence: Long,
    public val declaredIn: Long,
    public val reason: String,
)
