/**
 * The time line of a process, which is a bounded sequence of events, and the hybrid logical clock for their timestamps. An event
 * caused by a message is ordered after the sending of the message, even when the clocks of the machines differ.
 */
package sniperoute.process.timeline.decision

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import sniperoute.process.clock.Timestamp
import sniperoute.process.timeline.message.Event
import sniperoute.process.timeline.message.EventSubject
import sniperoute.process.timeline.message.HybridTimestamp

/** The latest [events], oldest first; [dropped] is the number of older events that were removed at [capacity]. */
public data class Timeline(public val events: PersistentList<Event>, public val dropped: Long, public val capacity: Int)

/** Returns an empty time line for at most [capacity] events. */
public fun emptyTimeline(capacity: Int): Timeline {
    require(capacity > 0) { "the capacity of a time line must be positive, but is $capacity" }
    return Timeline(persistentListOf(), 0, capacity)
}

private const val TRIM_DIVISOR = 4

/** Returns this time line with [event] added; at capacity, the oldest quarter is dropped. */
public fun Timeline.record(event: Event): Timeline {
    if (events.size < capacity) return copy(events = events.add(event))
    val trimmed = (capacity / TRIM_DIVISOR).coerceAtLeast(1)
    val kept = events.subList(trimmed, events.size)
    return copy(events = persistentListOf<Event>().addAll(kept).add(event), dropped = dropped + trimmed)
}

/** Returns the timestamp of a local event at [now], which is greater than this one. */
public fun HybridTimestamp.next(now: Timestamp): HybridTimestamp =
    if (now.microseconds > microseconds) HybridTimestamp(now.microseconds, 0) else HybridTimestamp(microseconds, counter + 1)

/** Returns the timestamp of receiving a message with the timestamp [received] at [now], which is greater than both. */
public fun HybridTimestamp.merge(now: Timestamp, received: HybridTimestamp): HybridTimestamp = maxOf(this, received).next(now)

/** Selects the events that match every property that is not `null`; [kind] is a prefix of the kind's name in any case. */
public data class EventFilter(
    public val request: String? = null,
    public val workspace: String? = null,
    public val endpoint: String? = null,
    public val kind: String? = null,
    public val sinceMicroseconds: Long? = null,
)

/** Returns the events of [timelines] that match [filter], in causal order. */
public fun mergeTimelines(timelines: List<List<Event>>, filter: EventFilter): List<Event> =
    timelines
        .flatten()
        .filter { it.matches(filter) }
        .sortedWith(compareBy(Event::at, Event::process))

private fun Event.matches(filter: EventFilter): Boolean =
    subject.matches(filter) &&
        (filter.kind == null || kind.name.startsWith(filter.kind, ignoreCase = true)) &&
        (filter.sinceMicroseconds == null || at.microseconds >= filter.sinceMicroseconds)

private fun EventSubject.matches(filter: EventFilter): Boolean =
    (filter.request == null || request == filter.request) &&
        (filter.workspace == null || workspace == filter.workspace) &&
        (filter.endpoint == null || endpoint == filter.endpoint)
