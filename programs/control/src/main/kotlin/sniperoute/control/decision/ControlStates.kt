/**
 * The state that the control replicas agree on, and what each command does to it.
 */
package sniperoute.control.decision

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import sniperoute.control.message.*
import sniperoute.process.clock.Timestamp
import sniperoute.request.ledger.decision.Ledger
import sniperoute.request.ledger.decision.emptyLedger
import sniperoute.request.ledger.decision.expire
import sniperoute.request.ledger.decision.step
import sniperoute.request.ledger.message.CallAcknowledged
import sniperoute.request.ledger.message.CrashNotice
import sniperoute.request.ledger.message.LedgerReply
import sniperoute.request.quarantine.decision.CrashHistory
import sniperoute.request.quarantine.decision.emptyCrashHistory
import sniperoute.request.quarantine.decision.forget
import sniperoute.request.quarantine.decision.recordCrash
import sniperoute.version.decision.*
import sniperoute.version.message.*
import kotlin.time.Duration.Companion.milliseconds

/** Everything that must survive. */
public data class ControlState(
    public val configurations: Configurations,
    public val published: PublishedItems,
    public val keys: OperatorKeys,
    public val allowances: Allowances,
    public val ledger: Ledger,
    public val crashes: CrashHistory,
    public val ledgerSwept: Timestamp,
)

/** Returns the state before the first command. */
public fun newControlState(): ControlState = ControlState(
    configurations = noConfiguration(),
    published = noPublishedItems(),
    keys = noOperatorKeys(),
    allowances = noAllowances(),
    ledger = emptyLedger(),
    crashes = emptyCrashHistory(),
    ledgerSwept = Timestamp.EARLIEST,
)

/** What a command came to. */
public sealed interface CommandResult

/** A submission was judged; [revision] is where its changes are in force, if it was accepted. */
public data class SubmissionResult(public val outcome: SubmissionOutcome, public val revision: Long) : CommandResult

/** The command took effect at [revision]. */
public data class CommandApplied(public val revision: Long) : CommandResult

/** The command has no effect, for [reason]. */
public data class CommandRejected(public val reason: String) : CommandResult

/** The tokens handed out, in the order in which they were asked for. */
public data class TokensChanged(public val granted: PersistentList<Long>) : CommandResult

/** The ledger's answer. */
public data class LedgerAnswered(public val reply: LedgerReply) : CommandResult

/** A state, what the command came to, and the requests that were held back by it. */
public data class Applied(
    public val state: ControlState,
    public val result: CommandResult,
    public val quarantined: List<RequestDigest> = persistentListOf(),
)

/** Returns the state after [command], which is the entry [index] of the log. */
public fun ControlState.apply(command: Command, index: Long): Applied = when (command) {
    is SubmitConfiguration -> applySubmission(command, index)
    is GrantKey -> applyGrant(command)
    is WithdrawKey -> withKeys(keys.withdraw(command.digest)).tookEffect()
    is ChangeTokens -> applyTokens(command)
    is ChangeLedger -> applyLedger(command)
    is LiftQuarantine -> applyPardon(command)
    is StartMove -> applyStartMove(command, index)
    is AdvanceMove -> applyAdvanceMove(command)
    is TakeBackMove -> applyTakeBack(command, index)
    is SetTargetWeights -> applyNameWeights(command)
}

private fun ControlState.tookEffect(): Applied = Applied(this, CommandApplied(published.revision))

private fun ControlState.noEffect(reason: String): Applied = Applied(this, CommandRejected(reason))

private fun ControlState.applySubmission(command: SubmitConfiguration, index: Long): Applied {
    val submission = Submission(command.follows, command.digest, command.operator, command.declarations, command.numbering)
    val outcome = configurations.evaluate(submission)
    if (outcome !is SubmissionAccepted) return Applied(this, SubmissionResult(outcome, published.revision))
    val next = publishDeclarations(command.declarations, command, index)
    val accepted = next.copy(configurations = configurations.accept(submission, next.published.revision))
    return Applied(accepted, SubmissionResult(outcome, next.published.revision))
}

private fun ControlState.publishDeclarations(declarations: Declarations, command: SubmitConfiguration, index: Long): ControlState {
    val items = declarations.copy(keys = keys.effective(declarations.keys).toPersistentList()).toItems()
    val moves = declarations.services.mapNotNull { moveItemOrNull(it, command, index) }
    val kept = (items + moves).map { it.name }.toSet()
    val gone = published.changes.values
        .filter { it.item != null && it.name.kind !in outlivingKinds && it.name !in kept }
        .map { it.name }
    return copy(
        published = published.publish(items + moves, gone),
        allowances = allowances.withLimits(declarations.workspaces),
    )
}

/** What no declaration names, and none takes away. */
private val outlivingKinds = setOf(ItemKind.QUARANTINE, ItemKind.MODEL_WEIGHTS)

private fun ControlState.applyNameWeights(command: SetTargetWeights): Applied {
    val known = targetWeights()[command.model]
    if (known != null && known.number >= command.number) return tookEffect()
    val item = ModelWeightsItem(ModelWeights(command.model, command.number, command.at))
    return copy(published = published.publish(listOf(item))).tookEffect()
}

/** Returns the newest weights of each model. */
public fun ControlState.targetWeights(): Map<ModelName, ModelWeights> =
    published.changes.values
        .mapNotNull { (it.item as? ModelWeightsItem)?.weights }
        .associateBy { it.model }

/** Returns the stores of cached parts, by the services that name them. */
public fun ControlState.stores(): Map<ServiceName, StoreAddress> =
    published.changes.values
        .mapNotNull { (it.item as? ServiceItem)?.service }
        .mapNotNull { service -> service.store?.let { service.name to it } }
        .toMap()

/** Returns the models that the listed service [name] serves. */
public fun ControlState.modelsOf(name: ServiceName): List<ModelName> = serviceOrNull(name)?.engine?.models.orEmpty()

/**
 * The move of [service] once its declaration is in force: a new one, the one before, or one that is being taken back. A
 * finished one stays for as long as the declaration still names the weights that it moved from.
 */
private fun ControlState.moveItemOrNull(service: Service, command: SubmitConfiguration, index: Long): MoveItem? {
    val existing = moveOrNull(service.name)
    val declared = service.move
    if (service.isListed) return existing?.let(::MoveItem)
    val current = servedWeightsOrNull(service, existing) ?: return null
    return when {
        existing != null && existing.isRunning -> MoveItem(existing).takeIf { existing.isStillWanted(declared) }
            ?: withdrawnMove(existing, service, index)
        declared != null && existing?.to != declared.to ->
            MoveItem(startMove(service, current, declared, command.at, command.follows + 1, index))
        existing != null && (declared != null || existing.stage == MoveStage.DONE && service.weights == existing.from) ->
            MoveItem(existing)
        else -> null
    }
}

private fun Move.isStillWanted(declared: DeclaredMove?): Boolean = declaredIn == BY_COMMAND || declared?.to == to

/** The number that stands for "no configuration" in a move that a command started. */
private const val BY_COMMAND = 0L

private fun servedWeightsOrNull(service: Service, existing: Move?): WeightsVersion? =
    if (existing != null && existing.stage == MoveStage.DONE && service.weights == existing.from) existing.to else service.weights

private fun withdrawnMove(existing: Move, service: Service, index: Long): MoveItem =
    MoveItem(existing.applyTransition(rollBack(existing, service, "the declaration of the move was withdrawn"), index))

/** Returns the move of [service], or `null` when there is none. */
public fun ControlState.moveOrNull(service: ServiceName): Move? =
    (published.itemOrNull(ItemName(ItemKind.MOVE, service.text)) as MoveItem?)?.move

/** Returns the service [name] as it is in force, or `null`. */
public fun ControlState.serviceOrNull(name: ServiceName): Service? =
    (published.itemOrNull(ItemName(ItemKind.SERVICE, name.text)) as ServiceItem?)?.service

/** Returns all moves. */
public fun ControlState.moves(): List<Move> = published.changes.values.mapNotNull { (it.item as? MoveItem)?.move }

private fun ControlState.applyGrant(command: GrantKey): Applied {
    val holder = (published.itemOrNull(ItemName(ItemKind.KEY, command.digest.text)) as KeyItem?)?.key?.workspace
    val isDeclared = published.itemOrNull(ItemName(ItemKind.WORKSPACE, command.workspace.text)) != null
    return keys.grant(command.digest, command.workspace, holder, isDeclared).fold(
        ifLeft = { noEffect(it.describe()) },
        ifRight = { withKeys(it).tookEffect() },
    )
}

private fun KeyGrantError.describe(): String = when (this) {
    is KeyWasWithdrawn -> "the key was withdrawn, which is final; make a new one"
    is KeyOwnedByOtherWorkspace -> "the key belongs to workspace $workspace"
    is WorkspaceUnknown -> "no such workspace is in force; submit its declaration first"
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

private fun ControlState.applyTokens(command: ChangeTokens): Applied {
    val marked = allowances.advanceClock(command.term, command.at)
    val returned = command.returned.fold(marked) { all, amount -> all.returnTokens(amount.workspace, amount.tokens) }
    val granted = persistentListOf<Long>().builder()
    val rest = command.wanted.fold(returned) { all, amount ->
        val withdrawal = all.takeTokens(amount.workspace, amount.tokens)
        granted += withdrawal.tokens
        withdrawal.allowances
    }
    return Applied(copy(allowances = rest), TokensChanged(granted.build()))
}

private fun ControlState.applyLedger(command: ChangeLedger): Applied {
    val request = command.request
    if (request is CrashNotice) return applyDeath(request, command.at)
    val step = swept(command.at).let { state -> state.ledger.step(request, command.at).let { state to it } }
    return Applied(step.first.copy(ledger = step.second.ledger), LedgerAnswered(step.second.reply))
}

private const val SWEEP_INTERVAL_MICROSECONDS = 60_000_000L

private fun ControlState.swept(now: Timestamp): ControlState =
    if (now.microseconds - ledgerSwept.microseconds < SWEEP_INTERVAL_MICROSECONDS) {
        this
    } else {
        copy(ledger = ledger.expire(now), ledgerSwept = now)
    }

private fun ControlState.applyDeath(notice: CrashNotice, now: Timestamp): Applied {
    val step = crashes.recordCrash(notice.endpoint, notice.digests, now)
    val next = copy(crashes = step.crashes, published = published.publish(step.quarantined.map(::QuarantineItem)))
    return Applied(next, LedgerAnswered(CallAcknowledged), step.quarantined)
}

private fun ControlState.applyPardon(command: LiftQuarantine): Applied = copy(
    crashes = crashes.forget(command.digest),
    published = published.publish(emptyList(), listOf(ItemName(ItemKind.QUARANTINE, command.digest.text))),
).tookEffect()

private fun ControlState.applyStartMove(command: StartMove, index: Long): Applied {
    val service = serviceOrNull(command.service) ?: return noEffect("service ${command.service} is not in force")
    val existing = moveOrNull(command.service)
    if (service.isListed) return applyStartRelease(command, existing, index)
    val current = servedWeightsOrNull(service, existing)
    return when {
        current == null || service.endpoints.size < 2 -> noEffect("service ${command.service} can't be moved")
        existing != null && existing.isRunning && existing.to == command.to -> tookEffect()
        existing != null && existing.isRunning -> noEffect("a move to ${existing.to} is running; take it back first")
        current == command.to -> noEffect("service ${command.service} serves ${command.to} already")
        else -> {
            val declared = DeclaredMove(command.to, command.deadlineMilliseconds)
            withMove(startMove(service, current, declared, command.at, BY_COMMAND, index)).tookEffect()
        }
    }
}

private fun ControlState.applyStartRelease(command: StartMove, existing: Move?, index: Long): Applied {
    val from = command.from
    return when {
        existing != null && existing.to == command.to && existing.stage != MoveStage.TAKEN_BACK -> tookEffect()
        existing != null && existing.isRunning -> noEffect("a move to ${existing.to} is running; take it back first")
        from == null -> noEffect("no endpoint of service ${command.service} is listed")
        else -> {
            val allowed = command.deadlineMilliseconds.milliseconds
            withMove(startRelease(command.service, from, command.to, allowed, command.at, index)).tookEffect()
        }
    }
}

private fun ControlState.applyAdvanceMove(command: AdvanceMove): Applied =
    if (moveOrNull(command.expected.service) == command.expected) {
        withMove(command.next).tookEffect()
    } else {
        noEffect("the move changed meanwhile")
    }

private fun ControlState.applyTakeBack(command: TakeBackMove, index: Long): Applied {
    val move = moveOrNull(command.service)
    val service = serviceOrNull(command.service)
    return when {
        move == null || service == null -> noEffect("service ${command.service} has no move")
        move.stage == MoveStage.TAKING_BACK || move.stage == MoveStage.TAKEN_BACK -> tookEffect()
        move.stage == MoveStage.DONE -> noEffect("the move is done; start one back to ${move.from}")
        else -> withMove(move.applyTransition(rollBack(move, service, "taken back by ${command.operator}"), index)).tookEffect()
    }
}

private fun ControlState.withMove(move: Move): ControlState = copy(published = published.publish(listOf(MoveItem(move))))
