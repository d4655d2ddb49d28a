/**
 * Disks that are full for some seconds, one after another and never two at once: the group acknowledges again once there is room.
 */
package sniperoute.process.agreement

import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import sniperoute.process.agreement.decision.AgreementSettings
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isTrue
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

@OptIn(ExperimentalKotest::class)
class FullDisksTest {
    private val voters = listOf("a", "b", "c", "d", "e")
    private val spares = listOf("f", "g")

    private fun group(names: List<String>, random: Random) = SimulatedGroup(
        names,
        random,
        seeds = voters,
        settings = AgreementSettings(persistentSetOf(), targetVoterCount = voters.size, joinRequestInterval = 200.milliseconds),
    )

    /** Proposes a command each 20 ms for some seconds, and now and then takes a snapshot. */
    private fun SimulatedGroup.work(random: Random, steps: Int) = repeat(steps) {
        propose(if (random.nextInt(10) == 0) LONG_COMMAND_BYTES else 2)
        runFor(20.milliseconds)
        if (random.nextInt(40) == 0) takeSnapshot(replicas.random(random))
    }

    /** Guards against changes that stay unanswered long after the last full disk had room again. */
    @Test
    fun `commands are committed again after disks were full one after another`() {
        runBlocking {
            checkAll(PropTestConfig(seed = 17, iterations = 60), Arb.long()) { seed ->
                val random = Random(seed)
                val group = group(if (random.nextBoolean()) voters else voters + spares, random)
                group.runFor(5.seconds) { group.leaderOrNull() != null }
                group.work(random, 50)
                repeat(random.nextInt(2, 8)) {
                    val leader = group.leaderOrNull()
                    val full = if (leader != null && random.nextBoolean()) leader else group.replicas.random(random)
                    full.isDiskFull = true
                    group.work(random, random.nextInt(20, 250))
                    full.isDiskFull = false
                    group.work(random, random.nextInt(1, 60))
                }
                group.runFor(3.seconds)
                val before = group.committedIndex
                group.work(random, 50)
                group.runFor(1.seconds)
                expectThat(group.committedIndex - before).describedAs("seed $seed").isGreaterThan(40L)
                expectThat(group.runFor(10.seconds) { group.isRedundant() }).describedAs("seed $seed").isTrue()
            }
        }
    }
}

private const val LONG_COMMAND_BYTES = 300_000
