/**
 * Listens for links and dials them, on a small fixed pool of named threads.
 */
package sniperoute.connection.peer

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import sniperoute.connection.peer.message.PeerName
import sniperoute.process.duty.namedThreads
import sniperoute.process.identity.VmName
import java.io.IOException
import java.util.concurrent.Executors
import kotlin.time.Duration.Companion.milliseconds

private const val THREADS = 3
private val MIN_DIAL_BACKOFF = 50.milliseconds
private val MAX_DIAL_BACKOFF = 500.milliseconds
private val CONNECT_TIMEOUT = 1_000.milliseconds

/** The address at which a process of the fleet listens for links. */
public data class PeerAddress(public val vm: VmName, public val host: String, public val port: Int)

/** The threads on which all links of a process run. */
public class PeerNetwork internal constructor() {
    private val executor = Executors.newFixedThreadPool(THREADS, namedThreads("peer"))
    private val dispatcher = executor.asCoroutineDispatcher()
    internal val selector = SelectorManager(dispatcher)
    internal val scope = CoroutineScope(SupervisorJob() + dispatcher)

    /** Ends all links and stops the threads. */
    public fun close() {
        scope.cancel()
        selector.close()
        executor.shutdownNow()
    }
}

/** Returns a network without links. */
public fun newPeerNetwork(): PeerNetwork = PeerNetwork()

/**
 * Listens at [host] and [port] for links to [self].
 *
 * @throws IOException if the address cannot be bound
 */
public fun PeerNetwork.listen(self: PeerName, host: String, port: Int, authentication: PeerAuthentication, handlers: PeerHandlers) {
    val listener = runBlocking { aSocket(selector).tcp().bind(InetSocketAddress(host, port)) { reuseAddress = true } }
    scope.launch {
        while (true) {
            val socket = listener.accept()
            launch {
                isolateFailures(handlers) { socket.use { it.runLink({ accept(self, authentication) }, handlers) } }
            }
        }
    }
}

/** A link that is dialed again whenever it ends. */
public class ReconnectingLink internal constructor(private val job: Job) {
    /** Ends the link and stops dialing. */
    public fun stop(): Unit = job.cancel()
}

/** Dials a link from [self] to [target], and again with exponential backoff whenever it ends, until the returned link is stopped. */
public fun PeerNetwork.dial(
    self: PeerName,
    target: PeerAddress,
    authentication: PeerAuthentication,
    handlers: PeerHandlers,
): ReconnectingLink {
    val job = scope.launch {
        var backoff = MIN_DIAL_BACKOFF
        val handlersWithReset = handlers.alsoOnOpened { backoff = MIN_DIAL_BACKOFF }
        while (true) {
            isolateFailures(handlers) {
                val address = InetSocketAddress(target.host, target.port)
                val socket = withTimeout(CONNECT_TIMEOUT) { aSocket(selector).tcp().connect(address) { noDelay = true } }
                socket.use { it.runLink({ dial(self, target.vm, authentication) }, handlersWithReset) }
            }
            delay(backoff)
            backoff = minOf(backoff * 2, MAX_DIAL_BACKOFF)
        }
    }
    return ReconnectingLink(job)
}

private fun PeerHandlers.alsoOnOpened(action: () -> Unit): PeerHandlers = PeerHandlers(
    onOpened = { link ->
        action()
        onOpened(link)
    },
    onReceived = onReceived,
    onClosed = onClosed,
    onRefused = onRefused,
)

/** Runs [action] and catches its exceptions, so that the failure of one link does not end the others. */
private suspend fun isolateFailures(handlers: PeerHandlers, action: suspend () -> Unit) {
    @Suppress("TooGenericExceptionCaught")
    try {
        action()
    } catch (_: IOException) {
        // The connection failed; the dialer connects again.
    } catch (_: TimeoutCancellationException) {
        // The peer did not respond in time; the dialer connects again.
    } catch (failure: CancellationException) {
        throw failure
    } catch (failure: Exception) {
        handlers.onRefused(LinkRefused("the link failed: $failure"))
    }
}
