/**
 * Logs of long entries: what a replica holds in memory while it writes and reads them.
 */
package sniperoute.process.storage

import arrow.core.right
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import sniperoute.process.agreement.codec.LogBatch
import sniperoute.process.agreement.decision.AgreementEffect
import sniperoute.process.agreement.decision.MAX_BATCH_BYTES
import sniperoute.process.agreement.decision.Persist
import sniperoute.process.agreement.decision.PersistSnapshot
import sniperoute.process.agreement.decision.replicaLog
import sniperoute.process.agreement.message.CommandEntry
import sniperoute.process.agreement.message.LogEntry
import sniperoute.process.agreement.message.Membership
import sniperoute.process.agreement.message.Snapshot
import sniperoute.process.identity.DiskIdentity
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import java.nio.channels.FileChannel
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.listDirectoryEntries

private const val LONG_ENTRY_BYTES = 580_000
private const val LONG_ENTRIES = 110L
private const val RECORD_OVERHEAD_BYTES = 1_024

/** Opens the data folder that the first argument names and prints its last index. */
internal object LongLogReader {
    @JvmStatic
    fun main(arguments: Array<String>) {
        val opened = openDataFolder(Path.of(arguments.single()), DiskIdentity(1)).fold({ error(it.describe()) }, { it })
        println("last index ${opened.recovered.log.lastIndex}")
    }
}

class LongLogsTest {
    @TempDir
    lateinit var folder: Path

    private fun open(): OpenDataFolder = openDataFolder(folder, DiskIdentity(1)).fold({ error(it.describe()) }, { it })

    private fun entry(index: Long, bytes: Int) = LogEntry(index, 1, CommandEntry(index, ByteArray(bytes)))

    /** Guards against control that can't start again after many changes of a long configuration. */
    @Test
    fun `a log of many long entries is read with little more memory than the entries take`() {
        val opened = open()
        for (index in 1..LONG_ENTRIES) opened.folder.append(LogBatch(1, null, persistentListOf(entry(index, LONG_ENTRY_BYTES))))
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val reader = ProcessBuilder(
            java,
            "-Xmx96m",
            "-XX:+UseSerialGC",
            "-cp",
            System.getProperty("java.class.path"),
            LongLogReader::class.java.name,
            folder.toString(),
        ).redirectErrorStream(true).start()
        val output = reader.inputStream.bufferedReader().readText()
        reader.waitFor(1, TimeUnit.MINUTES)
        expectThat(output.trim()).isEqualTo("last index $LONG_ENTRIES")
    }

    @Test
    fun `writes that are queued together are synced in batches bounded in bytes`() {
        val written = mutableListOf<LogBatch>()
        val handlers = StorageEffectHandlers(
            append = { batch -> Unit.right().also { written += batch } },
            replace = { Unit.right() },
            onSynced = {},
            send = {},
            onWriteFailed = {},
            pause = {},
        )
        val effects: List<AgreementEffect> = (1L..40).map { Persist(1, null, persistentListOf(entry(it, 100_000))) }
        perform(effects, handlers)
        expectThat(written.flatMap { it.entries }.map { it.index }).isEqualTo((1L..40).toList())
        expectThat(written.map { batch -> batch.entries.sumOf { (it.content as CommandEntry).bytes.size } })
            .all { isLessThanOrEqualTo(MAX_BATCH_BYTES) }
    }

    @Test
    fun `entries after a snapshot are written in records bounded in bytes and read back`() {
        val entries = (8L..47).map { entry(it, 100_000) }.toPersistentList()
        val log = replicaLog(Snapshot(7, 1, Membership(persistentListOf()), ByteArray(3)), entries)
        expectThat(open().folder.replace(1, null, log).isRight()).isEqualTo(true)
        val sizes = FileChannel.open(folder.listDirectoryEntries("log-*").single()).use { file ->
            foldRecords(file, emptyList<Int>()) { sizes, content -> sizes + content.size }.fold({ error(it.reason) }, { it.result })
        }
        expectThat(sizes).all { isLessThanOrEqualTo(MAX_BATCH_BYTES + RECORD_OVERHEAD_BYTES) }
        expectThat(
            open()
                .recovered.log.entries
                .map { it.index },
        ).isEqualTo((8L..47).toList())
    }

    @Test
    fun `a snapshot among queued writes is written between them`() {
        val order = mutableListOf<String>()
        val log = replicaLog(Snapshot(2, 1, Membership(persistentListOf()), ByteArray(0)))
        val handlers = StorageEffectHandlers(
            append = { batch -> Unit.right().also { order += "entries ${batch.entries.map { it.index }}" } },
            replace = { Unit.right().also { order += "snapshot" } },
            onSynced = {},
            send = {},
            onWriteFailed = {},
            pause = {},
        )
        val writes = (1L..3).map { Persist(1, null, persistentListOf(entry(it, 10))) }
        perform(listOf(writes[0], writes[1], PersistSnapshot(1, null, log), writes[2]), handlers)
        expectThat(order).isEqualTo(mutableListOf("entries [1, 2]", "snapshot", "entries [3]"))
    }
}
