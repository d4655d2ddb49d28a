/**
 * The step of the control duty: it applies what was agreed, and while it leads, answers routers and operators.
 */
package sniperoute.control.decision

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import sniperoute.control.message.*
import sniperoute.process.clock.Timestamp
import sniperoute.process.identity.VmName
import sniperoute.process.timeline.message.EventKind
import sniperoute.process.timeline.message.EventSubject
import sniperoute.request.ledger.decision.resolveRunningReply
import sniperoute.request.ledger.message.BeginCall
import sniperoute.request.ledger.message.CallIsRunning
import sniperoute.request.ledger.message.LedgerReply
import sniperoute.request.ledger.message.LedgerRequest
import sniperoute.request.ledger.message.LedgerUnavailable
import sniperoute.version.decision.*
import sniperoute.version.message.*

private const val ENTRIES_BETWEEN_SNAPSHOTS = 1_000

/** Returns the next state and the effects of [input] at [now]; no input means that time has passed. */
public fun ControlDutyState.step(status: AgreementStatus, now: Timestamp, input: ControlInput?): ControlStep =
    followStatus(status, now).then { it.take(status, now, input) }

private fun ControlDutyState.take(status: AgreementStatus, now: Timestamp, input: ControlInput?): ControlStep = when (input) {
    null -> onTime(status, now)
    is EntriesCommitted ->
        input.entries
            .fold(
                unchanged(),
            ) { step, entry -> step.then { it.applyEntry(entry, now) } }
            .then { it.keepSnapshot() }
    is SnapshotRestored -> restore(input)
    is ProposalRejected -> refuseWaiter(input)
    is SessionReceived -> onSession(input, status, now)
    is LedgerReceived -> onLedger(input, status, now)
    is RouterLinkClosed -> lead { copy(links = links.remove(input.link)) }.unchanged()
    is OperatorCommanded -> onOperator(input, status, now)
    is WeightsRead -> onWeightsRead(input).unchanged()
    is EndpointsListed -> onListed(input, now)
    is StoreSeen -> onStoreSeen(input)
    is EndpointRead -> tendLoads(now) { it.reportRead(input.endpoint, input.report, now) }
    is LoadCommandEnded -> tendLoads(now) { it.commandEnded(input.endpoint, input.number, input.outcome, now) }
}

/** Begins or ends leadership as the agreement says; what waited when it ends is told so. */
private fun ControlDutyState.followStatus(status: AgreementStatus, now: Timestamp): ControlStep {
    val isSame = leadership?.term == status.term
    return when {
        status.isLeader && isSame -> unchanged()
        status.isLeader -> {
            val leases = newLeases(now, status.maximumElectionTimeout)
            dismissWaiters(status).then {
                val known = newLeadership(status.term, now, status.maximumElectionTimeout, leases, it.replicatedState.published.revision)
                it.copy(leadership = known.withOrdersAfter(it.loadCommandGracePeriod(now))).unchanged()
            }
        }
        leadership != null -> dismissWaiters(status).then { it.copy(leadership = null).unchanged() }
        else -> unchanged()
    }
}

private fun ControlDutyState.dismissWaiters(status: AgreementStatus): ControlStep =
    leadership?.waiters?.values.orEmpty().fold(unchanged()) { step, waiter ->
        step.then {
            it.dismiss(waiter, status.leader, mayHaveRun = true)
        }
    }

private fun ControlDutyState.dismiss(waiter: Waiter, leader: VmName?, mayHaveRun: Boolean): ControlStep = when (waiter) {
    is LedgerWaiter -> unchanged().emit(SendLedgerReply(waiter.to, LedgerUnavailable))
    is OperatorWaiter -> unchanged().emit(SendOperatorReply(waiter.wait, null, leader, mayHaveRun))
    is TokenWaiter -> waiter.asks.fold(unchanged()) { step, ask -> step.emit(SendSessionReply(ask.to, NotLeader(leader))) }
    is NobodyWaits -> unchanged()
}

private fun ControlDutyState.refuseWaiter(input: ProposalRejected): ControlStep {
    val waiter = leadership?.waiters?.get(input.proposal) ?: return unchanged()
    return lead { copy(waiters = waiters.remove(input.proposal), isTokenCommandOpen = isTokenCommandOpen && waiter !is TokenWaiter) }
        .dismiss(waiter, input.leader, mayHaveRun = false)
}

private fun ControlDutyState.restore(input: SnapshotRestored): ControlStep {
    val restored = input.replicatedState ?: return copy(applied = input.index).unchanged()
    return copy(applied = input.index, snapshotIndex = input.index, replicatedState = restored).unchanged()
}

private fun ControlDutyState.keepSnapshot(): ControlStep {
    if (applied - snapshotIndex < ENTRIES_BETWEEN_SNAPSHOTS) return unchanged()
    return copy(snapshotIndex = applied).unchanged().emit(KeepSnapshot(applied, replicatedState))
}

private fun ControlDutyState.applyEntry(entry: CommittedEntry, now: Timestamp): ControlStep {
    if (entry.index <= applied) return unchanged()
    val command = entry.command ?: return copy(applied = entry.index).unchanged()
    val outcome = replicatedState.apply(command, entry.index)
    val before = replicatedState.published.revision
    val next = copy(applied = entry.index, replicatedState = outcome.state).noteEvents(command, outcome)
    val answered = next.then { it.answerWaiter(entry.proposal, outcome.result, now) }
    return if (outcome.state.published.revision > before) answered.then { it.notifyRouters() } else answered
}

private fun ControlDutyState.notifyRouters(): ControlStep {
    val links = leadership
        ?.links
        ?.keys
        .orEmpty()
        .toPersistentList()
    if (links.isEmpty()) return unchanged()
    return unchanged().emit(NotifyRouters(links, ChangeNotice(replicatedState.published.revision)))
}

private fun ControlDutyState.answerWaiter(proposal: Long, result: CommandResult, now: Timestamp): ControlStep {
    val waiter = leadership?.waiters?.get(proposal) ?: return unchanged()
    val next = lead { copy(waiters = waiters.remove(proposal)) }
    return when (waiter) {
        is LedgerWaiter -> next.answerLedger(waiter, (result as LedgerAnswered).reply, now)
        is OperatorWaiter -> next.unchanged().emit(SendOperatorReply(waiter.wait, result, null))
        is TokenWaiter -> next.answerTokens(waiter, (result as TokensChanged).granted, now)
        is NobodyWaits -> next.unchanged()
    }
}

private fun ControlDutyState.answerLedger(waiter: LedgerWaiter, reply: LedgerReply, now: Timestamp): ControlStep =
    unchanged().emit(SendLedgerReply(waiter.to, truthful(waiter.request, reply, now)))

private const val MILLISECONDS_PER_SECOND = 1_000L

private fun ControlDutyState.answerTokens(waiter: TokenWaiter, granted: PersistentList<Long>, now: Timestamp): ControlStep {
    val answered = lead { copy(isTokenCommandOpen = false) }
    val replies = waiter.asks.zip(granted) { ask, tokens ->
        SendSessionReply(ask.to, TokenGrant(ask.workspace, tokens, replicatedState.retryMilliseconds(ask, tokens)))
    }
    return replies.fold(answered.unchanged()) { step, reply -> step.emit(reply) }.then { it.proposeTokens(now, isDue = false) }
}

private const val SHORTEST_RETRY = 50L
private const val LONGEST_RETRY = 1_000L

private fun ControlState.retryMilliseconds(ask: TokenAsk, granted: Long): Long {
    val missing = ask.tokens - granted
    val rate = allowances.buckets[ask.workspace]?.tokensPerSecond ?: return LONGEST_RETRY
    return if (missing <= 0) 0 else (missing * MILLISECONDS_PER_SECOND / rate).coerceIn(SHORTEST_RETRY, LONGEST_RETRY)
}

private const val MARK_INTERVAL_MICROSECONDS = 1_000_000L

/** Proposes what routers asked for since the last command about tokens; when [isDue], also just to advance fleet time. */
private fun ControlDutyState.proposeTokens(now: Timestamp, isDue: Boolean): ControlStep {
    val known = leadership ?: return unchanged()
    val hasWork = known.asks.isNotEmpty() || known.returns.isNotEmpty() || isDue
    if (known.isTokenCommandOpen || !hasWork) return unchanged()
    val wanted = known.asks.map { TokenAmount(it.workspace, it.tokens) }.toPersistentList()
    val command = ChangeTokens(now, known.term, known.returns, wanted)
    val next = lead {
        copy(
            asks = persistentListOf(),
            returns = persistentListOf(),
            isTokenCommandOpen = true,
            nextMark = Timestamp(now.microseconds + MARK_INTERVAL_MICROSECONDS),
        )
    }
    return next.propose(command, TokenWaiter(known.asks))
}

/** Returns the state after [command] was handed to the agreement for [waiter]. */
internal fun ControlDutyState.propose(command: Command, waiter: Waiter): ControlStep {
    val proposal = nextProposal
    return copy(nextProposal = proposal + 1)
        .lead { copy(waiters = waiters.put(proposal, waiter)) }
        .unchanged()
        .emit(ProposeCommand(proposal, command))
}

private fun ControlDutyState.onOperator(input: OperatorCommanded, status: AgreementStatus, now: Timestamp): ControlStep =
    if (isLeading(status, now)) {
        propose(input.command, OperatorWaiter(input.wait))
    } else {
        unchanged().emit(SendOperatorReply(input.wait, null, status.leader))
    }

private fun ControlDutyState.onSession(input: SessionReceived, status: AgreementStatus, now: Timestamp): ControlStep {
    if (!isLeading(status, now)) return unchanged().emit(SendSessionReply(input.from, NotLeader(status.leader, status.memberVms())))
    val known = lead { copy(links = links.put(input.from.link, input.router)) }
    return when (val message = input.message) {
        is RenewRequest -> known.renew(input, message, status, now)
        is TokenRequest ->
            known
                .lead { copy(asks = asks.add(TokenAsk(input.from, message.workspace, message.tokens))) }
                .proposeTokens(now, isDue = false)
        is TokenReturn ->
            known
                .lead { copy(returns = returns.add(TokenAmount(message.workspace, message.tokens))) }
                .proposeTokens(now, isDue = false)
        is WorkloadReport -> known.lead { copy(works = works.recordReport(input.router, message)) }.unchanged()
        else -> known.unchanged()
    }
}

private fun ControlDutyState.renew(input: SessionReceived, request: RenewRequest, status: AgreementStatus, now: Timestamp): ControlStep {
    val renewed = lead {
        copy(
            leases = leases.renew(input.router, request.revision, now),
            evidence = evidence.put(input.router, evidenceTable(request.evidence)),
        )
    }
    val published = replicatedState.published
    val since = published.changesSince(request.revision)
    val reply = RenewReply(
        term = checkNotNull(leadership) { "only a leader renews leases" }.term,
        leaseMilliseconds = LEASE_DURATION.inWholeMilliseconds,
        revision = published.revision,
        configuration = replicatedState.configurations.number,
        isWhole = since.isWhole,
        changes = since.changes,
        members = status.memberVms(),
        routers = checkNotNull(renewed.leadership) { "only a leader renews leases" }.leases.routers.size,
        fleet = leadership?.fleet?.number ?: 0,
    )
    return renewed
        .unchanged()
        .emit(SendSessionReply(input.from, reply))
        .then { it.sendFleet(input.from, request.fleet) }
        .then { it.reportInForce(now) }
}

/** Notes in the time line when the newest revision is in force everywhere. */
private fun ControlDutyState.reportInForce(now: Timestamp): ControlStep {
    val known = leadership ?: return unchanged()
    val revision = replicatedState.published.revision
    val report = known.leases.report(revision, now)
    if (known.reported >= revision || !report.isEverywhere) return unchanged()
    val subject = EventSubject(configuration = replicatedState.configurations.number)
    return lead { copy(reported = revision) }
        .unchanged()
        .emit(NoteEvent(EventKind.CONFIGURATION_IN_FORCE_EVERYWHERE, subject, "revision $revision on ${report.live} routers"))
}

private fun ControlDutyState.onLedger(input: LedgerReceived, status: AgreementStatus, now: Timestamp): ControlStep {
    if (!isLeading(status, now)) return unchanged().emit(SendLedgerReply(input.from, LedgerUnavailable))
    return propose(ChangeLedger(now, input.request), LedgerWaiter(input.from, input.request))
}

/** Whether the run of the router that owns a call may still be at work, as far as this leader knows. */
private fun ControlDutyState.isOwnerAlive(request: BeginCall, now: Timestamp): Boolean {
    val known = leadership ?: return true
    val owner = replicatedState.ledger.entries[request.key]?.owner ?: return true
    val lease = known.leases.routers[RouterName(owner.vm, owner.incarnation)]
    return lease != null && lease.until > now || now < known.leases.complete
}

private fun ControlDutyState.onTime(status: AgreementStatus, now: Timestamp): ControlStep {
    val known = leadership ?: return unchanged()
    if (!isLeading(status, now)) return unchanged()
    return proposeTokens(now, isDue = now >= known.nextMark)
        .then { it.reportInForce(now) }
        .then { it.tendMoves(now) }
        .then { it.tendFleet(now) }
        .then { it.tellWork(now) }
}

private fun ControlDutyState.noteEvents(command: Command, outcome: Applied): ControlStep {
    val event = eventOrNull(command, outcome) ?: return unchanged()
    val held = outcome.quarantined.map { NoteEvent(EventKind.DIGEST_QUARANTINED, EventSubject(), "digest $it") }
    return held.fold(unchanged().emit(event)) { step, note -> step.emit(note) }
}

private fun eventOrNull(command: Command, outcome: Applied): NoteEvent? = when (command) {
    is SubmitConfiguration -> submissionEvent(command, outcome)
    is GrantKey -> NoteEvent(
        EventKind.KEY_GRANTED,
        EventSubject(workspace = command.workspace.text),
        "${command.digest} by ${command.operator}",
    )
    is WithdrawKey -> NoteEvent(EventKind.KEY_WITHDRAWN, EventSubject(), "${command.digest} by ${command.operator}")
    is StartMove -> NoteEvent(
        EventKind.MOVE_STARTED,
        EventSubject(weights = command.to.text),
        "service ${command.service} by ${command.operator}",
    )
    is AdvanceMove -> moveEvent(command)
    is ChangeLedger -> NoteEvent(EventKind.DIGEST_QUARANTINED, EventSubject(), "a death was charged").takeIf {
        outcome.quarantined.isNotEmpty()
    }
    else -> null
}

private fun submissionEvent(command: SubmitConfiguration, outcome: Applied): NoteEvent? {
    val judged = (outcome.result as? SubmissionResult)?.outcome
    val subject = EventSubject(configuration = command.follows + 1)
    return when (judged) {
        is SubmissionAccepted -> NoteEvent(EventKind.CONFIGURATION_ACCEPTED, subject, "by ${command.operator}, digest ${command.digest}")
        is SubmissionAlreadyAccepted -> null
        else -> NoteEvent(EventKind.CONFIGURATION_REFUSED, subject, "by ${command.operator}, digest ${command.digest}")
    }
}

private fun moveEvent(command: AdvanceMove): NoteEvent {
    val kind = when (command.next.stage) {
        MoveStage.DONE -> EventKind.MOVE_DONE
        MoveStage.TAKING_BACK, MoveStage.TAKEN_BACK -> EventKind.MOVE_TAKEN_BACK
        else -> EventKind.MOVE_WIDENED
    }
    val detail = "service ${command.next.service} ${command.next.stage} share ${command.next.share}: ${command.next.reason}"
    return NoteEvent(kind, EventSubject(weights = command.next.to.text), detail)
}

/** What a caller is told about a call that the ledger says is running. */
private fun ControlDutyState.truthful(request: LedgerRequest, reply: LedgerReply, now: Timestamp): LedgerReply =
    if (reply is CallIsRunning && request is BeginCall) resolveRunningReply(reply, isOwnerAlive(request, now)) else reply
