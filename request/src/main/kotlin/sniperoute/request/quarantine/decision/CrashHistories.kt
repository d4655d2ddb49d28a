/**
 * Crashes of endpoints, charged to the requests that were in flight there. A request that is charged with crashes of two different
 * endpoints is quarantined in the whole fleet.
 */
package sniperoute.request.quarantine.decision

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import sniperoute.process.clock.Timestamp
import sniperoute.version.message.EndpointName
import sniperoute.version.message.RequestDigest
import kotlin.time.Duration.Companion.minutes

/** A record expires when no crash was charged to its request for this time. */
private val RECORD_LIFETIME = 10.minutes
private const val CRASHES_TO_QUARANTINE = 2
private const val MAX_RECORDS = 10_000

/** The endpoints whose crashes are charged to one request, and the time of the last crash. */
public data class CrashRecord(public val endpoints: PersistentSet<EndpointName>, public val at: Timestamp)

/** The records of all requests that are charged with crashes. */
public data class CrashHistory(public val records: PersistentMap<RequestDigest, CrashRecord>)

/** Returns an empty history. */
public fun emptyCrashHistory(): CrashHistory = CrashHistory(persistentMapOf())

/** The history after a crash, and the requests to quarantine. */
public data class CrashStep(public val crashes: CrashHistory, public val quarantined: List<RequestDigest>)

/** Returns the history after [endpoint] crashed at [now] while it worked on [digests]. */
public fun CrashHistory.recordCrash(endpoint: EndpointName, digests: List<RequestDigest>, now: Timestamp): CrashStep {
    val charged = digests.fold(withoutExpired(now).records) { all, digest ->
        val known = all[digest]?.endpoints ?: persistentSetOf()
        all.put(digest, CrashRecord(known.add(endpoint), now))
    }
    val quarantined = digests.filter { charged.getValue(it).endpoints.size >= CRASHES_TO_QUARANTINE }
    return CrashStep(CrashHistory(charged), quarantined)
}

private fun CrashHistory.withoutExpired(now: Timestamp): CrashHistory {
    val expired = records.filterValues { now - it.at > RECORD_LIFETIME }.keys
    val rest = expired.fold(records) { all, digest -> all.remove(digest) }
    val surplus = rest.entries.sortedBy { it.value.at }.take((rest.size - MAX_RECORDS).coerceAtLeast(0))
    return CrashHistory(surplus.fold(rest) { all, entry -> all.remove(entry.key) })
}

/** Returns the history without the record of [digest], whose quarantine an operator lifted. */
public fun CrashHistory.forget(digest: RequestDigest): CrashHistory = CrashHistory(records.remove(digest))
