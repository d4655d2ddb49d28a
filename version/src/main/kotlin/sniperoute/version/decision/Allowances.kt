/**
 * What workspaces may use, over the whole fleet. Tokens leave a workspace's bucket by commands that the replicas agreed on,
 * before a router gets them; what was taken and then lost with a leader or a router counts as used.
 *
 * Buckets refill by fleet time, which only advances between two commands of the same term. So a new leader never counts a
 * span that an old one counted, whatever the machines' clocks say; a change of leader costs the refill of one gap between
 * commands, at most a second and the election.
 */
package sniperoute.version.decision

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import sniperoute.process.clock.Timestamp
import sniperoute.version.message.Workspace
import sniperoute.version.message.WorkspaceName
import sniperoute.version.message.isLimited

/** The buckets of all workspaces and the fleet time in microseconds. */
public data class Allowances(
    public val fleetMicroseconds: Long,
    public val term: Long,
    public val marked: Timestamp,
    public val buckets: PersistentMap<WorkspaceName, TokenBucket>,
)

/** [level] microtokens were left at the fleet time [at]; the bucket refills by [tokensPerSecond] up to [burstTokens]. */
public data class TokenBucket(
    public val level: Long,
    public val at: Long,
    public val tokensPerSecond: Long,
    public val burstTokens: Long,
)

private const val MICROTOKENS_PER_TOKEN = 1_000_000L

/** Returns the state before the first workspace. */
public fun noAllowances(): Allowances = Allowances(0, 0, Timestamp.EARLIEST, persistentMapOf())

/** Returns the state at the leader's time [now] in [newTerm]. */
public fun Allowances.advanceClock(newTerm: Long, now: Timestamp): Allowances {
    if (newTerm != term) return copy(term = newTerm, marked = now)
    if (now <= marked) return this
    return copy(fleetMicroseconds = fleetMicroseconds + (now.microseconds - marked.microseconds), marked = now)
}

/**
 * Returns the state with the limits of [workspaces]. A new workspace starts with its whole burst; one that was declared
 * before keeps its level, so that declaring it again gives nothing.
 */
public fun Allowances.withLimits(workspaces: List<Workspace>): Allowances =
    copy(buckets = workspaces.filter { it.isLimited }.fold(buckets) { all, workspace -> all.put(workspace.name, limited(workspace)) })

private fun Allowances.limited(workspace: Workspace): TokenBucket {
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

/** Returns the whole tokens that [workspace] could take now, or `null` when it has no bucket. */
public fun Allowances.levelOrNull(workspace: WorkspaceName): Long? =
    buckets[workspace]?.let { levelOf(it) / MICROTOKENS_PER_TOKEN }

/** What was taken from a bucket, in tokens, and the state after it. */
public data class TakenTokens(public val tokens: Long, public val allowances: Allowances)

/** Returns the state after taking up to [tokens] from the bucket of [workspace]. */
public fun Allowances.takeTokens(workspace: WorkspaceName, tokens: Long): TakenTokens {
    require(tokens >= 0) { "can't take $tokens tokens" }
    val bucket = buckets[workspace] ?: return TakenTokens(0, this)
    val level = levelOf(bucket)
    val taken = minOf(tokens, level / MICROTOKENS_PER_TOKEN)
    val rest = bucket.copy(level = level - taken * MICROTOKENS_PER_TOKEN, at = fleetMicroseconds)
    return TakenTokens(taken, copy(buckets = buckets.put(workspace, rest)))
}

/** Returns the state after [tokens] that were taken and not used came back; the bucket never holds more than its burst. */
public fun Allowances.returnTokens(workspace: WorkspaceName, tokens: Long): Allowances {
    require(tokens >= 0) { "can't give back $tokens tokens" }
    val bucket = buckets[workspace] ?: return this
    val burst = bucket.burstTokens * MICROTOKENS_PER_TOKEN
    val level = minOf(burst, levelOf(bucket) + minOf(tokens, bucket.burstTokens) * MICROTOKENS_PER_TOKEN)
    return copy(buckets = buckets.put(workspace, bucket.copy(level = level, at = fleetMicroseconds)))
}
