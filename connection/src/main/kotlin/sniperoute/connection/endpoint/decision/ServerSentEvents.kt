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

/** The state of the parser: the bytes of an event that is not complete yet, in [partialEvent]. */
public class EventStreamState internal constructor(internal val partialEvent: ByteArray)

/** Returns the state at the start of a stream. */
public fun newEventStream(): EventStreamState = EventStreamState(ByteArray(0))

/** Whether bytes of an incomplete event were received. */
public val EventStreamState.hasPartialEvent: Boolean get() = partialEvent.isNotEmpty()

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
public fun EventStreamState.parse(bytes: ByteArray): EventStreamStep {
    val all = if (partialEvent.isEmpty()) bytes else partialEvent + bytes
    val events = persistentListOf<ServerSentEvent>().builder()
    var start = 0
    var lineStart = 0
    for (position in all.indices) {
        if (all[position] != LINE_FEED) continue
        if (isBlank(all, lineStart, position)) {
            events.add(eventOf(all.copyOfRange(start, position + 1)))
            start = position + 1
        }
        lineStart = position + 1
    }
    val newPartialEvent = all.copyOfRange(start, all.size)
    return EventStreamStep(EventStreamState(newPartialEvent), events.build(), newPartialEvent.size > MAX_EVENT_BYTES)
}

private fun isBlank(bytes: ByteArray, start: Int, end: Int): Boolean =
    start == end || (end == start + 1 && bytes[start] == CARRIAGE_RETURN)

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
