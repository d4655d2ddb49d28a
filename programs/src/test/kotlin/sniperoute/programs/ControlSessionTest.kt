/**
 * A router's session with the control replicas: leases, changes of leader, and questions that must not get lost.
 */
package sniperoute.programs

import kotlinx.collections.immutable.persistentListOf
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
import kotlin.time.Duration.Companion.milliseconds

private class SessionDriver {
    val replicas = persistentListOf(VmName("c1"), VmName("c2"), VmName("c3"))
    var now = Timestamp(1_000_000_000)
    var session = newControlSession(replicas, now)

    fun input(input: SessionInput?): List<SessionEffect> = session.step(now, input).also { session = it.session }.effects

    fun pass(milliseconds: Int): List<SessionEffect> = (1..milliseconds / 50).flatMap {
        now += 50.milliseconds
        input(null)
    }

    fun link() = replicas.flatMap { input(LinkOpened(it)) }

    fun renew(sent: SendSession, revision: Long = 1, replica: VmName = sent.replica): List<SessionEffect> =
        input(
            SessionMessageReceived(
                replica,
                sent.correlation,
                RenewReply(1, LEASE_DURATION.inWholeMilliseconds, revision, 1, false, persistentListOf()),
            ),
        )
}

private fun List<SessionEffect>.renewal(): SendSession = filterIsInstance<SendSession>().last { it.message is RenewRequest }

class ControlSessionTest {
    private val question = LedgerAsked(
        LedgerQuestionId(1),
        ReleaseCall(LedgerKey(null, RouteName("r"), "k"), LedgerOwner(VmName("r1"), Incarnation(1), "x")),
        retryUntilAnswered = false,
    )

    @Test
    fun `a lease counts from when it was asked for, and without it nothing is served`() {
        val driver = SessionDriver()
        val sent = driver.link().renewal()
        val asked = driver.now
        driver.now += 300.milliseconds
        driver.renew(sent)
        expectThat(driver.session.view.leaseEnd).isLessThan(asked + LEASE_DURATION)
        expectThat(driver.session.view.isReady(driver.now)).isTrue()
        driver.now = asked + LEASE_DURATION
        expectThat(driver.session.view.isReady(driver.now)).isFalse()
        expectThat(
            driver.session.view
                .admit(driver.now, RequestTarget("/", null, 0), null)
                .leftOrNull()
                ?.kind,
        ).isEqualTo(RefusalKind.NOT_READY)
        expectThat(driver.input(null)).isA<List<SessionEffect>>().get { filterIsInstance<LeaseRanOut>().size }.isEqualTo(1)
    }

    @Test
    fun `a silent leader is left for the next replica within its lease`() {
        val driver = SessionDriver()
        driver.renew(driver.link().renewal())
        val effects = driver.pass(1_500)
        val asked = effects.filterIsInstance<SendSession>().map { it.replica }.distinct()
        expectThat(asked.size).isGreaterThan(1)
        expectThat(driver.session.view.isReady(driver.now)).isTrue()
    }

    @Test
    fun `a replica that does not lead names who does`() {
        val driver = SessionDriver()
        val sent = driver.link().renewal()
        val effects = driver.input(SessionMessageReceived(sent.replica, sent.correlation, NotLeader(VmName("c3"))))
        expectThat((effects + driver.pass(100)).renewal().replica).isEqualTo(VmName("c3"))
    }

    @Test
    fun `an answer to an earlier renewal, or an older revision, changes nothing`() {
        val driver = SessionDriver()
        val first = driver.link().renewal()
        driver.renew(first, revision = 5)
        expectThat(driver.renew(first, revision = 6)).isEmpty()
        val second = driver.pass(600).renewal()
        expectThat(driver.renew(second, revision = 4)).isEmpty()
        expectThat(driver.session.view.catalogue.revision).isEqualTo(5)
    }

    @Test
    fun `a notice of a change is followed at once`() {
        val driver = SessionDriver()
        driver.renew(driver.link().renewal())
        val effects = driver.input(SessionMessageReceived(VmName("c1"), 0, ChangeNotice(2)))
        expectThat(effects.renewal().message).isEqualTo(RenewRequest(1, persistentListOf()))
    }

    @Test
    fun `a question is asked again until it is answered, a passing one until its time is over`() {
        val driver = SessionDriver()
        driver.link()
        val first = driver.input(question).filterIsInstance<SendLedger>().single()
        val again = driver.pass(1_000).filterIsInstance<SendLedger>().last()
        expectThat(again.correlation).isNotEqualTo(first.correlation)
        val late = driver.input(LedgerReplyReceived(VmName("c1"), first.correlation, CallAcknowledged))
        expectThat(late).describedAs("an answer to an earlier question").isEmpty()
        val given = driver.pass(3_000).filterIsInstance<AnswerLedger>().single()
        expectThat(given.reply).isA<LedgerUnavailable>()

        driver.input(question.copy(retryUntilAnswered = true))
        expectThat(driver.pass(20_000).filterIsInstance<AnswerLedger>()).isEmpty()
        val last = driver.pass(1_000).filterIsInstance<SendLedger>().last()
        expectThat(
            driver.input(LedgerReplyReceived(last.replica, last.correlation, CallAcknowledged)).filterIsInstance<AnswerLedger>().size,
        ).isEqualTo(1)
    }
}
