/**
 * Tokens that this router may spend for each workspace. The control replicas grant them from the fleet's token bucket. The router
 * requests what its queued requests need and a small reserve, and returns what it does not need.
 */
package sniperoute.request.routing.decision

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import sniperoute.process.clock.Timestamp
import sniperoute.version.message.WorkspaceName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** How long the reserve of tokens lasts at the recent rate of use. */
private val RESERVE_TIME = 250.milliseconds

/** A request for tokens that gets no reply within this time counts as lost and is repeated. */
private val REQUEST_TIMEOUT = 500.milliseconds
private val USAGE_WINDOW = 1_000.milliseconds

/**
 * The tokens of one workspace at this router.
 *
 * @property available may be negative while tokens are owed, see [spend].
 * @property requested tokens are those of the request for tokens that was sent at [requestedAt] and has no reply yet; 0 if there is none.
 * @property retryAt is the time before which no more tokens are requested.
 * @property used tokens were spent since [windowStart], [usedBefore] in the window before that.
 * @property accruedAt is the end of the time for which tokens were accrued without the control replicas.
 */
public data class TokenPool(
    public val available: Long = 0,
    public val requested: Long = 0,
    public val requestedAt: Timestamp = Timestamp.EARLIEST,
    public val retryAt: Timestamp = Timestamp.EARLIEST,
    public val used: Long = 0,
    public val usedBefore: Long = 0,
    public val windowStart: Timestamp = Timestamp.EARLIEST,
    public val accruedAt: Timestamp = Timestamp.EARLIEST,
)

/** The pools of all workspaces that were active at this router. */
public data class TokenPools(public val pools: PersistentMap<WorkspaceName, TokenPool>)

/** Returns pools without tokens. */
public fun emptyTokenPools(): TokenPools = TokenPools(persistentMapOf())

/** Returns the pool of [workspace]. */
public fun TokenPools.poolOf(workspace: WorkspaceName): TokenPool = pools[workspace] ?: TokenPool()

/**
 * Returns the pools after [tokens] of [workspace] were spent at [now]. At least [needed] tokens must be available. If that is less
 * than [tokens], the rest is owed, and the pool must make up for it before anything else is spent.
 */
public fun TokenPools.spend(workspace: WorkspaceName, tokens: Long, now: Timestamp, needed: Long = tokens): TokenPools {
    val pool = poolOf(workspace).rolledTo(now)
    check(pool.available >= needed) { "workspace $workspace has ${pool.available} tokens available, but $needed are needed" }
    return with(workspace, pool.copy(available = pool.available - tokens, used = pool.used + tokens))
}

/** Returns the pools after [unused] of the tokens that were spent for a request turned out not to be needed. */
public fun TokenPools.refund(workspace: WorkspaceName, unused: Long, now: Timestamp): TokenPools {
    if (unused <= 0) return this
    val pool = poolOf(workspace).rolledTo(now)
    return with(workspace, pool.copy(available = pool.available + unused, used = (pool.used - unused).coerceAtLeast(0)))
}

/** Returns the pools after [tokens] were granted. No more are requested before [retryAfter] has passed. */
public fun TokenPools.grant(workspace: WorkspaceName, tokens: Long, retryAfter: Duration, now: Timestamp): TokenPools {
    val pool = poolOf(workspace)
    return with(workspace, pool.copy(available = pool.available + tokens, requested = 0, retryAt = now + retryAfter))
}

/**
 * Returns the pools after [workspace] accrued [tokensPerSecond] until [now], as this router's share of the rate. Accrual stops at
 * [limit] available tokens; time before [since] does not count.
 */
public fun TokenPools.accrue(
    workspace: WorkspaceName,
    tokensPerSecond: Double,
    limit: Long,
    since: Timestamp,
    now: Timestamp,
): TokenPools {
    val pool = poolOf(workspace)
    val start = maxOf(pool.accruedAt, since)
    val accrued = ((now - start).inWholeMicroseconds * tokensPerSecond / MICROSECONDS_PER_SECOND).toLong()
    if (accrued <= 0) return this
    val level = maxOf(pool.available, minOf(pool.available + accrued, limit))
    return with(workspace, pool.copy(available = level, accruedAt = now))
}

private const val MICROSECONDS_PER_SECOND = 1_000_000.0

/** The tokens to request or to return, at most one of them positive, and the pools after that. */
public data class TokenAdjustment(public val requested: Long, public val returned: Long, public val pools: TokenPools)

/**
 * Returns what [workspace] requests or returns at [now], while requests that need [queued] tokens wait at this router. The reserve is at
 * least [minimumReserve].
 */
public fun TokenPools.adjust(workspace: WorkspaceName, queued: Long, now: Timestamp, minimumReserve: Long = 0): TokenAdjustment {
    val pool = poolOf(workspace).rolledTo(now)
    val wanted = queued + maxOf(pool.reserve(), minimumReserve)
    val missing = wanted - pool.available
    return when {
        missing > 0 && pool.mayRequest(now) ->
            TokenAdjustment(missing, 0, with(workspace, pool.copy(requested = missing, requestedAt = now)))
        missing < 0 && pool.requested == 0L ->
            TokenAdjustment(0, -missing, with(workspace, pool.copy(available = wanted)))
        else -> TokenAdjustment(0, 0, with(workspace, pool))
    }
}

/** Whether a request for tokens is under way at [now], so that more of them may come. */
internal fun TokenPool.isAwaitingGrant(now: Timestamp): Boolean = requested > 0 && now - requestedAt <= REQUEST_TIMEOUT

private fun TokenPool.mayRequest(now: Timestamp): Boolean =
    now >= retryAt && (requested == 0L || now - requestedAt > REQUEST_TIMEOUT)

private fun TokenPool.reserve(): Long = maxOf(used, usedBefore) * RESERVE_TIME.inWholeMilliseconds / USAGE_WINDOW.inWholeMilliseconds

private fun TokenPool.rolledTo(now: Timestamp): TokenPool {
    val elapsed = now - windowStart
    return when {
        elapsed < USAGE_WINDOW -> this
        elapsed < USAGE_WINDOW * 2 -> copy(usedBefore = used, used = 0, windowStart = windowStart + USAGE_WINDOW)
        else -> copy(usedBefore = 0, used = 0, windowStart = now)
    }
}

private fun TokenPools.with(workspace: WorkspaceName, pool: TokenPool): TokenPools =
    if (pools[workspace] === pool) this else TokenPools(pools.put(workspace, pool))
