/**
 * The once-only ledger over generated histories of resends, crashes and late messages.
 */
package sniperoute.request

import io.kotest.property.Arb
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import sniperoute.process.identity.Incarnation
import sniperoute.process.identity.VmName
import sniperoute.request.ledger.decision.*
import sniperoute.request.ledger.message.*
import sniperoute.request.quarantine.decision.emptyCrashHistory
import sniperoute.request.quarantine.decision.recordCrash
import sniperoute.version.message.EndpointName
import sniperoute.version.message.RequestDigest
import sniperoute.version.message.RouteName
import sniperoute.version.message.WorkspaceName
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class LedgerTest {
    private val key = LedgerKey(WorkspaceName("a"), RouteName("confirm"), "deposit-1")
    private val digest = RequestDigest("d")

    private fun owner(request: String, vm: String = "r1") = LedgerOwner(VmName(vm), Incarnation(1), request)

    private fun answer() = RecordedAnswer(200, "text/plain", byteArrayOf(1), true)

    private fun Ledger.ask(request: LedgerRequest) = step(request, start)

    @Test
    fun `an entry belongs to its owner and passes to nobody by time`() {
        val begun = emptyLedger().ask(BeginCall(key, owner("1"), digest)).ledger
        expectThat(begun.ask(BeginCall(key, owner("1"), digest)).reply).isA<CallGranted>()
        expectThat(begun.step(BeginCall(key, owner("2"), digest), start + 23.hours).reply).isA<CallIsRunning>()
        expectThat(begun.ask(BeginCall(key, owner("2"), RequestDigest("other"))).reply).isA<CallDiffers>()
        expectThat(resolveRunningReply(CallIsRunning, isOwnerAlive = false)).isA<CallMayHaveRun>()
    }

    @Test
    fun `a released call may be begun again, a finished one is answered, a lost one is never run again`() {
        val begun = emptyLedger().ask(BeginCall(key, owner("1"), digest)).ledger
        val released = begun.ask(ReleaseCall(key, owner("1"))).ledger
        expectThat(released.ask(BeginCall(key, owner("2"), digest)).reply).isA<CallGranted>()
        val finished = begun.ask(FinishCall(key, owner("1"), answer())).ledger
        expectThat(finished.ask(BeginCall(key, owner("2"), digest)).reply).isA<CallRan>()
        expectThat(
            finished
                .ask(ReleaseCall(key, owner("1")))
                .ledger.entries.size,
        ).isEqualTo(1)
        val lost = begun.ask(LoseCall(key, owner("1"))).ledger
        expectThat(lost.ask(BeginCall(key, owner("2"), digest)).reply).isA<CallMayHaveRun>()
        expectThat(
            lost
                .ask(FinishCall(key, owner("1"), answer()))
                .ledger
                .ask(BeginCall(key, owner("2"), digest))
                .reply,
        ).isA<CallRan>()
    }

    @Test
    fun `outcomes are kept for a day, and the ledger is bounded`() {
        val finished = emptyLedger()
            .ask(BeginCall(key, owner("1"), digest))
            .ledger
            .ask(FinishCall(key, owner("1"), answer()))
            .ledger
        expectThat(finished.expire(start + LEDGER_LIFE).entries.size).isEqualTo(1)
        expectThat(finished.expire(start + LEDGER_LIFE + 1.seconds).entries.size).isEqualTo(0)
        val full = (1..MOST_ENTRIES_PER_WORKSPACE).fold(emptyLedger()) { ledger, number ->
            ledger.ask(BeginCall(key.copy(key = "$number"), owner("$number"), digest)).ledger
        }
        expectThat(full.ask(BeginCall(key, owner("x"), digest)).reply).isA<LedgerIsFull>()
        expectThat(full.ask(BeginCall(key.copy(workspace = WorkspaceName("b")), owner("x"), digest)).reply).isA<CallGranted>()
    }

    @Test
    fun `however it is sent, lost, doubled and sent again, a call runs at most once and not run is true`() {
        runBlocking {
            checkAll(Arb.long()) { seed ->
                val random = Random(seed)
                var ledger = emptyLedger()
                val owners = mutableListOf<LedgerOwner>()
                val late = mutableListOf<LedgerRequest>()
                val mayRun = mutableSetOf<LedgerOwner>()
                val saidNotRun = mutableSetOf<LedgerOwner>()
                val runs = mutableListOf<LedgerOwner>()
                repeat(120) { step ->
                    when (random.nextInt(6)) {
                        0 -> owner("$step", "r${random.nextInt(3)}").let {
                            owners += it
                            late += BeginCall(key, it, digest)
                        }
                        1, 2 -> late.randomOrNull(random)?.let { request ->
                            val outcome = ledger.ask(request)
                            ledger = outcome.ledger
                            if (random.nextInt(4) > 0) late -= request
                            val own = (request as? BeginCall)?.owner
                            if (own != null && outcome.reply is CallGranted && own !in saidNotRun && own !in runs) mayRun += own
                        }
                        3 -> mayRun.randomOrNull(random)?.let { own ->
                            mayRun -= own
                            runs += own
                            late += if (random.nextBoolean()) FinishCall(key, own, answer()) else LoseCall(key, own)
                        }
                        4 -> owners.filter { it !in runs }.randomOrNull(random)?.let { own ->
                            mayRun -= own
                            saidNotRun += own
                            late += ReleaseCall(key, own)
                        }
                        else -> late.randomOrNull(random)?.let { late -= it }
                    }
                    expectThat(runs.size).describedAs("seed $seed").isLessThanOrEqualTo(1)
                    expectThat(saidNotRun.intersect(runs.toSet())).isEmpty()
                }
            }
        }
    }

    @Test
    fun `a request is held back after the deaths of two different endpoints, not after two of one`() {
        val once = emptyCrashHistory().recordCrash(EndpointName("e1"), listOf(digest), start)
        expectThat(once.quarantined).isEmpty()
        expectThat(once.crashes.recordCrash(EndpointName("e1"), listOf(digest), start).quarantined).isEmpty()
        expectThat(once.crashes.recordCrash(EndpointName("e2"), listOf(digest), start).quarantined).isEqualTo(listOf(digest))
        expectThat(once.crashes.recordCrash(EndpointName("e2"), listOf(digest), start + 11.minutes).quarantined).isEmpty()
    }
}
