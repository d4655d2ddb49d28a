/**
 * How late the duties of this router are: the routing duty, and the threads of its connections. Lives as long as the process; decisions
 * take the delay that a new request has to expect from here.
 */
package sniperoute.router

import sniperoute.connection.http.Exchange
import sniperoute.process.clock.Clock
import sniperoute.process.clock.Timestamp
import sniperoute.request.admission.decision.RouterPace
import sniperoute.request.admission.decision.expectedDelay
import sniperoute.request.admission.decision.given
import sniperoute.request.admission.decision.taken
import sniperoute.request.admission.decision.withdrawn
import sniperoute.request.routing.message.RequestAdmitted
import sniperoute.request.routing.message.RoutingInput
import sniperoute.request.run.SendToRouting
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What a thread of connections was late by says little about later work than this, if it had none to do since. */
private val HANDOVER_LIFETIME = 250.milliseconds

/** A lateness that was measured at [at]. */
private data class MeasuredLateness(val at: Timestamp, val lateness: Duration)

/** [onUnwanted] is called for each new request that the routing duty drops, since its caller has left. */
internal class RouterLateness(private val clock: Clock, private val onUnwanted: () -> Unit) {
    private val pace = AtomicReference(RouterPace())
    private val handover = AtomicReference(MeasuredLateness(Timestamp.EARLIEST, Duration.ZERO))

    /** When a thread of connections began to read what it reads now; `null` while it reads no requests. */
    private val readingSince = ThreadLocal<Timestamp?>()

    fun now(): Timestamp = clock()

    /** Returns how long a request that is read now will wait for the duties. Runs on the thread of the request's connection. */
    fun delayOf(exchange: Exchange): Duration {
        val now = clock()
        val since = readingSince.get()
        if (since == null) {
            readingSince.set(now)
            // Runs once all connections that had something to read now were read.
            exchange.after(Duration.ZERO) { readingSince.remove() }
        }
        return (if (since == null) Duration.ZERO else now - since) + handoverLateness(now) + pace.get().expectedDelay(now)
    }

    /** How late the thread of connections was lately. */
    private fun handoverLateness(now: Timestamp): Duration {
        val measured = handover.get()
        return if (now - measured.at < HANDOVER_LIFETIME) measured.lateness else Duration.ZERO
    }

    /** How long a request that is read now would wait, in so far as it is known without its connection. */
    fun currentDelay(): Duration = clock().let { pace.get().expectedDelay(it) + handoverLateness(it) }

    /** Returns the function that counts what [send] gives to the routing duty. */
    fun counting(send: SendToRouting): SendToRouting = { input: RoutingInput ->
        if (input is RequestAdmitted) pace.updateAndGet { it.given(clock()) }
        val isSent = send(input)
        if (!isSent && input is RequestAdmitted) pace.updateAndGet { it.withdrawn() }
        isSent
    }

    /** The routing duty has worked on a new request. */
    fun onTaken() {
        pace.updateAndGet { it.taken(clock()) }
    }

    /** The routing duty has dropped a new request. */
    fun onDropped() {
        onTaken()
        onUnwanted()
    }

    /** A thread of connections takes over what the routing duty decided at [emitted]. */
    fun onHandedOver(emitted: Timestamp) {
        val now = clock()
        handover.set(MeasuredLateness(now, now - emitted))
    }
}
