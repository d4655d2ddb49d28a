/**
 * The catalogue: everything that is in force, indexed for look-ups while requests are routed. A catalogue belongs to one revision
 * and is replaced as a whole by that of the next.
 */
package sniperoute.version.decision

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import sniperoute.process.identity.FailureDomain
import sniperoute.version.message.*

/**
 * What is in force at [revision]; [configuration] is the number of the last accepted configuration. [blockQuarantines] are sets of
 * prompt blocks, by the names of their items; a prompt with a whole set must not run. No new request goes to an endpoint in one of the
 * [evacuated] failure domains. The [cacheSharers] share cached blocks in these groups, and [cacheGenerations] has the generation of the
 * groups that aren't in their first one.
 */
public data class Catalogue(
    public val revision: Long,
    public val configuration: Long,
    public val workspaces: PersistentMap<WorkspaceName, Workspace>,
    public val keys: PersistentMap<KeyDigest, DeclaredKey>,
    public val services: PersistentMap<ServiceName, Service>,
    public val routes: PersistentList<Route>,
    public val moves: PersistentMap<ServiceName, Move>,
    public val quarantine: PersistentSet<RequestDigest>,
    public val limits: CallerLimits? = null,
    public val weights: PersistentMap<ModelName, ModelWeights> = persistentMapOf(),
    public val blockQuarantines: PersistentMap<String, PersistentSet<BlockId>> = persistentMapOf(),
    public val evacuated: PersistentSet<FailureDomain> = persistentSetOf(),
    public val cacheSharers: PersistentMap<WorkspaceName, PersistentSet<CacheGroup>> = persistentMapOf(),
    public val cacheGenerations: PersistentMap<CacheGroup, Long> = persistentMapOf(),
)

/** Returns the catalogue in which nothing is in force. */
public fun emptyCatalogue(): Catalogue = Catalogue(
    revision = 0,
    configuration = 0,
    workspaces = persistentMapOf(),
    keys = persistentMapOf(),
    services = persistentMapOf(),
    routes = persistentListOf(),
    moves = persistentMapOf(),
    quarantine = persistentSetOf(),
)

/** Returns this catalogue with the changes of [reply] applied, or this one when the reply's revision is older. */
public fun Catalogue.advance(reply: RenewReply): Catalogue {
    if (reply.revision < revision) return this
    val base = if (reply.isWhole) emptyCatalogue() else this
    return reply.changes
        .fold(base, Catalogue::apply)
        .copy(routes = base.routes.changedBy(reply.changes), revision = reply.revision, configuration = reply.configuration)
}

/** Returns these routes with [changes] applied. They are sorted once for all changes, since a configuration may have thousands. */
private fun PersistentList<Route>.changedBy(changes: List<ItemChange>): PersistentList<Route> {
    val changed = changes.filter { it.name.kind == ItemKind.ROUTE }
    if (changed.isEmpty()) return this
    val byName = changed.fold(associateBy { it.name }.toPersistentMap()) { routes, change ->
        when (val item = change.item) {
            is RouteItem -> routes.put(item.route.name, item.route)
            else -> routes.remove(RouteName(change.name.text))
        }
    }
    return byName.values.longestPathFirst()
}

/** Returns this catalogue with [change] applied, unless it is one of a route: those are applied together. */
private fun Catalogue.apply(change: ItemChange): Catalogue = when (val item = change.item) {
    null -> remove(change.name)
    is WorkspaceItem -> copy(workspaces = workspaces.put(item.workspace.name, item.workspace))
    is KeyItem -> copy(keys = keys.put(item.key.digest, item.key))
    is ServiceItem -> copy(services = services.put(item.service.name, item.service))
    is RouteItem -> this
    is MoveItem -> copy(moves = moves.put(item.move.service, item.move))
    is QuarantineItem -> copy(quarantine = quarantine.add(item.digest))
    is BlockQuarantineItem -> copy(blockQuarantines = blockQuarantines.put(item.name.text, item.blocks.toPersistentSet()))
    is LimitsItem -> copy(limits = item.limits)
    is ModelWeightsItem -> copy(weights = weights.put(item.weights.model, item.weights))
    is EvacuationItem -> copy(evacuated = evacuated.add(item.domain))
    is CacheSharerItem -> copy(cacheSharers = cacheSharers.put(item.workspace, item.groups.toPersistentSet()))
    is CacheGenerationsItem -> copy(cacheGenerations = item.generations.toPersistentMap())
}

private fun Catalogue.remove(name: ItemName): Catalogue = when (name.kind) {
    ItemKind.WORKSPACE -> copy(workspaces = workspaces.remove(WorkspaceName(name.text)))
    ItemKind.KEY -> copy(keys = keys.remove(KeyDigest(name.text)))
    ItemKind.SERVICE -> copy(services = services.remove(ServiceName(name.text)))
    ItemKind.ROUTE -> this
    ItemKind.MOVE -> copy(moves = moves.remove(ServiceName(name.text)))
    ItemKind.QUARANTINE -> copy(quarantine = quarantine.remove(RequestDigest(name.text)))
    ItemKind.BLOCK_QUARANTINE -> copy(blockQuarantines = blockQuarantines.remove(name.text))
    ItemKind.LIMITS -> copy(limits = null)
    ItemKind.MODEL_WEIGHTS -> copy(weights = weights.remove(ModelName(name.text)))
    ItemKind.EVACUATION -> copy(evacuated = evacuated.remove(FailureDomain(name.text)))
    ItemKind.CACHE_SHARER -> copy(cacheSharers = cacheSharers.remove(WorkspaceName(name.text)))
    ItemKind.CACHE_GENERATIONS -> copy(cacheGenerations = persistentMapOf())
}

private fun Collection<Route>.longestPathFirst(): PersistentList<Route> =
    sortedWith(compareByDescending<Route> { it.path.length }.thenBy { it.name }).toPersistentList()

/** Returns the route with the longest path prefix that matches [path] at [host], or `null`. */
public fun Catalogue.routeOrNull(path: String, host: String? = null): Route? =
    routes.firstOrNull { (it.host == null || it.host == host) && it.matches(path) }

/** Returns the service for a request whose hash is [hash], in proportion to the weights of the route's shares. */
public fun Route.serviceFor(hash: Long): ServiceName {
    val total = shares.sumOf { it.weight.toLong() }
    if (total <= 0) return service
    var position = java.lang.Long.remainderUnsigned(hash, total)
    return shares
        .first { share ->
            position -= share.weight
            position < 0
        }.service
}

private fun Route.matches(target: String): Boolean =
    target == path || (target.startsWith(path) && (path.endsWith("/") || target[path.length] == '/'))

/** Returns the weights that [endpoint] should serve now, or `null` for a plain service. */
public fun Catalogue.assignedWeightsOrNull(service: Service, endpoint: EndpointName): WeightsVersion? =
    moves[service.name]?.assigned?.get(endpoint) ?: currentWeightsOrNull(service)

/** Returns the weights that [service] serves outside a move, or `null` for a plain service. */
public fun Catalogue.currentWeightsOrNull(service: Service): WeightsVersion? {
    val move = moves[service.name] ?: return service.weights
    return if (move.stage == MoveStage.DONE) move.to else move.from
}

private const val THOUSANDTHS = 1_000

/**
 * Returns the weights that should serve a request whose hash is [hash], or `null` for a plain service. During a move, the hash
 * decides whether the request belongs to the share of the new weights.
 */
public fun Catalogue.chosenWeightsOrNull(service: Service, hash: Long): WeightsVersion? {
    val move = moves[service.name] ?: return service.weights
    val position = java.lang.Long
        .remainderUnsigned(hash, THOUSANDTHS.toLong())
        .toInt()
    return if (position < move.share) move.to else move.from
}
