/**
 * Tests of what the leader knows of cold endpoints.
 */
package sniperoute.version

import kotlinx.collections.immutable.persistentMapOf
import org.junit.jupiter.api.Test
import sniperoute.process.clock.Timestamp
import sniperoute.process.identity.FailureDomain
import sniperoute.process.identity.Incarnation
import sniperoute.process.identity.VmName
import sniperoute.version.decision.*
import sniperoute.version.message.*
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val warmUp = WarmUp(3_000, 8.4)
private val start = Timestamp(1_000_000_000)
private val router = RouterName(VmName("r"), Incarnation(1))
private val e0 = EndpointName("e0")

private fun listed(incarnation: Int, coldMilliseconds: Long = 0) = ListedEndpoint(
    Endpoint(e0, "h", 1, FailureDomain("d"), 64, true),
    ServiceName("s"),
    incarnation.toString(),
    "v1",
    false,
    persistentMapOf(),
    coldMilliseconds,
)

private fun WarmingEndpoints.list(at: Timestamp, endpoint: ListedEndpoint) = withListing(listOf(endpoint), { warmUp }, at)

class WarmingEndpointsTest {
    private val leader = noWarmingEndpoints(start, WarmUpTolerance(1.5, 5.0))

    @Test
    fun `on the first list only the time that it names counts, later a new incarnation is cold whatever the list says`() {
        expectThat(leader.list(start, listed(1)).byEndpoint).isEmpty()
        expectThat(leader.list(start, listed(1, 500)).byEndpoint[e0]?.warmFrom).isEqualTo(start + 500.milliseconds)
        val restarted = leader.list(start, listed(1)).list(start + 1.seconds, listed(2))
        expectThat(restarted.byEndpoint[e0]?.warmFrom).isEqualTo(start + 4.seconds)
    }

    @Test
    fun `a new leader reads the incarnation of each endpoint once, since the list names those that are down`() {
        val first = leader.list(start, listed(1)).checksDue(start)
        expectThat(first.checks).containsExactly(e0)
        expectThat(
            first.endpoints
                .onChecked(e0, warmUp, start, null, start)
                .byEndpoint.keys,
        ).containsExactly(e0)
        expectThat(
            first.endpoints
                .onChecked(e0, warmUp, start, "1", start)
                .checksDue(start + 1.seconds)
                .checks,
        ).isEmpty()
    }

    @Test
    fun `an endpoint that turns cold again without a restart is cold for the time that the list names`() {
        val again = leader.list(start, listed(1)).list(start + 9.seconds, listed(1, 2_500))
        expectThat(again.byEndpoint[e0]?.warmFrom).isEqualTo(start + 9.seconds + 2_500.milliseconds)
    }

    @Test
    fun `endpoints that may have turned cold unseen are cold at once and get permits at once`() {
        val later = start + 10.seconds
        val cold = leader
            .list(start, listed(1))
            .withColdEndpoints(listOf(listed(1)), { warmUp }, later)
            .byEndpoint
            .getValue(e0)
        expectThat(cold.warmFrom).isEqualTo(later + 3.seconds)
        expectThat(cold.grantsFrom).isEqualTo(later)
    }

    @Test
    fun `a doubt is settled by an answer of the known incarnation only, to a call that began after it`() {
        val known = leader.list(start, listed(1)).onChecked(e0, warmUp, start, "1", start)
        val doubt = EndpointDoubt(e0, 7)
        val doubted = known.onRenewal(router, 1, listOf(doubt), start).endpoints
        val early = doubted.onChecked(e0, warmUp, start - 1.milliseconds, "1", start)
        expectThat(early.onRenewal(router, 2, listOf(doubt), start).settled).isEmpty()
        val answered = doubted.onChecked(e0, warmUp, start, "1", start)
        expectThat(answered.onRenewal(router, 2, listOf(doubt), start).settled).containsExactly(doubt)
        expectThat(answered.byEndpoint).isEmpty()
        val silent = doubted.onChecked(e0, warmUp, start, null, start)
        expectThat(silent.onRenewal(router, 2, listOf(doubt), start).settled).isEmpty()
        expectThat(silent.byEndpoint.keys).containsExactly(e0)
        expectThat(doubted.onChecked(e0, warmUp, start, "2", start).byEndpoint[e0]?.warmFrom).isEqualTo(start + 3.seconds)
    }

    @Test
    fun `permits stay within the bound in every second, their lifetime included, and use most of the rate`() {
        for (perSecond in listOf(0.5, 3.0, 8.4, 40.0, 300.0)) {
            var state = leader.withListing(listOf(listed(1, 20_000)), { WarmUp(3_000, perSecond) }, start)
            val grants = mutableListOf<Pair<Timestamp, Int>>()
            repeat(400) { step ->
                val now = start + (50 * step).milliseconds
                val grant = state.onRenewal(router, now.microseconds, emptyList(), now).endpoints.grant(listOf(router), now) { _, _ -> 1 }
                state = grant.endpoints
                grant.permits[router]?.get(e0)?.let { grants += now to it }
            }
            val most = grants.maxOf { (first, _) ->
                grants.filter { it.first >= first && it.first < first + 1.seconds + PERMIT_TIME }.sumOf { it.second }
            }
            expectThat(most.toDouble()).describedAs("$perSecond").isLessThanOrEqualTo(perSecond * 1.5 + 5)
            expectThat(grants.sumOf { it.second } / 18.0).describedAs("$perSecond").isGreaterThan(perSecond * 0.7)
        }
    }
}
