/**
 * The replicated state of the control replicas, and how each command changes it.
 */
package sniperoute.control.decision

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentSet
import sniperoute.control.message.*
import sniperoute.process.clock.Timestamp
import sniperoute.process.identity.FailureDomain
import sniperoute.request.ledger.decision.Ledger
import sniperoute.request.ledger.decision.emptyLedger
import sniperoute.request.ledger.decision.expire
import sniperoute.request.ledger.decision.step
import sniperoute.request.ledger.message.CallAcknowledged
import sniperoute.request.ledger.message.CrashNotice
import sniperoute.request.ledger.message.InterruptionNotice
import sniperoute.request.ledger.message.LedgerReply
import sniperoute.request.ledger.message.ServedBlocksNotice
import sniperoute.request.quarantine.decision.*
import sniperoute.version.decision.*
import sniperoute.version.message.*
import kotlin.time.Duration.Companion.milliseconds

/**
 * The replicated state, which survives the loss of any minority of the voters. [lastLedgerExpiry] is when expired calls were last
 * removed from the ledger, and [domains] are the failure domains in which the platform's list ever named an endpoint.
 */
public data class ControlState(
    public val configurations: Configurations,
    public val published: PublishedItems,
    public val keys: OperatorKeys,
    public val allowances: Allowances,
    public val ledger: Ledger,
    public val crashes: CrashHistory,
    public val lastLedgerExpiry: Timestamp,
    public val blocks: BlockHistory = emptyBlockHistory(),
    public val domains: PersistentSet<FailureDomain> = persistentSetOf(),
)

/** Returns the state before the first command. */
public fun newControlState(): ControlState = ControlState(
    configurations = noConfiguration(),
    published = noPublishedItems(),
    keys = noOperatorKeys(),
    allowances = noAllowances(),
    ledger = emptyLedger(),
    crashes = emptyCrashHistory(),
    lastLedgerExpiry = Timestamp.EARLIEST,
)

/** The result of a command. */
public sealed interface CommandResult

/** The [outcome] of a submission; [revision] is the one that contains its changes when it was accepted. */
public data class SubmissionResult(public val outcome: SubmissionOutcome, public val revision: Long) : CommandResult

/** The command was applied; its changes are part of [revision]. */
public data class CommandApplied(public val revision: Long) : CommandResult

/** The command names something that is not known, as [reason] says; it was not proposed. */
public data class SubjectUnknown(public val reason: String) : CommandResult

/** The command was rejected for [reason] and changed nothing. */
public data class CommandRejected(public val reason: String) : CommandResult

/** The tokens granted, in the order of the requests in the command. */
public data class TokensResult(public val granted: PersistentList<Long>) : CommandResult

/** The reply of the ledger. */
public data class LedgerResult(public val reply: LedgerReply) : CommandResult

/**
 * The [state] after a command, its [result], and the digests of requests that it put in quarantine. [quarantinedBlocks] and
 * [releasedBlocks] are the sets of prompt blocks whose quarantine began or ended. [hasChangedEvacuation] is `true` if it started or ended
 * an evacuation, and the [separated] workspaces no longer share cached blocks.
 */
public data class AppliedCommand(
    public val state: ControlState,
    public val result: CommandResult,
    public val quarantined: List<RequestDigest> = persistentListOf(),
    public val quarantinedBlocks: List<ItemName> = persistentListOf(),
    public val releasedBlocks: List<ItemName> = persistentListOf(),
    public val hasChangedEvacuation: Boolean = false,
    public val separated: List<CacheSharerItem> = persistentListOf(),
)

/** Returns the state after [command], which is the log entry [index]. All replicas must return the same state. */
public fun ControlState.apply(command: Command, index: Long): AppliedCommand = when (command) {
    is SubmitConfiguration -> applySubmission(command, index)
    is GrantKey -> applyGrant(command)
    is WithdrawKey -> withKeys(keys.withdraw(command.digest)).applied()
    is ChangeTokens -> applyTokens(command)
    is ChangeLedger -> applyLedger(command)
    is LiftQuarantine -> applyLiftQuarantine(command)
    is StartMove -> applyStartMove(command, index)
    is AdvanceMove -> applyAdvanceMove(command)
    is RollBackMove -> applyRollBack(command, index)
    is SetTargetWeights -> applyTargetWeights(command)
    is SetEvacuation -> applyEvacuation(command)
    is RecordCacheUses -> applyCacheUses(command)
}

internal fun ControlState.applied(): AppliedCommand = AppliedCommand(this, CommandApplied(published.revision))

private fun ControlState.rejected(reason: String): AppliedCommand = AppliedCommand(this, CommandRejected(reason))

private fun ControlState.applySubmission(command: SubmitConfiguration, index: Long): AppliedCommand {
    val submission = Submission(command.follows, command.digest, command.operator, command.declarations, command.numbering)
    val outcome = configurations.evaluate(submission)
    if (outcome !is SubmissionAccepted) return AppliedCommand(this, SubmissionResult(outcome, published.revision))
    val separation = separateCaches(command.declarations.workspaces)
    val next = publishDeclarations(command, separation, index)
    val accepted = next.copy(configurations = configurations.accept(submission, next.published.revision))
    return AppliedCommand(accepted, SubmissionResult(outcome, next.published.revision), separated = separation.separated)
}

/** Publishes the [separation] together with the declarations, so that no router has one without the other. */
private fun ControlState.publishDeclarations(command: SubmitConfiguration, separation: CacheSeparation, index: Long): ControlState {
    val declarations = command.declarations
    val items = declarations.copy(keys = keys.effective(declarations.keys).toPersistentList()).toItems()
    val moves = declarations.services.mapNotNull { moveItemOrNull(it, command, index) }
    val kept = (items + moves).map { it.name }.toSet()
    val gone = published.changes.values
        .filter { it.item != null && it.name.kind !in undeclaredKinds && it.name !in kept }
        .map { it.name }
    return copy(
        published = published.publish(items + moves + listOfNotNull(separation.generations), gone + separation.removed),
        allowances = allowances.withLimits(declarations.workspaces),
    )
}

/** The kinds of items that commands publish and no declaration contains; a new configuration leaves them in place. */
private val undeclaredKinds = setOf(
    ItemKind.QUARANTINE,
    ItemKind.BLOCK_QUARANTINE,
    ItemKind.MODEL_WEIGHTS,
    ItemKind.EVACUATION,
    ItemKind.CACHE_SHARER,
    ItemKind.CACHE_GENERATIONS,
)

private fun ControlState.applyTargetWeights(command: SetTargetWeights): AppliedCommand {
    val current = targetWeights()[command.model]
    if (current != null && current.number >= command.number) return applied()
    val item = ModelWeightsItem(ModelWeights(command.model, command.number, command.at))
    return copy(published = published.publish(listOf(item))).applied()
}

/** Returns the weights that all endpoints of each model should serve. */
public fun ControlState.targetWeights(): Map<ModelName, ModelWeights> =
    published.changes.values
        .mapNotNull { (it.item as? ModelWeightsItem)?.weights }
        .associateBy { it.model }

/** Returns the objective of [route], in milliseconds to the first token, or `null` if there is no such route. */
public fun ControlState.objectiveOrNull(route: RouteName): Long? =
    (published.itemOrNull(ItemName(ItemKind.ROUTE, route.text)) as RouteItem?)?.route?.objectiveMilliseconds

/** Returns the cache stores, by the services that declare them. */
public fun ControlState.stores(): Map<ServiceName, StoreAddress> =
    published.changes.values
        .mapNotNull { (it.item as? ServiceItem)?.service }
        .mapNotNull { service -> service.store?.let { service.name to it } }
        .toMap()

/** Returns the models that the listed service [name] serves. */
public fun ControlState.modelsOf(name: ServiceName): List<ModelName> = serviceOrNull(name)?.engine?.models.orEmpty()

/**
 * Returns the move of [service] once its declaration is in force: a new one, the existing one, or the existing one being rolled
 * back. A finished move is kept for as long as the declaration still names the weights that it moved from.
 */
private fun ControlState.moveItemOrNull(service: Service, command: SubmitConfiguration, index: Long): MoveItem? {
    val existing = moveOrNull(service.name)
    val declared = service.move
    if (service.isListed) return existing?.let(::MoveItem)
    val current = servedWeightsOrNull(service, existing) ?: return null
    return when {
        existing != null && existing.isRunning -> MoveItem(existing).takeIf { existing.isStillDeclared(declared) }
            ?: rollBackWithdrawnMove(existing, service, index)
        declared != null && existing?.to != declared.to ->
            MoveItem(startMove(service, current, declared, command.at, command.follows + 1, index))
        existing != null && (declared != null || existing.stage == MoveStage.DONE && service.weights == existing.from) ->
            MoveItem(existing)
        else -> null
    }
}

private fun Move.isStillDeclared(declared: DeclaredMove?): Boolean = declaredIn == STARTED_BY_COMMAND || declared?.to == to

/** The value of [Move.declaredIn] for a move that a command started, not a configuration. */
private const val STARTED_BY_COMMAND = 0L

private fun servedWeightsOrNull(service: Service, existing: Move?): WeightsVersion? =
    if (existing != null && existing.stage == MoveStage.DONE && service.weights == existing.from) existing.to else service.weights

private fun rollBackWithdrawnMove(existing: Move, service: Service, index: Long): MoveItem =
    MoveItem(existing.applyTransition(rollBack(existing, service, "the declaration of the move was withdrawn"), index))

/** Returns the move of [service], or `null` when there is none. */
public fun ControlState.moveOrNull(service: ServiceName): Move? =
    (published.itemOrNull(ItemName(ItemKind.MOVE, service.text)) as MoveItem?)?.move

/** Returns the service [name] that is in force, or `null` when there is none. */
public fun ControlState.serviceOrNull(name: ServiceName): Service? =
    (published.itemOrNull(ItemName(ItemKind.SERVICE, name.text)) as ServiceItem?)?.service

/** Returns all moves. */
public fun ControlState.moves(): List<Move> = published.changes.values.mapNotNull { (it.item as? MoveItem)?.move }

private fun ControlState.applyGrant(command: GrantKey): AppliedCommand {
    val holder = (published.itemOrNull(ItemName(ItemKind.KEY, command.digest.text)) as KeyItem?)?.key?.workspace
    val isDeclared = published.itemOrNull(ItemName(ItemKind.WORKSPACE, command.workspace.text)) != null
    return keys.grant(command.digest, command.workspace, holder, isDeclared).fold(
        ifLeft = { rejected(it.describe()) },
        ifRight = { withKeys(it).applied() },
    )
}

private fun KeyGrantError.describe(): String = when (this) {
    is KeyWasWithdrawn -> "the key was withdrawn, which is final; create a new one"
    is KeyOwnedByOtherWorkspace -> "the key belongs to workspace $workspace"
    is WorkspaceUnknown -> "no such workspace is in force; submit a configuration that declares it first"
}

private fun ControlState.withKeys(newKeys: OperatorKeys): ControlState {
    val declared = configurations.declarations?.keys.orEmpty()
    val effective = newKeys.effective(declared).map(::KeyItem)
    val names = effective.map { it.name }.toSet()
    val gone = published.changes.values
        .filter { it.item != null && it.name.kind == ItemKind.KEY && it.name !in names }
        .map { it.name }
    return copy(keys = newKeys, published = published.publish(effective, gone))
}

private fun ControlState.applyTokens(command: ChangeTokens): AppliedCommand {
    val advanced = allowances.advanceClock(command.term, command.at)
    val deposited = command.returned.fold(advanced) { all, amount -> all.returnTokens(amount.workspace, amount.tokens) }
    val granted = persistentListOf<Long>().builder()
    val remaining = command.wanted.fold(deposited) { all, amount ->
        val taken = all.takeTokens(amount.workspace, amount.tokens)
        granted += taken.tokens
        taken.allowances
    }
    return copy(
        allowances = remaining,
        domains = domains.withSeen(command.seen),
    ).withBlocks(blocks.expire(command.at), TokensResult(granted.build()), command.at)
}

private fun ControlState.applyLedger(command: ChangeLedger): AppliedCommand {
    val request = command.request
    when (request) {
        is CrashNotice -> return applyCrash(request, command.at)
        is InterruptionNotice -> return applyInterruption(request, command.at)
        is ServedBlocksNotice -> return withBlocks(blocks.recordServed(request.blocks.toSet()), LedgerResult(CallAcknowledged), command.at)
        else -> Unit
    }
    val (state, step) = withoutExpiredCalls(command.at).let { state -> state.ledger.step(request, command.at).let { state to it } }
    return AppliedCommand(state.copy(ledger = step.ledger), LedgerResult(step.reply))
}

private const val EXPIRY_INTERVAL_MICROSECONDS = 60_000_000L

private fun ControlState.withoutExpiredCalls(now: Timestamp): ControlState =
    if (now.microseconds - lastLedgerExpiry.microseconds < EXPIRY_INTERVAL_MICROSECONDS) {
        this
    } else {
        copy(ledger = ledger.expire(now), lastLedgerExpiry = now)
    }

private fun ControlState.applyCrash(notice: CrashNotice, now: Timestamp): AppliedCommand {
    val step = crashes.recordCrash(notice.endpoint, notice.digests, now)
    val next = copy(crashes = step.crashes, published = published.publish(step.quarantined.map(::QuarantineItem)))
    return next
        .withBlocks(blocks.recordSeenCrash(notice.endpoint, notice.incarnation, now), LedgerResult(CallAcknowledged), now)
        .copy(quarantined = step.quarantined)
}

private fun ControlState.applyInterruption(notice: InterruptionNotice, now: Timestamp): AppliedCommand {
    val answer = InterruptedAnswer(notice.blocks.toPersistentSet(), notice.hasBegun)
    return withBlocks(
        blocks.recordInterruption(notice.endpoint, notice.incarnation, answer, now),
        LedgerResult(CallAcknowledged),
        now,
    )
}

/** Returns the state with the block history [next]; the quarantines that it holds at [now] are published. */
private fun ControlState.withBlocks(next: BlockHistory, result: CommandResult, now: Timestamp): AppliedCommand {
    if (blocks.quarantines.isEmpty() && next.quarantines.isEmpty()) return AppliedCommand(copy(blocks = next), result)
    val items = next.quarantinedAt(now).map { BlockQuarantineItem(it.sorted().toPersistentList()) }
    val names = items.map { it.name }.toSet()
    val before = quarantinedBlocks()
    val released = before.filter { it !in names }
    return AppliedCommand(
        state = copy(blocks = next, published = published.publish(items, released)),
        result = result,
        quarantinedBlocks = names.filter { it !in before },
        releasedBlocks = released,
    )
}

/** Returns the names of the sets of prompt blocks that are in quarantine. */
public fun ControlState.quarantinedBlocks(): List<ItemName> =
    published.changes.values
        .filter { it.item is BlockQuarantineItem }
        .map { it.name }

/** Lifts the quarantine of a digest, or of the prompt blocks that are published under the same text. */
private fun ControlState.applyLiftQuarantine(command: LiftQuarantine): AppliedCommand {
    val item = published.itemOrNull(ItemName(ItemKind.BLOCK_QUARANTINE, command.digest.text)) as BlockQuarantineItem?
    if (item != null) {
        val lifted = withBlocks(blocks.lift(item.blocks.toSet()), CommandApplied(published.revision), command.at)
        return lifted.copy(result = CommandApplied(lifted.state.published.revision))
    }
    return copy(
        crashes = crashes.forget(command.digest),
        published = published.publish(emptyList(), listOf(ItemName(ItemKind.QUARANTINE, command.digest.text))),
    ).applied()
}

private fun ControlState.applyStartMove(command: StartMove, index: Long): AppliedCommand {
    val service = serviceOrNull(command.service) ?: return rejected("service ${command.service} is not in force")
    val existing = moveOrNull(command.service)
    if (service.isListed) return applyStartRelease(command, existing, index)
    val current = servedWeightsOrNull(service, existing)
    return when {
        current == null || service.endpoints.size < 2 -> rejected(
            "service ${command.service} cannot be moved: it has no weights or fewer than two endpoints",
        )
        existing != null && existing.isRunning && existing.to == command.to -> applied()
        existing != null && existing.isRunning -> rejected("a move to ${existing.to} is running; take it back first")
        current == command.to -> rejected("service ${command.service} already serves ${command.to}")
        else -> {
            val declared = DeclaredMove(command.to, command.deadlineMilliseconds)
            withMove(startMove(service, current, declared, command.at, STARTED_BY_COMMAND, index)).applied()
        }
    }
}

private fun ControlState.applyStartRelease(command: StartMove, existing: Move?, index: Long): AppliedCommand {
    val from = command.from
    return when {
        existing != null && existing.to == command.to && existing.stage != MoveStage.TAKEN_BACK -> applied()
        existing != null && existing.isRunning -> rejected("a move to ${existing.to} is running; take it back first")
        from == null -> rejected("the platform's list has no endpoint of service ${command.service}")
        else -> {
            val allowed = command.deadlineMilliseconds.milliseconds
            withMove(startRelease(command.service, from, command.to, allowed, command.at, index)).applied()
        }
    }
}

private fun ControlState.applyAdvanceMove(command: AdvanceMove): AppliedCommand =
    if (moveOrNull(command.expected.service) == command.expected) {
        withMove(command.next).applied()
    } else {
        rejected("the move has changed since this advance was proposed")
    }

private fun ControlState.applyRollBack(command: RollBackMove, index: Long): AppliedCommand {
    val move = moveOrNull(command.service)
    val service = serviceOrNull(command.service)
    return when {
        move == null || service == null -> rejected("service ${command.service} has no move")
        move.stage == MoveStage.TAKING_BACK || move.stage == MoveStage.TAKEN_BACK -> applied()
        move.stage == MoveStage.DONE -> rejected("the move is done; start a move back to ${move.from} instead")
        else -> withMove(move.applyTransition(rollBack(move, service, "taken back by ${command.operator}"), index)).applied()
    }
}

private fun ControlState.withMove(move: Move): ControlState = copy(published = published.publish(listOf(MoveItem(move))))
