/**
 * Bounded rings, the only way in which duties exchange data. An empty ring blocks its consumer without spinning. A full ring
 * blocks the producer in [Ring.put]; in [Ring.offer] it refuses the item and counts it.
 */
package sniperoute.process.ring

import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.LongAdder
import kotlin.time.Duration

/** A thread-safe FIFO queue of at most [capacity] items. */
public class Ring<T : Any> internal constructor(public val name: String, public val capacity: Int) {
    private val queue = ArrayBlockingQueue<T>(capacity)
    private val refusedItems = LongAdder()

    /** The number of items in the ring. */
    public val size: Int get() = queue.size

    /** The number of items that [offer] has refused since the ring was created. */
    public val refusedCount: Long get() = refusedItems.sum()

    /** Adds [item] and returns `true`, or returns `false` when the ring is full. */
    public fun offer(item: T): Boolean {
        val isAdded = queue.offer(item)
        if (!isAdded) refusedItems.increment()
        return isAdded
    }

    /** Adds [item], waiting while the ring is full. */
    public fun put(item: T): Unit = queue.put(item)

    /** Removes and returns the next item, waiting while the ring is empty. */
    public fun take(): T = queue.take()

    /** Removes and returns the next item, or returns `null` when none arrives within [timeout]. */
    public fun takeOrNull(timeout: Duration): T? = queue.poll(timeout.inWholeMicroseconds, TimeUnit.MICROSECONDS)

    /** Removes and returns up to [limit] items without waiting. */
    public fun drain(limit: Int): List<T> = if (limit <= 0 || queue.isEmpty()) emptyList() else buildList { queue.drainTo(this, limit) }
}

/** Returns an empty ring named [name] for at most [capacity] items. */
public fun <T : Any> ring(name: String, capacity: Int): Ring<T> {
    require(capacity > 0) { "the capacity of ring $name must be positive, but is $capacity" }
    return Ring(name, capacity)
}
