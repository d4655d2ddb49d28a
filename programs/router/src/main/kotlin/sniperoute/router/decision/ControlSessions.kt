/**
 * A router's session with the control replicas: it finds the leader, renews the lease, keeps the catalogue up to date, and
 * carries questions about tokens and the ledger. A question is asked again when its answer is late; all of them can be.
 */
package sniperoute.router.decision

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import sniperoute.process.clock.Timestamp
import sniperoute.process.identity.VmName
import sniperoute.request.admission.decision.ServingView
import sniperoute.request.admission.decision.isReady
import sniperoute.request.ledger.message.LedgerRequest
import sniperoute.request.ledger.message.LedgerUnavailable
import sniperoute.request.routing.message.TokensGranted
import sniperoute.router.message.*
import sniperoute.version.decision.FleetView
import sniperoute.version.decision.advance
import sniperoute.version.decision.applyOrNull
import sniperoute.version.decision.emptyCatalogue
import sniperoute.version.decision.emptyFleetView
import sniperoute.version.message.*
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val RENEW_INTERVAL = 500.milliseconds
private val ANSWER_PATIENCE = 400.milliseconds
private val LEDGER_PATIENCE = 3_000.milliseconds
private val LEASE_MARGIN = 100.milliseconds

/** A renewal that was sent and not answered. */
public data class OpenRenewal(public val correlation: Long, public val sent: Timestamp)

/** A question to the ledger that is not answered; it was [asked] first and last [sent] under [correlation]. */
public data class OpenQuestion(
    public val request: LedgerRequest,
    public val retryUntilAnswered: Boolean,
    public val asked: Timestamp,
    public val sent: Timestamp,
    public val correlation: Long,
)

/** Everything that the session duty knows. [target] is the replica that is taken for the leader. */
public data class ControlSession(
    public val replicas: PersistentList<VmName>,
    public val linked: PersistentSet<VmName>,
    public val target: VmName,
    public val view: ServingView,
    public val renewal: OpenRenewal?,
    public val nextRenewal: Timestamp,
    public val questions: PersistentMap<LedgerQuestionId, OpenQuestion>,
    public val evidence: ImmutableList<RouteEvidence>,
    public val nextCorrelation: Long,
    public val isLeaseKnownLost: Boolean,
    public val settings: SessionSettings = SessionSettings(),
    public val fleet: FleetView = emptyFleetView(),
    public val fleetHeard: Timestamp = Timestamp.EARLIEST,
    public val nextList: Timestamp = Timestamp.EARLIEST,
    public val nextSeek: Timestamp = Timestamp.EARLIEST,
    public val routers: Int = 1,
)

/**
 * What a session is given at the start. A router serves on for [graceAfterLease] when its lease has run out; one that
 * [readsPlatformList] reads the platform's list itself while the leader's view is old.
 */
public data class SessionSettings(public val graceAfterLease: Duration = Duration.ZERO, public val readsPlatformList: Boolean = false)

/** Returns the session of a router that has just started; it knows [replicas] and nothing else. */
public fun newControlSession(
    replicas: PersistentList<VmName>,
    now: Timestamp,
    settings: SessionSettings = SessionSettings(),
): ControlSession {
    require(replicas.isNotEmpty()) { "a router needs at least one control replica" }
    return ControlSession(
        replicas = replicas,
        linked = persistentSetOf(),
        target = replicas.first(),
        view = ServingView(emptyCatalogue(), Timestamp.EARLIEST),
        renewal = null,
        nextRenewal = now,
        questions = persistentMapOf(),
        evidence = persistentListOf(),
        nextCorrelation = 1,
        isLeaseKnownLost = true,
        settings = settings,
        fleetHeard = now,
    )
}

/** A session and what was ordered on the way to it. */
public data class SessionStep(public val session: ControlSession, public val effects: PersistentList<SessionEffect> = persistentListOf())

private fun ControlSession.unchanged(): SessionStep = SessionStep(this)

private fun SessionStep.emit(effect: SessionEffect): SessionStep = copy(effects = effects.add(effect))

private fun SessionStep.then(step: (ControlSession) -> SessionStep): SessionStep {
    val next = step(session)
    return SessionStep(next.session, effects.addAll(next.effects))
}

/** Returns the next state and the effects of [input] at [now]; no input means that time has passed. */
public fun ControlSession.step(now: Timestamp, input: SessionInput?): SessionStep = when (input) {
    null -> onTime(now)
    is LinkOpened -> copy(linked = linked.add(input.replica)).onLinked(input.replica, now)
    is LinkClosed -> copy(linked = linked.remove(input.replica)).turnFrom(input.replica, null, now)
    is SessionMessageReceived -> onSession(input, now)
    is LedgerReplyReceived -> onLedger(input, now)
    is RoutingSaid -> unchanged().emit(SendSession(target, 0, input.message))
    is LedgerAsked -> onAsked(input, now)
    is EvidenceChanged -> copy(evidence = input.evidence).unchanged()
    is ListRead -> onListRead(input)
}

private fun ControlSession.onLinked(replica: VmName, now: Timestamp): SessionStep =
    if (renewal == null && (target == replica || target !in linked)) copy(target = replica).renew(now) else unchanged()

private fun ControlSession.renew(now: Timestamp): SessionStep {
    if (target !in linked) return unchanged()
    val next = copy(
        renewal = OpenRenewal(nextCorrelation, now),
        nextRenewal = now + RENEW_INTERVAL,
        nextCorrelation = nextCorrelation + 1,
    )
    return next.unchanged().emit(SendSession(target, nextCorrelation, RenewRequest(view.catalogue.revision, evidence, fleet.number)))
}

private fun ControlSession.onTime(now: Timestamp): SessionStep {
    val late = renewal?.let { now - it.sent > ANSWER_PATIENCE } ?: false
    val turned = if (late || target !in linked) turnFrom(target, null, now) else unchanged()
    return turned
        .then { if (it.renewal == null && now >= it.nextRenewal) it.renew(now) else it.unchanged() }
        .then { it.askAgain(now) }
        .then { it.checkLease(now) }
        .then { it.seekReplicas(now) }
        .then { it.readFleet(now) }
}

private val SEEK_INTERVAL = 1_000.milliseconds

private fun ControlSession.seekReplicas(now: Timestamp): SessionStep {
    if (linked.isNotEmpty() && now < view.leaseEnd - settings.graceAfterLease || now < nextSeek) return unchanged()
    return copy(nextSeek = now + SEEK_INTERVAL).unchanged().emit(SeekReplicas)
}

/** After this long without word from a leader that reads the list, a router reads it. */
private val FLEET_PATIENCE = 1_500.milliseconds
private val LIST_INTERVAL = 1_000.milliseconds

private fun ControlSession.readFleet(now: Timestamp): SessionStep {
    if (!settings.readsPlatformList || now - fleetHeard < FLEET_PATIENCE || now < nextList) return unchanged()
    return copy(nextList = now + LIST_INTERVAL).unchanged().emit(ReadFleet)
}

/** A list that was read here replaces the leader's view, which is asked for as a whole once there is a leader again. */
private fun ControlSession.onListRead(input: ListRead): SessionStep {
    val listed = input.listed ?: return unchanged()
    val endpoints = listed.fold(fleet.endpoints.clear()) { all, one ->
        val known = fleet.endpoints[one.endpoint.name]?.takeIf { it.listed.incarnation == one.incarnation }
        all.put(one.endpoint.name, known?.copy(listed = one) ?: FleetEndpoint(one, one.weights, isChanging = false))
    }
    val read = FleetView(0, endpoints)
    return copy(fleet = read).unchanged().emit(ServeFleet(read))
}

private fun ControlSession.onFleetNotice(notice: FleetNotice, now: Timestamp): SessionStep {
    val next = fleet.applyOrNull(notice) ?: return copy(nextRenewal = now).unchanged()
    return copy(fleet = next, fleetHeard = now).unchanged().emit(ServeFleet(next))
}

/** A replica that the list does not name any more is not asked again. */
private fun ControlSession.withReplicas(members: List<VmName>): SessionStep {
    val known = members.distinct().toPersistentList()
    if (known.isEmpty() || known.toSet() == replicas.toSet()) return unchanged()
    return copy(replicas = known).unchanged().emit(KeepLinks(known))
}

/** Turns to [leader], or to the next linked replica, when [replica] was taken for the leader and is not. */
private fun ControlSession.turnFrom(replica: VmName, leader: VmName?, now: Timestamp): SessionStep {
    if (replica != target) return unchanged()
    val next = leader?.takeIf { it in linked && it != replica } ?: nextLinkedOrNull() ?: return copy(renewal = null).unchanged()
    val isNew = next != target
    return copy(target = next, renewal = null, nextRenewal = if (isNew) now else now + TURN_PAUSE).unchanged()
}

private val TURN_PAUSE = 50.milliseconds

private fun ControlSession.nextLinkedOrNull(): VmName? {
    val start = replicas.indexOf(target) + 1
    return (replicas.drop(start) + replicas.take(start)).firstOrNull { it in linked }
}

private fun ControlSession.checkLease(now: Timestamp): SessionStep = when {
    view.isReady(now) -> copy(isLeaseKnownLost = false).unchanged()
    isLeaseKnownLost -> unchanged()
    else -> copy(isLeaseKnownLost = true).unchanged().emit(LeaseRanOut)
}

private fun ControlSession.onSession(input: SessionMessageReceived, now: Timestamp): SessionStep = when (val message = input.message) {
    is RenewReply -> onRenewed(input, message, now)
    is FleetNotice -> onFleetNotice(message, now)
    is FleetWorkload -> unchanged().emit(DeliverWorkload(message))
    is NotLeader ->
        alsoKnowing(message.members)
            .then { it.turnFrom(input.replica, message.leader, now) }
            .then { it.renewSoon(now) }
    is ChangeNotice -> if (message.revision > view.catalogue.revision &&
        renewal == null
    ) {
        renew(now)
    } else {
        copy(nextRenewal = now).unchanged()
    }
    is TokenGrant -> unchanged().emit(
        DeliverTokens(TokensGranted(message.workspace, message.tokens, message.retryMilliseconds.milliseconds)),
    )
    else -> unchanged()
}

private fun ControlSession.alsoKnowing(members: List<VmName>): SessionStep = withReplicas(replicas + members)

private fun ControlSession.renewSoon(now: Timestamp): SessionStep =
    if (renewal == null && now >= nextRenewal) renew(now) else unchanged()

/** The lease counts from when the renewal was sent, so that the leader's idea of its end is never the earlier one. */
private fun ControlSession.onRenewed(input: SessionMessageReceived, reply: RenewReply, now: Timestamp): SessionStep {
    val open = renewal ?: return unchanged()
    if (open.correlation != input.correlation || reply.revision < view.catalogue.revision) return unchanged()
    val leaseEnd = open.sent + reply.leaseMilliseconds.milliseconds - LEASE_MARGIN + settings.graceAfterLease
    val isChanged = reply.revision > view.catalogue.revision
    val newView = ServingView(view.catalogue.advance(reply), maxOf(view.leaseEnd, leaseEnd))
    val nextDue = if (isChanged) open.sent else nextRenewal
    val heard = if (reply.fleet != 0L && reply.fleet == fleet.number) now else fleetHeard
    val served = copy(view = newView, renewal = null, nextRenewal = nextDue, isLeaseKnownLost = false, fleetHeard = heard)
        .unchanged()
        .emit(ServeBy(newView))
    val noted = if (isChanged) served.emit(CameInForce(reply.revision, reply.configuration)) else served
    return noted.then { it.withReplicas(reply.members) }.then { it.withRouters(reply.routers) }
}

private fun ControlSession.withRouters(count: Int): SessionStep =
    if (count == routers) unchanged() else copy(routers = count).unchanged().emit(ShareAllowances(count))

private fun ControlSession.onAsked(input: LedgerAsked, now: Timestamp): SessionStep {
    val question = OpenQuestion(input.request, input.retryUntilAnswered, now, now, nextCorrelation)
    return copy(questions = questions.put(input.wait, question), nextCorrelation = nextCorrelation + 1)
        .unchanged()
        .emit(SendLedger(target, question.correlation, input.request))
}

private fun ControlSession.onLedger(input: LedgerReplyReceived, now: Timestamp): SessionStep {
    val wait = questions.entries.firstOrNull { it.value.correlation == input.correlation }?.key ?: return unchanged()
    if (input.reply is LedgerUnavailable) return turnFrom(input.replica, null, now)
    return copy(questions = questions.remove(wait)).unchanged().emit(AnswerLedger(wait, input.reply))
}

private fun ControlSession.askAgain(now: Timestamp): SessionStep =
    questions.entries.fold(unchanged()) { step, (wait, question) -> step.then { it.askAgain(wait, question, now) } }

private fun ControlSession.askAgain(wait: LedgerQuestionId, question: OpenQuestion, now: Timestamp): SessionStep = when {
    !question.retryUntilAnswered && now - question.asked > LEDGER_PATIENCE ->
        copy(questions = questions.remove(wait)).unchanged().emit(AnswerLedger(wait, LedgerUnavailable))
    now - question.sent > ANSWER_PATIENCE -> {
        val again = question.copy(sent = now, correlation = nextCorrelation)
        copy(questions = questions.put(wait, again), nextCorrelation = nextCorrelation + 1)
            .unchanged()
            .emit(SendLedger(target, again.correlation, question.request))
    }
    else -> unchanged()
}
