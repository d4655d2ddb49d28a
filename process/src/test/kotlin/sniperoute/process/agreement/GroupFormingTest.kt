/**
 * A group that forms from seeds without an operator and repairs itself: new replicas on any VM, voters and disks that are lost for
 * good, and replicas that were replaced while they were down. Also the lease clock.
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
import sniperoute.process.clock.leaseClock
import sniperoute.process.identity.VmName
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

@OptIn(ExperimentalKotest::class)
class GroupFormingTest {
    private val names = listOf("a", "b", "c", "d", "e", "f")
    private val seeds = listOf("a", "b", "c")
    private val settings =
        AgreementSettings(persistentSetOf(), targetVoterCount = 5, joinRequestInterval = 200.milliseconds, maxEntriesPerMessage = 8)

    private fun group(random: Random) = SimulatedGroup(names, random, seeds, settings, startsAll = false)

    private fun SimulatedGroup.voters(): Set<String> =
        leaderOrNull()
            ?.state
            ?.log
            ?.membership
            ?.voters
            .orEmpty()
            .map { it.vm.text }
            .toSet()

    private fun SimulatedGroup.named(name: String) = replicas.first { it.vm == VmName(name) }

    @Test
    fun `five voters form a group from three seeds in any start order, with one seed late`() {
        runBlocking {
            checkAll(PropTestConfig(seed = 3, iterations = 100), Arb.long()) { seed ->
                val random = Random(seed)
                val group = group(random)
                val late = seeds.random(random)
                (names - "f" - late).shuffled(random).forEach { name ->
                    group.start(group.named(name))
                    group.runFor(random.nextInt(300).milliseconds)
                }
                group.runFor(random.nextInt(5_000).milliseconds)
                group.start(group.named(late))
                expectThat(group.runFor(10.seconds) { group.isRedundant() }).describedAs("seed $seed").isTrue()
                expectThat(group.voters()).describedAs("seed $seed").isEqualTo((names - "f").toSet())
            }
        }
    }

    @Test
    fun `a new replica replaces a voter that is lost for good, and no acknowledged entry is lost`() {
        runBlocking {
            checkAll(PropTestConfig(seed = 4, iterations = 100), Arb.long()) { seed ->
                val random = Random(seed)
                val group = group(random)
                (names - "f").forEach { group.start(group.named(it)) }
                group.runFor(10.seconds) { group.isRedundant() }
                group.propose()
                group.runFor(1.seconds)
                val committed = group.committedIndex
                val lost = (names - "f").random(random)
                group.crash(group.named(lost))
                group.runFor(random.nextInt(3_000).milliseconds)
                group.start(group.named("f"))
                val start = group.now
                expectThat(group.runFor(10.seconds) { "f" in group.voters() && group.isRedundant() }).describedAs("seed $seed").isTrue()
                expectThat(group.now - start).describedAs("seed $seed").isLessThan(4.seconds)
                expectThat(group.committedIndex).describedAs("seed $seed").isGreaterThan(committed - 1)
                expectThat(
                    group
                        .named("f")
                        .disk.log.lastIndex,
                ).describedAs("seed $seed").isGreaterThan(committed - 1)
            }
        }
    }

    @Test
    fun `a replica that was replaced while it was down joins as a learner and does not disrupt the group`() {
        val group = group(Random(5))
        (names - "f").forEach { group.start(group.named(it)) }
        group.runFor(10.seconds) { group.isRedundant() }
        val away = (names - "f").first { it != group.leaderOrNull()!!.vm.text }
        group.crash(group.named(away))
        group.runFor(2.seconds)
        group.start(group.named("f"))
        group.runFor(5.seconds) { "f" in group.voters() && group.isRedundant() }
        val term = group.leaderOrNull()!!.state!!.term
        group.start(group.named(away))
        group.runFor(5.seconds)
        val membership = group
            .leaderOrNull()!!
            .state!!
            .log.membership
        expectThat(group.leaderOrNull()!!.state!!.term).isEqualTo(term)
        expectThat(membership.learners.map { it.vm.text }).contains(away)
    }

    @Test
    fun `a machine that lost its disk has a voter again within two seconds`() {
        val group = group(Random(6))
        (names - "f").forEach { group.start(group.named(it)) }
        group.runFor(10.seconds) { group.isRedundant() }
        val lost = group.named("b")
        group.loseDisk(lost)
        val start = group.now
        expectThat(
            group.runFor(10.seconds) {
                lost.disk.identity in group
                    .leaderOrNull()
                    ?.state
                    ?.log
                    ?.membership
                    ?.voters
                    .orEmpty()
            },
        ).isTrue()
        expectThat(group.now - start).isLessThan(2.seconds)
    }

    @Test
    fun `the lease clock counts the time of a suspended machine and ignores a wall clock that is set back`() {
        var steady = 1_000_000L
        var wall = 50_000_000L
        val clock = leaseClock({ steady }, { wall })
        val first = clock()
        steady += 10_000
        wall += 10_000
        expectThat(clock() - first).isEqualTo(10.milliseconds)
        wall += 8_000_000
        expectThat(clock() - first).isEqualTo(8_010.milliseconds)
        wall -= 20_000_000
        steady += 10_000
        wall += 10_000
        expectThat(clock() - first).isEqualTo(8_020.milliseconds)
    }
}
