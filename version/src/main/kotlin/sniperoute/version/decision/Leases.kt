/**
 * The leases that the leader has granted to routers, and the revision that each router serves by. A change is in force everywhere
 * when all routers with a valid lease have confirmed its revision.
 */
package sniperoute.version.decision

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import sniperoute.process.clock.Timestamp
import sniperoute.process.identity.Incarnation
import sniperoute.process.identity.VmName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** How long a router may serve after its last renewal. Longer than a change of leader takes, and shorter than five seconds. */
public val LEASE_DURATION: Duration = 2_500.milliseconds

/** One incarnation of the router process on a VM. */
public data class RouterName(public val vm: VmName, public val incarnation: Incarnation)

/** A lease under which a router may serve by [revision] until [until]. */
public data class RouterLease(public val revision: Long, public val until: Timestamp)

/** The leases that this leader has granted. Until [complete], leases of earlier leaders may still be valid. */
public data class Leases(public val complete: Timestamp, public val routers: PersistentMap<RouterName, RouterLease>)

/** Returns the leases of a leader elected at [now], whose predecessors stop granting leases within [overlap]. */
public fun newLeases(now: Timestamp, overlap: Duration): Leases = Leases(now + LEASE_DURATION + overlap, persistentMapOf())

/** Returns the leases after [router], which serves by [revision], renewed its lease at [now]; expired leases are removed. */
public fun Leases.renew(router: RouterName, revision: Long, now: Timestamp): Leases =
    copy(routers = routers.filterValues { it.until > now }.let { live -> persistentMapOf<RouterName, RouterLease>().putAll(live) })
        .let { it.copy(routers = it.routers.put(router, RouterLease(revision, now + LEASE_DURATION))) }

/**
 * On how many routers a revision is in force: [confirmed] of the [live] ones. It is in force [isEverywhere] when no router can serve by
 * an older revision any more.
 */
public data class InForceReport(public val confirmed: Int, public val live: Int, public val isEverywhere: Boolean)

/** Returns on how many routers [revision] is in force at [now]. */
public fun Leases.report(revision: Long, now: Timestamp): InForceReport {
    val live = routers.values.filter { it.until > now }
    val confirmed = live.count { it.revision >= revision }
    return InForceReport(confirmed, live.size, now >= complete && confirmed == live.size)
}
