/**
 * The pace of weight changes: how many endpoints are away at once, and whether each is done in time.
 */
package sniperoute.version

import org.junit.jupiter.api.Test
import sniperoute.process.clock.Timestamp
import sniperoute.version.decision.Lateness
import sniperoute.version.decision.addResponse
import sniperoute.version.decision.fewestOpenCommands
import sniperoute.version.decision.isStrained
import sniperoute.version.decision.lateSince
import sniperoute.version.decision.maxOpenCommands
import sniperoute.version.decision.noEvidence
import sniperoute.version.decision.noLateness
import sniperoute.version.decision.record
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val start = Timestamp(1_000_000_000)

class LoadPacingTest {
    /** An endpoint of a play: since when its weights are outdated, and until when it is away. */
    private data class PlayedEndpoint(val outdatedSince: Timestamp? = null, val awayUntil: Timestamp? = null)

    private class Played(val meanAway: Double, val longestOutdated: Duration, val changes: Int)

    /** Plays [endpoints] endpoints while new weights are named at [namings]; each change takes between one and three seconds. */
    private fun play(
        endpoints: Int,
        namings: List<Duration>,
        seed: Int,
        open: (outdatedSince: List<Timestamp>, now: Timestamp) -> Int,
    ): Played {
        val random = Random(seed)
        var all = List(endpoints) { PlayedEndpoint() }
        var away = 0L
        var longest = Duration.ZERO
        var changes = 0
        val ticks = (1..300).map { start + 100.milliseconds * it }
        ticks.forEach { now ->
            val isNamed = namings.any { it > now - start - 100.milliseconds && it <= now - start }
            all = all.map { if (isNamed && it.outdatedSince == null) it.copy(outdatedSince = now) else it }
            all.mapNotNull { it.outdatedSince }.forEach { longest = maxOf(longest, now - it) }
            all = all.map { endpoint ->
                if (endpoint.awayUntil == null || now < endpoint.awayUntil) return@map endpoint
                changes += 1
                PlayedEndpoint()
            }
            val available = open(all.mapNotNull { it.outdatedSince }, now) - all.count { it.awayUntil != null }
            val next = all.indices
                .filter { all[it].outdatedSince != null && all[it].awayUntil == null }
                .sortedBy { all[it].outdatedSince }
                .take(available.coerceAtLeast(0))
            all = all.mapIndexed { index, endpoint ->
                if (index in next) endpoint.copy(awayUntil = now + random.nextLong(1_000, 3_000).milliseconds) else endpoint
            }
            away += all.count { it.awayUntil != null }
        }
        return Played(away.toDouble() / ticks.size / endpoints, longest, changes)
    }

    private val namings = listOf(2.seconds, 5.seconds, 9.seconds, 13.seconds)

    @Test
    fun `while a service is strained, fewer endpoints are away, and every one changes in time`() {
        val plays = (1..20).map { seed ->
            val fast = play(63, namings, seed) { _, _ -> maxOpenCommands(63) }
            val paced = play(63, namings, seed) { outdated, now -> fewestOpenCommands(63, outdated, 13.seconds, now) }
            fast to paced
        }
        expectThat(plays.map { (fast, paced) -> paced.meanAway / fast.meanAway }).all { isLessThan(0.75) }
        expectThat(plays.map { it.second.longestOutdated }).all { isLessThanOrEqualTo(13.seconds) }
    }

    @Test
    fun `endpoints that are due at once change as fast as the service allows`() {
        val overdue = List(63) { start }
        expectThat(fewestOpenCommands(63, overdue, 13.seconds, start + 20.seconds)).isEqualTo(maxOpenCommands(63))
        expectThat(fewestOpenCommands(63, List(63) { Timestamp.EARLIEST }, 13.seconds, start)).isEqualTo(maxOpenCommands(63))
        expectThat(fewestOpenCommands(63, emptyList(), 13.seconds, start)).isEqualTo(1)
        expectThat(fewestOpenCommands(2, listOf(start), 6.seconds, start + 1.seconds)).isGreaterThanOrEqualTo(1)
    }

    @Test
    fun `a service is strained by late first tokens, and not for long after the last ones`() {
        val strained = noLateness(start).record(late = 3, total = 20, now = start)
        expectThat(strained.isStrained(start)).isTrue()
        expectThat(strained.isStrained(start + 10.seconds)).isFalse()
        expectThat(strained.record(late = 0, total = 100, now = start + 1.seconds).isStrained(start + 1.seconds)).isFalse()
        expectThat(Lateness(7.0, 100.0, start).isStrained(start, wasStrained = false)).describedAs("7 of 100").isFalse()
        expectThat(Lateness(7.0, 100.0, start).isStrained(start, wasStrained = true)).describedAs("7 of 100 after more").isTrue()
        expectThat(Lateness(1.0, 2.0, start).isStrained(start)).describedAs("two requests").isFalse()
    }

    @Test
    fun `late first tokens are those beyond the objective, and a router that starts again counts from zero`() {
        val before = noEvidence().addResponse(100.0)
        val after = before.addResponse(100.0).addResponse(900.0)
        expectThat(lateSince(before, after, 400)).isEqualTo(1L to 2L)
        expectThat(lateSince(after, before, 400)).isEqualTo(0L to 0L)
    }
}
