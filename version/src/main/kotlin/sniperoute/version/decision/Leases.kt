/**
 * Leases of routers, as the leader knows them: who may still serve by which revision. A change is in force everywhere once
 * every router that may still serve has confirmed it.
 */
package sniperoute.version.decision

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import sniperoute.process.clock.Timestamp
import sniperoute.process.identity.Incarnation
import sniperoute.process.identity.VmName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** How long a router may serve without hearing from the leader. Longer than a change of leader, shorter than five seconds. */
public val LEASE_DURATION: Duration = 2_500.milliseconds

/** One run of the router process on one VM. */
public data class RouterName(public val vm: VmName, public val incarnation: Incarnation)

/** A router that serves by [revision] and may do so until [until]. */
public data class RouterLease(public val revision: Long, public val until: Timestamp)

/** The leases that this leader granted; before [complete] earlier leaders' leases may still run. */
public data class Leases(public val complete: Timestamp, public val routers: PersistentMap<RouterName, RouterLease>)

/** Returns the leases of a leader elected at [now], whose predecessors stopped granting within [overlap]. */
public fun newLeases(now: Timestamp, overlap: Duration): Leases = Leases(now + LEASE_DURATION + overlap, persistentMapOf())

/** Returns the leases after [router] asked at [now], serving by [revision]. */
public fun Leases.renew(router: RouterName, revision: Long, now: Timestamp): Leases =
    copy(routers = routers.filterValues { it.until > now }.let { live -> persistentMapOf<RouterName, RouterLease>().putAll(live) })
        .let { it.copy(routers = it.routers.put(router, RouterLease(revision, now + LEASE_DURATION))) }

/** How far a revision is in force: on [confirmed] of [live] routers, and [isEverywhere] when none can serve by an older one. */
public data class InForceReport(public val confirmed: Int, public val live: Int, public val isEverywhere: Boolean)

/** Returns how far [revision] is in force at [now]. */
public fun Leases.report(revision: Long, now: Timestamp): InForceReport {
    val live = routers.values.filter { it.until > now }
    val confirmed = live.count { it.revision >= revision }
    return InForceReport(confirmed, live.size, now >= complete && confirmed == live.size)
}
