/**
 * The pool of idle keep-alive connections to endpoints. A connection may be reused when its last call ended cleanly, when it has not
 * been idle for too long, and when no other call to its address has timed out while it was idle: after a timeout, all idle connections
 * to the address may be half-open.
 */
package sniperoute.connection.endpoint.decision

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import sniperoute.connection.endpoint.message.EndpointAddress
import sniperoute.process.clock.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val MAX_IDLE_TIME = 4_000.milliseconds
private const val MAX_IDLE_PER_ADDRESS = 64

/**
 * A connection is not reused for this long before the endpoint's keep-alive timeout ends: the endpoint may decide to close it while
 * the next call is on its way.
 */
private val KEEP_ALIVE_MARGIN = 500.milliseconds

/** An idle connection [handle], which may be reused before [until]. */
public data class IdleConnection<C>(public val handle: C, public val until: Timestamp)

/** The idle connections of one thread by address, the least recently used first. */
public data class IdleConnections<C>(public val byAddress: PersistentMap<EndpointAddress, PersistentList<IdleConnection<C>>>)

/** Returns an empty pool. */
public fun <C> noIdleConnections(): IdleConnections<C> = IdleConnections(persistentMapOf())

/** The connection to [reuse], if there is one, the connections to [close], and the pool without either. */
public data class IdleChoice<C>(public val reuse: C?, public val close: PersistentList<C>, public val remaining: IdleConnections<C>)

/**
 * Chooses the connection to [address] that was used most recently among those that are [isUsable], so that surplus connections expire;
 * expired ones are to be closed.
 */
public fun <C> IdleConnections<C>.choose(
    address: EndpointAddress,
    now: Timestamp,
    isUsable: (C) -> Boolean = { true },
): IdleChoice<C> {
    val idle = byAddress[address] ?: return IdleChoice(null, persistentListOf(), this)
    val (valid, expired) = idle.partition { now < it.until }
    val chosen = valid.lastOrNull { isUsable(it.handle) }
    val remaining = persistentListOf<IdleConnection<C>>().addAll(valid.filter { it !== chosen })
    return IdleChoice(chosen?.handle, persistentListOf<C>().addAll(expired.map { it.handle }), withIdle(address, remaining))
}

/**
 * Returns the pool after the connection [handle] to [address] became idle at [now]. [keepAliveTimeout] is the endpoint's, if it sent
 * one. Connections above the limit for the address are to be closed.
 */
public fun <C> IdleConnections<C>.add(
    address: EndpointAddress,
    handle: C,
    now: Timestamp,
    keepAliveTimeout: Duration? = null,
): IdleChoice<C> {
    val idle = byAddress[address] ?: persistentListOf()
    val lifetime = keepAliveTimeout?.let { minOf(it - KEEP_ALIVE_MARGIN, MAX_IDLE_TIME) } ?: MAX_IDLE_TIME
    val all = idle.add(IdleConnection(handle, now + lifetime))
    val surplus = all.take((all.size - MAX_IDLE_PER_ADDRESS).coerceAtLeast(0))
    val remaining = persistentListOf<IdleConnection<C>>().addAll(all.drop(surplus.size))
    return IdleChoice(null, persistentListOf<C>().addAll(surplus.map { it.handle }), withIdle(address, remaining))
}

/** Returns the pool without the connections to [address], which are to be closed because a call on one of them timed out. */
public fun <C> IdleConnections<C>.evictAll(address: EndpointAddress): IdleChoice<C> {
    val idle = byAddress[address] ?: persistentListOf()
    return IdleChoice(null, persistentListOf<C>().addAll(idle.map { it.handle }), withIdle(address, persistentListOf()))
}

/** Returns the pool without the connection [handle], which was closed. */
public fun <C> IdleConnections<C>.remove(address: EndpointAddress, handle: C): IdleConnections<C> =
    withIdle(address, (byAddress[address] ?: persistentListOf()).removeAll { it.handle == handle })

private fun <C> IdleConnections<C>.withIdle(address: EndpointAddress, idle: PersistentList<IdleConnection<C>>): IdleConnections<C> =
    IdleConnections(if (idle.isEmpty()) byAddress.remove(address) else byAddress.put(address, idle))
