/**
 * Load commands of a leader that is cut off and of the next one, over generated histories of late replies, lists and elections.
 */
package sniperoute.programs

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import org.junit.jupiter.api.Test
import sniperoute.control.decision.FleetSettings
import sniperoute.control.decision.maySendLoadCommand
import sniperoute.control.decision.newControlDutyState
import sniperoute.control.message.*
import sniperoute.process.clock.Timestamp
import sniperoute.process.identity.FailureDomain
import sniperoute.version.codec.digest
import sniperoute.version.codec.emptyDeclarations
import sniperoute.version.decision.EndpointReport
import sniperoute.version.decision.LoadCommandOutcome
import sniperoute.version.decision.ReadEndpoint
import sniperoute.version.decision.SendLoadCommand
import sniperoute.version.message.*
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isNotNull
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val gracePeriod = 3.seconds
private val model = ModelName("m")
private val step = 10.milliseconds

/** The agreement's times: a lease, the shortest time in which another leader can be elected, and the longest until a leader steps down. */
private val lease = 300.milliseconds
private val minimumElection = 350.milliseconds
private val maximumElection = 600.milliseconds

/** How long a command may take to its endpoint once its first byte is written. */
private val transit = 100.milliseconds

/** Returns a delay up to [milliseconds], which often is none. */
private fun Random.delay(milliseconds: Int): Duration = if (nextBoolean()) Duration.ZERO else nextInt(milliseconds).milliseconds

/** A leader, and what endpoints reply to it. */
private class PlayedLeader(term: Long, private val random: Random) {
    val driver = ControlDutyDriver(term).also {
        it.state = newControlDutyState(100, FleetSettings(readsPlatformList = true, loadCommandGracePeriod = gracePeriod))
    }
    private var replies = emptyList<Pair<Timestamp, ControlInput>>()

    /** When commands that left arrive at their endpoints. */
    var arrivals = emptyList<Timestamp>()
        private set
    private var waiting = emptyList<Timestamp>()

    fun configure() {
        val engine = EngineProfile(64, 1_000, 1, 1.0, persistentListOf(model))
        val service = Service(listedService, ServiceKind.MODEL, persistentListOf(), null, null, isListed = true, engine = engine)
        val declarations = emptyDeclarations().copy(services = persistentListOf(service))
        driver.submit(SubmitConfiguration(driver.now, 0, declarations.digest(), "o", declarations))
        driver.submit(SetTargetWeights(driver.now, model, 2, "o"))
    }

    /** Takes over the replicated state of [other]. */
    fun follow(other: PlayedLeader) {
        driver.state = driver.state.copy(replicatedState = other.driver.state.replicatedState)
    }

    /** Plays one step at [now]. A command waits for its connection; it leaves only if the lease still allows it by then. */
    fun play(now: Timestamp) {
        driver.now = now
        waiting.filter { it <= now }.forEach { _ ->
            if (driver.status().maySendLoadCommand(driver.term, now)) arrivals = arrivals + (now + transit)
        }
        waiting = waiting.filter { it > now }
        val due = replies.filter { it.first <= now }.map { it.second }
        replies = replies.filter { it.first > now }
        (due + null).forEach { input -> driver.input(input).forEach { perform(it) } }
    }

    private fun perform(effect: ControlEffect) {
        when (effect) {
            is ReadPlatformList -> reply(PlatformListRead(list))
            is PerformLoadEffect -> when (val load = effect.load) {
                is ReadEndpoint -> reply(EndpointReportRead(load.listed.endpoint.name, report()))
                is SendLoadCommand -> {
                    waiting = waiting + (driver.now + random.delay(400))
                    val outcome = LoadCommandOutcome.entries.filter { it != LoadCommandOutcome.FENCED }.random(random)
                    reply(LoadCommandEnded(load.listed.endpoint.name, load.number, outcome))
                }
            }
            else -> Unit
        }
    }

    private fun reply(input: ControlInput) {
        replies = replies + (driver.now + random.nextInt(5, 500).milliseconds to input)
    }

    private fun report(): EndpointReport? =
        if (random.nextInt(4) == 0) null else EndpointReport("1", persistentMapOf(model to 1L), 0, isBusy = false)

    private val list = List(6) {
        val endpoint = Endpoint(EndpointName("e$it"), "h", it + 1, FailureDomain("d"), 64, true)
        ListedEndpoint(endpoint, listedService, "1", "v1", isLeaving = false, weights = persistentMapOf(model to 1L))
    }.toPersistentList()
}

class LoadCommandLeaseTest {
    /** Guards against commands from replies that reach a leader after its lease, when the next leader may be about to send its own. */
    @Test
    fun `between the last command of a leader and the first of the next one there is never less than the grace period`() {
        var shortest = Duration.INFINITE
        var lateReplies = 0
        repeat(2_000) { seed ->
            val random = Random(seed)
            val first = PlayedLeader(1, random)
            first.configure()
            val start = first.driver.now
            val cut = start + gracePeriod + 500.milliseconds + random.nextInt(1_500).milliseconds
            val election = cut + minimumElection + random.delay(250)
            val stepsDown = cut + maximumElection
            generateSequence(start) { it + step }.takeWhile { it < stepsDown }.forEach { now ->
                first.driver.leaseEnd = minOf(now, cut) + lease
                first.play(now)
                if (now > cut + lease) lateReplies += 1
            }
            val next = PlayedLeader(2, random)
            next.follow(first)
            generateSequence(
                election,
            ) { it + step }.takeWhile { it < election + gracePeriod + 1.seconds && next.arrivals.isEmpty() }.forEach {
                next.play(it)
            }
            val last = first.arrivals.maxOrNull()
            val follows = next.arrivals.minOrNull()
            if (last != null && follows != null) {
                val gap = follows - transit - last
                shortest = minOf(shortest, gap)
                expectThat(gap).describedAs("seed $seed").isGreaterThanOrEqualTo(gracePeriod)
            }
        }
        println("the shortest gap of 2,000 histories is $shortest, with $lateReplies steps of a leader after its lease")
        expectThat(shortest.takeIf { it.isFinite() }).describedAs("a gap was measured").isNotNull()
        expectThat(lateReplies).isGreaterThan(10_000)
    }
}
