/**
 * The binary encoding of commands, for the log, and of the replicated state, for snapshots.
 */
package sniperoute.control.codec

import arrow.core.Either
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentSet
import kotlinx.serialization.Serializable
import sniperoute.control.decision.ControlState
import sniperoute.control.message.Command
import sniperoute.process.clock.Timestamp
import sniperoute.process.codec.DecodingError
import sniperoute.process.codec.SerializableList
import sniperoute.process.codec.decodeFromBytes
import sniperoute.process.codec.encodeToBytes
import sniperoute.process.identity.FailureDomain
import sniperoute.request.ledger.decision.Begun
import sniperoute.request.ledger.decision.CallState
import sniperoute.request.ledger.decision.Finished
import sniperoute.request.ledger.decision.Ledger
import sniperoute.request.ledger.decision.LedgerEntry
import sniperoute.request.ledger.decision.Lost
import sniperoute.request.ledger.message.LedgerKey
import sniperoute.request.ledger.message.LedgerOwner
import sniperoute.request.ledger.message.RecordedAnswer
import sniperoute.request.quarantine.decision.BlockHistory
import sniperoute.request.quarantine.decision.BlockQuarantine
import sniperoute.request.quarantine.decision.CrashHistory
import sniperoute.request.quarantine.decision.CrashRecord
import sniperoute.request.quarantine.decision.InterruptedAnswer
import sniperoute.request.quarantine.decision.InterruptingCrash
import sniperoute.version.decision.AcceptedSubmission
import sniperoute.version.decision.Allowances
import sniperoute.version.decision.Configurations
import sniperoute.version.decision.OperatorKeys
import sniperoute.version.decision.PublishedItems
import sniperoute.version.decision.TokenBucket
import sniperoute.version.message.*
import kotlin.time.Duration.Companion.microseconds

/** Returns this command as bytes. */
public fun Command.encode(): ByteArray = Command.serializer().encodeToBytes(this)

/** Returns the command that [bytes] encode. */
public fun decodeCommand(bytes: ByteArray): Either<DecodingError, Command> = Command.serializer().decodeFromBytes(bytes)

@Serializable
private data class WinnerImage(val number: Long, val digest: String, val operator: String, val revision: Long)

@Serializable
private data class BucketImage(
    val workspace: WorkspaceName,
    val level: Long,
    val at: Long,
    val tokensPerSecond: Long,
    val burstTokens: Long,
)

/** An entry of the ledger: lost when [isLost], finished when there is an [answer], otherwise begun. */
@Serializable
private class CallImage(
    val key: LedgerKey,
    val owner: LedgerOwner,
    val digest: RequestDigest,
    val isLost: Boolean,
    val answer: RecordedAnswer?,
    val changed: Timestamp,
)

@Serializable
private data class ChargeImage(val digest: RequestDigest, val endpoints: SerializableList<EndpointName>, val at: Timestamp)

@Serializable
private class AnswerImage(val blocks: SerializableList<BlockId>, val hasBegun: Boolean)

@Serializable
private class CrashImage(
    val endpoint: EndpointName,
    val incarnation: String,
    val at: Timestamp,
    val isSeen: Boolean,
    val answers: SerializableList<AnswerImage>,
)

@Serializable
private class BlockQuarantineImage(val blocks: SerializableList<BlockId>, val until: Timestamp, val microseconds: Long)

@Serializable
private class BlockHistoryImage(
    val crashes: SerializableList<CrashImage>,
    val quarantines: SerializableList<BlockQuarantineImage>,
)

/** The replicated state. Its properties are not grouped, so that snapshots of earlier versions can be read. */
@Suppress("LongParameterList")
@Serializable
private class ControlImage(
    val number: Long,
    val winners: SerializableList<WinnerImage>,
    val declarations: Declarations?,
    val revision: Long,
    val forgotten: Long,
    val changes: SerializableList<ItemChange>,
    val granted: SerializableList<DeclaredKey>,
    val withdrawn: SerializableList<KeyDigest>,
    val fleetMicroseconds: Long,
    val term: Long,
    val marked: Timestamp,
    val buckets: SerializableList<BucketImage>,
    val calls: SerializableList<CallImage>,
    val charges: SerializableList<ChargeImage>,
    val ledgerSwept: Timestamp,
    val blocks: BlockHistoryImage = BlockHistoryImage(persistentListOf(), persistentListOf()),
    val domains: SerializableList<FailureDomain> = persistentListOf(),
)

/** Returns this state as bytes. */
public fun ControlState.encode(): ByteArray = ControlImage.serializer().encodeToBytes(toImage())

/** Returns the state that [bytes] encode. */
public fun decodeControlState(bytes: ByteArray): Either<DecodingError, ControlState> =
    ControlImage.serializer().decodeFromBytes(bytes).map { it.toState() }

private fun ControlState.toImage(): ControlImage = ControlImage(
    number = configurations.number,
    winners = configurations.winners.toItems { number, winner -> WinnerImage(number, winner.digest, winner.operator, winner.revision) },
    declarations = configurations.declarations,
    revision = published.revision,
    forgotten = published.forgotten,
    changes = published.changes.values.toImmutableList(),
    granted = keys.granted.toItems { digest, workspace -> DeclaredKey(digest, workspace) },
    withdrawn = keys.withdrawn.toImmutableList(),
    fleetMicroseconds = allowances.fleetMicroseconds,
    term = allowances.term,
    marked = allowances.marked,
    buckets = allowances.buckets.toItems { name, bucket ->
        BucketImage(name, bucket.level, bucket.at, bucket.tokensPerSecond, bucket.burstTokens)
    },
    calls = ledger.entries.toItems(::callImage),
    charges = crashes.records.toItems { digest, record -> ChargeImage(digest, record.endpoints.toImmutableList(), record.at) },
    ledgerSwept = lastLedgerExpiry,
    blocks = blocks.toImage(),
    domains = domains.toImmutableList(),
)

private fun BlockHistory.toImage(): BlockHistoryImage = BlockHistoryImage(
    crashes = crashes.map { it.toImage() }.toImmutableList(),
    quarantines = quarantines
        .map { BlockQuarantineImage(it.blocks.toImmutableList(), it.until, it.length.inWholeMicroseconds) }
        .toImmutableList(),
)

private fun BlockHistoryImage.toHistory(): BlockHistory = BlockHistory(
    crashes = crashes.map { it.toCrash() }.toPersistentList(),
    quarantines = quarantines
        .map { BlockQuarantine(it.blocks.toPersistentSet(), it.until, it.microseconds.microseconds) }
        .toPersistentList(),
)

private fun InterruptingCrash.toImage(): CrashImage = CrashImage(
    endpoint = endpoint,
    incarnation = incarnation,
    at = at,
    isSeen = isSeen,
    answers = answers.map { AnswerImage(it.blocks.toImmutableList(), it.hasBegun) }.toImmutableList(),
)

private fun CrashImage.toCrash(): InterruptingCrash = InterruptingCrash(
    endpoint = endpoint,
    incarnation = incarnation,
    at = at,
    isSeen = isSeen,
    answers = answers.map { InterruptedAnswer(it.blocks.toPersistentSet(), it.hasBegun) }.toPersistentList(),
)

private fun <K, V, T> PersistentMap<K, V>.toItems(convert: (K, V) -> T): ImmutableList<T> =
    map { (key, value) -> convert(key, value) }.toImmutableList()

private fun callImage(key: LedgerKey, entry: LedgerEntry): CallImage = CallImage(
    key = key,
    owner = entry.owner,
    digest = entry.digest,
    isLost = entry.state is Lost,
    answer = (entry.state as? Finished)?.answer,
    changed = entry.changed,
)

private fun ControlImage.toState(): ControlState = ControlState(
    configurations = Configurations(
        number,
        winners.toMap { it.number to AcceptedSubmission(it.digest, it.operator, it.revision) },
        declarations,
    ),
    published = PublishedItems(revision, forgotten, changes.toMap { it.name to it }),
    keys = OperatorKeys(granted.toMap { it.digest to it.workspace }, withdrawn.toPersistentSet()),
    allowances = Allowances(
        fleetMicroseconds,
        term,
        marked,
        buckets.toMap { it.workspace to TokenBucket(it.level, it.at, it.tokensPerSecond, it.burstTokens) },
    ),
    ledger = toLedger(),
    crashes = CrashHistory(charges.toMap { it.digest to CrashRecord(it.endpoints.toPersistentSet(), it.at) }),
    lastLedgerExpiry = ledgerSwept,
    blocks = blocks.toHistory(),
    domains = domains.toPersistentSet(),
)

private fun <T, K, V> ImmutableList<T>.toMap(convert: (T) -> Pair<K, V>): PersistentMap<K, V> =
    persistentMapOf<K, V>().builder().also { map -> forEach { item -> convert(item).let { map[it.first] = it.second } } }.build()

private fun ControlImage.toLedger(): Ledger {
    val entries = calls.toMap { it.key to LedgerEntry(it.owner, it.digest, it.state(), it.changed) }
    val counts = calls.groupingBy { it.key.workspace ?: WorkspaceName("") }.eachCount()
    return Ledger(entries, persistentMapOf<WorkspaceName, Int>().putAll(counts))
}

private fun CallImage.state(): CallState = when {
    answer != null -> Finished(answer)
    isLost -> Lost
    else -> Begun
}
