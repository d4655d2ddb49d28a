/**
 * What a router knows of each endpoint: whether it may get work, what this router has there, and what it reported.
 */
package sniperoute.request.routing.decision

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import sniperoute.process.clock.Timestamp
import sniperoute.request.routing.message.RequestId
import sniperoute.version.message.Endpoint
import sniperoute.version.message.ModelName
import sniperoute.version.message.RequestDigest
import sniperoute.version.message.ServiceKind
import sniperoute.version.message.ServiceName
import sniperoute.version.message.WeightsVersion
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A request of this router at an endpoint. [missedTokens] of its prompt are to be computed before its first token, and with
 * what waited there before it [aheadTokens].
 */
public data class OwnWork(
    public val digest: RequestDigest,
    public val missedTokens: Long,
    public val aheadTokens: Long,
    public val hasBegun: Boolean,
    public val isSuspect: Boolean,
)

/**
 * What an engine reported at [at]: requests in work, and prompt tokens that wait to be computed. [ownRunning] and
 * [ownWaitingTokens] of these were this router's.
 */
public data class LoadReport(
    public val at: Timestamp,
    public val running: Int,
    public val waitingTokens: Long,
    public val ownRunning: Int,
    public val ownWaitingTokens: Long,
)

/** A request that broke at an endpoint. */
public data class BrokenWork(public val digest: RequestDigest, public val at: Timestamp)

/** An endpoint as this router knows it. [incarnation] and [weights] are its own word; `null` is not known. */
public data class EndpointState(
    public val endpoint: Endpoint,
    public val service: ServiceName,
    public val kind: ServiceKind,
    public val incarnation: String? = null,
    public val weights: WeightsVersion? = null,
    public val isLeaving: Boolean = false,
    public val downUntil: Timestamp = Timestamp.EARLIEST,
    public val failures: Int = 0,
    public val own: PersistentMap<RequestId, OwnWork> = persistentMapOf(),
    public val report: LoadReport? = null,
    public val broken: PersistentList<BrokenWork> = persistentListOf(),
    public val diedAt: Timestamp = Timestamp.EARLIEST,
    public val tokenCost: Duration = FIRST_TOKEN_COST,
    public val release: String? = null,
    public val modelWeights: PersistentMap<ModelName, WeightsVersion> = persistentMapOf(),
    public val isChanging: Boolean = false,
    public val faults: Double = 0.0,
    public val isReportShared: Boolean = false,
    public val rejections: Int = 0,
)

/** Returns the weights that a request for [model] meets here, or `null` when they are not known or there are none. */
public fun EndpointState.weightsFor(model: ModelName?): WeightsVersion? = if (model == null) weights else modelWeights[model]

/** Returns the number of the weights that a request for [model] meets here; 0 is below any, and stands for those not known. */
public fun EndpointState.weightsNumber(model: ModelName?): Long = weightsFor(model)?.text?.toLongOrNull() ?: 0

/** The time to compute one prompt token, before any answer shows it. */
public val FIRST_TOKEN_COST: Duration = 50.microseconds

private val SHORTEST_DOWN = 250.milliseconds
private val LONGEST_DOWN = 4.seconds
private val DEATH_WINDOW = 2.seconds
private val REPORT_LIFE = 2.seconds
private const val MOST_DOUBLINGS = 4
private const val COST_WEIGHT = 0.1

/** Whether new work may go here at [now], slots aside. */
public fun EndpointState.isUsable(now: Timestamp): Boolean = !isLeaving && !isChanging && now >= downUntil

/** Returns the slots that are free, by own work and by what others had there at the last report. */
public fun EndpointState.freeSlots(now: Timestamp): Int = endpoint.slots - own.size - othersRunning(now)

/** Whether other routers' work here is known from themselves, not only from answers' heads. */
public fun EndpointState.hasSharedReport(now: Timestamp): Boolean = isReportShared && report != null && now - report.at < REPORT_LIFE

private fun EndpointState.othersRunning(now: Timestamp): Int =
    report?.takeIf { now - it.at < REPORT_LIFE }?.let { (it.running - it.ownRunning).coerceAtLeast(0) } ?: 0

/** Returns the prompt tokens that stand before a new request here. */
public fun EndpointState.waitingTokens(now: Timestamp): Long {
    val fresh = report?.takeIf { now - it.at < REPORT_LIFE }
    val others = fresh?.let { (it.waitingTokens - it.ownWaitingTokens).coerceAtLeast(0) } ?: 0
    return ownWaitingTokens() + others
}

/** Returns the prompt tokens of this router's requests here whose first token has not come. */
public fun EndpointState.ownWaitingTokens(): Long = own.values.filter { !it.hasBegun }.sumOf { it.missedTokens }

/** Returns the endpoint after [work] was sent to it. */
public fun EndpointState.began(id: RequestId, work: OwnWork): EndpointState = copy(own = own.put(id, work))

/** Returns the endpoint after the first token of a request came, [firstToken] after it was sent. */
public fun EndpointState.answered(id: RequestId, firstToken: Duration): EndpointState {
    val work = own[id] ?: return this
    val begun = copy(own = own.put(id, work.copy(hasBegun = true)), failures = 0, rejections = 0)
    if (work.aheadTokens < SMALLEST_SAMPLE_TOKENS) return begun
    val sample = firstToken / work.aheadTokens.toDouble()
    return begun.copy(tokenCost = tokenCost * (1 - COST_WEIGHT) + sample * COST_WEIGHT)
}

private const val SMALLEST_SAMPLE_TOKENS = 1_000L

/** Returns the endpoint without the request [id]. */
public fun EndpointState.finished(id: RequestId): EndpointState = copy(own = own.remove(id))

/** Returns the endpoint after it did not take a request at [now]: whatever filled it may be over soon. */
public fun EndpointState.rejected(now: Timestamp): EndpointState {
    val rest = REJECTION_REST.doubled(rejections)
    return copy(rejections = rejections + 1, downUntil = maxOf(downUntil, now + rest))
}

private val REJECTION_REST = 100.milliseconds

private fun Duration.doubled(times: Int): Duration = this * (1 shl minOf(times, MOST_DOUBLINGS))

private const val FAULT_WEIGHT = 0.1

/** Returns the endpoint after a complete answer that was a fault, or none when [isFault] is `false`. */
public fun EndpointState.judged(isFault: Boolean): EndpointState =
    copy(faults = faults * (1 - FAULT_WEIGHT) + if (isFault) FAULT_WEIGHT else 0.0)

/** Returns the endpoint after a call failed at [now]; it rests, longer with each failure in a row. */
public fun EndpointState.failed(now: Timestamp): EndpointState {
    val rest = SHORTEST_DOWN.doubled(failures)
    return copy(failures = failures + 1, downUntil = now + minOf(rest, LONGEST_DOWN))
}

/** Returns the endpoint after work with [digest] broke at [now]. */
public fun EndpointState.broke(digest: RequestDigest, now: Timestamp): EndpointState =
    copy(broken = broken.removeAll { now - it.at > DEATH_WINDOW }.add(BrokenWork(digest, now)))

/** Whether the endpoint died so recently that work breaking at [now] is charged with it. */
public fun EndpointState.isDyingAt(now: Timestamp): Boolean = now - diedAt < DEATH_WINDOW

/** Returns the digests that broke shortly before [now]. */
public fun EndpointState.recentlyBroken(now: Timestamp): List<RequestDigest> =
    broken.filter { now - it.at <= DEATH_WINDOW }.map { it.digest }.distinct()

/** Returns the endpoint after it was found dead at [now]. */
public fun EndpointState.died(now: Timestamp): EndpointState = copy(diedAt = now, broken = broken.clear())

/** Returns the endpoint after a connection to it went silent at [now]; its events may go on all the same. */
public fun EndpointState.silent(now: Timestamp): EndpointState = copy(failures = failures + 1, downUntil = now + SILENCE_REST)

private val SILENCE_REST = 10.seconds

/** Returns the endpoint after it reported itself as [newIncarnation] with [newWeights]. Only a new run ends its rest. */
public fun EndpointState.identified(newIncarnation: String, newWeights: WeightsVersion?): EndpointState {
    val named = copy(incarnation = newIncarnation, weights = newWeights)
    return if (newIncarnation == incarnation) named else named.copy(downUntil = Timestamp.EARLIEST, failures = 0)
}
