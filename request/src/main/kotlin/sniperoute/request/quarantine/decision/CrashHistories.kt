/**
 * Endpoint deaths charged to the requests that were in work there. A request charged with the deaths of two different
 * endpoints is held back over the whole fleet.
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

/** After this long without another death a charge is dropped. */
private val CHARGE_LIFE = 10.minutes
private const val DEATHS_TO_QUARANTINE = 2
private const val MOST_CHARGED = 10_000

/** The endpoints whose deaths a request is charged with, and when the last one was. */
public data class CrashRecord(public val endpoints: PersistentSet<EndpointName>, public val at: Timestamp)

/** All charges. */
public data class CrashHistory(public val charges: PersistentMap<RequestDigest, CrashRecord>)

/** Returns the state before the first death. */
public fun emptyCrashHistory(): CrashHistory = CrashHistory(persistentMapOf())

/** The charges after a death, and the requests that are to be held back from now on. */
public data class DeathStep(public val crashes: CrashHistory, public val quarantined: List<RequestDigest>)

/** Returns the charges after [endpoint] died at [now] while it worked on [digests]. */
public fun CrashHistory.recordCrash(endpoint: EndpointName, digests: List<RequestDigest>, now: Timestamp): DeathStep {
    val charged = digests.fold(withoutOld(now).charges) { all, digest ->
        val known = all[digest]?.endpoints ?: persistentSetOf()
        all.put(digest, CrashRecord(known.add(endpoint), now))
    }
    val quarantined = digests.filter { charged.getValue(it).endpoints.size >= DEATHS_TO_QUARANTINE }
    return DeathStep(CrashHistory(charged), quarantined)
}

private fun CrashHistory.withoutOld(now: Timestamp): CrashHistory {
    val old = charges.filterValues { now - it.at > CHARGE_LIFE }.keys
    val rest = old.fold(charges) { all, digest -> all.remove(digest) }
    val surplus = rest.entries.sortedBy { it.value.at }.take((rest.size - MOST_CHARGED).coerceAtLeast(0))
    return CrashHistory(surplus.fold(rest) { all, entry -> all.remove(entry.key) })
}

/** Returns the charges without [digest], which an operator let go. */
public fun CrashHistory.forget(digest: RequestDigest): CrashHistory = CrashHistory(charges.remove(digest))
