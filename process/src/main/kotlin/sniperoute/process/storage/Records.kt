/**
 * Records in a file: a magic number, a length, a CRC-32C checksum and the content. A write that a crash interrupted leaves a
 * torn record at the end of the file with nothing valid after it; it is ignored. Damage that is followed by a valid record is
 * corruption, and the file is rejected.
 */
package sniperoute.process.storage

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import java.io.EOFException
import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.util.zip.CRC32C

private const val RECORD_MAGIC = 0x534E5052
private const val HEADER_BYTES = 12
private const val MAX_RECORD_BYTES = 256 * 1024 * 1024
private const val SEARCH_WINDOW_BYTES = 64 * 1024

/** The records of a file are corrupt at [offset]. */
public data class CorruptRecord(public val offset: Long, public val reason: String)

/** Returns the record with [content]. */
public fun recordOf(content: ByteArray): ByteArray {
    require(content.size <= MAX_RECORD_BYTES) { "a record of ${content.size} bytes is too large" }
    return ByteBuffer
        .allocate(HEADER_BYTES + content.size)
        .putInt(RECORD_MAGIC)
        .putInt(content.size)
        .putInt(checksum(content))
        .put(content)
        .array()
}

/** What [foldRecords] made of a file: its [result], and the length of the valid records; the rest is a torn write. */
public data class FoldedRecords<S>(public val result: S, public val validBytes: Long)

/**
 * Returns the result of [step] for the content of each record of [file], one at a time, so that a long file is never in memory as a whole;
 * or the position of the first corrupt record.
 *
 * @throws java.io.IOException if the file can't be read
 */
public fun <S> foldRecords(file: FileChannel, initial: S, step: (S, ByteArray) -> S): Either<CorruptRecord, FoldedRecords<S>> {
    val size = file.size()
    var folded = FoldedRecords(initial, 0)
    while (folded.validBytes < size) {
        val content = file.contentAtOrNull(folded.validBytes, size) ?: return file.checkTail(folded.validBytes, size).map { folded }
        folded = FoldedRecords(step(folded.result, content), folded.validBytes + HEADER_BYTES + content.size)
    }
    return folded.right()
}

private fun FileChannel.checkTail(offset: Long, size: Long): Either<CorruptRecord, Unit> {
    val nextValid = validRecordAfterOrNull(offset, size) ?: return Unit.right()
    return CorruptRecord(offset, "a damaged record is followed by a valid one at $nextValid").left()
}

/** Returns the offset of the first valid record behind [offset]. The file is searched in windows that overlap by the magic number. */
private fun FileChannel.validRecordAfterOrNull(offset: Long, size: Long): Long? {
    var start = offset + 1
    while (start <= size - HEADER_BYTES) {
        val window = readAt(start, minOf(SEARCH_WINDOW_BYTES.toLong(), size - start).toInt())
        val last = window.limit() - Int.SIZE_BYTES
        for (position in 0..last) {
            val candidate = start + position
            if (window.getInt(position) == RECORD_MAGIC && contentAtOrNull(candidate, size) != null) return candidate
        }
        start += last + 1
    }
    return null
}

private fun FileChannel.contentAtOrNull(offset: Long, size: Long): ByteArray? {
    if (size - offset < HEADER_BYTES) return null
    val header = readAt(offset, HEADER_BYTES)
    if (header.getInt() != RECORD_MAGIC) return null
    val length = header.getInt()
    val expected = header.getInt()
    if (length < 0 || length > size - offset - HEADER_BYTES) return null
    val content = readAt(offset + HEADER_BYTES, length).array()
    return content.takeIf { checksum(it) == expected }
}

private fun FileChannel.readAt(offset: Long, length: Int): ByteBuffer {
    val buffer = ByteBuffer.allocate(length)
    while (buffer.hasRemaining()) {
        if (read(buffer, offset + buffer.position()) < 0) throw EOFException("the file ends before offset ${offset + length}")
    }
    return buffer.flip()
}

private fun checksum(content: ByteArray): Int = CRC32C().apply { update(content) }.value.toInt()
