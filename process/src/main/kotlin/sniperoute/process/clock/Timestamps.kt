/**
 * Timestamps and the clocks that they are read from. Within a process, time never runs backwards; leases are computed only from
 * differences between timestamps read in the same process.
 */
package sniperoute.process.clock

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds

/** A point in time, in microseconds since the epoch. */
@Serializable
@JvmInline
@SerialName("sniperoute.process.clock.Moment")
public value class Timestamp(public val microseconds: Long) : Comparable<Timestamp> {
    override fun compareTo(other: Timestamp): Int = microseconds.compareTo(other.microseconds)

    public operator fun plus(duration: Duration): Timestamp = Timestamp(microseconds + duration.inWholeMicroseconds)

    public operator fun minus(duration: Duration): Timestamp = Timestamp(microseconds - duration.inWholeMicroseconds)

    public operator fun minus(other: Timestamp): Duration = (microseconds - other.microseconds).microseconds

    public companion object {
        /** The epoch, which is earlier than any timestamp that a clock returns. */
        public val EARLIEST: Timestamp = Timestamp(0)
    }
}

/** Returns the current time. */
public typealias Clock = () -> Timestamp

private const val MICROSECONDS_PER_MILLISECOND = 1_000L
private const val NANOSECONDS_PER_MICROSECOND = 1_000L

/** Returns a clock that starts at the wall clock's time and then advances with the monotonic clock. */
public fun systemClock(): Clock {
    val startWall = System.currentTimeMillis() * MICROSECONDS_PER_MILLISECOND
    val startMonotonic = System.nanoTime()
    return { Timestamp(startWall + (System.nanoTime() - startMonotonic) / NANOSECONDS_PER_MICROSECOND) }
}

private const val CLOCK_JUMP_THRESHOLD_MICROSECONDS = 50_000L

/** The last offset of the wall clock to the monotonic clock, and the sum of its sudden advances, in microseconds. */
private data class ObservedDrift(val wallOffset: Long, val paused: Long)

/**
 * Returns a clock for leases. A machine can be suspended without its monotonic clock advancing, so each sudden advance of the
 * wall clock against the monotonic clock counts as elapsed time. A wall clock that is set back changes nothing.
 */
public fun leaseClock(): Clock = leaseClock(
    monotonicMicroseconds = { System.nanoTime() / NANOSECONDS_PER_MICROSECOND },
    wallMicroseconds = { System.currentTimeMillis() * MICROSECONDS_PER_MILLISECOND },
)

internal fun leaseClock(monotonicMicroseconds: () -> Long, wallMicroseconds: () -> Long): Clock {
    val start = wallMicroseconds() - monotonicMicroseconds()
    val observed = AtomicReference(ObservedDrift(start, 0))
    return {
        val monotonic = monotonicMicroseconds()
        val wallOffset = wallMicroseconds() - monotonic
        val drift = observed.updateAndGet { known ->
            val jump = wallOffset - known.wallOffset
            ObservedDrift(wallOffset, known.paused + if (jump > CLOCK_JUMP_THRESHOLD_MICROSECONDS) jump else 0)
        }
        Timestamp(start + monotonic + drift.paused)
    }
}
