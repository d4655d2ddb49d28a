/**
 * Batches of log entries that are written or sent together. They are bounded in bytes as well as by count, since one entry may hold a
 * whole configuration.
 */
package sniperoute.process.agreement.decision

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import sniperoute.process.agreement.message.LogEntry

/** The upper bound on the bytes of a batch; a longer entry is a batch of its own. */
public const val MAX_BATCH_BYTES: Int = 256 * 1024

/** Returns how many of the first items make up one batch, given the length of each by [bytesOf]. */
internal fun <T> List<T>.firstBatchSize(bytesOf: (T) -> Int): Int {
    var bytes = 0L
    val fitting = indexOfFirst { item ->
        bytes += bytesOf(item)
        bytes > MAX_BATCH_BYTES
    }
    return if (fitting < 0) size else maxOf(fitting, 1)
}

/** Returns the first of these entries, as many as make up one batch. */
internal fun List<LogEntry>.firstBatch(): PersistentList<LogEntry> = subList(0, firstBatchSize { it.commandBytes }).toPersistentList()

/** Returns these entries as consecutive batches. */
internal fun PersistentList<LogEntry>.inBatches(): List<PersistentList<LogEntry>> = buildList {
    var rest: List<LogEntry> = this@inBatches
    while (rest.isNotEmpty()) {
        val batch = rest.firstBatch()
        add(batch)
        rest = rest.subList(batch.size, rest.size)
    }
}
