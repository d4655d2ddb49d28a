/**
 * The time line of one process: a bounded, immutable sequence of events, and the hybrid logical clock that stamps them so
 * that an event caused by a message comes after the event that sent it, whatever the machines' clocks say.
 */
package sniperoute.process.timeline.decision

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import sniperoute.process.clock.Timestamp
import sniperoute.process.timeline.message.Event
import sniperoute.process.timeline.message.EventSubject
import sniperoute.process.timeline.message.HybridTimestamp

/** The latest events, oldest first, and the number of older ones that made room for them. */
public data class Timeline(public val events: PersistentList<Event>, public val dropped: Long, public val capacity: Int)

/** Returns a time line without events that keeps the last [capacity]. */
public fun emptyTimeline(capacity: Int): Timeline {
    require(capacity > 0) { "a time line needs room for an event, but its capacity is $capacity" }
    return Timeline(persistentListOf(), 0, capacity)
}

private const val TRIM_SHARE = 4

/** Returns this time line with [event] added; at capacity, the oldest quarter goes. */
public fun Timeline.record(event: Event): Timeline {
    if (events.size < capacity) return copy(events = events.add(event))
    val surplus = (capacity / TRIM_SHARE).coerceAtLeast(1)
    val kept = events.subList(surplus, events.size)
    return copy(events = persistentListOf<Event>().addAll(kept).add(event), dropped = dropped + surplus)
}

/** Returns the time of a local event at [now]. */
public fun HybridTimestamp.next(now: Timestamp): HybridTimestamp =
    if (now.microseconds > microseconds) HybridTimestamp(now.microseconds, 0) else HybridTimestamp(microseconds, counter + 1)

/** Returns the time at which a message stamped [received] was taken at [now]. */
public fun HybridTimestamp.merge(now: Timestamp, received: HybridTimestamp): HybridTimestamp = maxOf(this, received).next(now)

/** Which events to show: those that match every property that is not `null`. */
public data class EventFilter(
    public val request: String? = null,
    public val workspace: String? = null,
    public val endpoint: String? = null,
    public val kind: String? = null,
    public val sinceMicroseconds: Long? = null,
)

/** Returns the events of [timelines] that [filter] lets through, in causal order. */
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
