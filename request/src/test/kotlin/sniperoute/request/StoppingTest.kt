/**
 * Requests that come while a router stops: those taken can end before the process does, and the others are refused at once.
 */
package sniperoute.request

import org.junit.jupiter.api.Test
import sniperoute.process.clock.Timestamp
import sniperoute.request.admission.decision.*
import sniperoute.version.message.Repetition
import sniperoute.version.message.Route
import sniperoute.version.message.RouteName
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class StoppingTest {
    private val timing = stopTimingWithin(8.seconds, 2_300.milliseconds)
    private val short = route(RouteName("short"), deadline = 1_000)
    private val long = route(RouteName("long"), deadline = 15_000)

    private fun route(name: RouteName, deadline: Long): Route =
        review.copy(name = name, deadlineMilliseconds = deadline, repetition = Repetition.ONCE_ONLY)

    private fun durations(route: Route, values: List<Duration>) = values.fold(
        noRequestDurations(),
    ) { all, duration -> all.record(route.name, duration) }

    @Test
    fun `a request whose deadline lies within the stop is taken until load balancers have noticed`() {
        val stop = timing.begin(start)
        expectThat(stop.takes(short, noRequestDurations(), start)).isTrue()
        expectThat(stop.takes(short, noRequestDurations(), start + 2_299.milliseconds)).isTrue()
        expectThat(stop.takes(short, noRequestDurations(), start + 2_300.milliseconds)).isFalse()
    }

    @Test
    fun `a request that may last longer than the stop is taken only where its route's requests are known to be shorter`() {
        val stop = timing.begin(start)
        expectThat(stop.takes(long, noRequestDurations(), start)).isFalse()
        expectThat(stop.takes(long, durations(long, listOf(1.seconds)), start + 2.seconds)).isTrue()
        expectThat(stop.takes(long, durations(long, listOf(12.seconds, 1.seconds)), start)).isFalse()
    }

    @Test
    fun `no request that may run only once is cut, however late it is taken in stops of any length`() {
        val random = Random(8)
        var taken = 0
        repeat(2_000) {
            val grace = random.nextInt(200, 40_000).milliseconds
            val typical = random.nextInt(20, 12_000).milliseconds
            val before = List(30) { typical * random.nextDouble(0.3, 1.0) }
            val durations = durations(long, before)
            val stop = stopTimingWithin(grace, 2_300.milliseconds).begin(start)
            val at: Timestamp = start + grace * random.nextDouble()
            val lasts = minOf(before.max() * random.nextDouble(0.5, 2.0), 15.seconds)
            if (stop.takes(long, durations, at)) {
                taken += 1
                expectThat(at + lasts).isLessThanOrEqualTo(start + grace)
            }
        }
        expectThat(taken).isGreaterThan(100)
    }

    @Test
    fun `a stop without any grace takes nothing`() {
        expectThat(stopTimingWithin(Duration.ZERO, 2.seconds)).isEqualTo(StopTiming(Duration.ZERO, Duration.ZERO))
        expectThat(stopTimingWithin(Duration.ZERO, 2.seconds).begin(start).takes(short, noRequestDurations(), start)).isFalse()
    }
}
