/**
 * Routers that each see little of a workspace's traffic and fetch its tokens from the leader: requests inside the rate are served, those
 * that get no tokens in time are refused at once, and the fleet stays within the allowance in every window.
 */
package sniperoute.request

import org.junit.jupiter.api.Test
import sniperoute.process.clock.Timestamp
import sniperoute.request.admission.decision.RefusalKind
import sniperoute.request.routing.decision.RoutingSettings
import sniperoute.request.routing.decision.earliestFirstToken
import sniperoute.request.routing.decision.newRoutingState
import sniperoute.request.routing.decision.step
import sniperoute.request.routing.message.*
import sniperoute.version.decision.advanceClock
import sniperoute.version.decision.noAllowances
import sniperoute.version.decision.returnTokens
import sniperoute.version.decision.takeTokens
import sniperoute.version.decision.withLimits
import sniperoute.version.message.Workspace
import sniperoute.version.message.WorkspaceName
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val workspace = WorkspaceName("a")

class TokenWaitsTest {
    private val route = chat.copy(objectiveMilliseconds = 200)

    private fun request(id: String, at: Timestamp, tokens: Long = 100) =
        admitted(id, route = route, tokens = tokens, at = at).copy(queueDeadline = at + 25.milliseconds)

    private fun driver() = RoutingDriver(catalogueItems(2), grantsTokens = false)

    private fun RoutingDriver.wait(time: Duration): List<RoutingEffect> {
        now += time
        return input(null)
    }

    @Test
    fun `a request inside the rate is not refused while a grant is under way`() {
        val router = driver()
        router.send(request("1", router.now))
        expectThat(router.wait(60.milliseconds).filterIsInstance<Refuse>()).isEmpty()
        val sent = router.input(TokensGranted(workspace, 100, Duration.ZERO)).filterIsInstance<Dispatch>()
        expectThat(sent.map { it.id.text }).isEqualTo(listOf("1"))
    }

    @Test
    fun `a request waits for a grant for half of its objective at most`() {
        val router = driver()
        router.send(request("1", router.now))
        expectThat(router.wait(99.milliseconds).filterIsInstance<Refuse>()).isEmpty()
        expectThat(router.wait(60.milliseconds).filterIsInstance<Refuse>().map { it.refusal.kind }).isEqualTo(listOf(RefusalKind.OVER_RATE))
    }

    @Test
    fun `a request is refused at once when the leader has no tokens in time, and its caller returns when there are some`() {
        val router = driver()
        router.send(request("1", router.now))
        router.now += 5.milliseconds
        router.input(TokensGranted(workspace, 0, 700.milliseconds))
        val refusal = router
            .wait(50.milliseconds)
            .filterIsInstance<Refuse>()
            .single()
            .refusal
        expectThat(refusal.kind).isEqualTo(RefusalKind.OVER_RATE)
        expectThat(refusal.retryAfter!!).isGreaterThanOrEqualTo(600.milliseconds)
    }

    /** A fleet whose leader grants tokens after a delay, and what happened to its requests. */
    private inner class Fleet(count: Int, minimumReserve: Long, private val rate: Long, private val random: Random) {
        private val delay = 20.milliseconds
        private val items = catalogueItems(8, slots = 64, rate = rate, burst = rate)
        private var leader = noAllowances().withLimits(listOf(Workspace(workspace, rate, rate))).advanceClock(1, start)
        private val settings = RoutingSettings(minimumTokenReserve = { _, _ -> minimumReserve })
        private val routers = Array(count) { newRoutingState(start - 60.seconds, settings) }
        private val due = sortedMapOf<Long, MutableList<() -> Unit>>()
        private val sentAt = mutableListOf<Pair<Timestamp, Long>>()
        private val arrivals = mutableMapOf<RequestId, AdmittedRequest>()
        var now = start
        var served = 0
        var servedAtOnce = 0
        var refused = 0

        init {
            routers.indices.forEach { input(it, ViewChanged(view(items))) }
        }

        private fun after(time: Duration, action: () -> Unit) {
            due.getOrPut((now + time).microseconds) { mutableListOf() } += action
        }

        private fun input(router: Int, input: RoutingInput?) {
            val step = routers[router].step(earliestFirstToken(2.0), now, input)
            routers[router] = step.state
            step.effects.forEach { perform(router, it) }
        }

        private fun perform(router: Int, effect: RoutingEffect) {
            when (effect) {
                is RequestTokens -> after(delay) {
                    leader = leader.advanceClock(1, now)
                    val taken = leader.takeTokens(workspace, effect.tokens)
                    leader = taken.allowances
                    val missing = effect.tokens - taken.tokens
                    val retryAfter = if (missing <= 0) Duration.ZERO else (missing * 1_000 / rate).coerceIn(50, 1_000).milliseconds
                    input(router, TokensGranted(workspace, taken.tokens, retryAfter))
                }
                is ReturnTokens -> after(delay) { leader = leader.advanceClock(1, now).returnTokens(workspace, effect.tokens) }
                is Dispatch -> dispatched(router, effect.id)
                is Refuse -> refused += 1
                else -> Unit
            }
        }

        private fun dispatched(router: Int, id: RequestId) {
            val request = arrivals.getValue(id)
            served += 1
            if (now - request.arrived < 5.milliseconds) servedAtOnce += 1
            sentAt += now to request.tokens
            after(30.milliseconds) { input(router, AttemptEnded(id, AttemptCompleted(request.tokens, 0, 0, false))) }
        }

        /** Plays [time] with [share] of the rate as load, in requests of [tokens]. */
        fun play(time: Duration, share: Double, tokens: Long) {
            val end = now + time
            var number = 0
            while (now < end) {
                now += 1.milliseconds
                while (due.isNotEmpty() && due.firstKey() <= now.microseconds) due.remove(due.firstKey())!!.forEach { it() }
                if (random.nextDouble() < share * rate / tokens / 1_000) {
                    val request = request("${number++}", now, tokens)
                    arrivals[request.id] = request
                    input(random.nextInt(routers.size), RequestAdmitted(request))
                }
                routers.indices.filter { (now.microseconds / 1_000 + it) % 50 == 0L }.forEach { input(it, null) }
            }
        }

        /** The most tokens that were spent in any [window]. */
        fun mostIn(window: Duration): Long = sentAt.indices.maxOf { first ->
            sentAt.drop(first).takeWhile { it.first - sentAt[first].first < window }.sumOf { it.second }
        }
    }

    @Test
    fun `95 routers with sparse traffic serve what is within the rate, small requests mostly without a wait`() {
        val fleet = Fleet(95, minimumReserve = 800, rate = 60_000, Random(26))
        fleet.play(5.seconds, share = 0.7, tokens = 200)
        expectThat(fleet.refused).isEqualTo(0)
        expectThat(fleet.servedAtOnce.toDouble() / fleet.served).isGreaterThan(0.5)
        val withoutReserve = Fleet(95, minimumReserve = 0, rate = 60_000, Random(26))
        withoutReserve.play(5.seconds, share = 0.7, tokens = 200)
        expectThat(withoutReserve.servedAtOnce).isLessThan(fleet.servedAtOnce)
    }

    @Test
    fun `95 routers with large requests within the rate refuse none of them`() {
        val fleet = Fleet(95, minimumReserve = 800, rate = 60_000, Random(27))
        fleet.play(5.seconds, share = 0.6, tokens = 9_200)
        expectThat(fleet.refused.toDouble() / (fleet.served + fleet.refused)).isLessThanOrEqualTo(0.05)
    }

    @Test
    fun `routers with reserves stay within rate, burst and reserves in every window under overload`() {
        listOf(4, 30, 95).forEach { count ->
            val fleet = Fleet(count, minimumReserve = 500, rate = 20_000, Random(count))
            fleet.play(6.seconds, share = 3.0, tokens = 500)
            expectThat(fleet.mostIn(2.seconds)).describedAs("$count routers").isLessThanOrEqualTo(20_000L * 3 + 500L * count)
            expectThat(fleet.refused).isGreaterThan(0)
        }
    }
}
