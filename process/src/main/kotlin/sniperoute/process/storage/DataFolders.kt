/**
 * The data folder of a replica: its disk identity, a snapshot and the log after it. A file is valid only after it and its
 * directory entry are synced; files are replaced by an atomic rename.
 */
package sniperoute.process.storage

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import sniperoute.process.agreement.codec.LogBatch
import sniperoute.process.agreement.codec.decodeLogBatch
import sniperoute.process.agreement.codec.decodeSnapshot
import sniperoute.process.agreement.codec.encode
import sniperoute.process.agreement.decision.ReplicaLog
import sniperoute.process.agreement.decision.append
import sniperoute.process.agreement.decision.emptyLog
import sniperoute.process.agreement.decision.inBatches
import sniperoute.process.agreement.decision.replicaLog
import sniperoute.process.agreement.decision.truncateFrom
import sniperoute.process.agreement.message.LogEntry
import sniperoute.process.agreement.message.ReplicaIdentity
import sniperoute.process.agreement.message.Snapshot
import sniperoute.process.identity.DiskIdentity
import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardCopyOption
import java.nio.file.StandardOpenOption
import kotlin.io.path.exists
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.name

/** Why a data folder can't be read or written. */
public sealed interface StorageError {
    /** Returns one line for the operator, with the remedy. */
    public fun describe(): String
}

/** The file [path] is corrupt at [offset]. */
public data class FileCorrupted(public val path: Path, public val offset: Long, public val reason: String) : StorageError {
    override fun describe(): String =
        "$path is corrupt at offset $offset ($reason). " +
            "Move the data folder aside and start again: the replica comes back as a new learner and is filled from the others"
}

/** The file system failed an operation on [path], or its content does not allow it. */
public data class FileAccessFailed(public val path: Path, public val reason: String) : StorageError {
    override fun describe(): String = "$path can't be used ($reason). Check free space and permissions of the data folder"
}

/** The content of a data folder when it was opened. [truncatedBytes] is the length of a torn write at the end of the log. */
public data class RecoveredReplica(
    public val disk: DiskIdentity,
    public val term: Long,
    public val votedFor: ReplicaIdentity?,
    public val log: ReplicaLog,
    public val truncatedBytes: Long,
)

private const val IDENTITY_FILE = "disk-identity"
private const val SNAPSHOT_PREFIX = "snapshot-"
private const val LOG_PREFIX = "log-"
private const val TEMPORARY_SUFFIX = ".new"
private const val INDEX_DIGITS = 20

/** An open data folder. Only the storage duty uses it. */
public class DataFolder internal constructor(private val folder: Path, private var log: FileChannel, private var validBytes: Long) {
    /** Appends [batch] to the log and syncs it. A failed write does not count: the next append truncates what it left in the file. */
    public fun append(batch: LogBatch): Either<StorageError, Unit> = catchIoErrors(folder) {
        val record = ByteBuffer.wrap(recordOf(batch.encode()))
        val end = validBytes + record.remaining()
        log.truncate(validBytes)
        log.position(validBytes)
        while (record.hasRemaining()) log.write(record)
        log.force(false)
        validBytes = end
    }

    /** Replaces the snapshot and the log by those of [replica] and syncs them. */
    public fun replace(term: Long, votedFor: ReplicaIdentity?, replica: ReplicaLog): Either<StorageError, Unit> = catchIoErrors(folder) {
        val snapshot = replica.snapshot
        writeSynced(folder, snapshotName(snapshot.index), recordOf(snapshot.encode()))
        val batches = replica.entries.inBatches().ifEmpty { listOf(replica.entries) }
        val written = writeSynced(folder, logName(snapshot.index), batches.map { { recordOf(LogBatch(term, votedFor, it).encode()) } })
        val newLog = openLog(folder.resolve(logName(snapshot.index)))
        log.close()
        log = newLog
        validBytes = written
        deleteOtherFiles(folder, snapshot.index)
    }
}

/** An open data folder and the content that was recovered from it. */
public data class OpenDataFolder(public val folder: DataFolder, public val recovered: RecoveredReplica)

/** Opens the data folder at [path] and recovers its content; a new folder gets [newDisk] as its disk identity. */
public fun openDataFolder(path: Path, newDisk: DiskIdentity): Either<StorageError, OpenDataFolder> = either {
    catchIoErrors(path) { Files.createDirectories(path) }.bind()
    val disk = readIdentity(path, newDisk).bind()
    val snapshot = readSnapshotOrNull(path).bind()
    val snapshotLog = snapshot?.let(::replicaLog) ?: emptyLog()
    val logPath = newestLogOrNull(path) ?: path.resolve(logName(snapshotLog.snapshot.index))
    val stored = readLog(logPath).bind()
    val isCurrent = logPath.name == logName(snapshotLog.snapshot.index)
    val log = replay(logPath, snapshotLog, stored.entriesAfter(snapshotLog.snapshot, isCurrent)).bind()
    val channel = catchIoErrors(logPath) { openLog(logPath) }.bind()
    val recovered = RecoveredReplica(
        disk = disk,
        term = stored.term ?: log.lastTerm,
        votedFor = stored.votedFor,
        log = log,
        truncatedBytes = stored.fileBytes - stored.validBytes,
    )
    val folder = DataFolder(path, channel, stored.validBytes)
    if (!isCurrent) folder.replace(recovered.term, recovered.votedFor, log).bind()
    OpenDataFolder(folder, recovered)
}

/** Initializes the folder at [path], which must be empty, with the identity [disk] and [founding] as the first snapshot. */
public fun initializeDataFolder(path: Path, disk: DiskIdentity, founding: Snapshot): Either<StorageError, Unit> = either {
    catchIoErrors(path) { Files.createDirectories(path) }.bind()
    if (path.listDirectoryEntries().isNotEmpty()) raise(FileAccessFailed(path, "it is not empty, so it may hold the data of a replica"))
    catchIoErrors(path) {
        writeSynced(path, snapshotName(founding.index), recordOf(founding.encode()))
        writeSynced(path, IDENTITY_FILE, recordOf(toBytes(disk.bits)))
    }.bind()
}

/**
 * Initializes the folder at [path] if it is empty, and returns whether it was. Temporary files of an interrupted attempt do not
 * count; a folder that holds anything else is left unchanged.
 */
public fun initializeDataFolderIfEmpty(path: Path, disk: DiskIdentity, founding: Snapshot): Either<StorageError, Boolean> = either {
    catchIoErrors(path) { Files.createDirectories(path) }.bind()
    val isEmpty = catchIoErrors(path) { path.listDirectoryEntries().none { !it.name.endsWith(TEMPORARY_SUFFIX) } }.bind()
    if (isEmpty) {
        catchIoErrors(path) { path.listDirectoryEntries().forEach(Files::deleteIfExists) }.bind()
        initializeDataFolder(path, disk, founding).bind()
    }
    isEmpty
}

private fun readIdentity(path: Path, newDisk: DiskIdentity): Either<StorageError, DiskIdentity> = either {
    val file = path.resolve(IDENTITY_FILE)
    if (!file.exists()) {
        if (path.listDirectoryEntries("$LOG_PREFIX*").isNotEmpty()) raise(FileAccessFailed(file, "there is a log, but no disk identity"))
        catchIoErrors(file) { writeSynced(path, IDENTITY_FILE, recordOf(toBytes(newDisk.bits))) }.bind()
        return@either newDisk
    }
    val content = singleRecord(file).bind()
    DiskIdentity(ByteBuffer.wrap(content).getLong())
}

private fun readSnapshotOrNull(path: Path): Either<StorageError, Snapshot?> = either {
    val file = path.listDirectoryEntries("$SNAPSHOT_PREFIX*").filter { !it.name.endsWith(TEMPORARY_SUFFIX) }.maxByOrNull { it.name }
    file?.let { present ->
        decodeSnapshot(singleRecord(present).bind()).mapLeft { FileCorrupted(present, 0, it.reason) }.bind()
    }
}

private fun singleRecord(file: Path): Either<StorageError, ByteArray> = either {
    val records = foldFile(file, persistentListOf<ByteArray>()) { contents, content -> contents.add(content) }.bind()
    records.result.singleOrNull() ?: raise(FileCorrupted(file, records.validBytes, "its only record is damaged"))
}

private fun <S> foldFile(file: Path, initial: S, step: (S, ByteArray) -> S): Either<StorageError, FoldedRecords<S>> =
    catchIoErrors(file) { FileChannel.open(file, StandardOpenOption.READ).use { foldRecords(it, initial, step) } }
        .flatMap { folded -> folded.mapLeft { FileCorrupted(file, it.offset, it.reason) } }

/**
 * The content of a log file. [entries] are those that no later batch replaced; [term] and [votedFor] are those of the last batch, and
 * [validBytes] the length of the file without a torn write at its end.
 */
private data class StoredLog(
    val term: Long?,
    val votedFor: ReplicaIdentity?,
    val entries: PersistentList<LogEntry>,
    val validBytes: Long,
    val fileBytes: Long,
)

private fun readLog(file: Path): Either<StorageError, StoredLog> = either {
    val empty = StoredLog(null, null, persistentListOf(), 0, 0)
    if (!file.exists()) return@either empty
    val start: Either<StorageError, StoredLog> = empty.right()
    val records = foldFile(file, start) { read, content ->
        read.flatMap { log -> decodeLogBatch(content).mapLeft { FileCorrupted(file, 0, it.reason) }.map(log::append) }
    }.bind()
    val fileBytes = catchIoErrors(file) { Files.size(file) }.bind()
    records.result.bind().copy(validBytes = records.validBytes, fileBytes = fileBytes)
}

private fun StoredLog.append(batch: LogBatch): StoredLog {
    val kept = batch.entries.firstOrNull()?.let { first -> entries.removeFrom(first.index) } ?: entries
    return copy(term = batch.term, votedFor = batch.votedFor, entries = kept.addAll(batch.entries))
}

/** Returns these entries without those from [index] on, which are at the end. */
private fun PersistentList<LogEntry>.removeFrom(index: Long): PersistentList<LogEntry> {
    val replaced = size - 1 - indexOfLast { it.index < index }
    return if (replaced == 0) this else subList(0, size - replaced).toPersistentList()
}

private fun newestLogOrNull(path: Path): Path? =
    path.listDirectoryEntries("$LOG_PREFIX*").filter { !it.name.endsWith(TEMPORARY_SUFFIX) }.maxByOrNull { it.name }

/** Returns the entries after [snapshot]. Those of an older log count only if its entry at the snapshot's index has the same term. */
private fun StoredLog.entriesAfter(snapshot: Snapshot, isCurrent: Boolean): List<LogEntry> {
    val isConsistent = isCurrent || entries.lastOrNull { it.index == snapshot.index }?.term == snapshot.term
    return if (isConsistent) entries.filter { it.index > snapshot.index } else emptyList()
}

private fun replay(path: Path, start: ReplicaLog, entries: List<LogEntry>): Either<StorageError, ReplicaLog> = either {
    entries.fold(start) { log, entry ->
        if (entry.index > log.lastIndex + 1) raise(FileCorrupted(path, 0, "entry ${entry.index} follows ${log.lastIndex}"))
        log.truncateFrom(entry.index).append(entry)
    }
}

private fun snapshotName(index: Long): String = SNAPSHOT_PREFIX + index.toString().padStart(INDEX_DIGITS, '0')

private fun logName(index: Long): String = LOG_PREFIX + index.toString().padStart(INDEX_DIGITS, '0')

private fun toBytes(bits: Long): ByteArray = ByteBuffer.allocate(Long.SIZE_BYTES).putLong(bits).array()

private fun openLog(path: Path): FileChannel =
    FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE).also { syncDirectory(path.parent) }

private fun writeSynced(folder: Path, name: String, bytes: ByteArray) {
    writeSynced(folder, name, listOf { bytes })
}

/** Writes what [parts] return, one after the other, so that only one part is in memory; returns their length. */
private fun writeSynced(folder: Path, name: String, parts: List<() -> ByteArray>): Long {
    val temporary = folder.resolve(name + TEMPORARY_SUFFIX)
    val options = setOf(StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)
    val written = FileChannel.open(temporary, options).use { file ->
        parts.forEach { part ->
            val buffer = ByteBuffer.wrap(part())
            while (buffer.hasRemaining()) file.write(buffer)
        }
        file.force(true)
        file.position()
    }
    Files.move(temporary, folder.resolve(name), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING)
    syncDirectory(folder)
    return written
}

private fun syncDirectory(folder: Path) = FileChannel.open(folder, StandardOpenOption.READ).use { it.force(true) }

private fun deleteOtherFiles(folder: Path, index: Long) {
    val current = setOf(snapshotName(index), logName(index), IDENTITY_FILE)
    folder.listDirectoryEntries().filter { it.name !in current }.forEach(Files::deleteIfExists)
}

private fun <T> catchIoErrors(path: Path, action: () -> T): Either<StorageError, T> =
    try {
        action().right()
    } catch (failure: IOException) {
        FileAccessFailed(path, failure.message ?: failure.javaClass.simpleName).left()
    }
