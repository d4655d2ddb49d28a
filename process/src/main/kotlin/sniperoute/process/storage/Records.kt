/**
 * Records in a file: a mark, a length, a checksum and the content. A write that the machine's loss cut short leaves its
 * record at the end of the file and nothing valid behind it; damage anywhere before that is corruption, and is refused.
 */
package sniperoute.process.storage

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import java.nio.ByteBuffer
import java.util.zip.CRC32C

private const val RECORD_MARK = 0x534E5052
private const val HEADER_BYTES = 12
private const val LARGEST_RECORD_BYTES = 256 * 1024 * 1024

/** Why the records of a file can't be used. */
public data class CorruptRecord(public val offset: Long, public val reason: String)

/** The records of a file and the length up to which it is valid; what lies beyond [validBytes] is a torn write. */
public data class ReadRecords(public val contents: PersistentList<ByteArray>, public val validBytes: Long)

/** Returns [content] as a record. */
public fun recordOf(content: ByteArray): ByteArray {
    require(content.size <= LARGEST_RECORD_BYTES) { "a record of ${content.size} bytes is too large" }
    return ByteBuffer
        .allocate(HEADER_BYTES + content.size)
        .putInt(RECORD_MARK)
        .putInt(content.size)
        .putInt(checksum(content))
        .put(content)
        .array()
}

/** Returns the records in [bytes], or where they are corrupt. */
public fun readRecords(bytes: ByteArray): Either<CorruptRecord, ReadRecords> {
    val contents = persistentListOf<ByteArray>().builder()
    var offset = 0
    while (offset < bytes.size) {
        val content = contentAtOrNull(bytes, offset) ?: return endOfRecords(bytes, offset, contents.build())
        contents += content
        offset += HEADER_BYTES + content.size
    }
    return ReadRecords(contents.build(), offset.toLong()).right()
}

private fun endOfRecords(bytes: ByteArray, offset: Int, contents: PersistentList<ByteArray>): Either<CorruptRecord, ReadRecords> {
    val validBehind = (offset + 1..bytes.size - HEADER_BYTES).firstOrNull { contentAtOrNull(bytes, it) != null }
    return if (validBehind == null) {
        ReadRecords(contents, offset.toLong()).right()
    } else {
        CorruptRecord(offset.toLong(), "a damaged record is followed by a valid one at $validBehind").left()
    }
}

private fun contentAtOrNull(bytes: ByteArray, offset: Int): ByteArray? {
    if (bytes.size - offset < HEADER_BYTES) return null
    val header = ByteBuffer.wrap(bytes, offset, HEADER_BYTES)
    if (header.getInt() != RECORD_MARK) return null
    val length = header.getInt()
    val expected = header.getInt()
    if (length < 0 || length > bytes.size - offset - HEADER_BYTES) return null
    val content = bytes.copyOfRange(offset + HEADER_BYTES, offset + HEADER_BYTES + length)
    return content.takeIf { checksum(it) == expected }
}

private fun checksum(content: ByteArray): Int = CRC32C().apply { update(content) }.value.toInt()
