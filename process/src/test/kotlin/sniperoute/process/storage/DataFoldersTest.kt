/**
 * Failures of the data folder: torn writes, corruption, missing files and full disks.
 */
package sniperoute.process.storage

import arrow.core.left
import arrow.core.right
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import sniperoute.process.agreement.codec.LogBatch
import sniperoute.process.agreement.decision.*
import sniperoute.process.agreement.message.*
import sniperoute.process.identity.DiskIdentity
import sniperoute.process.identity.VmName
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotNull
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.name

class DataFoldersTest {
    @TempDir
    lateinit var folder: Path

    private val disk = DiskIdentity(5)
    private val self = ReplicaIdentity(VmName("a"), disk)

    private fun open(): OpenDataFolder = openDataFolder(folder, disk).fold({ error(it.describe()) }, { it })

    private fun entry(index: Long, term: Long = 1) = LogEntry(index, term, CommandEntry(index, byteArrayOf(index.toByte())))

    private fun write(vararg entries: LogEntry) {
        open().folder.append(LogBatch(entries.last().term, self, entries.toList().toPersistentList()))
    }

    private fun log(): Path = folder.listDirectoryEntries("log-*").single()

    @Test
    fun `appended entries are recovered after a restart, and later entries replace earlier ones`() {
        write(entry(1), entry(2), entry(3))
        write(entry(2, term = 2))
        val recovered = open().recovered
        expectThat(recovered.log.entries.map { it.term }).isEqualTo(listOf(1L, 2L))
        expectThat(recovered.term).isEqualTo(2)
        expectThat(recovered.votedFor).isEqualTo(self)
        expectThat(recovered.disk).isEqualTo(disk)
    }

    @Test
    fun `a write torn at any byte is truncated, and earlier synced entries are kept`() {
        write(entry(1))
        val before = Files.size(log())
        write(entry(2))
        val complete = Files.readAllBytes(log())
        for (length in before until complete.size.toLong()) {
            Files.write(log(), complete.copyOf(length.toInt()))
            val recovered = open().recovered
            expectThat(recovered.log.lastIndex).isEqualTo(1)
            expectThat(recovered.truncatedBytes).isEqualTo(length - before)
        }
    }

    @Test
    fun `damage before the last write is reported as corruption with file and offset, and not truncated`() {
        write(entry(1))
        val firstEnd = Files.size(log()).toInt()
        write(entry(2))
        val complete = Files.readAllBytes(log())
        for (position in 0 until firstEnd) {
            Files.write(log(), complete.clone().also { it[position] = (it[position] + 1).toByte() })
            val failure = openDataFolder(folder, disk).leftOrNull()
            expectThat(failure).isA<FileCorrupted>().get { offset }.isEqualTo(0)
            expectThat(failure!!.describe()).contains("Move the data folder aside")
        }
    }

    @Test
    fun `a damaged snapshot is reported as corruption`() {
        open().folder.replace(1, self, replicaLog(Snapshot(7, 1, Membership(persistentListOf(self)), byteArrayOf(1, 2))))
        val file = folder.listDirectoryEntries("snapshot-*").single()
        Files.write(file, Files.readAllBytes(file).also { it[it.size - 1] = 0 })
        expectThat(openDataFolder(folder, disk).leftOrNull()).isA<FileCorrupted>()
    }

    @Test
    fun `a snapshot without its own log takes over the later entries of a consistent older log`() {
        write(entry(1), entry(2), entry(3))
        val old = log()
        val bytes = Files.readAllBytes(old)
        val snapshot = Snapshot(2, 1, Membership(persistentListOf(self)), byteArrayOf(9))
        open().folder.replace(1, self, replicaLog(snapshot, persistentListOf(entry(3))))
        folder.listDirectoryEntries("log-*").forEach(Files::delete)
        Files.write(old, bytes)
        val recovered = open().recovered
        expectThat(recovered.log.snapshot.index).isEqualTo(2)
        expectThat(recovered.log.entries.map { it.index }).isEqualTo(listOf(3L))
        expectThat(
            folder
                .listDirectoryEntries("log-*")
                .single()
                .name
                .endsWith("2"),
        ).isEqualTo(true)
    }

    @Test
    fun `the entries of an older log that contradicts the snapshot are dropped`() {
        write(entry(1, term = 1), entry(2, term = 1), entry(3, term = 1))
        val old = log()
        val bytes = Files.readAllBytes(old)
        open().folder.replace(2, self, replicaLog(Snapshot(2, 2, Membership(persistentListOf(self)), byteArrayOf(9))))
        folder.listDirectoryEntries("log-*").forEach(Files::delete)
        Files.write(old, bytes)
        expectThat(
            open()
                .recovered.log.entries.size,
        ).isEqualTo(0)
    }

    @Test
    fun `a folder that holds a replica is not initialized again`() {
        write(entry(1))
        expectThat(
            initializeDataFolder(folder, disk, bootstrapLog(Membership(persistentListOf(self))).snapshot).leftOrNull(),
        ).isA<FileAccessFailed>()
    }

    @Test
    fun `a log without a disk identity is rejected, since it may belong to another disk`() {
        write(entry(1))
        Files.delete(folder.resolve("disk-identity"))
        expectThat(openDataFolder(folder, disk).leftOrNull()).isNotNull()
    }

    @Test
    fun `nothing is acknowledged while the disk is full, and no entry is lost`() {
        var failuresLeft = 3
        val written = mutableListOf<LogBatch>()
        val events = mutableListOf<String>()
        val handlers = StorageEffectHandlers(
            append = { batch ->
                failuresLeft -= 1
                if (failuresLeft >= 0) FileAccessFailed(folder, "no space left").left() else Unit.right().also { written += batch }
            },
            replace = { Unit.right() },
            onSynced = { events += "synced ${it.index}" },
            send = { events += "sent" },
            onWriteFailed = { events += "failed" },
            pause = {},
        )
        val reply = AppendEntriesReply(1, true, 1, sniperoute.process.clock.Timestamp.EARLIEST)
        perform(listOf(Persist(1, null, persistentListOf(entry(1))), SendMessageAfterSync(self, reply)), handlers)
        expectThat(events).isEqualTo(mutableListOf("failed", "failed", "failed", "synced 1", "sent"))
        expectThat(written.single().entries.size).isEqualTo(1)
    }

    @Test
    fun `a thousand entries are replayed`() {
        val opened = open()
        (1L..1_000L).forEach { opened.folder.append(LogBatch(1, self, persistentListOf(entry(it)))) }
        val start = System.nanoTime()
        val recovered = open().recovered
        println("replay of 1,000 entries: ${(System.nanoTime() - start) / 1_000} microseconds")
        expectThat(recovered.log.lastIndex).isEqualTo(1_000)
        expectThat(Files.size(log())).isGreaterThan(1_000)
    }
}
