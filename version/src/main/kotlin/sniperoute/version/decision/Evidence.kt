/**
 * Evidence about a version on a route, and what it proves: failures and slowness are judged against the other version on the
 * same route over the same time.
 */
package sniperoute.version.decision

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import sniperoute.version.message.RouteEvidence
import sniperoute.version.message.RouteName
import sniperoute.version.message.ServiceName
import sniperoute.version.message.WeightsVersion
import kotlin.math.log2

/** How many buckets of first-token times there are; the last one holds all longer times. */
public const val FIRST_TOKEN_BUCKETS: Int = 64

private const val BUCKETS_PER_DOUBLING = 4.0

/** Returns the bucket of a first-token time; four buckets a doubling, the first below a millisecond. */
public fun firstTokenBucket(milliseconds: Double): Int {
    if (milliseconds < 1.0) return 0
    val doublings = log2(milliseconds)
    return (1 + doublings * BUCKETS_PER_DOUBLING).toInt().coerceAtMost(FIRST_TOKEN_BUCKETS - 1)
}

/** Counts of answers and failures, and of first-token times by bucket. */
public data class EvidenceSum(public val answered: Long, public val failed: Long, public val buckets: PersistentList<Long>)

/** Returns the sum of nothing. */
public fun noEvidence(): EvidenceSum = EvidenceSum(0, 0, List(FIRST_TOKEN_BUCKETS) { 0L }.toPersistentList())

/** Returns the sum after one more answer, whose first token took [milliseconds]. */
public fun EvidenceSum.addAnswer(milliseconds: Double): EvidenceSum {
    val bucket = firstTokenBucket(milliseconds)
    return copy(answered = answered + 1, buckets = buckets.set(bucket, buckets[bucket] + 1))
}

/** Returns the sum after one more failure. */
public fun EvidenceSum.addFailure(): EvidenceSum = copy(failed = failed + 1)

public operator fun EvidenceSum.plus(other: EvidenceSum): EvidenceSum =
    EvidenceSum(answered + other.answered, failed + other.failed, buckets.zip(other.buckets, Long::plus).toPersistentList())

public operator fun EvidenceSum.minus(other: EvidenceSum): EvidenceSum = EvidenceSum(
    (answered - other.answered).coerceAtLeast(0),
    (failed - other.failed).coerceAtLeast(0),
    buckets.zip(other.buckets) { mine, its -> (mine - its).coerceAtLeast(0) }.toPersistentList(),
)

private const val FEWEST_FAILURES = 3
private const val FEWEST_ANSWERS = 20
private const val FAILURE_MARGIN = 0.05
private const val SLOWER_BUCKETS = 3
private const val LATE_SHARE = 0.9
private const val FEWEST_TO_WIDEN = 5

/** Returns why the new version is worse than the old one on this route, or `null` while that isn't shown. */
public fun RouteComparison.faultOrNull(): String? = when {
    new.failed >= FEWEST_FAILURES && new.failureRate() > old.failureRate() + FAILURE_MARGIN ->
        "route $route: ${new.failed} of ${new.total()} failed, against ${old.failed} of ${old.total()}"
    isSlower() -> "route $route: the first token comes later than from the old version"
    else -> null
}

private fun RouteComparison.isSlower(): Boolean =
    new.answered >= FEWEST_ANSWERS &&
        old.answered >= FEWEST_ANSWERS &&
        new.lateBucket() >= old.lateBucket() + SLOWER_BUCKETS

/** Whether enough was seen of the new version on this route to give it more requests. */
public fun RouteComparison.isSufficient(): Boolean = old.total() == 0L || new.total() >= FEWEST_TO_WIDEN

private fun EvidenceSum.total(): Long = answered + failed

private fun EvidenceSum.failureRate(): Double = if (total() == 0L) 0.0 else failed.toDouble() / total()

private fun EvidenceSum.lateBucket(): Int {
    val threshold = answered * LATE_SHARE
    return buckets.runningReduce(Long::plus).indexOfFirst { it >= threshold }.coerceAtLeast(0)
}

/** What evidence is about. */
public data class EvidenceKey(public val service: ServiceName, public val route: RouteName, public val weights: WeightsVersion)

/** The evidence of one router since its start. */
public typealias EvidenceTable = PersistentMap<EvidenceKey, EvidenceSum>

/** Returns a table without evidence. */
public fun noEvidenceTable(): EvidenceTable = persistentMapOf()

/** Returns the table that [reported] holds. */
public fun evidenceTable(reported: List<RouteEvidence>): EvidenceTable = reported.fold(noEvidenceTable()) { table, one ->
    val buckets = one.firstTokenBuckets.take(FIRST_TOKEN_BUCKETS)
    val padded = persistentListOf<Long>().addAll(buckets + List(FIRST_TOKEN_BUCKETS - buckets.size) { 0L })
    table.put(EvidenceKey(one.service, one.route, one.weights), EvidenceSum(one.answered, one.failed, padded))
}

/** Returns this table as a report. */
public fun EvidenceTable.toReport(): PersistentList<RouteEvidence> =
    map { (key, sum) -> RouteEvidence(key.service, key.route, key.weights, sum.answered, sum.failed, sum.buckets.trimmed()) }
        .toPersistentList()

private fun PersistentList<Long>.trimmed(): PersistentList<Long> = dropLastWhile { it == 0L }.toPersistentList()

/** Returns the sums of several tables. */
public fun List<EvidenceTable>.total(): EvidenceTable = fold(noEvidenceTable()) { total, table ->
    table.entries.fold(total) { sum, (key, value) -> sum.put(key, (sum[key] ?: noEvidence()) + value) }
}

/** Returns the comparison of two versions of [service] on each route, by what [now] holds more than [before]. */
public fun compareVersions(
    service: ServiceName,
    old: WeightsVersion,
    new: WeightsVersion,
    before: EvidenceTable,
    now: EvidenceTable,
): List<RouteComparison> {
    fun since(route: RouteName, weights: WeightsVersion): EvidenceSum {
        val key = EvidenceKey(service, route, weights)
        return (now[key] ?: noEvidence()) - (before[key] ?: noEvidence())
    }
    return now.keys
        .filter { it.service == service }
        .map { it.route }
        .distinct()
        .sorted()
        .map { route -> RouteComparison(route, since(route, old), since(route, new)) }
}
