/**
 * Points in time, in microseconds since the epoch. Within a process moments never run backwards; leases are only ever
 * computed from differences of moments read in one process.
 */
package sniperoute.process.clock

import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds

/** A point in time, in microseconds since the epoch. */
@Serializable
@JvmInline
public value class Moment(public val microseconds: Long) : Comparable<Moment> {
    override fun compareTo(other: Moment): Int = microseconds.compareTo(other.microseconds)

    public operator fun plus(duration: Duration): Moment = Moment(microseconds + duration.inWholeMicroseconds)

    public operator fun minus(duration: Duration): Moment = Moment(microseconds - duration.inWholeMicroseconds)

    public operator fun minus(other: Moment): Duration = (microseconds - other.microseconds).microseconds

    public companion object {
        /** The moment before every other one. */
        public val EARLIEST: Moment = Moment(0)
    }
}

/** A source of the present time. */
public typealias Clock = () -> Moment

private const val MICROSECONDS_PER_MILLISECOND = 1_000L
private const val NANOSECONDS_PER_MICROSECOND = 1_000L

/** Returns a clock that starts at the wall clock's time and then advances monotonically. */
public fun systemClock(): Clock {
    val startWall = System.currentTimeMillis() * MICROSECONDS_PER_MILLISECOND
    val startMonotonic = System.nanoTime()
    return { Moment(startWall + (System.nanoTime() - startMonotonic) / NANOSECONDS_PER_MICROSECOND) }
}
