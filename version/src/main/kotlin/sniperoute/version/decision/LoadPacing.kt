/**
 * How many endpoints of a service change their weights at once. An endpoint that changes serves nothing for seconds. The load that this
 * decides about is new weights that follow each other while requests wait: then each endpoint that is away makes more of them late, and
 * costs more than answers by older weights do. So endpoints change only as fast as their deadlines ask for while the service is
 * strained or the endpoints that stay would have no room for its requests, and as fast as these allow otherwise.
 */
package sniperoute.version.decision

import kotlinx.collections.immutable.PersistentList
import sniperoute.process.clock.Timestamp
import sniperoute.version.message.ModelName
import sniperoute.version.message.ServiceName
import kotlin.math.ceil
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Returns how many of the [members] of [service] may have an open load command while those in [outdated] have outdated weights. */
public typealias MaxOpenCommands = (service: ServiceName, members: List<EndpointLoad>, outdated: List<EndpointLoad>) -> Int

/**
 * One in [OPEN_COMMAND_DIVISOR] endpoints of a service may have an open command, but at least [MIN_OPEN_COMMANDS] and never all of
 * several endpoints. Most of that time the endpoints finish running requests, so only a few load at once, while the others serve the
 * traffic.
 */
private const val OPEN_COMMAND_DIVISOR = 2
private const val MIN_OPEN_COMMANDS = 2

/** Returns the most open commands for a service with [size] endpoints, whatever its load. */
public fun maxOpenCommands(size: Int): Int = maxOf(MIN_OPEN_COMMANDS, size / OPEN_COMMAND_DIVISOR).coerceAtMost(maxOf(1, size - 1))

/** The time from the plan of a load command until the endpoint serves again, with long requests to finish first. */
private val ASSUMED_LOAD_TIME: Duration = 3.seconds

/**
 * Returns the fewest open commands with which every endpoint changes within [limit] of the naming of newer weights, up to
 * [maxOpenCommands]. An endpoint that is past its limit is due at once.
 */
public fun fewestOpenCommands(size: Int, outdatedSince: List<Timestamp>, limit: Duration, now: Timestamp): Int {
    val timesLeft = outdatedSince.map { it + limit - now }.sorted()
    val needed = timesLeft.withIndex().maxOfOrNull { (position, left) -> neededFor(position + 1, left) } ?: 0
    return needed.coerceIn(1, maxOpenCommands(size))
}

/**
 * The endpoints that stay must have so many slots for each request in flight. A change that has begun goes on for seconds, in which the
 * load may double, and an engine slows down when more than half of its slots are in use.
 */
private const val SLOTS_PER_REQUEST = 4L

/**
 * Returns the most open commands that leave room for the load of a service: it has [size] endpoints with [slots] slots in all, and
 * [running] requests in flight.
 */
public fun openCommandsWithRoom(size: Int, slots: Int, running: Int): Int {
    if (slots <= 0) return 0
    val needed = ceil(running * SLOTS_PER_REQUEST * size / slots.toDouble()).toInt()
    return (size - needed).coerceIn(0, maxOpenCommands(size))
}

/** Returns since when the endpoint's weights are outdated, by the [targets] of each model that this process knows. */
public fun EndpointLoad.outdatedSinceOrNull(targets: Map<ModelName, PersistentList<TargetWeights>>): Timestamp? =
    weights.entries.mapNotNull { (model, number) -> targets[model]?.outdatedSinceOrNull(number) }.minOrNull()

/** Returns how many endpoints must change at once so that [count] of them have changed in [left]. */
private fun neededFor(count: Int, left: Duration): Int =
    if (left <= ASSUMED_LOAD_TIME) count else ceil(count * (ASSUMED_LOAD_TIME / left)).toInt()

/** Counts of first tokens of a service's requests at [at], [late] ones of [total], in which earlier ones count less. */
public data class Lateness(public val late: Double, public val total: Double, public val at: Timestamp)

/** Returns the counts of a service without requests. */
public fun noLateness(now: Timestamp): Lateness = Lateness(0.0, 0.0, now)

/** In this time, the weight of a count halves. */
private val LATENESS_HALF_LIFE: Duration = 1_000.milliseconds

/** A service becomes strained when more than this share of its first tokens comes later than the objective. */
private const val STRAINED_SHARE = 0.1

/** A strained service remains so until this share is reached, so that single requests don't end it and begin it again. */
private const val RELIEVED_SHARE = 0.05

/** Fewer first tokens say little. */
private const val MIN_STRAINED_COUNT = 5.0

/** Returns the counts after [late] of [total] further first tokens were late. */
public fun Lateness.record(late: Long, total: Long, now: Timestamp): Lateness {
    val kept = keptAt(now)
    return Lateness(this.late * kept + late, this.total * kept + total, maxOf(at, now))
}

private fun Lateness.keptAt(now: Timestamp): Double = 0.5.pow((now - at).coerceAtLeast(Duration.ZERO) / LATENESS_HALF_LIFE)

/**
 * Whether so many callers of the service get their first token late at [now] that none of its endpoints should be away without need;
 * [wasStrained] says whether that was so before.
 */
public fun Lateness.isStrained(now: Timestamp, wasStrained: Boolean = false): Boolean =
    total * keptAt(now) >= MIN_STRAINED_COUNT && late > total * (if (wasStrained) RELIEVED_SHARE else STRAINED_SHARE)

/** Returns how many first tokens [after] counts since [before], and how many of them took longer than [objectiveMilliseconds]. */
public fun lateSince(before: EvidenceSum, after: EvidenceSum, objectiveMilliseconds: Long): Pair<Long, Long> {
    val firstLate = firstTokenBucket(objectiveMilliseconds.toDouble()) + 1
    val late = (firstLate until FIRST_TOKEN_BUCKETS).sumOf { (after.buckets[it] - before.buckets[it]).coerceAtLeast(0) }
    return late to (after.answered - before.answered).coerceAtLeast(late)
}
