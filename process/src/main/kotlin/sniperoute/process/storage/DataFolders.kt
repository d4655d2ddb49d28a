/**
 * The data folder of a replica: its disk identity, one snapshot and one log that follows it. A file only counts once it and
 * its folder entry are synced; files are replaced by renaming.
 */
package sniperoute.process.storage

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import sniperoute.process.agreement.codec.LogBatch
import sniperoute.process.agreement.codec.decodeLogBatch
import sniperoute.process.agreement.codec.decodeSnapshot
import sniperoute.process.agreement.codec.encode
import sniperoute.process.agreement.decision.ReplicaLog
import sniperoute.process.agreement.decision.append
import sniperoute.process.agreement.decision.dropFrom
import sniperoute.process.agreement.decision.emptyLog
import sniperoute.process.agreement.decision.replicaLog
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

/** Why a data folder can't be used. */
public sealed interface StorageError {
    /** Returns one line for the operator, with what can be done. */
    public fun describe(): String
}

/** The file [path] is damaged at [offset]. */
public data class FileCorrupt(public val path: Path, public val offset: Long, public val reason: String) : StorageError {
    override fun describe(): String =
        "$path is corrupt at offset $offset ($reason). " +
            "Move the data folder aside and start again: the replica comes back as a new learner and is filled from the others"
}

/** The file system refused an operation on [path]. */
public data class FileUnusable(public val path: Path, public val reason: String) : StorageError {
    override fun describe(): String = "$path can't be used ($reason). Check free space and rights of the data folder"
}

/** What a data folder held at the start. [truncatedBytes] were a torn write at the end of the log. */
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
private const val NUMBER_DIGITS = 20

/** Appends to the log of an open data folder; owned by the storage duty. */
public class DataFolder internal constructor(private val folder: Path, private var log: FileChannel, private var validBytes: Long) {
    /** Returns after [batch] is synced, or says why it is not; a failed write leaves the log as it was. */
    public fun append(batch: LogBatch): Either<StorageError, Unit> = guarded(folder) {
        val record = ByteBuffer.wrap(recordOf(batch.encode()))
        val end = validBytes + record.remaining()
        log.truncate(validBytes)
        log.position(validBytes)
        while (record.hasRemaining()) log.write(record)
        log.force(false)
        validBytes = end
    }

    /** Returns after the snapshot and the entries of [replica] are synced in place of the older files. */
    public fun replace(term: Long, votedFor: ReplicaIdentity?, replica: ReplicaLog): Either<StorageError, Unit> = guarded(folder) {
        val snapshot = replica.snapshot
        writeSynced(folder, snapshotName(snapshot.index), recordOf(snapshot.encode()))
        val first = recordOf(LogBatch(term, votedFor, replica.entries).encode())
        writeSynced(folder, logName(snapshot.index), first)
        val newLog = openLog(folder.resolve(logName(snapshot.index)))
        log.close()
        log = newLog
        validBytes = first.size.toLong()
        removeOlder(folder, snapshot.index)
    }
}

/** An open data folder and what it held. */
public data class OpenDataFolder(public val folder: DataFolder, public val recovered: RecoveredReplica)

/** Returns the data folder at [path], open for appending, or why it can't be used; a new folder gets [newDisk] as its identity. */
public fun openDataFolder(path: Path, newDisk: DiskIdentity): Either<StorageError, OpenDataFolder> = either {
    guarded(path) { Files.createDirectories(path) }.bind()
    val disk = readIdentity(path, newDisk).bind()
    val snapshot = readSnapshot(path).bind()
    val snapshotLog = snapshot?.let(::replicaLog) ?: emptyLog()
    val logPath = newestLog(path) ?: path.resolve(logName(snapshotLog.snapshot.index))
    val bytes = guarded(logPath) { if (logPath.exists()) Files.readAllBytes(logPath) else ByteArray(0) }.bind()
    val records = readRecords(bytes).mapLeft { FileCorrupt(logPath, it.offset, it.reason) }.bind()
    val batches = records.contents.map { content ->
        decodeLogBatch(content).mapLeft { FileCorrupt(logPath, 0, it.reason) }.bind()
    }
    val isCurrent = logPath.name == logName(snapshotLog.snapshot.index)
    val log = replay(logPath, snapshotLog, batches.continuing(snapshotLog.snapshot, isCurrent)).bind()
    val channel = guarded(logPath) { openLog(logPath) }.bind()
    val recovered = RecoveredReplica(
        disk = disk,
        term = batches.lastOrNull()?.term ?: log.lastTerm,
        votedFor = batches.lastOrNull()?.votedFor,
        log = log,
        truncatedBytes = bytes.size - records.validBytes,
    )
    val folder = DataFolder(path, channel, records.validBytes)
    if (!isCurrent) folder.replace(recovered.term, recovered.votedFor, log).bind()
    OpenDataFolder(folder, recovered)
}

/** Returns the disk identity and writes it with [founding] as the first snapshot, or says why the folder at [path] is not empty. */
public fun initializeDataFolder(path: Path, disk: DiskIdentity, founding: Snapshot): Either<StorageError, Unit> = either {
    guarded(path) { Files.createDirectories(path) }.bind()
    if (path.listDirectoryEntries().isNotEmpty()) raise(FileUnusable(path, "it is not empty, so a replica was formed here before"))
    guarded(path) {
        writeSynced(path, snapshotName(founding.index), recordOf(founding.encode()))
        writeSynced(path, IDENTITY_FILE, recordOf(longBytes(disk.bits)))
    }.bind()
}

/**
 * Returns whether a replica was formed at [path], which is only done in an empty folder; one that holds anything is left as it is.
 */
public fun initializeDataFolderIfEmpty(path: Path, disk: DiskIdentity, founding: Snapshot): Either<StorageError, Boolean> = either {
    guarded(path) { Files.createDirectories(path) }.bind()
    val isEmpty = guarded(path) { path.listDirectoryEntries().none { !it.name.endsWith(TEMPORARY_SUFFIX) } }.bind()
    if (isEmpty) {
        guarded(path) { path.listDirectoryEntries().forEach(Files::deleteIfExists) }.bind()
        initializeDataFolder(path, disk, founding).bind()
    }
    isEmpty
}

private fun readIdentity(path: Path, newDisk: DiskIdentity): Either<StorageError, DiskIdentity> = either {
    val file = path.resolve(IDENTITY_FILE)
    if (!file.exists()) {
        if (path.listDirectoryEntries("$LOG_PREFIX*").isNotEmpty()) raise(FileUnusable(file, "a log is there, but no disk identity"))
        guarded(file) { writeSynced(path, IDENTITY_FILE, recordOf(longBytes(newDisk.bits))) }.bind()
        return@either newDisk
    }
    val content = singleRecord(file).bind()
    DiskIdentity(ByteBuffer.wrap(content).getLong())
}

private fun readSnapshot(path: Path): Either<StorageError, Snapshot?> = either {
    val file = path.listDirectoryEntries("$SNAPSHOT_PREFIX*").filter { !it.name.endsWith(TEMPORARY_SUFFIX) }.maxByOrNull { it.name }
    file?.let { present ->
        decodeSnapshot(singleRecord(present).bind()).mapLeft { FileCorrupt(present, 0, it.reason) }.bind()
    }
}

private fun singleRecord(file: Path): Either<StorageError, ByteArray> = either {
    val bytes = guarded(file) { Files.readAllBytes(file) }.bind()
    val records = readRecords(bytes).mapLeft { FileCorrupt(file, it.offset, it.reason) }.bind()
    records.contents.singleOrNull() ?: raise(FileCorrupt(file, records.validBytes, "its only record is damaged"))
}

private fun newestLog(path: Path): Path? =
    path.listDirectoryEntries("$LOG_PREFIX*").filter { !it.name.endsWith(TEMPORARY_SUFFIX) }.maxByOrNull { it.name }

/** The entries after [snapshot]; those of an older log only when that log agrees with the snapshot. */
private fun List<LogBatch>.continuing(snapshot: Snapshot, isCurrent: Boolean): List<LogEntry> {
    val entries = flatMap { it.entries }
    val agrees = isCurrent || entries.lastOrNull { it.index == snapshot.index }?.term == snapshot.term
    return if (agrees) entries.filter { it.index > snapshot.index } else emptyList()
}

private fun replay(path: Path, start: ReplicaLog, entries: List<LogEntry>): Either<StorageError, ReplicaLog> = either {
    entries.fold(start) { log, entry ->
        if (entry.index > log.lastIndex + 1) raise(FileCorrupt(path, 0, "entry ${entry.index} follows ${log.lastIndex}"))
        log.dropFrom(entry.index).append(entry)
    }
}

private fun snapshotName(index: Long): String = SNAPSHOT_PREFIX + index.toString().padStart(NUMBER_DIGITS, '0')

private fun logName(index: Long): String = LOG_PREFIX + index.toString().padStart(NUMBER_DIGITS, '0')

private fun longBytes(bits: Long): ByteArray = ByteBuffer.allocate(Long.SIZE_BYTES).putLong(bits).array()

private fun openLog(path: Path): FileChannel =
    FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE).also { syncFolder(path.parent) }

private fun writeSynced(folder: Path, name: String, bytes: ByteArray) {
    val temporary = folder.resolve(name + TEMPORARY_SUFFIX)
    FileChannel.open(temporary, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING).use { file ->
        val buffer = ByteBuffer.wrap(bytes)
        while (buffer.hasRemaining()) file.write(buffer)
        file.force(true)
    }
    Files.move(temporary, folder.resolve(name), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING)
    syncFolder(folder)
}

private fun syncFolder(folder: Path) = FileChannel.open(folder, StandardOpenOption.READ).use { it.force(true) }

private fun removeOlder(folder: Path, index: Long) {
    val current = setOf(snapshotName(index), logName(index), IDENTITY_FILE)
    folder.listDirectoryEntries().filter { it.name !in current }.forEach(Files::deleteIfExists)
}

private fun <T> guarded(path: Path, action: () -> T): Either<StorageError, T> =
    try {
        action().right()
    } catch (failure: IOException) {
        FileUnusable(path, failure.message ?: failure.javaClass.simpleName).left()
    }
