/**
 * Guards the retry budget of a fleet: all routers together must not send more retries than allowed in any window, even if routers
 * restart or freeze and get uneven shares of the traffic.
 */
package sniperoute.request

import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import sniperoute.process.clock.Timestamp
import sniperoute.request.routing.decision.RetryAllowance
import sniperoute.request.routing.decision.RetryBudget
import sniperoute.request.routing.decision.newRetryBudget
import sniperoute.request.routing.decision.recordRequest
import sniperoute.request.routing.decision.spendOrNull
import strikt.api.expectThat
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

@OptIn(ExperimentalKotest::class)
class RetryBudgetsTest {
    private val allowance = RetryAllowance(ratio = 0.2, extra = 56.0, window = 10.seconds)

    private class Router(var budget: RetryBudget, var idleUntil: Timestamp)

    @Test
    fun `repeats of all routers stay within the budget in every window while routers freeze`() = check(restarts = false)

    @Test
    fun `repeats of all routers stay within the budget in every window while routers restart`() = check(restarts = true)

    private fun check(restarts: Boolean) {
        runBlocking {
            checkAll(PropTestConfig(seed = 5, iterations = 60), Arb.long(), Arb.int(1..12)) { seed, count ->
                val random = Random(seed)
                var now = Timestamp(60_000_000)
                val routers = List(count) { Router(newRetryBudget(now), now) }
                val requests = mutableListOf<Timestamp>()
                val retries = mutableListOf<Timestamp>()
                repeat(2_000) {
                    now += random.nextInt(1, 40).milliseconds
                    val router = routers[minOf(random.nextInt(count), random.nextInt(count))]
                    when (random.nextInt(60)) {
                        0 -> if (restarts) router.restart(now + random.nextInt(200, 3_000).milliseconds)
                        1 -> router.idleUntil = now + random.nextInt(4_000).milliseconds
                        else -> router.serve(now, count, requests, retries)
                    }
                    requests.removeIf { now - it > allowance.window * 2 }
                    retries.removeIf { now - it > allowance.window }
                    val limit = allowance.ratio * countedRequests(requests, now) + allowance.extra
                    expectThat(
                        retries.count { now - it < allowance.window }.toDouble(),
                    ).describedAs("seed $seed").isLessThanOrEqualTo(limit)
                }
            }
        }
    }

    private fun Router.restart(until: Timestamp) {
        budget = newRetryBudget(until)
        idleUntil = until
    }

    /** Serves a request that fails and is retried up to four times, as far as the budget allows. */
    private fun Router.serve(now: Timestamp, routers: Int, requests: MutableList<Timestamp>, retries: MutableList<Timestamp>) {
        if (now < idleUntil) return
        requests += now
        var current = budget.recordRequest(now, allowance)
        repeat(4) {
            val spent = current.spendOrNull(now, allowance, routers) ?: return@repeat
            current = spent
            retries += now
        }
        budget = current
    }

    /** Returns the largest number of requests in the windows that end now, half a window ago and a whole window ago. */
    private fun countedRequests(requests: List<Timestamp>, now: Timestamp): Int =
        listOf(0, 1, 2).maxOf { halves ->
            val end = now - allowance.window * halves / 2
            requests.count { it <= end && end - it < allowance.window }
        }
}
