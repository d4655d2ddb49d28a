/**
 * Server-sent events, cut out of a byte stream as it comes.
 *
 * Source: WHATWG HTML, section "Server-sent events".
 */
package sniperoute.connection.endpoint.decision

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/**
 * One event: its [id], or `null`, its [data], and the [bytes] that carried it, the blank line included. One that [isComment] has
 * no field at all.
 */
public class ServerSentEvent(
    public val id: String?,
    public val data: String,
    public val bytes: ByteArray,
    public val isComment: Boolean = false,
)

/** The [rest] of a stream that is no whole event yet. */
public class EventStreamState internal constructor(internal val rest: ByteArray)

/** Returns the state at the start of a stream. */
public fun newEventStream(): EventStreamState = EventStreamState(ByteArray(0))

/** Whether bytes came that belong to no whole event. */
public val EventStreamState.hasPartialEvent: Boolean get() = rest.isNotEmpty()

/** The whole events of a part of the stream; [isTooLong] tells that an event exceeds what may be held. */
public class EventStreamStep(
    public val state: EventStreamState,
    public val events: PersistentList<ServerSentEvent>,
    public val isTooLong: Boolean,
)

private const val LONGEST_EVENT_BYTES = 1024 * 1024
private const val LINE_FEED = '\n'.code.toByte()
private const val CARRIAGE_RETURN = '\r'.code.toByte()

/** Returns the events that [bytes] complete. */
public fun EventStreamState.take(bytes: ByteArray): EventStreamStep {
    val all = if (rest.isEmpty()) bytes else rest + bytes
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
    val newRest = all.copyOfRange(start, all.size)
    return EventStreamStep(EventStreamState(newRest), events.build(), newRest.size > LONGEST_EVENT_BYTES)
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
    val data = lines.filter { it.startsWith("data") }.joinToString("\n") { it.fieldValue() }
    val id = lines.lastOrNull { it.startsWith("id") }?.fieldValue()
    return ServerSentEvent(id, data, bytes, isComment = lines.isEmpty())
}

private fun String.fieldValue(): String = substringAfter(':', "").removePrefix(" ")
