/**
 * Safety and availability of the agreement in simulated histories with random failures.
 */
package sniperoute.process.agreement

import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.collections.immutable.toPersistentSet
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import sniperoute.process.agreement.decision.AgreementSettings
import sniperoute.process.agreement.decision.Follower
import sniperoute.process.agreement.decision.Leader
import sniperoute.process.agreement.decision.MAX_BATCH_BYTES
import sniperoute.process.agreement.decision.Redundancy
import sniperoute.process.agreement.decision.SendMessage
import sniperoute.process.agreement.decision.Tick
import sniperoute.process.agreement.decision.TransferLeadership
import sniperoute.process.agreement.decision.redundancy
import sniperoute.process.agreement.decision.step
import sniperoute.process.agreement.message.AgreementMessage
import sniperoute.process.agreement.message.AppendEntriesRequest
import sniperoute.process.identity.VmName
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val LONG_COMMAND_BYTES = 40_000

@OptIn(ExperimentalKotest::class)
class AgreementPropertiesTest {
    private val names = listOf("a", "b", "c")

    @Test
    fun `an unresponsive follower is sent one message per heartbeat, however many entries there are`() {
        val group = SimulatedGroup(names, Random(1))
        group.runFor(5.seconds) { group.isRedundant() }
        val leader = group.leaderOrNull()!!
        val silent = group.replicas.first { it !== leader }
        group.crash(silent)
        group.runFor(1.seconds)
        var sent = 0
        repeat(200) {
            val before = group.inFlight.count { it.to.vm == silent.vm }
            group.propose()
            sent += group.inFlight.count { it.to.vm == silent.vm } - before
            group.runFor(5.milliseconds)
        }
        expectThat(sent).isLessThan(20)
        expectThat(group.committedIndex).isGreaterThan(190)
    }

    @Test
    fun `an unresponsive follower is sent no entries until it answers, and then all that it lacks`() {
        val group = SimulatedGroup(names, Random(1))
        group.runFor(5.seconds) { group.isRedundant() }
        group.runFor(200.milliseconds)
        val leader = group.leaderOrNull()!!
        val silent = group.replicas.first { it !== leader }
        group.crash(silent)
        repeat(20) { group.propose() }
        group.runFor(500.milliseconds)
        val heartbeat = leader.state!!
            .step(group.now + 100.milliseconds, Tick)
            .effects
            .filterIsInstance<SendMessage>()
            .filter { it.to.vm == silent.vm }
        expectThat(heartbeat.map { (it.message as AppendEntriesRequest).entries.size }).isEqualTo(listOf(0))
        group.start(silent)
        expectThat(group.runFor(3.seconds) { group.isRedundant() }).isTrue()
        expectThat(silent.state!!.log.lastIndex).isEqualTo(leader.state!!.log.lastIndex)
    }

    /** Guards against a message of hundreds of long entries, which a link gives up before it is read. */
    @Test
    fun `an empty replica gets long entries in messages that are bounded in bytes`() {
        val group = SimulatedGroup(names, Random(1), settings = AgreementSettings(names.map(::VmName).toPersistentSet()))
        group.runFor(5.seconds) { group.isRedundant() }
        repeat(60) {
            group.propose(LONG_COMMAND_BYTES)
            group.runFor(20.milliseconds)
        }
        val wiped = group.replicas.first { it !== group.leaderOrNull() }
        group.loseDisk(wiped)
        var longest = 0
        group.runFor(10.seconds) {
            longest = maxOf(longest, group.inFlight.maxOfOrNull { it.message.commandBytes() } ?: 0)
            group.hasEveryDiskAsVoter()
        }
        expectThat(group.hasEveryDiskAsVoter()).isTrue()
        expectThat(longest).isLessThanOrEqualTo(MAX_BATCH_BYTES)
    }

    private fun AgreementMessage.commandBytes(): Int = (this as? AppendEntriesRequest)?.entries.orEmpty().sumOf { it.commandBytes }

    @Test
    fun `no acknowledged entry is lost or changed by failures that lose only a minority of disks`() {
        runBlocking {
            checkAll(PropTestConfig(seed = 7, iterations = 400), Arb.long(), Arb.int(100..600)) { seed, steps ->
                val random = Random(seed)
                val group = SimulatedGroup(names, random)
                repeat(steps) { group.randomStep(random) }
                group.restoreAll()
                val recovered = group.runFor(20.seconds) { group.isRedundant() && group.hasCommittedEntriesOnAllDisks() }
                expectThat(recovered).describedAs("seed $seed").isTrue()
            }
        }
    }

    private fun SimulatedGroup.randomStep(random: Random) {
        val one = replicas.random(random)
        when (random.nextInt(100)) {
            in 0..24 -> advance(random.nextInt(1, 60).milliseconds)
            in 25..54 -> deliver(random.nextInt(inFlight.size.coerceAtLeast(1)))
            in 55..57 -> deliver(random.nextInt(inFlight.size.coerceAtLeast(1)), keep = true)
            in 58..75 -> replicas.forEach { sync(it, random.nextInt(6)) }
            in 76..83 -> propose()
            in 84..85 -> inFlight = inFlight.shuffled(random).drop(inFlight.size / 3).let { inFlight.clear().addAll(it) }
            86 -> crash(one)
            in 87..89 -> if (one.state == null) start(one)
            90 -> one.isPaused = true
            in 91..92 -> one.isPaused = false
            93 -> blockedLinks = blockedLinks + (one.vm to replicas.random(random).vm)
            in 94..95 -> blockedLinks = emptySet()
            96 -> takeSnapshot(one)
            97 -> input(one, TransferLeadership)
            98 -> if (isRedundant() && hasEveryDiskAsVoter()) loseDisk(one)
            else -> runFor(200.milliseconds)
        }
    }

    /** An entry is acknowledged by two of three replicas; then the leader crashes, and the other holder of the entry loses its disk. */
    private fun loseDiskOfAcknowledgedEntry(keepIdentity: Boolean): SimulatedGroup {
        val group = SimulatedGroup(names, Random(1))
        group.runFor(3.seconds) { group.leaderOrNull() != null }
        val leader = group.leaderOrNull()!!
        val (holder, isolated) = group.replicas.filter { it !== leader }
        group.blockedLinks = listOf(leader, holder).flatMap { listOf(it.vm to isolated.vm, isolated.vm to it.vm) }.toSet()
        group.propose()
        group.runFor(100.milliseconds)
        group.crash(leader)
        group.loseDisk(holder, keepIdentity)
        group.blockedLinks = emptySet()
        return group
    }

    @Test
    fun `a lost disk that votes under its old identity loses an entry, so the property above can fail`() {
        val group = loseDiskOfAcknowledgedEntry(keepIdentity = true)
        assertThrows<SafetyViolation> {
            group.runFor(3.seconds)
            group.propose()
            group.runFor(1.seconds)
        }
    }

    @Test
    fun `a lost disk that comes back as a new replica loses no entry in the same history`() {
        val group = loseDiskOfAcknowledgedEntry(keepIdentity = false)
        group.runFor(3.seconds)
        group.restoreAll()
        expectThat(group.runFor(10.seconds) { group.isRedundant() && group.hasCommittedEntriesOnAllDisks() }).isTrue()
    }

    @Test
    fun `a second disk may be lost as soon as redundancy is reported again`() {
        runBlocking {
            checkAll(PropTestConfig(seed = 11, iterations = 60), Arb.long()) { seed ->
                val group = SimulatedGroup(names, Random(seed))
                group.runFor(3.seconds) { group.leaderOrNull() != null }
                repeat(20) { group.propose() }
                group.replicas.shuffled(Random(seed)).forEach { replica ->
                    expectThat(group.runFor(10.seconds) { group.isRedundant() }).describedAs("seed $seed").isTrue()
                    group.propose()
                    group.runFor(50.milliseconds)
                    expectThat(group.runFor(10.seconds) { group.isRedundant() }).isTrue()
                    group.loseDisk(replica)
                }
                expectThat(group.runFor(10.seconds) { group.isRedundant() && group.hasCommittedEntriesOnAllDisks() }).isTrue()
                expectThat(group.committedIndex).isGreaterThan(20L)
            }
        }
    }

    @Test
    fun `a new leader is elected within 1500 ms of the loss of the old one`() {
        runBlocking {
            checkAll(PropTestConfig(seed = 3, iterations = 300), Arb.long()) { seed ->
                val group = SimulatedGroup(names, Random(seed))
                group.runFor(3.seconds) { group.leaderOrNull() != null }
                group.runFor(300.milliseconds)
                group.crash(group.leaderOrNull()!!)
                expectThat(group.runFor(1_500.milliseconds) { group.leaderOrNull() != null }).describedAs("seed $seed").isTrue()
            }
        }
    }

    @Test
    fun `a partitioned leader steps down and does not disrupt the other replicas`() {
        val group = SimulatedGroup(names, Random(5))
        group.runFor(3.seconds) { group.leaderOrNull() != null }
        val old = group.leaderOrNull()!!
        group.blockedLinks = group.replicas
            .filter { it !== old }
            .flatMap { listOf(it.vm to old.vm, old.vm to it.vm) }
            .toSet()
        group.runFor(2.seconds)
        val leader = group.leaderOrNull()!!
        val term = leader.state!!.term
        expectThat(old.state!!.role is Leader).isEqualTo(false)
        group.blockedLinks = emptySet()
        group.runFor(3.seconds)
        expectThat(group.leaderOrNull()!!.state!!.term).isEqualTo(term)
    }

    @Test
    fun `entries in flight do not count as a missing voter`() {
        val group = SimulatedGroup(names, Random(13))
        expectThat(group.runFor(5.seconds) { group.isRedundant() }).isTrue()
        val seen = (1..200).map {
            group.propose()
            group.advance(5.milliseconds)
            group.replicas.forEach { group.sync(it) }
            group.deliver(0)
            group
                .leaderOrNull()!!
                .state!!
                .redundancy(group.now)
                .also { group.runFor(5.milliseconds) }
        }
        expectThat(seen.contains(Redundancy.REDUCED)).isEqualTo(false)
    }

    @Test
    fun `a planned stop transfers leadership without an election timeout`() {
        val group = SimulatedGroup(names, Random(9))
        group.runFor(3.seconds) { group.leaderOrNull() != null }
        group.runFor(300.milliseconds)
        val old = group.leaderOrNull()!!
        group.input(old, TransferLeadership)
        expectThat(group.runFor(100.milliseconds) { group.leaderOrNull().let { it != null && it !== old } }).isTrue()
        expectThat(old.state!!.role is Follower).isTrue()
    }
}
