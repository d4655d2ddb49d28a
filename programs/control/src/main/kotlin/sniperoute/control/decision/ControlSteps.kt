/**
 * The step of the control duty: applies committed entries to the replicated state and, on the leader, serves routers and operators.
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

/** Bounds the log in memory and on disk, and so what a restart has to read, when entries hold long configurations. */
private const val BYTES_BETWEEN_SNAPSHOTS = 4L * 1024 * 1024

/** Returns the next state and the effects of [input] at [now]; a `null` input is a tick. */
public fun ControlDutyState.step(status: AgreementStatus, now: Timestamp, input: ControlInput?): ControlStep =
    followLeadership(status, now).then { it.handle(status, now, input) }

private fun ControlDutyState.handle(status: AgreementStatus, now: Timestamp, input: ControlInput?): ControlStep = when (input) {
    null -> onTick(status, now)
    is EntriesCommitted ->
        input.entries
            .fold(
                unchanged(),
            ) { step, entry -> step.then { it.applyEntry(entry, now) }.then { it.takeSnapshotIfDue() } }
    is SnapshotRestored -> restore(input, now)
    is ProposalRejected -> onProposalRejected(input)
    is RouterMessageReceived -> onRouterMessage(input, status, now)
    is LedgerRequestReceived -> onLedgerRequest(input, status, now)
    is RouterLinkClosed -> updateLeader { copy(links = links.remove(input.link)) }.unchanged()
    is OperatorCommandReceived -> onOperatorCommand(input, status, now)
    is WeightsRead -> onWeightsRead(input).unchanged()
    is PlatformListRead -> onPlatformListRead(input, status, now)
    is StoreChecked -> onStoreChecked(input)
    is EndpointReportRead -> reconcileLoads(status, now) { it.reportRead(input.endpoint, input.report, now) }
    is EndpointChecked -> onEndpointChecked(input, now)
    is LoadCommandEnded -> reconcileLoads(status, now) { it.commandEnded(input.endpoint, input.number, input.outcome, now) }
}

/** Creates or drops the leader's state when leadership changes; routers and operators with a pending proposal then get a failure reply. */
private fun ControlDutyState.followLeadership(status: AgreementStatus, now: Timestamp): ControlStep {
    val isSameTerm = leaderState?.term == status.term
    return when {
        status.isLeader && isSameTerm -> unchanged()
        status.isLeader -> {
            val leases = newLeases(now, status.maximumElectionTimeout)
            failPendingProposals(status).then {
                val revision = it.replicatedState.published.revision
                val leader =
                    newLeaderState(status.term, now, status.maximumElectionTimeout, leases, revision, it.settings.warmUpTolerance)
                it.copy(leaderState = leader.withLoadsFrom(now + it.settings.loadCommandGracePeriod)).unchanged()
            }
        }
        leaderState != null -> failPendingProposals(status).then { it.copy(leaderState = null).unchanged() }
        else -> unchanged()
    }
}

private fun ControlDutyState.failPendingProposals(status: AgreementStatus): ControlStep =
    leaderState?.pendingProposals?.values.orEmpty().fold(unchanged()) { step, proposal ->
        step.then {
            it.fail(proposal, status.leader, mayHaveRun = true)
        }
    }

private fun ControlDutyState.fail(proposal: PendingProposal, leader: VmName?, mayHaveRun: Boolean): ControlStep = when (proposal) {
    is LedgerProposal -> unchanged().emit(SendLedgerReply(proposal.to, LedgerUnavailable))
    is OperatorProposal -> unchanged().emit(SendOperatorReply(proposal.requestId, null, leader, mayHaveRun))
    is TokenProposal ->
        proposal.requests.fold(unchanged()) { step, request -> step.emit(SendSessionReply(request.to, NotLeader(leader))) }
    is CacheUseProposal, is LeaderProposal -> unchanged()
}

private fun ControlDutyState.onProposalRejected(input: ProposalRejected): ControlStep {
    val proposal = leaderState?.pendingProposals?.get(input.proposal) ?: return unchanged()
    return updateLeader {
        copy(
            pendingProposals = pendingProposals.remove(input.proposal),
            isTokenProposalPending = isTokenProposalPending && proposal !is TokenProposal,
        )
    }.fail(proposal, input.leader, mayHaveRun = false)
}

private fun ControlDutyState.restore(input: SnapshotRestored, now: Timestamp): ControlStep {
    val restored = input.replicatedState ?: return copy(appliedIndex = input.index).unchanged()
    return copy(appliedIndex = input.index, snapshotIndex = input.index, replicatedState = restored, bytesSinceSnapshot = 0)
        .withTargetWeights(restored.targetWeights().values, now)
        .unchanged()
}

private fun ControlDutyState.takeSnapshotIfDue(): ControlStep {
    val isDue = appliedIndex - snapshotIndex >= ENTRIES_BETWEEN_SNAPSHOTS || bytesSinceSnapshot >= BYTES_BETWEEN_SNAPSHOTS
    if (!isDue) return unchanged()
    return copy(snapshotIndex = appliedIndex, bytesSinceSnapshot = 0).unchanged().emit(StoreSnapshot(appliedIndex, replicatedState))
}

private fun ControlDutyState.applyEntry(entry: CommittedEntry, now: Timestamp): ControlStep {
    if (entry.index <= appliedIndex) return unchanged()
    val command = entry.command ?: return copy(appliedIndex = entry.index).unchanged()
    val applied = replicatedState.apply(command, entry.index)
    val revisionBefore = replicatedState.published.revision
    val next = copy(appliedIndex = entry.index, replicatedState = applied.state, bytesSinceSnapshot = bytesSinceSnapshot + entry.bytes)
        .withTargetWeights(if (command is SetTargetWeights) applied.state.targetWeights().values else emptyList(), now)
        .recordEvents(command, applied)
    // Routers must know that the endpoints are cold when they learn that they may use them.
    val returned = (command as? SetEvacuation)?.takeIf { !it.isEvacuated && applied.hasChangedEvacuation }?.domain
    val answered = next
        .then { if (returned == null) it.unchanged() else it.withColdDomain(returned, now) }
        .then { it.completeProposal(entry.proposal, applied.result, now) }
    // The routers that wait for these records were notified when the proposal was completed.
    val isNoticed = applied.state.published.revision > revisionBefore && command !is RecordCacheUses
    return if (isNoticed) answered.then { it.notifyRouters() } else answered
}

private fun ControlDutyState.notifyRouters(): ControlStep {
    val links = leaderState
        ?.links
        ?.keys
        .orEmpty()
        .toPersistentList()
    if (links.isEmpty()) return unchanged()
    return unchanged().emit(NotifyRouters(links, ChangeNotice(replicatedState.published.revision)))
}

private fun ControlDutyState.completeProposal(number: Long, result: CommandResult, now: Timestamp): ControlStep {
    val proposal = leaderState?.pendingProposals?.get(number) ?: return unchanged()
    val next = updateLeader { copy(pendingProposals = pendingProposals.remove(number)) }
    return when (proposal) {
        is LedgerProposal -> next.replyToLedgerRequest(proposal, (result as LedgerResult).reply, now)
        is OperatorProposal -> next.unchanged().emit(SendOperatorReply(proposal.requestId, result, null))
        is TokenProposal -> next.replyToTokenRequests(proposal, (result as TokensResult).granted, now)
        is CacheUseProposal -> next.noticeRecordedCacheUses(proposal)
        is LeaderProposal -> next.unchanged()
    }
}

private fun ControlDutyState.replyToLedgerRequest(proposal: LedgerProposal, reply: LedgerReply, now: Timestamp): ControlStep =
    unchanged().emit(SendLedgerReply(proposal.to, withOwnerLiveness(proposal.request, reply, now)))

private const val MILLISECONDS_PER_SECOND = 1_000L

private fun ControlDutyState.replyToTokenRequests(proposal: TokenProposal, granted: PersistentList<Long>, now: Timestamp): ControlStep {
    val completed = updateLeader { copy(isTokenProposalPending = false) }
    val replies = proposal.requests.zip(granted) { request, tokens ->
        SendSessionReply(request.to, TokenGrant(request.workspace, tokens, replicatedState.retryDelayMilliseconds(request, tokens)))
    }
    return replies.fold(completed.unchanged()) { step, reply -> step.emit(reply) }.then { it.proposeTokenChanges(now, isDue = false) }
}

private const val MIN_RETRY_DELAY_MILLISECONDS = 50L
private const val MAX_RETRY_DELAY_MILLISECONDS = 1_000L

/**
 * Returns the delay before [request] is repeated: the time in which the bucket refills by the tokens that weren't granted, within the
 * limits above; 0 when all were granted.
 */
private fun ControlState.retryDelayMilliseconds(request: PendingTokenRequest, granted: Long): Long {
    val missing = request.tokens - granted
    val rate = allowances.buckets[request.workspace]?.tokensPerSecond ?: return MAX_RETRY_DELAY_MILLISECONDS
    return if (missing <= 0) {
        0
    } else {
        (missing * MILLISECONDS_PER_SECOND / rate).coerceIn(MIN_RETRY_DELAY_MILLISECONDS, MAX_RETRY_DELAY_MILLISECONDS)
    }
}

private const val FLEET_TIME_INTERVAL_MICROSECONDS = 1_000_000L

/**
 * Proposes one command for all token requests and returns that came in since the last one, unless that one is still pending.
 * When [isDue], an empty command is proposed too, which only advances fleet time.
 */
private fun ControlDutyState.proposeTokenChanges(now: Timestamp, isDue: Boolean): ControlStep {
    val leader = leaderState ?: return unchanged()
    val hasChanges = leader.pendingTokenRequests.isNotEmpty() || leader.returnedTokens.isNotEmpty() || isDue
    if (leader.isTokenProposalPending || !hasChanges) return unchanged()
    val wanted = leader.pendingTokenRequests.map { TokenAmount(it.workspace, it.tokens) }.toPersistentList()
    val seen = if (isDue) unrecordedDomains() else persistentListOf()
    val command = ChangeTokens(now, leader.term, leader.returnedTokens, wanted, seen)
    val next = updateLeader {
        copy(
            pendingTokenRequests = persistentListOf(),
            returnedTokens = persistentListOf(),
            isTokenProposalPending = true,
            nextFleetTimeAdvance = Timestamp(now.microseconds + FLEET_TIME_INTERVAL_MICROSECONDS),
        )
    }
    return next.propose(command, TokenProposal(leader.pendingTokenRequests))
}

/** Returns the state after [command] was proposed to the agreement, with [proposal] pending. */
internal fun ControlDutyState.propose(command: Command, proposal: PendingProposal): ControlStep {
    val number = nextProposal
    return copy(nextProposal = number + 1)
        .updateLeader { copy(pendingProposals = pendingProposals.put(number, proposal)) }
        .unchanged()
        .emit(ProposeCommand(number, command))
}

private fun ControlDutyState.onOperatorCommand(input: OperatorCommandReceived, status: AgreementStatus, now: Timestamp): ControlStep =
    if (isLeading(status, now)) {
        when (val unknown = unknownDomainOrNull(input.command, now)) {
            null -> propose(input.command, OperatorProposal(input.requestId))
            else -> unchanged().emit(SendOperatorReply(input.requestId, unknown, null))
        }
    } else {
        unchanged().emit(SendOperatorReply(input.requestId, null, status.leader))
    }

private fun ControlDutyState.onRouterMessage(input: RouterMessageReceived, status: AgreementStatus, now: Timestamp): ControlStep {
    if (!isLeading(status, now)) return unchanged().emit(SendSessionReply(input.from, NotLeader(status.leader, status.memberVms())))
    val linked = updateLeader { copy(links = links.put(input.from.link, input.router)) }
    return when (val message = input.message) {
        is RenewRequest -> linked.renewLease(input, message, status, now)
        is TokenRequest ->
            linked
                .updateLeader {
                    copy(
                        pendingTokenRequests = pendingTokenRequests.add(PendingTokenRequest(input.from, message.workspace, message.tokens)),
                    )
                }.proposeTokenChanges(now, isDue = false)
        is TokenReturn ->
            linked
                .updateLeader { copy(returnedTokens = returnedTokens.add(TokenAmount(message.workspace, message.tokens))) }
                .proposeTokenChanges(now, isDue = false)
        is RequestLimitReport -> linked.recordRequestLimits(message, now)
        is WorkloadReport -> linked.updateLeader { copy(workloads = workloads.recordReport(input.router, message)) }.unchanged()
        else -> linked.unchanged()
    }
}

private fun ControlDutyState.renewLease(
    input: RouterMessageReceived,
    request: RenewRequest,
    status: AgreementStatus,
    now: Timestamp,
): ControlStep {
    val isNewRouter = leaderState?.leases?.routers?.containsKey(input.router) == false
    val table = evidenceTable(request.evidence)
    val renewed = recordLateness(leaderState?.evidence?.get(input.router), table, now)
        .updateLeader {
            copy(leases = leases.renew(input.router, request.revision, now), evidence = evidence.put(input.router, table))
        }.collectCacheUses(input.from.link, request.cacheUses)
    val (doubted, settled) = renewed.recordDoubts(input.router, request, now)
    val published = replicatedState.published
    val page = published.pageSince(request.revision, request.cursor)
    val reply = RenewReply(
        term = checkNotNull(leaderState) { "only a leader renews leases" }.term,
        leaseMilliseconds = LEASE_DURATION.inWholeMilliseconds,
        revision = published.revision,
        configuration = replicatedState.configurations.number,
        isWhole = page.isWhole,
        changes = page.changes,
        members = status.memberVms(),
        routers = checkNotNull(renewed.leaderState) { "only a leader renews leases" }.leases.routers.size,
        fleet = leaderState?.fleet?.number ?: 0,
        settledDoubts = settled.toPersistentList(),
        continues = page.continues,
        next = page.next,
    )
    return doubted
        .emit(SendSessionReply(input.from, reply))
        .then { it.sendFleetIfStale(input.from, request.fleet) }
        .then { if (isNewRouter) it.sendRequestLimits(input.from) else it.unchanged() }
        .then { it.reportStrain(now) }
        .then { it.recordIfInForceEverywhere(now) }
        .then { it.proposeCacheUses(now) }
}

/** Records once for each revision, in the time line, that the newest one is in force on every live router. */
private fun ControlDutyState.recordIfInForceEverywhere(now: Timestamp): ControlStep {
    val leader = leaderState ?: return unchanged()
    val revision = replicatedState.published.revision
    val report = leader.leases.report(revision, now)
    if (leader.lastReportedRevision >= revision || !report.isEverywhere) return unchanged()
    val subject = EventSubject(configuration = replicatedState.configurations.number)
    val evacuations = replicatedState.evacuationsInForceEvents(leader.lastReportedRevision, report.live)
    return updateLeader { copy(lastReportedRevision = revision) }
        .unchanged()
        .emit(RecordTimelineEvent(EventKind.CONFIGURATION_IN_FORCE_EVERYWHERE, subject, "revision $revision on ${report.live} routers"))
        .let { step -> evacuations.fold(step) { all, event -> all.emit(event) } }
}

private fun ControlDutyState.onLedgerRequest(input: LedgerRequestReceived, status: AgreementStatus, now: Timestamp): ControlStep {
    if (!isLeading(status, now)) return unchanged().emit(SendLedgerReply(input.from, LedgerUnavailable))
    return propose(ChangeLedger(now, input.request), LedgerProposal(input.from, input.request))
}

private fun ControlDutyState.onTick(status: AgreementStatus, now: Timestamp): ControlStep {
    val leader = leaderState ?: return unchanged()
    if (!isLeading(status, now)) return unchanged()
    return proposeTokenChanges(now, isDue = now >= leader.nextFleetTimeAdvance)
        .then { it.recordIfInForceEverywhere(now) }
        .then { it.reconcileMoves(now) }
        .then { it.reconcileFleet(status, now) }
        .then { it.broadcastWorkloads(now) }
        .then { it.checkDoubted(now) }
        .then { it.grantRequestPermits(now) }
        .then { it.proposeCacheUses(now) }
}

private fun ControlDutyState.recordEvents(command: Command, applied: AppliedCommand): ControlStep {
    val events = listOfNotNull(eventOrNull(command, applied)) +
        applied.quarantined.map { RecordTimelineEvent(EventKind.DIGEST_QUARANTINED, EventSubject(), "digest $it") } +
        applied.quarantinedBlocks.map { RecordTimelineEvent(EventKind.BLOCKS_QUARANTINED, EventSubject(), "blocks ${it.text}") } +
        applied.releasedBlocks.map { RecordTimelineEvent(EventKind.BLOCKS_RELEASED, EventSubject(), "blocks ${it.text}") } +
        applied.separated.map(::separationEvent)
    return events.fold(unchanged()) { step, effect -> step.emit(effect) }
}

private fun separationEvent(sharer: CacheSharerItem): RecordTimelineEvent = RecordTimelineEvent(
    EventKind.CACHE_SEPARATED,
    EventSubject(workspace = sharer.workspace.text),
    "${sharer.groups.size} cache groups have a new generation",
)

private fun eventOrNull(command: Command, applied: AppliedCommand): RecordTimelineEvent? = when (command) {
    is SubmitConfiguration -> submissionEvent(command, applied)
    is GrantKey -> RecordTimelineEvent(
        EventKind.KEY_GRANTED,
        EventSubject(workspace = command.workspace.text),
        "${command.digest} by ${command.operator}",
    )
    is WithdrawKey -> RecordTimelineEvent(EventKind.KEY_WITHDRAWN, EventSubject(), "${command.digest} by ${command.operator}")
    is StartMove -> RecordTimelineEvent(
        EventKind.MOVE_STARTED,
        EventSubject(weights = command.to.text),
        "service ${command.service} by ${command.operator}",
    )
    is AdvanceMove -> moveEvent(command)
    is SetEvacuation -> evacuationEvent(command).takeIf { applied.hasChangedEvacuation }
    is ChangeLedger -> RecordTimelineEvent(
        EventKind.DIGEST_QUARANTINED,
        EventSubject(),
        "an endpoint crash was charged to its requests",
    ).takeIf {
        applied.quarantined.isNotEmpty()
    }
    else -> null
}

private fun submissionEvent(command: SubmitConfiguration, applied: AppliedCommand): RecordTimelineEvent? {
    val outcome = (applied.result as? SubmissionResult)?.outcome
    val subject = EventSubject(configuration = command.follows + 1)
    return when (outcome) {
        is SubmissionAccepted -> RecordTimelineEvent(
            EventKind.CONFIGURATION_ACCEPTED,
            subject,
            "by ${command.operator}, digest ${command.digest}",
        )
        is SubmissionAlreadyAccepted -> null
        else -> RecordTimelineEvent(EventKind.CONFIGURATION_REFUSED, subject, "by ${command.operator}, digest ${command.digest}")
    }
}

private fun moveEvent(command: AdvanceMove): RecordTimelineEvent {
    val kind = when (command.next.stage) {
        MoveStage.DONE -> EventKind.MOVE_DONE
        MoveStage.TAKING_BACK, MoveStage.TAKEN_BACK -> EventKind.MOVE_TAKEN_BACK
        else -> EventKind.MOVE_WIDENED
    }
    val detail = "service ${command.next.service} ${command.next.stage} share ${command.next.share}: ${command.next.reason}"
    return RecordTimelineEvent(kind, EventSubject(weights = command.next.to.text), detail)
}

/**
 * Returns the reply for a caller: a call that the ledger has as running may have ended unseen when the router that owns it is
 * gone.
 */
private fun ControlDutyState.withOwnerLiveness(request: LedgerRequest, reply: LedgerReply, now: Timestamp): LedgerReply =
    if (reply is CallIsRunning && request is BeginCall) resolveRunningReply(reply, isOwnerAlive(request, now)) else reply

/**
 * Returns whether the incarnation of the router that owns a call may still be running. It may be while its lease runs, and while
 * leases granted by earlier leaders, which this one doesn't know, may still run.
 */
private fun ControlDutyState.isOwnerAlive(request: BeginCall, now: Timestamp): Boolean {
    val leader = leaderState ?: return true
    val owner = replicatedState.ledger.entries[request.key]?.owner ?: return true
    val lease = leader.leases.routers[RouterName(owner.vm, owner.incarnation)]
    return lease != null && lease.until > now || now < leader.leases.complete
}
