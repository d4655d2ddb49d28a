/**
 * Time lines are bounded, and hybrid time orders cause before effect whatever the clocks say.
 */
package sniperoute.process.timeline

import io.kotest.property.Arb
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import sniperoute.process.clock.Timestamp
import sniperoute.process.timeline.decision.*
import sniperoute.process.timeline.message.*
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo

class TimelinesTest {
    private fun event(at: HybridTimestamp, process: String, subject: EventSubject = EventSubject()) =
        Event(at, process, EventKind.REQUEST_PLACED, subject, "")

    @Test
    fun `a message is stamped after all that its sender and its receiver knew`() {
        runBlocking {
            checkAll(Arb.list(Arb.long(0L..50L), 2..40)) { clocks ->
                clocks.fold(HybridTimestamp.ZERO) { sender, wall ->
                    val sent = sender.next(Timestamp(wall))
                    val received = HybridTimestamp(wall / 2, 0).merge(Timestamp(wall / 3), sent)
                    expectThat(sent).isGreaterThan(sender)
                    expectThat(received).isGreaterThan(sent)
                    received
                }
            }
        }
    }

    @Test
    fun `a time line keeps the newest events and counts the others`() {
        val full = (1L..1_000L).fold(emptyTimeline(100)) { timeline, time -> timeline.record(event(HybridTimestamp(time, 0), "p")) }
        expectThat(full.events.size).isLessThanOrEqualTo(100)
        expectThat(
            full.events
                .last()
                .at.microseconds,
        ).isEqualTo(1_000)
        expectThat(full.dropped + full.events.size).isEqualTo(1_000)
    }

    @Test
    fun `time lines are merged in causal order and filtered`() {
        val router = listOf(event(HybridTimestamp(5, 0), "router", EventSubject(request = "x")), event(HybridTimestamp(5, 2), "router"))
        val control = listOf(event(HybridTimestamp(5, 1), "control", EventSubject(request = "x")))
        expectThat(mergeTimelines(listOf(router, control), EventFilter()).map { it.at.counter }).isEqualTo(listOf(0, 1, 2))
        expectThat(mergeTimelines(listOf(router, control), EventFilter(request = "x")).size).isEqualTo(2)
    }
}
