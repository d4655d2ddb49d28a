/**
 * What a router knows of each endpoint: whether it may get requests, which of this router's requests it works on, and its last
 * load report.
 */
package sniperoute.request.routing.decision

import kotlinx.collections.immutable.ImmutableMap
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
 * A request of this router in flight at an endpoint.
 *
 * @property missedTokens are the tokens of its prompt that are expected to miss the endpoint's prefix cache.
 * @property queuedTokens are the tokens to be computed before its first token: [missedTokens] and those of earlier requests.
 * @property isSuspect is `true` if the request may have crashed an endpoint before.
 * @property heldTokens are the tokens that it will hold in the endpoint's memory; [sharedTokens] of them, the blocks up to the one with the
 *   key [sharedKey], it may share with other requests.
 * @property rank is the request's place in the order of urgency, lower first.
 * @property timeRatio is the ratio of the time that work took at the endpoint to the usual time when the request was sent.
 */
public data class OwnRequest(
    public val digest: RequestDigest,
    public val missedTokens: Long,
    public val queuedTokens: Long,
    public val hasFirstToken: Boolean,
    public val isSuspect: Boolean,
    public val heldTokens: Long = 0,
    public val sharedTokens: Long = 0,
    public val sharedKey: Long? = null,
    public val timeRatio: Double = 1.0,
    public val rank: Int = 0,
)

/**
 * The load that was reported for an endpoint at [at]: requests in flight, prompt tokens that wait to be computed, and tokens that the
 * requests hold in its memory. [ownRunning], [ownWaitingTokens] and [ownHeldTokens] are the part of this router.
 */
public data class LoadReport(
    public val at: Timestamp,
    public val running: Int,
    public val waitingTokens: Long,
    public val ownRunning: Int,
    public val ownWaitingTokens: Long,
    public val heldTokens: Long = 0,
    public val ownHeldTokens: Long = 0,
    public val waitingByRank: ImmutableMap<Int, Long> = persistentMapOf(),
    public val ownWaitingByRank: ImmutableMap<Int, Long> = persistentMapOf(),
)

/** A request whose connection to the endpoint broke at [at]. */
public data class BrokenRequest(public val digest: RequestDigest, public val at: Timestamp)

/**
 * An endpoint as this router knows it.
 *
 * @property incarnation as the endpoint or the platform's list reported it; `null` if unknown.
 * @property weights as the endpoint reported them; `null` if unknown. Endpoints that the platform lists have [modelWeights] instead.
 * @property ejectedUntil is the time until which the endpoint gets no requests after a failure or a rejection.
 * @property silentUntil is the time until which the endpoint gets no requests after silence while its service has others.
 * @property failures counts failed calls; a first token or a new incarnation resets it.
 * @property brokenRequests are those of the last [CRASH_WINDOW].
 * @property timePerToken is a moving average of the time to compute one prompt token.
 * @property release is the version of a listed endpoint's software.
 * @property isChanging is `true` while the endpoint is about to change its weights.
 * @property faultRate is a moving average of the share of responses that were faults.
 * @property isReportShared is `true` once the leader has sent the workload of all routers at the endpoint.
 * @property rejections counts rejected requests; a first token resets it.
 * @property limit bounds the requests that this router may send; `null` while the endpoint takes any number.
 * @property warming is set while the endpoint may be cold after a start, so that requests need permits.
 * @property hasAnnouncedLeaving is `true` once a response said that the endpoint leaves; [isLeaving] is what lists and reports say.
 * @property pausedUntil is the time until which the endpoint wants no request from this router.
 * @property statedTime is how long work takes there, as an answer to any router stated it last; `null` if none did.
 * @property tokenTime is the measured time per prompt token, without the influence of the stated time.
 */
public data class EndpointState(
    public val endpoint: Endpoint,
    public val service: ServiceName,
    public val kind: ServiceKind,
    public val incarnation: String? = null,
    public val weights: WeightsVersion? = null,
    public val isLeaving: Boolean = false,
    public val ejectedUntil: Timestamp = Timestamp.EARLIEST,
    public val silentUntil: Timestamp = Timestamp.EARLIEST,
    public val failures: Int = 0,
    public val ownRequests: PersistentMap<RequestId, OwnRequest> = persistentMapOf(),
    public val report: LoadReport? = null,
    public val brokenRequests: PersistentList<BrokenRequest> = persistentListOf(),
    public val crashedAt: Timestamp = Timestamp.EARLIEST,
    public val timePerToken: Duration = INITIAL_TIME_PER_TOKEN,
    public val release: String? = null,
    public val modelWeights: PersistentMap<ModelName, WeightsVersion> = persistentMapOf(),
    public val isChanging: Boolean = false,
    public val faultRate: Double = 0.0,
    public val isReportShared: Boolean = false,
    public val rejections: Int = 0,
    public val limit: RouterRequestLimit? = null,
    public val hasAnnouncedLeaving: Boolean = false,
    public val pausedUntil: Timestamp = Timestamp.EARLIEST,
    public val warming: EndpointWarming? = null,
    public val statedTime: StatedTime? = null,
    public val tokenTime: MeasuredTime = MeasuredTime(),
)

/** Returns the weights that serve a request for [model] here, or `null` if they are unknown or there are none. */
public fun EndpointState.weightsFor(model: ModelName?): WeightsVersion? = if (model == null) weights else modelWeights[model]

/** Returns the number of the weights that serve a request for [model] here, or 0, which is below all numbers, if they are unknown. */
public fun EndpointState.weightsNumber(model: ModelName?): Long = weightsFor(model)?.text?.toLongOrNull() ?: 0

/** The time to compute one prompt token, assumed until a response has been measured. */
public val INITIAL_TIME_PER_TOKEN: Duration = 50.microseconds

private val MIN_EJECTION = 250.milliseconds
private val MAX_EJECTION = 4.seconds

/** A request that broke within this time of a crash is charged with it. */
private val CRASH_WINDOW = 2.seconds
internal val REPORT_LIFETIME = 2.seconds
private const val MAX_DOUBLINGS = 4

/** The weight of a new sample in the moving average of the time per token. */
private const val TIME_SAMPLE_WEIGHT = 0.1

/** Whether the endpoint may get requests at [now], apart from free slots. */
public fun EndpointState.isUsable(now: Timestamp): Boolean = isAvailable(now) && now >= silentUntil

/**
 * Whether the endpoint may get a request at [now] although it fell silent. One at a time is enough to notice that it responds again, and
 * few are lost if it does not.
 */
internal fun EndpointState.isProbed(now: Timestamp): Boolean = isAvailable(now) && ownRequests.isEmpty()

private fun EndpointState.isAvailable(now: Timestamp): Boolean =
    !isLeaving && !hasAnnouncedLeaving && !isChanging && now >= ejectedUntil && now >= pausedUntil

/** Returns the free slots: all slots without this router's requests and without those that other routers had at the last report. */
public fun EndpointState.freeSlots(now: Timestamp): Int = endpoint.slots - ownRequests.size - othersRunning(now)

/** Whether there is a recent report that the routers made themselves; it is preferred to the load in responses' heads. */
public fun EndpointState.hasSharedReport(now: Timestamp): Boolean = isReportShared && report != null && now - report.at < REPORT_LIFETIME

/** Returns the requests that other routers had in flight here at the last report; 0 if that is too old. */
internal fun EndpointState.othersRunning(now: Timestamp): Int =
    report?.takeIf { now - it.at < REPORT_LIFETIME }?.let { (it.running - it.ownRunning).coerceAtLeast(0) } ?: 0

/** Returns the prompt tokens that wait to be computed here before those of a new request. */
public fun EndpointState.waitingTokens(now: Timestamp): Long {
    val recent = report?.takeIf { now - it.at < REPORT_LIFETIME }
    val others = recent?.let { (it.waitingTokens - it.ownWaitingTokens).coerceAtLeast(0) } ?: 0
    return ownWaitingTokens() + others
}

/** Returns the prompt tokens of this router's requests here that have no first token yet. */
public fun EndpointState.ownWaitingTokens(): Long = ownRequests.values.filter { !it.hasFirstToken }.sumOf { it.missedTokens }

/** Returns the endpoint with the request [id] in flight. */
public fun EndpointState.withRequest(id: RequestId, request: OwnRequest): EndpointState = copy(ownRequests = ownRequests.put(id, request))

/** Returns the endpoint after the first token of the request [id] was received; [after] is the time since the request was sent. */
public fun EndpointState.withFirstToken(id: RequestId, after: Duration): EndpointState {
    val request = ownRequests[id] ?: return this
    val updated = copy(ownRequests = ownRequests.put(id, request.copy(hasFirstToken = true)), failures = 0, rejections = 0)
    if (request.queuedTokens < MIN_SAMPLE_TOKENS) return updated
    val sample = after / request.queuedTokens.toDouble()
    return updated.copy(timePerToken = timePerToken * (1 - TIME_SAMPLE_WEIGHT) + sample * TIME_SAMPLE_WEIGHT)
}

/** Shorter computations say little about the time per token. */
internal const val MIN_SAMPLE_TOKENS = 1_000L

/** Returns the endpoint without the request [id]. */
public fun EndpointState.withoutRequest(id: RequestId): EndpointState = copy(ownRequests = ownRequests.remove(id))

/** Returns the endpoint after it rejected a request at [now]. It is ejected only briefly, since the overload may soon be over. */
public fun EndpointState.afterRejection(now: Timestamp): EndpointState {
    val backoff = REJECTION_BACKOFF.doubled(rejections)
    return copy(rejections = rejections + 1, ejectedUntil = maxOf(ejectedUntil, now + backoff))
}

private val REJECTION_BACKOFF = 100.milliseconds

private fun Duration.doubled(times: Int): Duration = this * (1 shl minOf(times, MAX_DOUBLINGS))

/** The weight of a new response in the moving average of the fault rate. */
private const val FAULT_SAMPLE_WEIGHT = 0.1

/** Returns the endpoint after a complete response. */
public fun EndpointState.afterResponse(isFault: Boolean): EndpointState =
    copy(faultRate = faultRate * (1 - FAULT_SAMPLE_WEIGHT) + if (isFault) FAULT_SAMPLE_WEIGHT else 0.0)

/** Returns the endpoint after a call failed at [now]. It is ejected for longer with each failure, up to [MAX_EJECTION]. */
public fun EndpointState.afterFailure(now: Timestamp): EndpointState {
    val backoff = MIN_EJECTION.doubled(failures)
    return copy(failures = failures + 1, ejectedUntil = now + minOf(backoff, MAX_EJECTION))
}

/** Returns the endpoint after the request with [digest] broke at [now]. */
public fun EndpointState.withBrokenRequest(digest: RequestDigest, now: Timestamp): EndpointState =
    copy(brokenRequests = brokenRequests.removeAll { now - it.at > CRASH_WINDOW }.add(BrokenRequest(digest, now)))

/** Whether the endpoint crashed so recently that a request that breaks at [now] is charged with the crash. */
public fun EndpointState.hasJustCrashed(now: Timestamp): Boolean = now - crashedAt < CRASH_WINDOW

/** Returns the digests of the requests that broke shortly before [now]. */
public fun EndpointState.recentlyBroken(now: Timestamp): List<RequestDigest> =
    brokenRequests.filter { now - it.at <= CRASH_WINDOW }.map { it.digest }.distinct()

/** Returns the endpoint after a crash that was noticed at [now]. */
public fun EndpointState.afterCrash(now: Timestamp): EndpointState = copy(crashedAt = now, brokenRequests = brokenRequests.clear())

/** Returns the endpoint after a connection to it went silent at [now]. It stays ejected even if its event stream goes on. */
public fun EndpointState.afterSilence(now: Timestamp): EndpointState = copy(failures = failures + 1, silentUntil = now + SILENCE_EJECTION)

private val SILENCE_EJECTION = 10.seconds

/** Returns the endpoint after it reported [newIncarnation] and [newWeights]. Only a new incarnation ends its ejection. */
public fun EndpointState.withIdentity(newIncarnation: String, newWeights: WeightsVersion?): EndpointState {
    val identified = copy(incarnation = newIncarnation, weights = newWeights)
    return if (newIncarnation ==
        incarnation
    ) {
        identified
    } else {
        identified.copy(ejectedUntil = Timestamp.EARLIEST, silentUntil = Timestamp.EARLIEST, failures = 0)
    }
}
