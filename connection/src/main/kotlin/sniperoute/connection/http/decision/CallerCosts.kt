/**
 * What requests cost in memory, which may be far more than their bytes.
 */
package sniperoute.connection.http.decision

/** The objects of a header line: its name and value, and their entry in the headers of the decoder or of a request. */
private const val HEADER_LINE_BYTES = 250L

/** The objects of a connection without a request. */
internal const val CONNECTION_BYTES: Long = 4L * 1024

/** Of a head, its bytes exist as received and as decoded. */
private const val COPIES_OF_HEAD = 2

/** The shortest line that counts in the length of a head has one character and a separator. */
private const val SHORTEST_LINE_BYTES = 3

/** Bytes of a head that its limit doesn't count: ends of lines, blanks, and empty lines before it. */
private const val UNCOUNTED_HEAD_BYTES = 4_096

/** Waiting requests of a connection may hold this many bytes before it is read no further. */
private const val MAX_WAITING_BYTES = 256L * 1024

/** Returns what a head of [bytes] with [lines] header lines costs. */
internal fun headCost(bytes: Long, lines: Int): Long = bytes * COPIES_OF_HEAD + lines * HEADER_LINE_BYTES

/** Returns the number of header lines that no head of [headerBytes] exceeds. */
internal fun maxHeaderLines(headerBytes: Int): Int = headerBytes / SHORTEST_LINE_BYTES + 1

/** Returns how many bytes may be received until a head is complete, empty lines and blanks before it and in it included. */
internal fun maxReceivedHeadBytes(initialLineBytes: Int, headerBytes: Int): Long =
    2L * (initialLineBytes + headerBytes) + UNCOUNTED_HEAD_BYTES

/**
 * Returns whether a connection is read on. One whose peer doesn't read its responses, or has sent many requests ahead, isn't; while its
 * only request runs it is, so that its end is seen.
 */
internal fun isReadOn(isWritable: Boolean, isRunning: Boolean, waitingRequests: Int, waitingBytes: Long): Boolean =
    (isWritable || (isRunning && waitingRequests == 0)) && waitingBytes <= MAX_WAITING_BYTES
