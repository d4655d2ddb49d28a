/**
 * Records in a file: a magic number, a length, a CRC-32C checksum and the content. A write that a crash interrupted leaves a
 * torn record at the end of the file with nothing valid after it; it is ignored. Damage that is followed by a valid record is
 * corruption, and the file is rejected.
 */
package sniperoute.process.storage

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import java.nio.ByteBuffer
import java.util.zip.CRC32C

private const val RECORD_MAGIC = 0x534E5052
private const val HEADER_BYTES = 12
private const val MAX_RECORD_BYTES = 256 * 1024 * 1024

/** The records of a file are corrupt at [offset]. */
public data class CorruptRecord(public val offset: Long, public val reason: String)

/** The valid records of a file, which are its first [validBytes] bytes; the rest is a torn write. */
public data class ReadRecords(public val contents: PersistentList<ByteArray>, public val validBytes: Long)

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

/** Returns the records in [bytes], or the position of the first corrupt one. */
public fun readRecords(bytes: ByteArray): Either<CorruptRecord, ReadRecords> {
    val contents = persistentListOf<ByteArray>().builder()
    var offset = 0
    while (offset < bytes.size) {
        val content = contentAtOrNull(bytes, offset) ?: return checkTail(bytes, offset, contents.build())
        contents += content
        offset += HEADER_BYTES + content.size
    }
    return ReadRecords(contents.build(), offset.toLong()).right()
}

private fun checkTail(bytes: ByteArray, offset: Int, contents: PersistentList<ByteArray>): Either<CorruptRecord, ReadRecords> {
    val nextValid = (offset + 1..bytes.size - HEADER_BYTES).firstOrNull { contentAtOrNull(bytes, it) != null }
    return if (nextValid == null) {
        ReadRecords(contents, offset.toLong()).right()
    } else {
        CorruptRecord(offset.toLong(), "a damaged record is followed by a valid one at $nextValid").left()
    }
}

private fun contentAtOrNull(bytes: ByteArray, offset: Int): ByteArray? {
    if (bytes.size - offset < HEADER_BYTES) return null
    val header = ByteBuffer.wrap(bytes, offset, HEADER_BYTES)
    if (header.getInt() != RECORD_MAGIC) return null
    val length = header.getInt()
    val expected = header.getInt()
    if (length < 0 || length > bytes.size - offset - HEADER_BYTES) return null
    val content = bytes.copyOfRange(offset + HEADER_BYTES, offset + HEADER_BYTES + length)
    return content.takeIf { checksum(it) == expected }
}

private fun checksum(content: ByteArray): Int = CRC32C().apply { update(content) }.value.toInt()
