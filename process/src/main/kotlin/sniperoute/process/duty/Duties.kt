/**
 * Duties: one named thread each, which owns its state and meets the rest of the process through rings only.
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
    /** Asks the duty to end and waits for it up to [patience]. */
    public fun stop(patience: Duration) {
        thread.interrupt()
        thread.join(patience.inWholeMilliseconds)
    }
}

/** What a duty does when its body fails: the duty's name and the failure. */
public typealias OnDutyFailure = (name: String, failure: Throwable) -> Unit

/** Returns a duty that runs [body] once on its own thread; an interrupt ends it quietly, any other failure goes to [onFailure]. */
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
 * Returns a duty that owns a value of type [S]: each item of [inbox], or `null` when none came within [tick], replaces it by
 * what [step] returns.
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

/** Returns a factory of daemon threads named [prefix] and a number, for the fixed pools of a transport library. */
public fun namedThreads(prefix: String): ThreadFactory {
    val count = AtomicInteger()
    return ThreadFactory { body ->
        Thread(body, "$prefix-${count.incrementAndGet()}").apply { isDaemon = true }
    }
}
