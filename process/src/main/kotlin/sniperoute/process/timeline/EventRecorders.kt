/**
 * The duty that keeps the time line. Other duties pass events to it through a ring. When the ring is full, an event is dropped
 * and counted, since recording must never delay a request. Each event is also logged with its number.
 */
package sniperoute.process.timeline

import io.github.oshai.kotlinlogging.KotlinLogging
import sniperoute.process.clock.Clock
import sniperoute.process.duty.startDuty
import sniperoute.process.ring.Ring
import sniperoute.process.ring.ring
import sniperoute.process.timeline.decision.Timeline
import sniperoute.process.timeline.decision.emptyTimeline
import sniperoute.process.timeline.decision.merge
import sniperoute.process.timeline.decision.next
import sniperoute.process.timeline.decision.record
import sniperoute.process.timeline.message.Event
import sniperoute.process.timeline.message.EventKind
import sniperoute.process.timeline.message.EventSubject
import sniperoute.process.timeline.message.HybridTimestamp
import sniperoute.process.timeline.message.Severity
import java.util.concurrent.atomic.AtomicReference

private val logger = KotlinLogging.logger("sniperoute")
private const val RING_CAPACITY = 8_192

/** Records an event without blocking. */
public typealias RecordEvent = (kind: EventKind, subject: EventSubject, detail: String) -> Unit

/** The time line of this process and its hybrid logical clock. */
public class EventRecorder internal constructor(private val process: String, private val clock: Clock, capacity: Int) {
    private val time = AtomicReference(HybridTimestamp.ZERO)
    private val published = AtomicReference(emptyTimeline(capacity))
    private val inbox: Ring<Event> = ring("timeline", RING_CAPACITY)

    init {
        startDuty("timeline", { name, failure -> logger.error(failure) { "102 duty $name failed" } }) {
            while (true) append(inbox.take())
        }
    }

    /** The current time line. */
    public val timeline: Timeline get() = published.get()

    /** The number of events that were dropped because the ring was full. */
    public val droppedCount: Long get() = inbox.refusedCount

    /** Records an event of [kind] about [subject]; [detail] is one line of text for operators. */
    public fun record(kind: EventKind, subject: EventSubject = EventSubject(), detail: String = "") {
        inbox.offer(Event(nextTimestamp(), process, kind, subject, detail))
    }

    /** Advances the clock and returns the timestamp for an event, or for a message that is sent now. */
    public fun nextTimestamp(): HybridTimestamp = time.updateAndGet { it.next(clock()) }

    /** Advances the clock past the timestamp of a [received] message. */
    public fun mergeTimestamp(received: HybridTimestamp) {
        time.updateAndGet { it.merge(clock(), received) }
    }

    private fun append(event: Event) {
        published.updateAndGet { it.record(event) }
        log(event)
    }
}

/** Returns a started recorder for the process named [process]; its time line keeps at most [capacity] events. */
public fun startEventRecorder(process: String, clock: Clock, capacity: Int): EventRecorder = EventRecorder(process, clock, capacity)

private fun log(event: Event) {
    val line = { "${event.kind.number} ${event.kind.name} ${event.subject.describe()}${event.detail}" }
    when (event.kind.severity) {
        Severity.DEBUG -> logger.debug(line)
        Severity.INFORMATION -> logger.info(line)
        Severity.WARNING -> logger.warn(line)
        Severity.ERROR -> logger.error(line)
    }
}

private fun EventSubject.describe(): String = buildString {
    request?.let { append("request=$it ") }
    workspace?.let { append("workspace=$it ") }
    endpoint?.let { append("endpoint=$it ") }
    weights?.let { append("weights=$it ") }
    configuration?.let { append("configuration=$it ") }
    outcome?.let { append("outcome=$it ") }
}
