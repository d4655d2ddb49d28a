/**
 * Properties of the agreement over generated histories of failures.
 */
package sniperoute.process.agreement

import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import sniperoute.process.agreement.decision.Follower
import sniperoute.process.agreement.decision.Leader
import sniperoute.process.agreement.decision.Redundancy
import sniperoute.process.agreement.decision.SendMessage
import sniperoute.process.agreement.decision.Tick
import sniperoute.process.agreement.decision.TransferLeadership
import sniperoute.process.agreement.decision.redundancy
import sniperoute.process.agreement.decision.step
import sniperoute.process.agreement.message.AppendRequest
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

@OptIn(ExperimentalKotest::class)
class AgreementPropertiesTest {
    private val names = listOf("a", "b", "c")

    @Test
    fun `a follower that does not answer costs the leader one message a heartbeat, however many entries there are`() {
        val group = ReplicaGroup(names, Random(1))
        group.calm(5.seconds) { group.isRedundant() }
        val leader = group.leaderOrNull()!!
        val silent = group.replicas.first { it !== leader }
        group.crash(silent)
        group.calm(1.seconds)
        var sent = 0
        repeat(200) {
            val before = group.flights.count { it.to.vm == silent.vm }
            group.propose()
            sent += group.flights.count { it.to.vm == silent.vm } - before
            group.calm(5.milliseconds)
        }
        expectThat(sent).isLessThan(20)
        expectThat(group.committedIndex).isGreaterThan(190)
    }

    @Test
    fun `a follower that does not answer gets no entries again before it answers, and then all of them`() {
        val group = ReplicaGroup(names, Random(1))
        group.calm(5.seconds) { group.isRedundant() }
        group.calm(200.milliseconds)
        val leader = group.leaderOrNull()!!
        val silent = group.replicas.first { it !== leader }
        group.crash(silent)
        repeat(20) { group.propose() }
        group.calm(500.milliseconds)
        val heartbeat = leader.state!!
            .step(group.now + 100.milliseconds, Tick)
            .effects
            .filterIsInstance<SendMessage>()
            .filter { it.to.vm == silent.vm }
        expectThat(heartbeat.map { (it.message as AppendRequest).entries.size }).isEqualTo(listOf(0))
        group.start(silent)
        expectThat(group.calm(3.seconds) { group.isRedundant() }).isTrue()
        expectThat(silent.state!!.log.lastIndex).isEqualTo(leader.state!!.log.lastIndex)
    }

    @Test
    fun `no acknowledged entry is lost or changed, whatever fails, with a minority of disks lost`() {
        runBlocking {
            checkAll(PropTestConfig(seed = 7, iterations = 400), Arb.long(), Arb.int(100..600)) { seed, steps ->
                val random = Random(seed)
                val group = ReplicaGroup(names, random)
                repeat(steps) { group.act(random) }
                group.heal()
                val recovered = group.calm(20.seconds) { group.isRedundant() && group.holdsAllCommitted() }
                expectThat(recovered).describedAs("seed $seed").isTrue()
            }
        }
    }

    private fun ReplicaGroup.act(random: Random) {
        val one = replicas.random(random)
        when (random.nextInt(100)) {
            in 0..24 -> pass(random.nextInt(1, 60).milliseconds)
            in 25..54 -> deliver(random.nextInt(flights.size.coerceAtLeast(1)))
            in 55..57 -> deliver(random.nextInt(flights.size.coerceAtLeast(1)), keep = true)
            in 58..75 -> replicas.forEach { sync(it, random.nextInt(6)) }
            in 76..83 -> propose()
            in 84..85 -> flights = flights.shuffled(random).drop(flights.size / 3).let { flights.clear().addAll(it) }
            86 -> crash(one)
            in 87..89 -> if (one.state == null) start(one)
            90 -> one.isFrozen = true
            in 91..92 -> one.isFrozen = false
            93 -> cuts = cuts + (one.vm to replicas.random(random).vm)
            in 94..95 -> cuts = emptySet()
            96 -> takeSnapshot(one)
            97 -> input(one, TransferLeadership)
            98 -> if (isRedundant() && holdsEveryVoter()) loseDisk(one)
            else -> calm(200.milliseconds)
        }
    }

    /** An entry is acknowledged by two of three; then the leader dies, and the other one that holds the entry loses its disk. */
    private fun loseAcknowledgedHolder(asOldSelf: Boolean): ReplicaGroup {
        val group = ReplicaGroup(names, Random(1))
        group.calm(3.seconds) { group.leaderOrNull() != null }
        val leader = group.leaderOrNull()!!
        val (partner, outsider) = group.replicas.filter { it !== leader }
        group.cuts = listOf(leader, partner).flatMap { listOf(it.vm to outsider.vm, outsider.vm to it.vm) }.toSet()
        group.propose()
        group.calm(100.milliseconds)
        group.crash(leader)
        group.loseDisk(partner, asOldSelf)
        group.cuts = emptySet()
        return group
    }

    @Test
    fun `a disk that votes as its old self after it was lost does lose an entry, so the property above can fail`() {
        val group = loseAcknowledgedHolder(asOldSelf = true)
        assertThrows<AgreementBroken> {
            group.calm(3.seconds)
            group.propose()
            group.calm(1.seconds)
        }
    }

    @Test
    fun `a lost disk comes back as a new replica and keeps the acknowledged entry in the same history`() {
        val group = loseAcknowledgedHolder(asOldSelf = false)
        group.calm(3.seconds)
        group.heal()
        expectThat(group.calm(10.seconds) { group.isRedundant() && group.holdsAllCommitted() }).isTrue()
    }

    @Test
    fun `a second disk may be lost as soon as redundancy is reported again`() {
        runBlocking {
            checkAll(PropTestConfig(seed = 11, iterations = 60), Arb.long()) { seed ->
                val group = ReplicaGroup(names, Random(seed))
                group.calm(3.seconds) { group.leaderOrNull() != null }
                repeat(20) { group.propose() }
                group.replicas.shuffled(Random(seed)).forEach { replica ->
                    expectThat(group.calm(10.seconds) { group.isRedundant() }).describedAs("seed $seed").isTrue()
                    group.propose()
                    group.calm(50.milliseconds)
                    expectThat(group.calm(10.seconds) { group.isRedundant() }).isTrue()
                    group.loseDisk(replica)
                }
                expectThat(group.calm(10.seconds) { group.isRedundant() && group.holdsAllCommitted() }).isTrue()
                expectThat(group.committedIndex).isGreaterThan(20L)
            }
        }
    }

    @Test
    fun `a new leader is there within 1,5 s of the loss of the old one`() {
        runBlocking {
            checkAll(PropTestConfig(seed = 3, iterations = 300), Arb.long()) { seed ->
                val group = ReplicaGroup(names, Random(seed))
                group.calm(3.seconds) { group.leaderOrNull() != null }
                group.calm(300.milliseconds)
                group.crash(group.leaderOrNull()!!)
                expectThat(group.calm(1_500.milliseconds) { group.leaderOrNull() != null }).describedAs("seed $seed").isTrue()
            }
        }
    }

    @Test
    fun `a replica that is cut off neither disturbs the others nor goes on leading`() {
        val group = ReplicaGroup(names, Random(5))
        group.calm(3.seconds) { group.leaderOrNull() != null }
        val old = group.leaderOrNull()!!
        group.cuts = group.replicas
            .filter { it !== old }
            .flatMap { listOf(it.vm to old.vm, old.vm to it.vm) }
            .toSet()
        group.calm(2.seconds)
        val leader = group.leaderOrNull()!!
        val term = leader.state!!.term
        expectThat(old.state!!.role is Leader).isEqualTo(false)
        group.cuts = emptySet()
        group.calm(3.seconds)
        expectThat(group.leaderOrNull()!!.state!!.term).isEqualTo(term)
    }

    @Test
    fun `entries on their way do not count as a missing voter`() {
        val group = ReplicaGroup(names, Random(13))
        expectThat(group.calm(5.seconds) { group.isRedundant() }).isTrue()
        val seen = (1..200).map {
            group.propose()
            group.pass(5.milliseconds)
            group.replicas.forEach { group.sync(it) }
            group.deliver(0)
            group
                .leaderOrNull()!!
                .state!!
                .redundancy(group.now)
                .also { group.calm(5.milliseconds) }
        }
        expectThat(seen.contains(Redundancy.REDUCED)).isEqualTo(false)
    }

    @Test
    fun `a planned stop hands leadership over without an election timeout`() {
        val group = ReplicaGroup(names, Random(9))
        group.calm(3.seconds) { group.leaderOrNull() != null }
        group.calm(300.milliseconds)
        val old = group.leaderOrNull()!!
        group.input(old, TransferLeadership)
        expectThat(group.calm(100.milliseconds) { group.leaderOrNull().let { it != null && it !== old } }).isTrue()
        expectThat(old.state!!.role is Follower).isTrue()
    }
}
