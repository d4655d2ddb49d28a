/**
 * Evidence about a version, of a model's weights or of a service's software, on a route: counts of responses and failures, and a
 * histogram of the time to the first token. A version is compared with the other version of the same service on the same route over
 * the same period.
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
import java.util.Locale
import kotlin.math.log2
import kotlin.math.sqrt

/** The number of buckets in the histogram of first-token times; the last one holds all longer times. */
public const val FIRST_TOKEN_BUCKETS: Int = 64

private const val BUCKETS_PER_POWER_OF_TWO = 4.0

/**
 * Returns the histogram bucket of a first-token time. The first bucket holds times below a millisecond; above that, four buckets of
 * equal width on a logarithmic scale cover each power of two.
 */
public fun firstTokenBucket(milliseconds: Double): Int {
    if (milliseconds < 1.0) return 0
    return (1 + log2(milliseconds) * BUCKETS_PER_POWER_OF_TWO).toInt().coerceAtMost(FIRST_TOKEN_BUCKETS - 1)
}

/** Counts of responses and failures, and the number of responses in each bucket of first-token times. */
public data class EvidenceSum(public val answered: Long, public val failed: Long, public val buckets: PersistentList<Long>)

/** Returns the sum with all counts at 0. */
public fun noEvidence(): EvidenceSum = EvidenceSum(0, 0, List(FIRST_TOKEN_BUCKETS) { 0L }.toPersistentList())

/** Returns the sum with one more response, whose first token took [milliseconds]. */
public fun EvidenceSum.addResponse(milliseconds: Double): EvidenceSum {
    val bucket = firstTokenBucket(milliseconds)
    return copy(answered = answered + 1, buckets = buckets.set(bucket, buckets[bucket] + 1))
}

/** Returns the sum with one more failure. */
public fun EvidenceSum.addFailure(): EvidenceSum = copy(failed = failed + 1)

public operator fun EvidenceSum.plus(other: EvidenceSum): EvidenceSum =
    EvidenceSum(answered + other.answered, failed + other.failed, buckets.zip(other.buckets, Long::plus).toPersistentList())

/** Returns the difference of the counts; a count that would be negative is 0. */
public operator fun EvidenceSum.minus(other: EvidenceSum): EvidenceSum = EvidenceSum(
    (answered - other.answered).coerceAtLeast(0),
    (failed - other.failed).coerceAtLeast(0),
    buckets.zip(other.buckets) { ownCount, otherCount -> (ownCount - otherCount).coerceAtLeast(0) }.toPersistentList(),
)

private const val MIN_FAILURES = 3
private const val MIN_RESPONSES_TO_COMPARE_LATENCY = 20
private const val FAILURE_RATE_MARGIN = 0.05

/** The new version is slower when its 90th percentile is at least this many buckets above that of the old version. */
private const val SLOWER_BUCKETS = 3
private const val LATENCY_PERCENTILE = 0.9
private const val MIN_REQUESTS_TO_WIDEN = 5

/** Returns why the new version is worse than the old one on this route, or `null` when the evidence shows no regression. */
public fun RouteComparison.regressionOrNull(): String? = when {
    new.failed >= MIN_FAILURES && new.failureRate() > old.failureRate() + FAILURE_RATE_MARGIN ->
        "route $route: ${new.failed} of ${new.total()} failed, against ${old.failed} of ${old.total()}"
    isSlower() -> "route $route: the first token takes longer than with the old version"
    else -> null
}

private fun RouteComparison.isSlower(): Boolean =
    new.answered >= MIN_RESPONSES_TO_COMPARE_LATENCY &&
        old.answered >= MIN_RESPONSES_TO_COMPARE_LATENCY &&
        new.percentileBucket() >= old.percentileBucket() + SLOWER_BUCKETS

/**
 * Whether the new version has served enough requests on this route, with or without success, to get a larger share. This always
 * holds for a route on which the old version got no requests.
 */
public fun RouteComparison.isSufficient(): Boolean = old.total() == 0L || new.total() >= MIN_REQUESTS_TO_WIDEN

/**
 * Returns why the new version is slower than the old one over all routes, or `null` when the evidence does not show it. The test needs
 * few responses, since it adds up what all routes say: the ranks of the new version's first-token times among those of the old version
 * on the same route.
 *
 * Source: P. van Elteren, "On the combination of independent two-sample tests of Wilcoxon", 1960.
 */
public fun List<RouteComparison>.slownessOrNull(): String? {
    val comparable = filter { it.old.answered >= MIN_OLD_RESPONSES_TO_RANK && it.new.answered > 0 }
    val responses = comparable.sumOf { it.new.answered }
    val deviation = comparable.sumOf { it.rankExcess() } / sqrt(comparable.sumOf { it.rankVariance() })
    return if (responses >= MIN_NEW_RESPONSES_TO_RANK && deviation >= SLOWNESS_DEVIATIONS) {
        "$responses first tokens take longer than with the old version, by ${"%.1f".format(Locale.ROOT, deviation)} standard deviations"
    } else {
        null
    }
}

private const val MIN_OLD_RESPONSES_TO_RANK = 10
private const val MIN_NEW_RESPONSES_TO_RANK = 6

/** The least deviation of the rank sum, in standard deviations, that shows a slower version although the test is repeated often. */
private const val SLOWNESS_DEVIATIONS = 3.5

/**
 * Returns by how much the number of pairs in which the new version's response is the slower one exceeds half of all pairs. The old
 * version's times count as longer by [SLOWER_BUCKETS], so that only a version that is slower by more than that stands out.
 */
private fun RouteComparison.rankExcess(): Double {
    val oldUpTo = old.buckets.runningFold(0L, Long::plus)
    val slowerPairs = new.buckets.withIndex().sumOf { (bucket, count) ->
        val shifted = bucket - SLOWER_BUCKETS
        val faster = if (shifted < 0) 0L else oldUpTo[shifted]
        val equal = if (shifted < 0) 0L else old.buckets[shifted]
        count * (faster + equal * HALF)
    }
    return slowerPairs - new.answered * old.answered * HALF
}

/** The variance of the number of such pairs when both versions are equally fast, without the correction for equal times. */
private fun RouteComparison.rankVariance(): Double =
    new.answered.toDouble() * old.answered * (new.answered + old.answered + 1) / RANK_VARIANCE_DIVISOR

private const val RANK_VARIANCE_DIVISOR = 12.0
private const val HALF = 0.5

/** Returns whether the new version has served enough requests to get all of them, or whether the old version got none to compare with. */
public fun List<RouteComparison>.isSufficientForWholeShare(): Boolean =
    sumOf { it.old.total() } == 0L || sumOf { it.new.total() } >= MIN_NEW_RESPONSES_TO_RANK

private fun EvidenceSum.total(): Long = answered + failed

private fun EvidenceSum.failureRate(): Double = if (total() == 0L) 0.0 else failed.toDouble() / total()

/** Returns the bucket in which the 90th percentile of the first-token times lies. */
private fun EvidenceSum.percentileBucket(): Int {
    val threshold = answered * LATENCY_PERCENTILE
    return buckets.runningReduce(Long::plus).indexOfFirst { it >= threshold }.coerceAtLeast(0)
}

/** The service, route and version that evidence is about. */
public data class EvidenceKey(public val service: ServiceName, public val route: RouteName, public val weights: WeightsVersion)

/** The evidence that one router has collected since its start. */
public typealias EvidenceTable = PersistentMap<EvidenceKey, EvidenceSum>

/** Returns an empty table. */
public fun noEvidenceTable(): EvidenceTable = persistentMapOf()

/** Returns the table for a router's report; buckets that the report omits are 0. */
public fun evidenceTable(reported: List<RouteEvidence>): EvidenceTable = reported.fold(noEvidenceTable()) { table, entry ->
    val buckets = entry.firstTokenBuckets.take(FIRST_TOKEN_BUCKETS)
    val padded = persistentListOf<Long>().addAll(buckets + List(FIRST_TOKEN_BUCKETS - buckets.size) { 0L })
    table.put(EvidenceKey(entry.service, entry.route, entry.weights), EvidenceSum(entry.answered, entry.failed, padded))
}

/** Returns this table as a report, without the trailing buckets that are 0. */
public fun EvidenceTable.toReport(): PersistentList<RouteEvidence> =
    map { (key, sum) -> RouteEvidence(key.service, key.route, key.weights, sum.answered, sum.failed, sum.buckets.trimmed()) }
        .toPersistentList()

private fun PersistentList<Long>.trimmed(): PersistentList<Long> = dropLastWhile { it == 0L }.toPersistentList()

/** Returns the table with the sums of these tables. */
public fun List<EvidenceTable>.total(): EvidenceTable = fold(noEvidenceTable()) { total, table ->
    table.entries.fold(total) { sum, (key, value) -> sum.put(key, (sum[key] ?: noEvidence()) + value) }
}

/** Returns a comparison of two versions of [service] for each of its routes, by the difference between [now] and [before]. */
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
