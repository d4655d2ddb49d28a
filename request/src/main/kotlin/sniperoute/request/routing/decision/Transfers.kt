/**
 * Transfers of cached blocks: what a request fetches from and saves to a store of blocks, and what is expected to be cached after it.
 */
package sniperoute.request.routing.decision

import kotlinx.collections.immutable.toPersistentList
import sniperoute.process.clock.Timestamp
import sniperoute.request.prefix.decision.cacheKey
import sniperoute.request.routing.message.AdmittedRequest
import sniperoute.version.message.CachedBlocks
import sniperoute.version.message.EndpointName
import sniperoute.version.message.STORE_UNREACHABLE
import sniperoute.version.message.Service
import sniperoute.version.message.StoreAddress
import sniperoute.version.message.WeightsVersion

/** The [store] that a request uses, `null` for none; [isSaved] is `true` if it saves its blocks there. */
internal data class Transfer(val store: StoreAddress?, val name: EndpointName?, val isSaved: Boolean)

/** Shorter shared prefixes are computed sooner than fetched. */
private const val MIN_TRANSFER_TOKENS = 64L

/**
 * Returns the transfer for [request]. It always names the store, since only the endpoint knows which blocks it has to fetch.
 * Shared blocks that the store is not known to have are saved there. The last block of a prompt is not shared.
 */
internal fun RoutingState.transfer(request: AdmittedRequest, target: DispatchTarget, now: Timestamp): Transfer {
    val service = view.catalogue.services.values
        .firstOrNull { it.store != null && fleet.stores[it.name] != STORE_UNREACHABLE }
    val weights = target.weights
    val shared = request.sharedTokens
    val none = Transfer(null, null, isSaved = false)
    if (service == null || weights == null || shared < MIN_TRANSFER_TOKENS) return none
    val name = EndpointName(service.name.text)
    val sharedChain = request.chain.dropLast(1)
    val stored = request.tokensOf(cacheIndex.cachedBlocksAt(name, sharedChain, weights, now))
    return Transfer(service.store, name, isSaved = shared > stored)
}

/** Records that the blocks of [request] will be cached where it runs. Events and cache counts of the engine correct this later. */
internal fun RoutingState.expectCached(request: AdmittedRequest, target: DispatchTarget, transfer: Transfer, now: Timestamp): RoutingState {
    val weights = target.weights ?: return this
    if (request.chain.isEmpty()) return this
    val endpoint = target.placement.endpoint
    val keys = request.chain.cacheKeys(weights)
    val shared = keys.dropLast(1)
    val store = transfer.name?.takeIf { transfer.isSaved }
    val newBlocks = listOfNotNull(
        CachedBlocks(endpoint, shared.toPersistentList()).takeIf { target.cachedBlocks < shared.size },
        store?.let { CachedBlocks(it, shared.toPersistentList()) },
    )
    val withEndpoint = cacheIndex.addBlocks(endpoint, keys, now)
    return copy(
        cacheIndex = if (store == null) withEndpoint else withEndpoint.addBlocks(store, shared, now),
        newlyCached = if (service(request)?.isListed == true) newlyCached.addAll(newBlocks) else newlyCached,
    )
}

private fun RoutingState.service(request: AdmittedRequest): Service? = view.catalogue.services[request.service]

internal fun List<Long>.cacheKeys(weights: WeightsVersion): List<Long> =
    map { cacheKey(it, weights) }
