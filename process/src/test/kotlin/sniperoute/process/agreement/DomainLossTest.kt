/**
 * The loss of a whole failure domain with two of five voters in it: the rest goes on, loses nothing acknowledged, and takes the two back.
 */
package sniperoute.process.agreement

import kotlinx.collections.immutable.persistentSetOf
import org.junit.jupiter.api.Test
import sniperoute.process.agreement.decision.AgreementSettings
import sniperoute.process.identity.VmName
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isTrue
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class DomainLossTest {
    private val domains = listOf(listOf("a", "b"), listOf("c", "d"), listOf("e"))
    private val names = domains.flatten()
    private val settings = AgreementSettings(persistentSetOf(), targetVoterCount = 5, joinRequestInterval = 200.milliseconds)

    @Test
    fun `five voters in three domains survive the loss of each domain, with or without its disks`() {
        repeat(30) { seed ->
            val random = Random(seed)
            val group = SimulatedGroup(names, random, names.shuffled(random).take(3), settings)
            expectThat(group.runFor(15.seconds) { group.hasEveryDiskAsVoter() && group.isRedundant() }).describedAs("seed $seed").isTrue()
            val lost = domains[seed % domains.size].map { name -> group.replicas.first { it.vm == VmName(name) } }
            val losesDisks = random.nextBoolean()
            group.propose()
            group.runFor(random.nextInt(100).milliseconds)
            lost.forEach(group::crash)
            val before = group.committedIndex
            val isGoingOn = {
                group.propose()
                group.committedIndex > before + 2
            }
            expectThat(group.runFor(10.seconds, isGoingOn)).describedAs("seed $seed, without $lost").isTrue()
            val committed = group.committedIndex
            lost.forEach { if (losesDisks) group.loseDisk(it) else group.start(it) }
            expectThat(group.runFor(30.seconds) { group.hasEveryDiskAsVoter() }).describedAs("seed $seed, whole again").isTrue()
            expectThat(group.committedIndex).isGreaterThan(committed - 1)
            val voters = group
                .leaderOrNull()
                ?.state
                ?.log
                ?.membership
                ?.voters
                .orEmpty()
            expectThat(voters.map { it.vm.text }.sorted()).isEqualTo(names)
        }
    }
}
