/**
 * The control desk: what it answers while it leads, what it leaves to others, and what survives a change of leader.
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

/** A desk whose proposals a test commits, late or never. */
internal class DeskDriver(var term: Long = 1) {
    var now = Timestamp(1_000_000_000_000)
    var desk = newControlDutyState(100)
    var isLeader = true
    val open = mutableListOf<ProposeCommand>()
    private var committed = 0L

    fun status() = AgreementStatus(
        VmName("c1"),
        term,
        isLeader,
        VmName("c1").takeIf { isLeader },
        (now + 400.milliseconds).takeIf { isLeader },
        committed,
        Membership(persistentListOf()),
        Redundancy.FULL,
        900.milliseconds,
    )

    fun input(input: ControlInput?): List<ControlEffect> {
        val step = desk.step(status(), now, input)
        desk = step.state
        open += step.effects.filterIsInstance<ProposeCommand>()
        return step.effects
    }

    fun commit(): List<ControlEffect> {
        val entries = open.map { CommittedEntry(++committed, it.proposal, it.command) }
        open.clear()
        return if (entries.isEmpty()) emptyList() else input(EntriesCommitted(entries.toPersistentList()))
    }

    fun operate(command: Command): CommandResult? {
        input(OperatorCommanded(OperatorRequestId(1), command))
        return commit().filterIsInstance<AnswerOperator>().first().result
    }

    fun session(message: SessionMessage, vm: String = "r1"): List<ControlEffect> =
        input(SessionReceived(RouterName(VmName(vm), Incarnation(1)), ReplyAddress(LinkNumber(1), 5), message))

    fun ledger(request: LedgerRequest): List<ControlEffect> = input(LedgerReceived(ReplyAddress(LinkNumber(1), 7), request))

    fun settle(time: kotlin.time.Duration) {
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

    private fun submit(desk: DeskDriver, follows: Long, declarations: Declarations) =
        (desk.operate(SubmitConfiguration(desk.now, follows, declarations.digest(), "o", declarations)) as SubmissionJudged).outcome

    @Test
    fun `a submission is in force everywhere only after every live router confirmed it`() {
        val desk = DeskDriver()
        desk.session(RenewRequest(0, persistentListOf()))
        expectThat(submit(desk, 0, declarations())).isA<SubmissionAccepted>()
        val report = {
            desk.desk.leadership!!
                .leases
                .report(1, desk.now)
        }
        desk.settle(2.seconds)
        expectThat(report().isEverywhere).describedAs("earlier leaders' leases may run").isFalse()
        desk.settle(2.seconds)
        desk.session(RenewRequest(0, persistentListOf()))
        expectThat(report().isEverywhere).isFalse()
        val reply = desk
            .session(RenewRequest(0, persistentListOf()))
            .filterIsInstance<ReplySession>()
            .single()
            .message as RenewReply
        expectThat(
            emptyCatalogue()
                .advance(reply)
                .keys.keys
                .toList(),
        ).isEqualTo(listOf(keyDigestOf("k")))
        desk.session(RenewRequest(1, persistentListOf()))
        expectThat(report().isEverywhere).isTrue()
    }

    @Test
    fun `two operators under one number, and a resend after a lost answer`() {
        val desk = DeskDriver()
        val mine = declarations()
        val theirs = declarations().copy(keys = persistentListOf())
        val first = SubmitConfiguration(desk.now, 0, mine.digest(), "a", mine)
        val second = SubmitConfiguration(desk.now, 0, theirs.digest(), "b", theirs)
        desk.input(OperatorCommanded(OperatorRequestId(1), first))
        desk.input(OperatorCommanded(OperatorRequestId(2), second))
        val results = desk.commit().filterIsInstance<AnswerOperator>().map { (it.result as SubmissionJudged).outcome }
        expectThat(results[0]).isA<SubmissionAccepted>()
        expectThat((results[1] as SubmissionLost).winner?.operator).isEqualTo("a")
        expectThat(submit(desk, 0, mine)).isEqualTo(SubmissionRepeated(1, 1))
        expectThat(desk.desk.machine.configurations.declarations).isEqualTo(mine)
    }

    @Test
    fun `a store that is lost, comes back or is another run is noted once each`() {
        val desk = DeskDriver()
        desk.input(null)
        val store = ServiceName("store")
        val noted = listOf(STORE_IS_DOWN, STORE_IS_DOWN, 4, 4, STORE_IS_DOWN, 4, 5).map { run ->
            desk.input(StoreSeen(store, run)).filterIsInstance<NoteEvent>().map { it.kind }
        }
        val up = listOf(EventKind.STORE_UP)
        val down = listOf(EventKind.STORE_DOWN)
        expectThat(noted).isEqualTo(listOf(down, emptyList(), up, emptyList(), down, up, up))
    }

    @Test
    fun `a replica that does not lead, or whose lease ran out, grants nothing`() {
        val desk = DeskDriver()
        desk.isLeader = false
        expectThat((desk.session(RenewRequest(0, persistentListOf())).single() as ReplySession).message).isA<NotLeader>()
        expectThat((desk.ledger(begin("1")).single() as ReplyLedger).reply).isA<LedgerNotHere>()
        val answer = desk
            .input(
                OperatorCommanded(OperatorRequestId(1), WithdrawKey(desk.now, keyDigestOf("k"), "o")),
            ).single() as AnswerOperator
        expectThat(answer.result).isNull()
        expectThat(answer.mayHaveRun).isFalse()
    }

    @Test
    fun `who waited when leadership was lost is told that it may have run`() {
        val desk = DeskDriver()
        desk.input(OperatorCommanded(OperatorRequestId(1), WithdrawKey(desk.now, keyDigestOf("k"), "o")))
        desk.isLeader = false
        expectThat((desk.input(null).single() as AnswerOperator).mayHaveRun).isTrue()
    }

    private fun begin(request: String) = BeginCall(
        LedgerKey(WorkspaceName("w"), RouteName("confirm"), "key"),
        LedgerOwner(VmName("r1"), Incarnation(1), request),
        RequestDigest("d"),
    )

    private fun DeskDriver.ledgerReply(request: LedgerRequest): LedgerReply {
        ledger(request)
        return commit().filterIsInstance<ReplyLedger>().single().reply
    }

    @Test
    fun `a call whose router is gone is said to have perhaps run, one whose router lives to run`() {
        val desk = DeskDriver()
        desk.session(RenewRequest(0, persistentListOf()))
        expectThat(desk.ledgerReply(begin("1"))).isA<CallIsYours>()
        expectThat(desk.ledgerReply(begin("2"))).isA<CallIsRunning>()
        desk.settle(5.seconds)
        expectThat(desk.ledgerReply(begin("2"))).isA<CallMayHaveRun>()
    }

    @Test
    fun `tokens are handed out after they were agreed on, and no more than there are`() {
        val desk = DeskDriver()
        submit(desk, 0, declarations())
        expectThat(desk.session(TokenRequest(WorkspaceName("w"), 4_000)).filterIsInstance<ReplySession>()).isEmpty()
        val first = desk
            .commit()
            .filterIsInstance<ReplySession>()
            .single()
            .message as TokenGrant
        expectThat(first.tokens).isEqualTo(4_000)
        desk.session(TokenRequest(WorkspaceName("w"), 4_000))
        val second = desk
            .commit()
            .filterIsInstance<ReplySession>()
            .single()
            .message as TokenGrant
        expectThat(second.tokens).isEqualTo(1_000)
        expectThat(second.retryMilliseconds).isEqualTo(1_000)
    }

    @Test
    fun `the state is the same after a snapshot`() {
        val desk = DeskDriver()
        submit(desk, 0, declarations(DeclaredMove(weights[1], 60_000)))
        desk.operate(WithdrawKey(desk.now, keyDigestOf("k"), "o"))
        desk.ledgerReply(begin("1"))
        desk.ledgerReply(DeathNotice(EndpointName("e1"), "i", persistentListOf(RequestDigest("x"))))
        val machine = desk.desk.machine
        expectThat(decodeControlState(machine.encode()).getOrNull()).isEqualTo(machine)
    }

    /** Plays a move with endpoints that load at once; returns the move's end and the most endpoints that were loading together. */
    private fun DeskDriver.playMove(loseLeaderAt: MoveStage?): Pair<Move, Int> {
        val serving = List(4) { EndpointName("e$it") }.associateWith { weights[0] }.toMutableMap()
        var mostOrders = 0
        var isLost = loseLeaderAt == null
        repeat(2_000) {
            now += 50.milliseconds
            session(RenewRequest(desk.machine.published.revision, persistentListOf()))
            val effects = input(null) + commit()
            effects.filterIsInstance<ReadWeights>().forEach { input(WeightsRead(it.endpoint, serving.getValue(it.endpoint))) }
            val loads = effects.filterIsInstance<LoadWeights>()
            mostOrders = maxOf(mostOrders, loads.size)
            loads.forEach { serving[it.endpoint] = it.weights }
            val move = desk.machine.moveOrNull(model)!!
            if (!isLost && move.stage == loseLeaderAt) {
                isLost = true
                isLeader = false
                input(null)
                isLeader = true
                term += 1
            }
            if (!move.isRunning) return move to mostOrders
        }
        return desk.machine.moveOrNull(model)!! to mostOrders
    }

    @Test
    fun `a move is done though its leader is lost in any step, with at most two loads at once`() {
        listOf(null, MoveStage.LOADING, MoveStage.FIRST_SHARE, MoveStage.WIDENING).forEach { stage ->
            val desk = DeskDriver()
            submit(desk, 0, declarations(DeclaredMove(weights[1], 60_000)))
            val (move, mostOrders) = desk.playMove(stage)
            expectThat(move.stage).describedAs("leader lost in $stage").isEqualTo(MoveStage.DONE)
            expectThat(mostOrders).isLessThanOrEqualTo(2)
        }
    }

    @Test
    fun `a new leader gives no order before the old one's lease ran out`() {
        val desk = DeskDriver()
        submit(desk, 0, declarations(DeclaredMove(weights[1], 60_000)))
        val early = (1..20).flatMap {
            desk.now += 50.milliseconds
            desk.input(WeightsRead(EndpointName("e0"), weights[0]))
            desk.input(null).also { desk.commit() }
        }
        expectThat(early.filterIsInstance<LoadWeights>()).isEmpty()
    }

    @Test
    fun `a finished move outlives declarations that still name the old weights, and a withdrawn one is taken back`() {
        val desk = DeskDriver()
        submit(desk, 0, declarations(DeclaredMove(weights[1], 60_000)))
        desk.playMove(null)
        submit(desk, 1, declarations())
        expectThat(
            desk.desk.machine
                .moveOrNull(model)
                ?.to,
        ).isEqualTo(weights[1])

        val other = DeskDriver()
        submit(other, 0, declarations(DeclaredMove(weights[1], 60_000)))
        submit(other, 1, declarations())
        expectThat(
            other.desk.machine
                .moveOrNull(model)
                ?.stage,
        ).isEqualTo(MoveStage.TAKING_BACK)
        expectThat(other.playMove(null).first.stage).isEqualTo(MoveStage.TAKEN_BACK)
    }

    @Test
    fun `two operators start moves of one service at once, and one of them is told`() {
        val desk = DeskDriver()
        submit(desk, 0, declarations())
        expectThat(desk.operate(StartMove(desk.now, model, weights[1], 60_000, "a"))).isA<TookEffect>()
        expectThat(desk.operate(StartMove(desk.now, model, WeightsVersion("v3"), 60_000, "b"))).isA<HasNoEffect>()
        expectThat(desk.operate(StartMove(desk.now, model, weights[1], 60_000, "a"))).isA<TookEffect>()
        expectThat(desk.desk.machine.moveOrNull(model)).isNotNull().get { to }.isEqualTo(weights[1])
        expectThat(desk.desk.machine.moves()).hasSize(1)
    }
}
