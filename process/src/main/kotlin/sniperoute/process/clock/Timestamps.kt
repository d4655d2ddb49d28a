/**
 * Points in time, in microseconds since the epoch. Within a process moments never run backwards; leases are only ever
 * computed from differences of moments read in one process.
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
        /** The moment before every other one. */
        public val EARLIEST: Timestamp = Timestamp(0)
    }
}

/** A source of the present time. */
public typealias Clock = () -> Timestamp

private const val MICROSECONDS_PER_MILLISECOND = 1_000L
private const val NANOSECONDS_PER_MICROSECOND = 1_000L

/** Returns a clock that starts at the wall clock's time and then advances monotonically. */
public fun systemClock(): Clock {
    val startWall = System.currentTimeMillis() * MICROSECONDS_PER_MILLISECOND
    val startMonotonic = System.nanoTime()
    return { Timestamp(startWall + (System.nanoTime() - startMonotonic) / NANOSECONDS_PER_MICROSECOND) }
}

private const val UNREMARKABLE_ADVANCE_MICROSECONDS = 50_000L

/** The advances of the wall clock against the steady clock that were seen so far, in microseconds. */
private data class SeenAdvance(val wallAhead: Long, val skipped: Long)

/**
 * Returns a clock for leases. A machine may stand still without its steady clock showing it, so each sudden advance of the wall
 * clock against the steady clock counts as time that passed; a wall clock that is set back changes nothing.
 */
public fun leaseClock(): Clock = leaseClock(
    steadyMicroseconds = { System.nanoTime() / NANOSECONDS_PER_MICROSECOND },
    wallMicroseconds = { System.currentTimeMillis() * MICROSECONDS_PER_MILLISECOND },
)

internal fun leaseClock(steadyMicroseconds: () -> Long, wallMicroseconds: () -> Long): Clock {
    val start = wallMicroseconds() - steadyMicroseconds()
    val seen = AtomicReference(SeenAdvance(start, 0))
    return {
        val steady = steadyMicroseconds()
        val ahead = wallMicroseconds() - steady
        val advance = seen.updateAndGet { known ->
            val jump = ahead - known.wallAhead
            SeenAdvance(ahead, known.skipped + if (jump > UNREMARKABLE_ADVANCE_MICROSECONDS) jump else 0)
        }
        Timestamp(start + steady + advance.skipped)
    }
}
