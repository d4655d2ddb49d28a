/**
 * Tokens that this router may spend for each workspace. They were taken from the fleet's bucket by the control replicas;
 * the router asks for what waits and a little ahead, and gives back what it does not need.
 */
package sniperoute.request.routing.decision

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import sniperoute.process.clock.Timestamp
import sniperoute.version.message.WorkspaceName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** How much of recent use a router keeps ready. */
private val AHEAD = 250.milliseconds

/** After this long without an answer a request for tokens is taken for lost. */
private val ASK_PATIENCE = 500.milliseconds
private val USE_WINDOW = 1_000.milliseconds

/** One workspace's tokens here: [available], [asked] for at [askedAt], and [used] in the window that began at [windowStart]. */
public data class TokenPool(
    public val available: Long = 0,
    public val asked: Long = 0,
    public val askedAt: Timestamp = Timestamp.EARLIEST,
    public val retryAt: Timestamp = Timestamp.EARLIEST,
    public val used: Long = 0,
    public val usedBefore: Long = 0,
    public val windowStart: Timestamp = Timestamp.EARLIEST,
    public val accruedAt: Timestamp = Timestamp.EARLIEST,
)

/** The pools of all workspaces that were active here. */
public data class TokenPools(public val pools: PersistentMap<WorkspaceName, TokenPool>)

/** Returns pools without tokens. */
public fun noTokenPools(): TokenPools = TokenPools(persistentMapOf())

/** Returns the pool of [workspace]. */
public fun TokenPools.poolOf(workspace: WorkspaceName): TokenPool = pools[workspace] ?: TokenPool()

/**
 * Returns the pools after [tokens] of [workspace] were spent at [now]. There must be as many, or [needed] when the rest may be owed:
 * what is owed is paid before anything else is spent.
 */
public fun TokenPools.spend(workspace: WorkspaceName, tokens: Long, now: Timestamp, needed: Long = tokens): TokenPools {
    val pool = poolOf(workspace).rolled(now)
    check(pool.available >= needed) { "$workspace has ${pool.available} tokens here, not $needed" }
    return with(workspace, pool.copy(available = pool.available - tokens, used = pool.used + tokens))
}

/** Returns the pools after [unused] of the tokens spent for a request turned out not to be needed. */
public fun TokenPools.settle(workspace: WorkspaceName, unused: Long, now: Timestamp): TokenPools {
    if (unused <= 0) return this
    val pool = poolOf(workspace).rolled(now)
    return with(workspace, pool.copy(available = pool.available + unused, used = (pool.used - unused).coerceAtLeast(0)))
}

/** Returns the pools after [tokens] were granted; there are no more for [retryAfter] when that is positive. */
public fun TokenPools.granted(workspace: WorkspaceName, tokens: Long, retryAfter: Duration, now: Timestamp): TokenPools {
    val pool = poolOf(workspace)
    return with(workspace, pool.copy(available = pool.available + tokens, asked = 0, retryAt = now + retryAfter))
}

/**
 * Returns the pools after [workspace] accrued [perSecond] tokens a second up to [most] until [now], as a router's own part of the
 * rate. Time before [since] does not count.
 */
public fun TokenPools.accrue(workspace: WorkspaceName, perSecond: Double, most: Long, since: Timestamp, now: Timestamp): TokenPools {
    val pool = poolOf(workspace)
    val start = maxOf(pool.accruedAt, since)
    val earned = ((now - start).inWholeMicroseconds * perSecond / MICROSECONDS_PER_SECOND).toLong()
    if (earned <= 0) return this
    val level = maxOf(pool.available, minOf(pool.available + earned, most))
    return with(workspace, pool.copy(available = level, accruedAt = now))
}

private const val MICROSECONDS_PER_SECOND = 1_000_000.0

/** What to ask for or to give back, and the pools after that. */
public data class TokenChange(public val ask: Long, public val giveBack: Long, public val pools: TokenPools)

/** Returns what [workspace] should ask for or give back at [now], given the tokens that its requests here wait for. */
public fun TokenPools.balance(workspace: WorkspaceName, waiting: Long, now: Timestamp): TokenChange {
    val pool = poolOf(workspace).rolled(now)
    val wanted = waiting + pool.ahead()
    val missing = wanted - pool.available
    return when {
        missing > 0 && pool.mayAsk(now) ->
            TokenChange(missing, 0, with(workspace, pool.copy(asked = missing, askedAt = now)))
        missing < 0 && pool.asked == 0L ->
            TokenChange(0, -missing, with(workspace, pool.copy(available = wanted)))
        else -> TokenChange(0, 0, with(workspace, pool))
    }
}

private fun TokenPool.mayAsk(now: Timestamp): Boolean =
    now >= retryAt && (asked == 0L || now - askedAt > ASK_PATIENCE)

private fun TokenPool.ahead(): Long = maxOf(used, usedBefore) * AHEAD.inWholeMilliseconds / USE_WINDOW.inWholeMilliseconds

private fun TokenPool.rolled(now: Timestamp): TokenPool {
    val elapsed = now - windowStart
    return when {
        elapsed < USE_WINDOW -> this
        elapsed < USE_WINDOW * 2 -> copy(usedBefore = used, used = 0, windowStart = windowStart + USE_WINDOW)
        else -> copy(usedBefore = 0, used = 0, windowStart = now)
    }
}

private fun TokenPools.with(workspace: WorkspaceName, pool: TokenPool): TokenPools = TokenPools(pools.put(workspace, pool))
