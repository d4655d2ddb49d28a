/**
 * Tests of the control duty: replies of a leader and of other replicas, and moves and ledger calls across a change of leader.
 */
package sniperoute.programs

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.junit.jupiter.api.Test
import sniperoute.control.codec.decodeControlState
import sniperoute.control.codec.encode
import sniperoute.control.decision.*
import sniperoute.control.message.*
import sniperoute.process.agreement.decision.Redundancy
import sniperoute.process.agreement.message.Membership
import sniperoute.process.clock.Timestamp
import sniperoute.process.identity.FailureDomain
import sniperoute.process.identity.Incarnation
import sniperoute.process.identity.VmName
import sniperoute.process.timeline.message.EventKind
import sniperoute.request.ledger.message.*
import sniperoute.version.codec.digest
import sniperoute.version.codec.emptyDeclarations
import sniperoute.version.codec.keyDigestOf
import sniperoute.version.decision.*
import sniperoute.version.message.*
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Drives a control duty without threads; proposals commit when the test calls [commit]. */
internal class ControlDutyDriver(var term: Long = 1) {
    var now = Timestamp(1_000_000_000_000)
    var state = newControlDutyState(100)
    var isLeader = true
    val openProposals = mutableListOf<ProposeCommand>()
    var firstIndex = 0L

    /** The end of the leader lease, or `null` for one that is always renewed. */
    var leaseEnd: Timestamp? = null
    private var commitIndex = 0L

    fun status() = AgreementStatus(
        VmName("c1"),
        term,
        isLeader,
        VmName("c1").takeIf { isLeader },
        (leaseEnd ?: (now + 400.milliseconds)).takeIf { isLeader },
        commitIndex,
        Membership(persistentListOf()),
        Redundancy.FULL,
        900.milliseconds,
        firstIndex,
    )

    fun input(input: ControlInput?): List<ControlEffect> {
        val step = state.step(status(), now, input)
        state = step.state
        openProposals += step.effects.filterIsInstance<ProposeCommand>()
        return step.effects
    }

    fun commit(): List<ControlEffect> {
        val entries = openProposals.map { CommittedEntry(++commitIndex, it.proposal, it.command) }
        openProposals.clear()
        return if (entries.isEmpty()) emptyList() else input(EntriesCommitted(entries.toPersistentList()))
    }

    /** Announces entries as committed that the duty has not received yet. */
    fun announceCommitted(entries: Int) {
        commitIndex += entries
    }

    fun submit(command: Command): CommandResult? {
        input(OperatorCommandReceived(OperatorRequestId(1), command))
        return commit().filterIsInstance<SendOperatorReply>().first().result
    }

    fun session(message: SessionMessage, vm: String = "r1", link: Long = 1): List<ControlEffect> =
        input(RouterMessageReceived(RouterName(VmName(vm), Incarnation(1)), ReplyAddress(LinkId(link), 5), message))

    fun ledger(request: LedgerRequest): List<ControlEffect> = input(LedgerRequestReceived(ReplyAddress(LinkId(1), 7), request))

    fun advance(time: kotlin.time.Duration) {
        repeat((time / 50.milliseconds).toInt()) {
            now += 50.milliseconds
            input(null)
            commit()
        }
    }
}

class ControlDutyTest {
    private val weights = listOf("v1", "v2").map(::WeightsVersion)
    private val model = ServiceName("model")

    private fun declarations(move: DeclaredMove? = null): Declarations {
        val endpoints = List(4) { Endpoint(EndpointName("e$it"), "h", it + 1, FailureDomain("d"), 8, false) }.toPersistentList()
        return emptyDeclarations().copy(
            workspaces = persistentListOf(Workspace(WorkspaceName("w"), 1_000, 5_000)),
            keys = persistentListOf(DeclaredKey(keyDigestOf("k"), WorkspaceName("w"))),
            services = persistentListOf(Service(model, ServiceKind.MODEL, endpoints, weights[0], move)),
        )
    }

    private fun submit(driver: ControlDutyDriver, follows: Long, declarations: Declarations) =
        (driver.submit(SubmitConfiguration(driver.now, follows, declarations.digest(), "o", declarations)) as SubmissionResult).outcome

    @Test
    fun `a submission is in force everywhere only after every live router confirmed it`() {
        val driver = ControlDutyDriver()
        driver.session(RenewRequest(0, persistentListOf()))
        expectThat(submit(driver, 0, declarations())).isA<SubmissionAccepted>()
        val report = {
            driver.state.leaderState!!
                .leases
                .report(1, driver.now)
        }
        driver.advance(2.seconds)
        expectThat(report().isEverywhere).describedAs("earlier leaders' leases may run").isFalse()
        driver.advance(2.seconds)
        driver.session(RenewRequest(0, persistentListOf()))
        expectThat(report().isEverywhere).isFalse()
        val reply = driver
            .session(RenewRequest(0, persistentListOf()))
            .filterIsInstance<SendSessionReply>()
            .single()
            .message as RenewReply
        expectThat(
            emptyCatalogue()
                .advance(reply)
                .keys.keys
                .toList(),
        ).isEqualTo(listOf(keyDigestOf("k")))
        driver.session(RenewRequest(1, persistentListOf()))
        expectThat(report().isEverywhere).isTrue()
    }

    @Test
    fun `a leader takes reports and renewals of routers while it has committed entries to apply`() {
        val driver = ControlDutyDriver()
        driver.session(RenewRequest(0, persistentListOf()))
        driver.announceCommitted(1)
        val workload = EndpointWorkload(EndpointName("e0"), 1, 0)
        driver.session(WorkloadReport(persistentListOf(workload), persistentListOf()))
        val totals = driver.state.leaderState!!
            .workloads.byRouter.values
            .flatMap { it.values }
        expectThat(totals).isEqualTo(listOf(workload))
        val replies = driver.session(RenewRequest(0, persistentListOf())).filterIsInstance<SendSessionReply>()
        expectThat(replies.single().message).isA<RenewReply>()
    }

    @Test
    fun `a new leader takes nothing from routers before it has applied the entries of earlier terms`() {
        val driver = ControlDutyDriver()
        driver.firstIndex = 1
        driver.announceCommitted(1)
        val early = driver.session(RenewRequest(0, persistentListOf())).filterIsInstance<SendSessionReply>()
        expectThat(early.single().message).isA<NotLeader>()
        driver.input(EntriesCommitted(persistentListOf(CommittedEntry(1, 0, null))))
        val late = driver.session(RenewRequest(0, persistentListOf())).filterIsInstance<SendSessionReply>()
        expectThat(late.single().message).isA<RenewReply>()
    }

    @Test
    fun `a leader that learns the configuration of earlier leaders after its election waits before its load commands`() {
        val driver = ControlDutyDriver(term = 2)
        driver.state = newControlDutyState(100, FleetSettings(readsPlatformList = true, loadCommandGracePeriod = 3.seconds))
        driver.firstIndex = 2
        driver.announceCommitted(2)
        driver.input(null)
        val earlier = declarations()
        val command = SubmitConfiguration(driver.now, 0, earlier.digest(), "o", earlier)
        driver.input(EntriesCommitted(persistentListOf(CommittedEntry(1, 0, command), CommittedEntry(2, 0, null))))
        driver.input(null)
        val leader = driver.state.leaderState!!
        expectThat(leader.loads.loadCommandsAllowedFrom).isEqualTo(driver.now + 3.seconds)
    }

    @Test
    fun `the first leader of all does not wait before its load commands`() {
        val driver = ControlDutyDriver()
        driver.state = newControlDutyState(100, FleetSettings(readsPlatformList = true, loadCommandGracePeriod = 3.seconds))
        driver.input(null)
        val leader = driver.state.leaderState!!
        expectThat(leader.loads.loadCommandsAllowedFrom).isEqualTo(driver.now)
    }

    /** Guards against a log without bound while a long configuration changes often. */
    @Test
    fun `long commands lead to a snapshot long before a thousand of them`() {
        val driver = ControlDutyDriver()
        val command = SubmitConfiguration(driver.now, 0, declarations().digest(), "o", declarations())
        val snapshots = (1L..110)
            .flatMap { index ->
                driver.input(EntriesCommitted(persistentListOf(CommittedEntry(index, 0, command, bytes = 580_000))))
            }.filterIsInstance<StoreSnapshot>()
        val indexes = listOf(0L) + snapshots.map { it.index } + 110L
        expectThat(indexes.zipWithNext { earlier, later -> later - earlier }.max()).isLessThanOrEqualTo(8)
    }

    @Test
    fun `two submissions under one number, and a resend after a lost reply`() {
        val driver = ControlDutyDriver()
        val mine = declarations()
        val theirs = declarations().copy(keys = persistentListOf())
        val first = SubmitConfiguration(driver.now, 0, mine.digest(), "a", mine)
        val second = SubmitConfiguration(driver.now, 0, theirs.digest(), "b", theirs)
        driver.input(OperatorCommandReceived(OperatorRequestId(1), first))
        driver.input(OperatorCommandReceived(OperatorRequestId(2), second))
        val results = driver.commit().filterIsInstance<SendOperatorReply>().map { (it.result as SubmissionResult).outcome }
        expectThat(results[0]).isA<SubmissionAccepted>()
        expectThat((results[1] as SubmissionConflict).winner?.operator).isEqualTo("a")
        expectThat(submit(driver, 0, mine)).isEqualTo(SubmissionAlreadyAccepted(1, 1))
        expectThat(driver.state.replicatedState.configurations.declarations).isEqualTo(mine)
    }

    @Test
    fun `a store that is lost, comes back or restarts is recorded once each`() {
        val driver = ControlDutyDriver()
        driver.input(null)
        val store = ServiceName("store")
        val recorded = listOf(STORE_UNREACHABLE, STORE_UNREACHABLE, 4, 4, STORE_UNREACHABLE, 4, 5).map { incarnation ->
            driver.input(StoreChecked(store, incarnation)).filterIsInstance<RecordTimelineEvent>().map { it.kind }
        }
        val up = listOf(EventKind.STORE_UP)
        val down = listOf(EventKind.STORE_DOWN)
        expectThat(recorded).isEqualTo(listOf(down, emptyList(), up, emptyList(), down, up, up))
    }

    @Test
    fun `a replica that does not lead, or whose lease ran out, grants nothing`() {
        val driver = ControlDutyDriver()
        driver.isLeader = false
        expectThat((driver.session(RenewRequest(0, persistentListOf())).single() as SendSessionReply).message).isA<NotLeader>()
        expectThat((driver.ledger(begin("1")).single() as SendLedgerReply).reply).isA<LedgerUnavailable>()
        val reply = driver
            .input(
                OperatorCommandReceived(OperatorRequestId(1), WithdrawKey(driver.now, keyDigestOf("k"), "o")),
            ).single() as SendOperatorReply
        expectThat(reply.result).isNull()
        expectThat(reply.mayHaveRun).isFalse()
    }

    @Test
    fun `a command that is pending when leadership is lost may have run`() {
        val driver = ControlDutyDriver()
        driver.input(OperatorCommandReceived(OperatorRequestId(1), WithdrawKey(driver.now, keyDigestOf("k"), "o")))
        driver.isLeader = false
        expectThat((driver.input(null).single() as SendOperatorReply).mayHaveRun).isTrue()
    }

    private fun begin(request: String) = BeginCall(
        LedgerKey(WorkspaceName("w"), RouteName("confirm"), "key"),
        LedgerOwner(VmName("r1"), Incarnation(1), request),
        RequestDigest("d"),
    )

    private fun ControlDutyDriver.ledgerReply(request: LedgerRequest): LedgerReply {
        ledger(request)
        return commit().filterIsInstance<SendLedgerReply>().single().reply
    }

    @Test
    fun `a call may have run once its router's lease has expired, and is running before`() {
        val driver = ControlDutyDriver()
        driver.session(RenewRequest(0, persistentListOf()))
        expectThat(driver.ledgerReply(begin("1"))).isA<CallGranted>()
        expectThat(driver.ledgerReply(begin("2"))).isA<CallIsRunning>()
        driver.advance(5.seconds)
        expectThat(driver.ledgerReply(begin("2"))).isA<CallMayHaveRun>()
    }

    @Test
    fun `tokens are granted after the command is committed, and no more than the bucket holds`() {
        val driver = ControlDutyDriver()
        submit(driver, 0, declarations())
        expectThat(driver.session(TokenRequest(WorkspaceName("w"), 4_000)).filterIsInstance<SendSessionReply>()).isEmpty()
        val first = driver
            .commit()
            .filterIsInstance<SendSessionReply>()
            .single()
            .message as TokenGrant
        expectThat(first.tokens).isEqualTo(4_000)
        driver.session(TokenRequest(WorkspaceName("w"), 4_000))
        val second = driver
            .commit()
            .filterIsInstance<SendSessionReply>()
            .single()
            .message as TokenGrant
        expectThat(second.tokens).isEqualTo(1_000)
        expectThat(second.retryMilliseconds).isEqualTo(1_000)
    }

    @Test
    fun `the state is the same after a snapshot`() {
        val driver = ControlDutyDriver()
        submit(driver, 0, declarations(DeclaredMove(weights[1], 60_000)))
        driver.submit(WithdrawKey(driver.now, keyDigestOf("k"), "o"))
        driver.ledgerReply(begin("1"))
        driver.ledgerReply(CrashNotice(EndpointName("e1"), "i", persistentListOf(RequestDigest("x"))))
        val replicatedState = driver.state.replicatedState
        expectThat(decodeControlState(replicatedState.encode()).getOrNull()).isEqualTo(replicatedState)
    }

    /**
     * Runs a move to its end with endpoints that load at once, and changes the leader when it reaches the stage [loseLeaderAt]. Returns
     * the last state of the move and the most load commands sent in one tick.
     */
    private fun ControlDutyDriver.runMove(loseLeaderAt: MoveStage?): Pair<Move, Int> {
        val serving = List(4) { EndpointName("e$it") }.associateWith { weights[0] }.toMutableMap()
        var maxLoads = 0
        var isLost = loseLeaderAt == null
        repeat(2_000) {
            now += 50.milliseconds
            session(RenewRequest(state.replicatedState.published.revision, persistentListOf()))
            val effects = input(null) + commit()
            effects.filterIsInstance<ReadWeights>().forEach { input(WeightsRead(it.endpoint, serving.getValue(it.endpoint))) }
            val loads = effects.filterIsInstance<LoadWeights>()
            maxLoads = maxOf(maxLoads, loads.size)
            loads.forEach { serving[it.endpoint] = it.weights }
            val move = state.replicatedState.moveOrNull(model)!!
            if (!isLost && move.stage == loseLeaderAt) {
                isLost = true
                isLeader = false
                input(null)
                isLeader = true
                term += 1
            }
            if (!move.isRunning) return move to maxLoads
        }
        return state.replicatedState.moveOrNull(model)!! to maxLoads
    }

    @Test
    fun `a move finishes when its leader is lost in any step, with at most two concurrent loads`() {
        listOf(null, MoveStage.LOADING, MoveStage.FIRST_SHARE, MoveStage.WIDENING).forEach { stage ->
            val driver = ControlDutyDriver()
            submit(driver, 0, declarations(DeclaredMove(weights[1], 60_000)))
            val (move, maxLoads) = driver.runMove(stage)
            expectThat(move.stage).describedAs("leader lost in $stage").isEqualTo(MoveStage.DONE)
            expectThat(maxLoads).isLessThanOrEqualTo(2)
        }
    }

    @Test
    fun `a new leader sends no load command before the lease of the old one has expired`() {
        val driver = ControlDutyDriver()
        submit(driver, 0, declarations(DeclaredMove(weights[1], 60_000)))
        val early = (1..20).flatMap {
            driver.now += 50.milliseconds
            driver.input(WeightsRead(EndpointName("e0"), weights[0]))
            driver.input(null).also { driver.commit() }
        }
        expectThat(early.filterIsInstance<LoadWeights>()).isEmpty()
    }

    @Test
    fun `a finished move outlives declarations that still name the old weights, and a withdrawn one is rolled back`() {
        val driver = ControlDutyDriver()
        submit(driver, 0, declarations(DeclaredMove(weights[1], 60_000)))
        driver.runMove(null)
        submit(driver, 1, declarations())
        expectThat(
            driver.state.replicatedState
                .moveOrNull(model)
                ?.to,
        ).isEqualTo(weights[1])

        val other = ControlDutyDriver()
        submit(other, 0, declarations(DeclaredMove(weights[1], 60_000)))
        submit(other, 1, declarations())
        expectThat(
            other.state.replicatedState
                .moveOrNull(model)
                ?.stage,
        ).isEqualTo(MoveStage.TAKING_BACK)
        expectThat(other.runMove(null).first.stage).isEqualTo(MoveStage.TAKEN_BACK)
    }

    @Test
    fun `of two operators who start moves of one service to different weights, one is rejected`() {
        val driver = ControlDutyDriver()
        submit(driver, 0, declarations())
        expectThat(driver.submit(StartMove(driver.now, model, weights[1], 60_000, "a"))).isA<CommandApplied>()
        expectThat(driver.submit(StartMove(driver.now, model, WeightsVersion("v3"), 60_000, "b"))).isA<CommandRejected>()
        expectThat(driver.submit(StartMove(driver.now, model, weights[1], 60_000, "a"))).isA<CommandApplied>()
        expectThat(driver.state.replicatedState.moveOrNull(model)).isNotNull().get { to }.isEqualTo(weights[1])
        expectThat(driver.state.replicatedState.moves()).hasSize(1)
    }
}
