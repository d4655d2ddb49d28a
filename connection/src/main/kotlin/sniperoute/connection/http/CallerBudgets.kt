/**
 * The budget of memory and connections that the callers of a server share. It lives as long as the process. Each connection counts what it
 * holds on its own thread; when the sum exceeds the budget, the connections that the decision names yield.
 */
package sniperoute.connection.http

import com.sun.management.UnixOperatingSystemMXBean
import io.netty.channel.Channel
import io.netty.util.internal.PlatformDependent
import kotlinx.collections.immutable.toImmutableList
import sniperoute.connection.http.decision.CallerBounds
import sniperoute.connection.http.decision.CallerHolding
import sniperoute.connection.http.decision.callerBounds
import sniperoute.connection.http.decision.yieldingHolders
import sniperoute.process.clock.Clock
import sniperoute.process.clock.Timestamp
import sniperoute.process.clock.systemClock
import sniperoute.process.memory.ByteBudget
import sniperoute.process.memory.byteBudget
import sniperoute.process.metrics.MetricsRegistry
import sniperoute.process.metrics.gauge
import java.lang.management.ManagementFactory
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** So much is made free that the next connections need no further decision: one part in so many of the bound. */
private const val PARTS_MADE_FREE = 8

/** Where no connection could yield, the next look at all of them waits for this long. */
private val PAUSE_AFTER_FUTILE_LOOK: Duration = 50.milliseconds

private val REPORT_INTERVAL: Duration = 10.seconds

/** Is told, at most every ten seconds, that connections had to yield. */
public typealias OnCallersLimited = (detail: String) -> Unit

/** Returns the holding with the weight that it has for the bound in question. */
private typealias Weigh = (CallerHolding<CallerHolder>) -> CallerHolding<CallerHolder>

/** The budget of the callers of one server. */
public class CallerBudget internal constructor(
    private val bounds: CallerBounds,
    private val clock: Clock,
    private val onLimited: OnCallersLimited,
) {
    private val held: ByteBudget = byteBudget(bounds.bytes)
    private val holders = ConcurrentHashMap.newKeySet<CallerHolder>()
    private val isLooking = AtomicBoolean()
    private val futileUntil = AtomicReference(Timestamp.EARLIEST)
    private val reported = AtomicReference(Timestamp.EARLIEST)
    private val yielded = AtomicLong()
    private val refused = AtomicLong()

    /** The bytes that callers' connections hold now. */
    public val heldBytes: Long get() = held.heldBytes

    /** The connections that are open now. */
    public val connections: Int get() = holders.size

    /** How many connections had to yield. */
    public val yieldedCount: Long get() = yielded.get()

    /** How many requests were refused because the budget was exhausted. */
    public val refusedCount: Long get() = refused.get()

    /** Whether a request may begin to run; one that may not is counted as refused. */
    internal fun mayRun(): Boolean = (held.heldBytes <= bounds.bytes).also { if (!it) refused.incrementAndGet() }

    internal fun open(channel: Channel, onYield: () -> Unit): CallerHolder {
        if (holders.size >= bounds.connections) limitConnections()
        return CallerHolder(this, channel, bounds.outputWeight, clock, onYield).also { holders += it }
    }

    internal fun close(holder: CallerHolder) {
        holders -= holder
    }

    internal fun change(bytes: Long) {
        held.change(bytes)
        if (bytes > 0 && held.heldBytes > bounds.bytes) limitBytes()
    }

    private fun limitBytes() = look { now ->
        holders.forEach { it.countOutput() }
        if (held.heldBytes <= bounds.bytes) return@look
        val target = bounds.bytes - bounds.bytes / PARTS_MADE_FREE
        yieldAll(now, target, "${held.heldBytes} of ${bounds.bytes} bytes are held") { it }
    }

    private fun limitConnections() = look { now ->
        val target = bounds.connections - maxOf(1, bounds.connections / PARTS_MADE_FREE)
        yieldAll(now, target.toLong(), "${holders.size} connections of ${bounds.connections} are open") {
            it.copy(bytes = 1)
        }
    }

    private fun yieldAll(now: Timestamp, target: Long, reason: String, weigh: Weigh) {
        val holdings = holders.map { weigh(it.holding(now)) }.filter { it.bytes > 0 }
        val chosen = yieldingHolders(holdings.toImmutableList(), target)
        chosen.forEach(CallerHolder::yieldRoom)
        yielded.addAndGet(chosen.size.toLong())
        if (chosen.isEmpty()) futileUntil.set(now + PAUSE_AFTER_FUTILE_LOOK)
        val last = reported.get()
        if (now - last >= REPORT_INTERVAL && reported.compareAndSet(last, now)) {
            onLimited("$reason, of ${holdings.size} connections ${chosen.size} yield, $yieldedCount so far")
        }
    }

    /** Runs [action] unless another thread looks already, or the last look was futile a moment ago. */
    private fun look(action: (now: Timestamp) -> Unit) {
        val now = clock()
        if (now < futileUntil.get() || !isLooking.compareAndSet(false, true)) return
        try {
            action(now)
        } finally {
            isLooking.set(false)
        }
    }
}

/** Returns the number of descriptors that the process may open. */
private fun availableDescriptors(): Long =
    (ManagementFactory.getOperatingSystemMXBean() as? UnixOperatingSystemMXBean)?.maxFileDescriptorCount ?: Long.MAX_VALUE

/**
 * Returns a budget for the callers of a server, derived from the heap and the direct memory of the process and from its [descriptors],
 * or those that the system grants if they are fewer. A server beside others gets one of [parts].
 */
public fun callerBudget(
    descriptors: Long = Long.MAX_VALUE,
    parts: Int = 1,
    clock: Clock = systemClock(),
    onLimited: OnCallersLimited = {},
): CallerBudget {
    val heap = Runtime.getRuntime().maxMemory()
    val bounds = callerBounds(heap / parts, PlatformDependent.maxDirectMemory() / parts, minOf(descriptors, availableDescriptors()))
    return CallerBudget(bounds.copy(connections = maxOf(1, bounds.connections / parts)), clock, onLimited)
}

/** Registers metrics of [budget]. */
public fun MetricsRegistry.registerCallers(budget: CallerBudget) {
    gauge("sniperoute_caller_bytes", "Bytes that callers' connections hold.") { budget.heldBytes.toDouble() }
    gauge("sniperoute_caller_connections", "Open connections of callers.") { budget.connections.toDouble() }
    gauge("sniperoute_callers_yielded", "Callers' connections that were ended for their memory or number.") {
        budget.yieldedCount.toDouble()
    }
    gauge("sniperoute_callers_refused", "Callers' requests that were refused for want of memory.") { budget.refusedCount.toDouble() }
}
