/**
 * Token buckets of workspaces over the whole fleet: no workspace gets more than its burst and rate, or less than its rate except for
 * one interval at a change of leader.
 */
package sniperoute.version

import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import sniperoute.process.clock.Timestamp
import sniperoute.version.decision.*
import sniperoute.version.message.Workspace
import sniperoute.version.message.WorkspaceName
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

class AllowancesTest {
    private val name = WorkspaceName("w")
    private val workspace = Workspace(name, tokensPerSecond = 1_000, burstTokens = 500)

    @Test
    fun `granted tokens never exceed burst and rate, through restarts, clock skew and changes of leader`() {
        runBlocking {
            checkAll(Arb.long(), Arb.int(1..200)) { seed, steps ->
                val random = Random(seed)
                var allowances = noAllowances().withLimits(listOf(workspace))
                var trueMicroseconds = 0L
                var term = 1L
                var skew = 0L
                var spent = 0L
                var held = 0L
                repeat(steps) {
                    trueMicroseconds += random.nextLong(200_000)
                    when (random.nextInt(10)) {
                        0 -> {
                            term += 1
                            skew = random.nextLong(-3_600_000_000, 3_600_000_000)
                        }
                        1 -> held = 0
                        2 -> {
                            allowances = allowances.returnTokens(name, held)
                            held = 0
                        }
                        3 -> allowances = allowances.withLimits(listOf(workspace))
                        4, 5 -> {
                            spent += held
                            held = 0
                        }
                        else -> {
                            allowances = allowances.advanceClock(term, Timestamp(10_000_000_000 + trueMicroseconds + skew))
                            val result = allowances.takeTokens(name, random.nextLong(400))
                            allowances = result.allowances
                            held += result.tokens
                        }
                    }
                    expectThat(spent + held).describedAs("seed $seed").isLessThanOrEqualTo(500 + trueMicroseconds * 1_000 / 1_000_000)
                }
            }
        }
    }

    @Test
    fun `a workspace that requests its whole rate gets it, and a change of leader costs only one interval between commands`() {
        var allowances = noAllowances().withLimits(listOf(workspace)).advanceClock(1, Timestamp(1_000_000))
        var taken = 0L
        (1..100).forEach { step ->
            val term = if (step <= 50) 1L else 2L
            allowances = allowances.advanceClock(term, Timestamp(1_000_000L + step * 100_000L))
            val result = allowances.takeTokens(name, 10_000)
            allowances = result.allowances
            taken += result.tokens
        }
        // After the first tokens are taken from a full bucket, 99 intervals of 100 ms follow; the leader changes in one of them.
        expectThat(taken).isGreaterThanOrEqualTo(500 + 99 * 100 - 100)
    }

    @Test
    fun `declaring a workspace again grants it no tokens, and a lower burst applies at once`() {
        val empty = noAllowances().withLimits(listOf(workspace)).takeTokens(name, 500).allowances
        expectThat(empty.withLimits(listOf(workspace)).availableTokensOrNull(name)).isEqualTo(0)
        val full = noAllowances().withLimits(listOf(workspace)).withLimits(listOf(workspace.copy(burstTokens = 100)))
        expectThat(full.takeTokens(name, 500).tokens).isEqualTo(100)
    }
}
