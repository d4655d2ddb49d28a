/**
 * Bounded rings, the only way in which one duty hands work to another. A ring blocks its consumer without spinning; a full
 * ring either holds its producer back ([Ring.put]) or refuses the item ([Ring.offer]), and counts what it refused.
 */
package sniperoute.process.ring

import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.LongAdder
import kotlin.time.Duration

/** A bounded first-in first-out hand-over between threads, with [capacity] places. */
public class Ring<T : Any> internal constructor(public val name: String, public val capacity: Int) {
    private val queue = ArrayBlockingQueue<T>(capacity)
    private val refusedItems = LongAdder()

    /** The number of items that wait now. */
    public val size: Int get() = queue.size

    /** The number of items that [offer] has refused since the start. */
    public val refusedCount: Long get() = refusedItems.sum()

    /** Returns whether [item] was taken; a full ring refuses it. */
    public fun offer(item: T): Boolean {
        val taken = queue.offer(item)
        if (!taken) refusedItems.increment()
        return taken
    }

    /** Waits for a free place, then adds [item]. */
    public fun put(item: T): Unit = queue.put(item)

    /** Returns the next item, waiting for it. */
    public fun take(): T = queue.take()

    /** Returns the next item, or `null` when none came within [patience]. */
    public fun takeOrNull(patience: Duration): T? = queue.poll(patience.inWholeMicroseconds, TimeUnit.MICROSECONDS)

    /** Returns up to [limit] items that wait now, without waiting for any. */
    public fun drain(limit: Int): List<T> = buildList { queue.drainTo(this, limit) }
}

/** Returns an empty ring with [capacity] places. */
public fun <T : Any> ring(name: String, capacity: Int): Ring<T> {
    require(capacity > 0) { "a ring needs at least one place, but $name has $capacity" }
    return Ring(name, capacity)
}
