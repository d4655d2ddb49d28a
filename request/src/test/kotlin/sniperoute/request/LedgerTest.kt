/**
 * Tests the once-only ledger, also with generated histories in which calls are sent again, their owners stop, and messages are lost,
 * duplicated and delayed. No call may run twice, or run after it was reported as not run.
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

    private fun Ledger.apply(request: LedgerRequest) = step(request, start)

    @Test
    fun `an entry belongs to its owner and does not pass to another owner over time`() {
        val begun = emptyLedger().apply(BeginCall(key, owner("1"), digest)).ledger
        expectThat(begun.apply(BeginCall(key, owner("1"), digest)).reply).isA<CallGranted>()
        expectThat(begun.step(BeginCall(key, owner("2"), digest), start + 23.hours).reply).isA<CallIsRunning>()
        expectThat(begun.apply(BeginCall(key, owner("2"), RequestDigest("other"))).reply).isA<CallDiffers>()
        expectThat(resolveRunningReply(CallIsRunning, isOwnerAlive = false)).isA<CallMayHaveRun>()
    }

    @Test
    fun `a released call may be begun again, a finished call is replayed, and a lost call never runs again`() {
        val begun = emptyLedger().apply(BeginCall(key, owner("1"), digest)).ledger
        val released = begun.apply(ReleaseCall(key, owner("1"))).ledger
        expectThat(released.apply(BeginCall(key, owner("2"), digest)).reply).isA<CallGranted>()
        val finished = begun.apply(FinishCall(key, owner("1"), answer())).ledger
        expectThat(finished.apply(BeginCall(key, owner("2"), digest)).reply).isA<CallRan>()
        expectThat(
            finished
                .apply(ReleaseCall(key, owner("1")))
                .ledger.entries.size,
        ).isEqualTo(1)
        val lost = begun.apply(MarkCallLost(key, owner("1"))).ledger
        expectThat(lost.apply(BeginCall(key, owner("2"), digest)).reply).isA<CallMayHaveRun>()
        expectThat(
            lost
                .apply(FinishCall(key, owner("1"), answer()))
                .ledger
                .apply(BeginCall(key, owner("2"), digest))
                .reply,
        ).isA<CallRan>()
    }

    @Test
    fun `outcomes are kept for a day, and each workspace has a maximum number of entries`() {
        val finished = emptyLedger()
            .apply(BeginCall(key, owner("1"), digest))
            .ledger
            .apply(FinishCall(key, owner("1"), answer()))
            .ledger
        expectThat(finished.expire(start + LEDGER_ENTRY_LIFETIME).entries.size).isEqualTo(1)
        expectThat(finished.expire(start + LEDGER_ENTRY_LIFETIME + 1.seconds).entries.size).isEqualTo(0)
        val full = (1..MAX_ENTRIES_PER_WORKSPACE).fold(emptyLedger()) { ledger, number ->
            ledger.apply(BeginCall(key.copy(key = "$number"), owner("$number"), digest)).ledger
        }
        expectThat(full.apply(BeginCall(key, owner("x"), digest)).reply).isA<LedgerIsFull>()
        expectThat(full.apply(BeginCall(key.copy(workspace = WorkspaceName("b")), owner("x"), digest)).reply).isA<CallGranted>()
    }

    @Test
    fun `a call runs at most once and is never wrongly reported as not run, whatever messages are lost, duplicated or delayed`() {
        runBlocking {
            checkAll(Arb.long()) { seed ->
                val random = Random(seed)
                var ledger = emptyLedger()
                val owners = mutableListOf<LedgerOwner>()
                val inTransit = mutableListOf<LedgerRequest>()
                val mayRun = mutableSetOf<LedgerOwner>()
                val reportedNotRun = mutableSetOf<LedgerOwner>()
                val runs = mutableListOf<LedgerOwner>()
                repeat(120) { step ->
                    when (random.nextInt(6)) {
                        0 -> owner("$step", "r${random.nextInt(3)}").let {
                            owners += it
                            inTransit += BeginCall(key, it, digest)
                        }
                        1, 2 -> inTransit.randomOrNull(random)?.let { request ->
                            val outcome = ledger.apply(request)
                            ledger = outcome.ledger
                            if (random.nextInt(4) > 0) inTransit -= request
                            val own = (request as? BeginCall)?.owner
                            if (own != null && outcome.reply is CallGranted && own !in reportedNotRun && own !in runs) mayRun += own
                        }
                        3 -> mayRun.randomOrNull(random)?.let { own ->
                            mayRun -= own
                            runs += own
                            inTransit += if (random.nextBoolean()) FinishCall(key, own, answer()) else MarkCallLost(key, own)
                        }
                        4 -> owners.filter { it !in runs }.randomOrNull(random)?.let { own ->
                            mayRun -= own
                            reportedNotRun += own
                            inTransit += ReleaseCall(key, own)
                        }
                        else -> inTransit.randomOrNull(random)?.let { inTransit -= it }
                    }
                    expectThat(runs.size).describedAs("seed $seed").isLessThanOrEqualTo(1)
                    expectThat(reportedNotRun.intersect(runs.toSet())).isEmpty()
                }
            }
        }
    }

    @Test
    fun `a request is quarantined after crashes of two different endpoints, but not after two crashes of one`() {
        val once = emptyCrashHistory().recordCrash(EndpointName("e1"), listOf(digest), start)
        expectThat(once.quarantined).isEmpty()
        expectThat(once.crashes.recordCrash(EndpointName("e1"), listOf(digest), start).quarantined).isEmpty()
        expectThat(once.crashes.recordCrash(EndpointName("e2"), listOf(digest), start).quarantined).isEqualTo(listOf(digest))
        expectThat(once.crashes.recordCrash(EndpointName("e2"), listOf(digest), start + 11.minutes).quarantined).isEmpty()
    }
}
