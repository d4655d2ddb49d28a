/**
 * Tests of a router's session with the control replicas: leases, changes of leader, and retries of ledger requests.
 */
package sniperoute.programs

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.junit.jupiter.api.Test
import sniperoute.process.clock.Timestamp
import sniperoute.process.identity.Incarnation
import sniperoute.process.identity.VmName
import sniperoute.request.admission.decision.RefusalKind
import sniperoute.request.admission.decision.RequestTarget
import sniperoute.request.admission.decision.admit
import sniperoute.request.admission.decision.isReady
import sniperoute.request.ledger.message.*
import sniperoute.router.decision.newControlSession
import sniperoute.router.decision.step
import sniperoute.router.message.*
import sniperoute.version.decision.LEASE_DURATION
import sniperoute.version.message.*
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotEqualTo
import strikt.assertions.isTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private class SessionDriver {
    val replicas = persistentListOf(VmName("c1"), VmName("c2"), VmName("c3"))
    var now = Timestamp(1_000_000_000)
    var session = newControlSession(replicas, now)

    fun input(input: SessionInput?): List<SessionEffect> = session.step(now, input).also { session = it.session }.effects

    fun advance(milliseconds: Int): List<SessionEffect> = (1..milliseconds / 50).flatMap {
        now += 50.milliseconds
        input(null)
    }

    fun link() = replicas.flatMap { input(LinkOpened(it)) }

    fun renew(
        sent: SendSession,
        revision: Long = 1,
        replica: VmName = sent.replica,
        changes: List<ItemChange> = emptyList(),
    ): List<SessionEffect> = input(
        SessionMessageReceived(
            replica,
            sent.correlation,
            RenewReply(1, LEASE_DURATION.inWholeMilliseconds, revision, 1, false, changes.toPersistentList()),
        ),
    )
}

private fun List<SessionEffect>.released(): List<CacheUse> = filterIsInstance<ReleaseCacheUses>().flatMap { it.uses }

private fun List<SessionEffect>.renewal(): SendSession = filterIsInstance<SendSession>().last { it.message is RenewRequest }

class ControlSessionTest {
    private val ledgerRequest = LedgerRequestIssued(
        LedgerRequestId(1),
        ReleaseCall(LedgerKey(null, RouteName("r"), "k"), LedgerOwner(VmName("r1"), Incarnation(1), "x")),
        retryUntilAnswered = false,
    )

    @Test
    fun `a lease counts from when its renewal was sent, and without it nothing is served`() {
        val driver = SessionDriver()
        val sent = driver.link().renewal()
        val sentAt = driver.now
        driver.now += 300.milliseconds
        driver.renew(sent)
        expectThat(driver.session.view.leaseEnd).isLessThan(sentAt + LEASE_DURATION)
        expectThat(driver.session.view.isReady(driver.now)).isTrue()
        driver.now = sentAt + LEASE_DURATION
        expectThat(driver.session.view.isReady(driver.now)).isFalse()
        expectThat(
            driver.session.view
                .admit(driver.now, RequestTarget("/", null, 0), null)
                .leftOrNull()
                ?.kind,
        ).isEqualTo(RefusalKind.NOT_READY)
        expectThat(driver.input(null)).isA<List<SessionEffect>>().get { filterIsInstance<LeaseExpired>().size }.isEqualTo(1)
    }

    @Test
    fun `a leader that does not reply is replaced by the next replica within the lease`() {
        val driver = SessionDriver()
        driver.renew(driver.link().renewal())
        val effects = driver.advance(1_500)
        val replicas = effects.filterIsInstance<SendSession>().map { it.replica }.distinct()
        expectThat(replicas.size).isGreaterThan(1)
        expectThat(driver.session.view.isReady(driver.now)).isTrue()
    }

    @Test
    fun `a session switches to the leader that another replica names`() {
        val driver = SessionDriver()
        val sent = driver.link().renewal()
        val effects = driver.input(SessionMessageReceived(sent.replica, sent.correlation, NotLeader(VmName("c3"))))
        expectThat((effects + driver.advance(100)).renewal().replica).isEqualTo(VmName("c3"))
    }

    @Test
    fun `a reply to an earlier renewal, or with an older revision, changes nothing`() {
        val driver = SessionDriver()
        val first = driver.link().renewal()
        driver.renew(first, revision = 5)
        expectThat(driver.renew(first, revision = 6)).isEmpty()
        val second = driver.advance(600).renewal()
        expectThat(driver.renew(second, revision = 4)).isEmpty()
        expectThat(driver.session.view.catalogue.revision).isEqualTo(5)
    }

    @Test
    fun `a change notice triggers a renewal at once`() {
        val driver = SessionDriver()
        driver.renew(driver.link().renewal())
        val effects = driver.input(SessionMessageReceived(VmName("c1"), 0, ChangeNotice(2)))
        expectThat(effects.renewal().message).isEqualTo(RenewRequest(1, persistentListOf(), sentMicroseconds = driver.now.microseconds))
    }

    @Test
    fun `uses of the cache are sent at once and with each renewal until they are recorded, and never more than a message carries`() {
        val driver = SessionDriver()
        val workspaces = listOf("t1", "t2").map { Workspace(WorkspaceName(it), 0, 0, isIsolated = it == "t2") }
        val sent = driver.link().renewal()
        driver.renew(sent, changes = workspaces.map { ItemChange(1, WorkspaceItem(it).name, WorkspaceItem(it)) })
        driver.renew(driver.advance(100).renewal())
        val uses = listOf("t1", "t2", "t3").map { CacheUse(WorkspaceName(it), CacheGroup(7)) }
        val reported = uses.flatMap { driver.input(CacheUseReported(it)) }
        driver.renew(reported.renewal())
        val repeated = driver.advance(600).renewal().also { driver.renew(it) }
        val renewals = listOf(reported.renewal(), repeated)
        expectThat(renewals.map { (it.message as RenewRequest).cacheUses.toList() }).isEqualTo(List(2) { uses.take(1) })
        expectThat(reported.released()).describedAs("those that can't be recorded").isEqualTo(uses.drop(1))
        val item = CacheSharerItem(uses[0].workspace, persistentListOf(uses[0].group))
        driver.renew(driver.advance(600).renewal(), revision = 2, changes = listOf(ItemChange(2, item.name, item)))
        expectThat((driver.advance(600).renewal().message as RenewRequest).cacheUses).isEmpty()
        repeat(2_000) { driver.input(CacheUseReported(CacheUse(WorkspaceName("t1"), CacheGroup(it + 8)))) }
        expectThat((driver.advance(600).renewal().message as RenewRequest).cacheUses.size).isEqualTo(1_024)
    }

    @Test
    fun `requests wait for the record of their use for a while at most, and not at all without a leader or after an earlier wait`() {
        val driver = SessionDriver()
        val use = CacheUse(WorkspaceName("t1"), CacheGroup(7))
        val workspace = WorkspaceItem(Workspace(use.workspace, 0, 0))
        val sent = driver.link().renewal()
        driver.renew(sent, changes = listOf(ItemChange(1, workspace.name, workspace)))
        driver.renew(driver.advance(100).renewal())
        expectThat(driver.input(CacheUseReported(use)).released()).isEmpty()
        expectThat(driver.input(CacheUseReported(use)).released()).describedAs("a second request").isEmpty()
        expectThat(driver.advance(100).released()).isEmpty()
        expectThat(driver.advance(50).released()).describedAs("overdue").isEqualTo(listOf(use))
        expectThat(driver.input(CacheUseReported(use)).released()).describedAs("after the wait").isEqualTo(listOf(use))
        driver.replicas.forEach { driver.input(LinkClosed(it)) }
        val other = use.copy(group = CacheGroup(8))
        expectThat(driver.input(CacheUseReported(other)).released()).describedAs("without a leader").isEqualTo(listOf(other))
    }

    /** Plays [time] with a leader whose replies take [replyTime]; [onStep] gets the effects of each step. */
    private fun SessionDriver.playSlowLeader(replyTime: Duration, time: Duration, onStep: (List<SessionEffect>) -> Unit) {
        val end = now + time
        var replies = emptyList<Pair<Timestamp, SessionInput>>()

        fun send(effects: List<SessionEffect>) {
            onStep(effects)
            replies = replies + effects.filterIsInstance<SendSession>().map {
                val reply = RenewReply(1, LEASE_DURATION.inWholeMilliseconds, 1, 1, false, persistentListOf())
                val isLeader = it.replica == replicas.first()
                now + (if (isLeader) replyTime else 1.milliseconds) to
                    SessionMessageReceived(it.replica, it.correlation, if (isLeader) reply else NotLeader(replicas.first()))
            } + effects.filterIsInstance<SendLedger>().map {
                val isLeader = it.replica == replicas.first()
                now + (if (isLeader) replyTime else 1.milliseconds) to
                    LedgerReplyReceived(it.replica, it.correlation, if (isLeader) CallAcknowledged else LedgerUnavailable)
            }
        }
        send(link() + input(ledgerRequest))
        while (now < end) {
            send(advance(50))
            val (due, later) = replies.partition { it.first <= now }
            replies = later
            due.forEach { send(input(it.second)) }
        }
    }

    @Test
    fun `replies that always take longer than the first timeout renew the lease and answer ledger requests`() {
        val driver = SessionDriver()
        val delivered = mutableListOf<DeliverLedgerReply>()
        val unready = mutableListOf<Timestamp>()
        val start = driver.now
        driver.playSlowLeader(replyTime = 550.milliseconds, time = 20.seconds) { effects ->
            delivered += effects.filterIsInstance<DeliverLedgerReply>()
            if (driver.now > start + 1.seconds && !driver.session.view.isReady(driver.now)) unready += driver.now
        }
        expectThat(unready).describedAs("times without a lease").isEmpty()
        expectThat(delivered.map { it.reply }).isEqualTo(listOf(CallAcknowledged))
    }

    @Test
    fun `a ledger request that must be answered is retried until then, another one until its timeout`() {
        val driver = SessionDriver()
        driver.link()
        val first = driver.input(ledgerRequest).filterIsInstance<SendLedger>().single()
        val retry = driver.advance(1_000).filterIsInstance<SendLedger>().last()
        expectThat(retry.correlation).isNotEqualTo(first.correlation)
        val late = driver.input(LedgerReplyReceived(VmName("c1"), first.correlation, CallAcknowledged))
        expectThat(late).describedAs("a reply to an earlier attempt").isEmpty()
        val timedOut = driver.advance(3_000).filterIsInstance<DeliverLedgerReply>().single()
        expectThat(timedOut.reply).isA<LedgerUnavailable>()

        driver.input(ledgerRequest.copy(retryUntilAnswered = true))
        expectThat(driver.advance(20_000).filterIsInstance<DeliverLedgerReply>()).isEmpty()
        val last = driver.advance(1_000).filterIsInstance<SendLedger>().last()
        expectThat(
            driver.input(LedgerReplyReceived(last.replica, last.correlation, CallAcknowledged)).filterIsInstance<DeliverLedgerReply>().size,
        ).isEqualTo(1)
    }
}
