/**
 * Which idle connections to endpoints may serve again: those that ended their last call cleanly, are young enough, and were
 * opened after the last sign that older ones had gone silent.
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

private val LONGEST_IDLE = 4_000.milliseconds
private const val MOST_IDLE = 64

/** Between an endpoint's decision to close and its sign there is the way to here: a connection is left this long before its end. */
private val CLOSING_MARGIN = 500.milliseconds

/** An idle connection [handle], to be used again before [until]. */
public data class IdleConnection<C>(public val handle: C, public val until: Timestamp)

/** The idle connections of one thread, by address, the least recently used first. */
public data class IdleConnections<C>(public val byAddress: PersistentMap<EndpointAddress, PersistentList<IdleConnection<C>>>)

/** Returns no idle connections. */
public fun <C> noIdleConnections(): IdleConnections<C> = IdleConnections(persistentMapOf())

/** What to do with connections: [reuse] one, [close] others. */
public data class IdleChoice<C>(public val reuse: C?, public val close: PersistentList<C>, public val rest: IdleConnections<C>)

/** Returns which connection to [address] to use at [now]; the most recently used one, so that surplus ones age. */
public fun <C> IdleConnections<C>.choose(address: EndpointAddress, now: Timestamp): IdleChoice<C> {
    val idle = byAddress[address] ?: return IdleChoice(null, persistentListOf(), this)
    val (young, old) = idle.partition { now < it.until }
    val chosen = young.lastOrNull()
    val rest = persistentListOf<IdleConnection<C>>().addAll(young.dropLast(1))
    return IdleChoice(chosen?.handle, persistentListOf<C>().addAll(old.map { it.handle }), withIdle(address, rest))
}

/**
 * Returns the connections after [handle] to [address] became idle at [now]; the endpoint keeps it for [keptFor], if it said so.
 * What is too many is to be closed.
 */
public fun <C> IdleConnections<C>.add(address: EndpointAddress, handle: C, now: Timestamp, keptFor: Duration? = null): IdleChoice<C> {
    val idle = byAddress[address] ?: persistentListOf()
    val life = keptFor?.let { minOf(it - CLOSING_MARGIN, LONGEST_IDLE) } ?: LONGEST_IDLE
    val all = idle.add(IdleConnection(handle, now + life))
    val surplus = all.take((all.size - MOST_IDLE).coerceAtLeast(0))
    val rest = persistentListOf<IdleConnection<C>>().addAll(all.drop(surplus.size))
    return IdleChoice(null, persistentListOf<C>().addAll(surplus.map { it.handle }), withIdle(address, rest))
}

/** Returns the connections without those to [address], which are to be closed: one of them was found silent. */
public fun <C> IdleConnections<C>.dropAll(address: EndpointAddress): IdleChoice<C> {
    val idle = byAddress[address] ?: persistentListOf()
    return IdleChoice(null, persistentListOf<C>().addAll(idle.map { it.handle }), withIdle(address, persistentListOf()))
}

/** Returns the connections without [handle], which closed by itself. */
public fun <C> IdleConnections<C>.remove(address: EndpointAddress, handle: C): IdleConnections<C> =
    withIdle(address, (byAddress[address] ?: persistentListOf()).removeAll { it.handle == handle })

private fun <C> IdleConnections<C>.withIdle(address: EndpointAddress, idle: PersistentList<IdleConnection<C>>): IdleConnections<C> =
    IdleConnections(if (idle.isEmpty()) byAddress.remove(address) else byAddress.put(address, idle))
