/**
 * What one caller's connection holds of the budget of its server.
 */
package sniperoute.connection.http

import io.netty.channel.Channel
import sniperoute.connection.http.decision.CONNECTION_BYTES
import sniperoute.connection.http.decision.CallerHolding
import sniperoute.process.clock.Clock
import sniperoute.process.clock.Timestamp
import java.net.InetSocketAddress
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** An unread response may be ended when its peer has read nothing for this long. */
private val UNREAD_TIME: Duration = 2.seconds

/**
 * The parts that a connection holds, set on its own thread: the head that it receives, the body that it collects, the requests that wait
 * or run, and the output that its peer hasn't read. [onYield] ends the connection on its thread.
 */
internal class CallerHolder(
    private val budget: CallerBudget,
    private val channel: Channel,
    private val outputWeight: Long,
    private val clock: Clock,
    private val onYield: () -> Unit,
) {
    private val peer = (channel.remoteAddress() as? InetSocketAddress)?.address?.hostAddress.orEmpty()
    private val charged = AtomicLong()

    @Volatile
    private var since: Timestamp = clock()

    /** When the peer last read of a response that isn't read completely, or `null` when there is none. */
    @Volatile
    private var unreadSince: Timestamp? = null

    @Volatile
    private var output = 0L

    @Volatile
    private var accounted = CONNECTION_BYTES

    /** Whether there is a response that the peer hasn't read, though it may still do so. */
    val isBeingRead: Boolean get() = unreadSince?.let { clock() - it < UNREAD_TIME } ?: false

    /** Whether the peer has left a response unread for so long that it counts as given up. */
    val isLeftUnread: Boolean get() = unreadSince != null && !isBeingRead

    /** Whether a request runs on the connection. */
    @Volatile
    var isRunning: Boolean = false

    /** Set when the connection yields: what it still receives is dropped. */
    @Volatile
    var isYielding: Boolean = false
        private set

    var head: Long = 0
        set(value) {
            if (field == 0L && body == 0L) since = clock()
            field = value
            account()
        }

    var body: Long = 0
        set(value) {
            field = value
            account()
        }

    var requests: Long = 0
        set(value) {
            field = value
            account()
        }

    init {
        charge()
    }

    private fun account() {
        val sum = CONNECTION_BYTES + head + body + requests
        if (sum == accounted) return
        accounted = sum
        charge()
    }

    /** Counts the output that is written and not taken by the peer's system. */
    fun countOutput() {
        val pending = channel
            .unsafe()
            .outboundBuffer()
            ?.totalPendingWriteBytes() ?: 0L
        if (pending == output) return
        unreadSince = if (pending == 0L) {
            null
        } else if (pending < output) {
            clock()
        } else {
            unreadSince ?: clock()
        }
        output = pending
        charge()
    }

    private fun charge() {
        if (isYielding) return
        val bytes = accounted + output * outputWeight
        budget.change(bytes - charged.getAndSet(bytes))
    }

    fun holding(now: Timestamp): CallerHolding<CallerHolder> {
        val unread = unreadSince
        val bytes = charged.get()
        val mayYield = (!isRunning || isLeftUnread) && !isYielding
        return CallerHolding(this, peer, bytes, now - (unread ?: since), mayYield, isIdle = bytes <= CONNECTION_BYTES)
    }

    /** Counts as ended at once, so that no other connection yields for the same bytes, and ends on the connection's thread. */
    fun yieldRoom() {
        close()
        if (channel.eventLoop().inEventLoop()) onYield() else channel.eventLoop().execute(onYield)
    }

    fun close() {
        isYielding = true
        budget.change(-charged.getAndSet(0))
        budget.close(this)
    }
}
