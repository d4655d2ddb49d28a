/**
 * A budget of bytes that many holders share, so that none can use it up. Each holder may have as much as is still free: when `n` holders
 * take all that they may, each has 1/(n + 1) of the budget, and as much is left for others.
 *
 * Source: A. K. Choudhury and E. L. Hahne, "Dynamic Queue Length Thresholds for Shared-Memory Packet Switches", 1998.
 */
package sniperoute.process.memory

import java.util.concurrent.atomic.AtomicLong

/** Any holder may have this many bytes, however much the others hold. */
private const val GUARANTEED_BYTES = 64L * 1024

/** Returns how many bytes one holder may have in all while all holders together have [heldBytes] of [totalBytes]. */
internal fun limitOfHolder(totalBytes: Long, heldBytes: Long): Long = maxOf(GUARANTEED_BYTES, totalBytes - heldBytes)

/** A budget of [totalBytes] that threads share. */
public class ByteBudget internal constructor(private val totalBytes: Long) {
    private val held = AtomicLong()

    /** The bytes that all holders together have. */
    public val heldBytes: Long get() = held.get()

    /** How many bytes one holder may have in all, those that it has already included. */
    public val limitOfHolder: Long get() = limitOfHolder(totalBytes, held.get())

    /** Counts [change] bytes more, or fewer if it is negative. */
    public fun change(change: Long) {
        held.addAndGet(change)
    }
}

/** Returns a budget of [totalBytes], of which none are held. */
public fun byteBudget(totalBytes: Long): ByteBudget = ByteBudget(totalBytes)
