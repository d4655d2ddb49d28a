/**
 * An incremental parser of server-sent events.
 *
 * Source: WHATWG HTML, section "Server-sent events".
 */
package sniperoute.connection.endpoint.decision

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/**
 * An event with its [id], if it has one, its [data], and the [bytes] that encode it, including the blank line at its end. An event that
 * [isComment] has no fields.
 */
public class ServerSentEvent(
    public val id: String?,
    public val data: String,
    public val bytes: ByteArray,
    public val isComment: Boolean = false,
)

/** How much of the line at the end of the received bytes is known: a line is blank if it ends here. */
private enum class CurrentLine { EMPTY, CARRIAGE_RETURN, CONTENT }

private fun CurrentLine.next(byte: Byte): CurrentLine =
    if (this == CurrentLine.EMPTY && byte == CARRIAGE_RETURN) CurrentLine.CARRIAGE_RETURN else CurrentLine.CONTENT

/**
 * The state of the parser: the bytes of an event that is not complete yet, in the pieces in which they were received, their number, and
 * their last line. Each byte is looked at once, however small the pieces are.
 */
public class EventStreamState private constructor(
    private val pieces: PersistentList<ByteArray>,
    internal val partialBytes: Int,
    private val line: CurrentLine,
) {
    internal constructor() : this(persistentListOf(), 0, CurrentLine.EMPTY)

    internal fun next(bytes: ByteArray): EventStreamStep {
        val events = persistentListOf<ServerSentEvent>().builder()
        var partialEvent = pieces
        var start = 0
        var currentLine = line
        for (position in bytes.indices) {
            if (bytes[position] != LINE_FEED) {
                currentLine = currentLine.next(bytes[position])
                continue
            }
            if (currentLine != CurrentLine.CONTENT) {
                events.add(eventOf(partialEvent.add(bytes.copyOfRange(start, position + 1)).joined()))
                partialEvent = persistentListOf()
                start = position + 1
            }
            currentLine = CurrentLine.EMPTY
        }
        val rest = bytes.copyOfRange(start, bytes.size)
        val restBefore = if (partialEvent.isEmpty()) 0 else partialBytes
        val state = EventStreamState(if (rest.isEmpty()) partialEvent else partialEvent.add(rest), restBefore + rest.size, currentLine)
        return EventStreamStep(state, events.build(), state.partialBytes > MAX_EVENT_BYTES)
    }
}

/** Returns the state at the start of a stream. */
public fun newEventStream(): EventStreamState = EventStreamState()

/** Whether bytes of an incomplete event were received. */
public val EventStreamState.hasPartialEvent: Boolean get() = partialBytes > 0

/** The complete events of a chunk of the stream and the state after it; [isTooLong] says that an event exceeds the maximum length. */
public class EventStreamStep(
    public val state: EventStreamState,
    public val events: PersistentList<ServerSentEvent>,
    public val isTooLong: Boolean,
)

private const val MAX_EVENT_BYTES = 1024 * 1024
private const val LINE_FEED = '\n'.code.toByte()
private const val CARRIAGE_RETURN = '\r'.code.toByte()

/** Returns the events that the next chunk of the stream, [bytes], completes. */
public fun EventStreamState.parse(bytes: ByteArray): EventStreamStep = next(bytes)

private fun eventOf(bytes: ByteArray): ServerSentEvent {
    val lines = bytes
        .decodeToString()
        .lineSequence()
        .map { it.trimEnd('\r') }
        .filter { it.isNotEmpty() && !it.startsWith(':') }
        .toList()
    val data = lines.filter { it.fieldName() == "data" }.joinToString("\n") { it.fieldValue() }
    val id = lines.lastOrNull { it.fieldName() == "id" }?.fieldValue()
    return ServerSentEvent(id, data, bytes, isComment = lines.isEmpty())
}

private fun String.fieldName(): String = substringBefore(':')

private fun String.fieldValue(): String = substringAfter(':', "").removePrefix(" ")
