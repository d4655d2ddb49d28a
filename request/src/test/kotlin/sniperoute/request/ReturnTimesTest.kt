/**
 * Plays a burst before a service that takes a fixed number of requests a second: callers whose requests are refused come back once, when
 * they are told. Checks how many of them get an answer before their deadline.
 */
package sniperoute.request

import org.junit.jupiter.api.Test
import sniperoute.request.admission.decision.returnDelay
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ReturnTimesTest {
    private class Arrival(val at: Duration, val first: Duration, val hash: Long)

    private val objective = 1_200.milliseconds
    private val deadline = 5.seconds
    private val timePerRequest = 5.milliseconds

    /** Plays two seconds of calm, three with four times the load and four of calm; returns how many callers are served. */
    private fun served(seed: Int, delay: (queue: Duration, left: Duration, hash: Long) -> Duration): Int {
        val random = Random(seed)
        val arrivals = PriorityQueue<Arrival>(compareBy { it.at })
        var time = Duration.ZERO
        while (time < 9.seconds) {
            val perSecond = if (time in 2.seconds..5.seconds) 500.0 else 125.0
            time += (-kotlin.math.ln(1 - random.nextDouble()) / perSecond).seconds
            arrivals += Arrival(time, time, random.nextLong())
        }
        var busyUntil = Duration.ZERO
        var served = 0
        while (true) {
            val next = arrivals.poll() ?: return served
            val queue = (busyUntil - next.at).coerceAtLeast(Duration.ZERO)
            if (queue <= objective * 0.8) {
                busyUntil = next.at + queue + timePerRequest
                served += 1
            } else if (next.at == next.first) {
                val left = next.first + deadline - next.at
                arrivals += Arrival(next.at + delay(queue, left, next.hash), next.first, next.hash)
            }
        }
    }

    @Test
    fun `more callers of a burst are served when they come back as the queue allows`() {
        val gains = (1..20).map { seed ->
            val soon = served(seed) { _, _, _ -> objective / 8 }
            val spread = served(seed) { queue, left, hash -> returnDelay(queue, objective * 0.8, objective / 8, left, hash) }
            spread to soon
        }
        expectThat(gains.map { (spread, soon) -> spread - soon }).all { isGreaterThan(0) }
    }

    @Test
    fun `a caller is told to wait for the excess of the queue, spread over as much again, and keeps time for the answer`() {
        val random = Random(7)
        val delays = List(1_000) { returnDelay(1_200.milliseconds, 300.milliseconds, 50.milliseconds, 60.seconds, random.nextLong()) }
        expectThat(delays).all { isGreaterThanOrEqualTo(900.milliseconds).isLessThanOrEqualTo(1_800.milliseconds) }
        expectThat(delays.count { it < 1_350.milliseconds }).isGreaterThan(400).isLessThanOrEqualTo(600)
        expectThat(returnDelay(2.seconds, Duration.ZERO, Duration.ZERO, 300.milliseconds, Long.MAX_VALUE)).isEqualTo(100.milliseconds)
        expectThat(returnDelay(Duration.ZERO, 1.seconds, 50.milliseconds, 60.seconds, 0)).isEqualTo(50.milliseconds)
        expectThat(returnDelay(2.seconds, Duration.ZERO, Duration.ZERO, (-1).seconds, 0)).isEqualTo(Duration.ZERO)
    }
}
