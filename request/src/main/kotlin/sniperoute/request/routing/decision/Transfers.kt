/**
 * What a request fetches from and leaves in a store of cached parts, and what is known to be cached after it.
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

/** What a request has to do with the [store] of cached parts. */
internal data class Transfer(val store: StoreAddress?, val name: EndpointName?, val isStored: Boolean)

/** Shared parts shorter than this are computed sooner than fetched. */
private const val SHORTEST_TRANSFER_TOKENS = 64L

/**
 * Parts that an endpoint lacks may come from the store: it knows itself what it lacks, so it is always told where they are. What
 * the store is not known to hold goes there. The last part of a prompt is the request's own.
 */
internal fun RoutingState.transfer(admitted: AdmittedRequest, target: Target, now: Timestamp): Transfer {
    val service = view.catalogue.services.values
        .firstOrNull { it.store != null && fleet.stores[it.name] != STORE_UNREACHABLE }
    val weights = target.weights
    val shared = admitted.sharedTokens
    val none = Transfer(null, null, isStored = false)
    if (service == null || weights == null || shared < SHORTEST_TRANSFER_TOKENS) return none
    val name = EndpointName(service.name.text)
    val links = admitted.chain.dropLast(1)
    val stored = admitted.tokensOf(cacheIndex.heldAt(name, links, weights, now))
    return Transfer(service.store, name, isStored = shared > stored)
}

/** What a request computes will be cached where it runs; the engine's events and counts correct this. */
internal fun RoutingState.expectCached(admitted: AdmittedRequest, target: Target, transfer: Transfer, now: Timestamp): RoutingState {
    val weights = target.weights ?: return this
    if (admitted.chain.isEmpty()) return this
    val here = target.placement.endpoint
    val keys = admitted.chain.cacheKeys(weights)
    val shared = keys.dropLast(1)
    val store = transfer.name?.takeIf { transfer.isStored }
    val news = listOfNotNull(
        CachedBlocks(here, shared.toPersistentList()).takeIf { target.heldLinks < shared.size },
        store?.let { CachedBlocks(it, shared.toPersistentList()) },
    )
    val known = cacheIndex.addBlocks(here, keys, now)
    return copy(
        cacheIndex = if (store == null) known else known.addBlocks(store, shared, now),
        newlyHeld = if (service(admitted)?.isListed == true) newlyHeld.addAll(news) else newlyHeld,
    )
}

private fun RoutingState.service(admitted: AdmittedRequest): Service? = view.catalogue.services[admitted.service]

internal fun List<Long>.cacheKeys(weights: WeightsVersion): List<Long> =
    map { cacheKey(it, weights) }
