/**
 * The rate limits of workspaces over the whole fleet, as token buckets. Tokens leave a bucket through commands that the replicas
 * have committed, before a router receives them. Tokens that are lost with a leader or a router afterwards count as used.
 *
 * Buckets refill by fleet time, which advances only between two commands of the same term. A new leader therefore never counts
 * an interval that a previous leader has counted, whatever the clocks of the VMs show. A change of leader costs the refill of the
 * interval between two commands: at most one second plus the election.
 */
package sniperoute.version.decision

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import sniperoute.process.clock.Timestamp
import sniperoute.version.message.Workspace
import sniperoute.version.message.WorkspaceName
import sniperoute.version.message.isLimited

/**
 * The token buckets of all limited workspaces. [fleetMicroseconds] is the fleet time. It includes the time up to [marked], by the
 * clock of the leader of [term].
 */
public data class Allowances(
    public val fleetMicroseconds: Long,
    public val term: Long,
    public val marked: Timestamp,
    public val buckets: PersistentMap<WorkspaceName, TokenBucket>,
)

/**
 * The token bucket of a workspace: it held [level] microtokens at the fleet time [at], in microseconds, and refills by
 * [tokensPerSecond] up to [burstTokens].
 */
public data class TokenBucket(
    public val level: Long,
    public val at: Long,
    public val tokensPerSecond: Long,
    public val burstTokens: Long,
)

private const val MICROTOKENS_PER_TOKEN = 1_000_000L

/** Returns allowances without any bucket. */
public fun noAllowances(): Allowances = Allowances(0, 0, Timestamp.EARLIEST, persistentMapOf())

/** Returns the state with the fleet time advanced to the leader's time [now] in [newTerm]. */
public fun Allowances.advanceClock(newTerm: Long, now: Timestamp): Allowances {
    if (newTerm != term) return copy(term = newTerm, marked = now)
    if (now <= marked) return this
    return copy(fleetMicroseconds = fleetMicroseconds + (now.microseconds - marked.microseconds), marked = now)
}

/**
 * Returns the state with the limits of [workspaces]. The bucket of a new workspace starts full; an existing bucket keeps its
 * level, so that declaring a workspace again grants it no tokens.
 */
public fun Allowances.withLimits(workspaces: List<Workspace>): Allowances =
    copy(buckets = workspaces.filter { it.isLimited }.fold(buckets) { all, workspace -> all.put(workspace.name, bucketOf(workspace)) })

private fun Allowances.bucketOf(workspace: Workspace): TokenBucket {
    val burst = workspace.burstTokens * MICROTOKENS_PER_TOKEN
    val level = buckets[workspace.name]?.let { minOf(levelOf(it), burst) } ?: burst
    return TokenBucket(level, fleetMicroseconds, workspace.tokensPerSecond, workspace.burstTokens)
}

private fun Allowances.levelOf(bucket: TokenBucket): Long {
    val elapsed = fleetMicroseconds - bucket.at
    val burst = bucket.burstTokens * MICROTOKENS_PER_TOKEN
    val missing = burst - bucket.level
    if (bucket.tokensPerSecond > 0 && elapsed > missing / bucket.tokensPerSecond) return burst
    return minOf(burst, bucket.level + elapsed * bucket.tokensPerSecond)
}

/** Returns how many whole tokens the bucket of [workspace] holds now, or `null` when the workspace has no bucket. */
public fun Allowances.availableTokensOrNull(workspace: WorkspaceName): Long? =
    buckets[workspace]?.let { levelOf(it) / MICROTOKENS_PER_TOKEN }

/** The number of [tokens] that were taken from a bucket, and the state after that. */
public data class TakenTokens(public val tokens: Long, public val allowances: Allowances)

/** Takes up to [tokens] from the bucket of [workspace]; a workspace without a bucket gets none. */
public fun Allowances.takeTokens(workspace: WorkspaceName, tokens: Long): TakenTokens {
    require(tokens >= 0) { "cannot take $tokens tokens" }
    val bucket = buckets[workspace] ?: return TakenTokens(0, this)
    val level = levelOf(bucket)
    val taken = minOf(tokens, level / MICROTOKENS_PER_TOKEN)
    val remaining = bucket.copy(level = level - taken * MICROTOKENS_PER_TOKEN, at = fleetMicroseconds)
    return TakenTokens(taken, copy(buckets = buckets.put(workspace, remaining)))
}

/** Returns the state after [tokens] that were taken and not used were returned; the bucket never holds more than its burst. */
public fun Allowances.returnTokens(workspace: WorkspaceName, tokens: Long): Allowances {
    require(tokens >= 0) { "cannot return $tokens tokens" }
    val bucket = buckets[workspace] ?: return this
    val burst = bucket.burstTokens * MICROTOKENS_PER_TOKEN
    val level = minOf(burst, levelOf(bucket) + minOf(tokens, bucket.burstTokens) * MICROTOKENS_PER_TOKEN)
    return copy(buckets = buckets.put(workspace, bucket.copy(level = level, at = fleetMicroseconds)))
}
