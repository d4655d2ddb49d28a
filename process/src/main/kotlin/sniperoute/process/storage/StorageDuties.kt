/**
 * The storage duty: writes what the agreement emits to disk, syncs it, and only then sends the messages that depend on it.
 */
package sniperoute.process.storage

import arrow.core.Either
import sniperoute.process.agreement.codec.LogBatch
import sniperoute.process.agreement.decision.AgreementEffect
import sniperoute.process.agreement.decision.Persist
import sniperoute.process.agreement.decision.PersistSnapshot
import sniperoute.process.agreement.decision.SendMessageAfterSync
import sniperoute.process.agreement.decision.Synced
import sniperoute.process.agreement.decision.firstBatchSize
import sniperoute.process.duty.Duty
import sniperoute.process.duty.OnDutyFailure
import sniperoute.process.duty.startDuty
import sniperoute.process.ring.Ring
import sniperoute.process.timeline.EventRecorder
import sniperoute.process.timeline.message.EventKind

/** Appends a batch to the log on disk and syncs it. */
public typealias AppendBatch = (LogBatch) -> Either<StorageError, Unit>

/** Replaces the snapshot and the log on disk and syncs them. */
public typealias ReplaceLog = (PersistSnapshot) -> Either<StorageError, Unit>

/** The functions that the storage duty calls; [pause] waits before a failed write is retried. */
public class StorageEffectHandlers(
    public val append: AppendBatch,
    public val replace: ReplaceLog,
    public val onSynced: (Synced) -> Unit,
    public val send: (SendMessageAfterSync) -> Unit,
    public val onWriteFailed: (StorageError) -> Unit,
    public val pause: () -> Unit,
)

private const val MAX_BATCHED_EFFECTS = 512

/** Returns the started duty that performs the effects in [inbox]; batches that are queued together share one sync. */
public fun startStorageDuty(inbox: Ring<AgreementEffect>, handlers: StorageEffectHandlers, onFailure: OnDutyFailure): Duty =
    startDuty(inbox.name, onFailure) {
        while (true) {
            val first = inbox.take()
            perform(listOf(first) + inbox.drain(MAX_BATCHED_EFFECTS), handlers)
        }
    }

internal fun perform(effects: List<AgreementEffect>, handlers: StorageEffectHandlers) {
    var rest = effects
    while (rest.isNotEmpty()) {
        val writes = rest.takeWhile { it !is PersistSnapshot }
        val batch = writes.take(writes.firstBatchSize { it.commandBytes })
        if (batch.isNotEmpty()) writeBatch(batch, handlers) else writeSnapshot(rest.first() as PersistSnapshot, handlers)
        rest = rest.drop(maxOf(batch.size, 1))
    }
}

private val AgreementEffect.commandBytes: Int get() = if (this is Persist) entries.sumOf { it.commandBytes } else 0

private fun writeSnapshot(snapshot: PersistSnapshot, handlers: StorageEffectHandlers) {
    retryUntilWritten(handlers) { handlers.replace(snapshot) }
    handlers.onSynced(Synced(snapshot.log.lastIndex, snapshot.log.lastTerm))
}

private fun writeBatch(effects: List<AgreementEffect>, handlers: StorageEffectHandlers) {
    val writes = effects.filterIsInstance<Persist>()
    writes.mergedOrNull()?.let { batch ->
        retryUntilWritten(handlers) { handlers.append(batch) }
        batch.entries.lastOrNull()?.let { handlers.onSynced(Synced(it.index, it.term)) }
    }
    effects.filterIsInstance<SendMessageAfterSync>().forEach(handlers.send)
}

private fun List<Persist>.mergedOrNull(): LogBatch? {
    val last = lastOrNull() ?: return null
    return LogBatch(last.term, last.votedFor, fold(first().entries.clear()) { all, write -> all.addAll(write.entries) })
}

private fun retryUntilWritten(handlers: StorageEffectHandlers, write: () -> Either<StorageError, Unit>) {
    while (true) {
        val error = write().fold({ it }, { null }) ?: return
        handlers.onWriteFailed(error)
        handlers.pause()
    }
}

/** Records a failed write in the time line. */
public fun EventRecorder.recordStorageError(error: StorageError): Unit = record(EventKind.DISK_FULL, detail = error.describe())
