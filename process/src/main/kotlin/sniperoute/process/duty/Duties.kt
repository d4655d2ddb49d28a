/**
 * Duties: a duty is a named thread that owns its state and exchanges data with the rest of the process only through rings.
 */
package sniperoute.process.duty

import sniperoute.process.clock.Clock
import sniperoute.process.clock.Timestamp
import sniperoute.process.ring.Ring
import java.util.concurrent.ThreadFactory
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.time.Duration

/** A running thread with one job. */
public class Duty internal constructor(public val name: String, private val thread: Thread) {
    /** Interrupts the duty and waits up to [timeout] for its thread to end. */
    public fun stop(timeout: Duration) {
        thread.interrupt()
        thread.join(timeout.inWholeMilliseconds)
    }
}

/** Called when the body of a duty fails, with the duty's name and the failure. */
public typealias OnDutyFailure = (name: String, failure: Throwable) -> Unit

/** Returns a started duty that runs [body] once. An interrupt ends it silently; any other failure is passed to [onFailure]. */
public fun startDuty(name: String, onFailure: OnDutyFailure, body: () -> Unit): Duty {
    val thread = thread(name = name, isDaemon = true) {
        @Suppress("TooGenericExceptionCaught")
        try {
            body()
        } catch (_: InterruptedException) {
            Thread.currentThread().interrupt()
        } catch (failure: Throwable) {
            onFailure(name, failure)
        }
    }
    return Duty(name, thread)
}

/**
 * Returns a started duty that owns a state of type [S]. It replaces the state by the result of [step] for each item of
 * [inbox], and at intervals of [tick] for a `null` input.
 */
public fun <S, I : Any> startStateDuty(
    inbox: Ring<I>,
    tick: Duration,
    clock: Clock,
    onFailure: OnDutyFailure,
    initial: S,
    step: (state: S, now: Timestamp, input: I?) -> S,
): Duty = startDuty(inbox.name, onFailure) {
    var state = initial
    var nextTick = clock() + tick
    while (!Thread.currentThread().isInterrupted) {
        val wait = nextTick - clock()
        val input = if (wait.isPositive()) inbox.takeOrNull(wait) else null
        if (input != null) {
            state = step(state, clock(), input)
        }
        if (clock() >= nextTick) {
            state = step(state, clock(), null)
            nextTick = clock() + tick
        }
    }
}

/** The item that a duty works on next and the [rest] of its backlog; [item] is `null` if one was dropped instead. */
public class TakenItem<B, I : Any>(public val item: I?, public val rest: B)

/**
 * The order in which a duty works on its items: [add] returns a backlog with one more item, and [takeOrNull] what is due, or `null` if
 * the backlog is empty. [sizeOf] returns the number of items in a backlog.
 */
public class WorkOrder<B, I : Any>(
    public val empty: B,
    public val add: (backlog: B, item: I) -> B,
    public val takeOrNull: (backlog: B) -> TakenItem<B, I>?,
    public val sizeOf: (backlog: B) -> Int,
)

/**
 * Returns a started duty as [startStateDuty] does, which works on its items by [order]. Before each step, it takes in all that has arrived,
 * so that a late duty decides by the latest items. Its backlog has at most as many items as the ring.
 */
public fun <S, I : Any, B> startOrderedStateDuty(
    inbox: Ring<I>,
    order: WorkOrder<B, I>,
    tick: Duration,
    clock: Clock,
    onFailure: OnDutyFailure,
    initial: S,
    step: (state: S, now: Timestamp, input: I?) -> S,
): Duty = startDuty(inbox.name, onFailure) {
    var state = initial
    var backlog = order.empty
    var nextTick = clock() + tick
    while (!Thread.currentThread().isInterrupted) {
        if (order.sizeOf(backlog) == 0) {
            val wait = nextTick - clock()
            val first = if (wait.isPositive()) inbox.takeOrNull(wait) else null
            first?.let { backlog = order.add(backlog, it) }
        }
        backlog = inbox.drain(inbox.capacity - order.sizeOf(backlog)).fold(backlog, order.add)
        order.takeOrNull(backlog)?.let { taken ->
            backlog = taken.rest
            taken.item?.let { state = step(state, clock(), it) }
        }
        if (clock() >= nextTick) {
            state = step(state, clock(), null)
            nextTick = clock() + tick
        }
    }
}

/** Returns a factory of daemon threads named `prefix-1`, `prefix-2` and so on, for the thread pools of a transport library. */
public fun namedThreads(prefix: String): ThreadFactory {
    val count = AtomicInteger()
    return ThreadFactory { body ->
        Thread(body, "$prefix-${count.incrementAndGet()}").apply { isDaemon = true }
    }
}
