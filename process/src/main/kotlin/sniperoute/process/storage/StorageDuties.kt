/**
 * The storage duty: writes what the agreement orders, syncs it, and only then lets go of the messages that depend on it.
 */
package sniperoute.process.storage

import arrow.core.Either
import sniperoute.process.agreement.codec.LogBatch
import sniperoute.process.agreement.decision.AgreementEffect
import sniperoute.process.agreement.decision.Persist
import sniperoute.process.agreement.decision.PersistSnapshot
import sniperoute.process.agreement.decision.SendMessageAfterSync
import sniperoute.process.agreement.decision.Synced
import sniperoute.process.duty.Duty
import sniperoute.process.duty.OnDutyFailure
import sniperoute.process.duty.startDuty
import sniperoute.process.ring.Ring
import sniperoute.process.timeline.EventRecorder
import sniperoute.process.timeline.message.EventKind

/** Writes a batch durably. */
public typealias AppendBatch = (LogBatch) -> Either<StorageError, Unit>

/** Writes a snapshot durably in place of the older files. */
public typealias ReplaceFiles = (PersistSnapshot) -> Either<StorageError, Unit>

/** The outward calls of the storage duty. */
public class StorageEffectHandlers(
    public val append: AppendBatch,
    public val replace: ReplaceFiles,
    public val synced: (Synced) -> Unit,
    public val send: (SendMessageAfterSync) -> Unit,
    public val failed: (StorageError) -> Unit,
    public val pause: () -> Unit,
)

private const val BATCH_LIMIT = 512

/** Returns the duty that performs the effects in [inbox]. Effects that wait together share one sync. */
public fun startStorageDuty(inbox: Ring<AgreementEffect>, outlets: StorageEffectHandlers, onFailure: OnDutyFailure): Duty =
    startDuty(inbox.name, onFailure) {
        while (true) {
            val first = inbox.take()
            perform(listOf(first) + inbox.drain(BATCH_LIMIT), outlets)
        }
    }

internal fun perform(effects: List<AgreementEffect>, outlets: StorageEffectHandlers) {
    var rest = effects
    while (rest.isNotEmpty()) {
        val batch = rest.takeWhile { it !is PersistSnapshot }
        if (batch.isNotEmpty()) writeBatch(batch, outlets)
        val snapshot = rest.getOrNull(batch.size) as PersistSnapshot?
        if (snapshot != null) {
            untilWritten(outlets) { outlets.replace(snapshot) }
            outlets.synced(Synced(snapshot.log.lastIndex, snapshot.log.lastTerm))
        }
        rest = rest.drop(batch.size + 1)
    }
}

private fun writeBatch(effects: List<AgreementEffect>, outlets: StorageEffectHandlers) {
    val writes = effects.filterIsInstance<Persist>()
    writes.mergeOrNull()?.let { batch ->
        untilWritten(outlets) { outlets.append(batch) }
        batch.entries.lastOrNull()?.let { outlets.synced(Synced(it.index, it.term)) }
    }
    effects.filterIsInstance<SendMessageAfterSync>().forEach(outlets.send)
}

private fun List<Persist>.mergeOrNull(): LogBatch? {
    val last = lastOrNull() ?: return null
    return LogBatch(last.term, last.votedFor, fold(first().entries.clear()) { all, write -> all.addAll(write.entries) })
}

private fun untilWritten(outlets: StorageEffectHandlers, write: () -> Either<StorageError, Unit>) {
    while (true) {
        val failure = write().fold({ it }, { null }) ?: return
        outlets.failed(failure)
        outlets.pause()
    }
}

/** Records a failed write in the time line. */
public fun EventRecorder.recordStorageError(failure: StorageError): Unit = record(EventKind.DISK_FULL, detail = failure.describe())
