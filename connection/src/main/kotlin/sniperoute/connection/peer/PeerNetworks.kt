/**
 * Listening for links and dialing them, on a small fixed pool of named threads.
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
private val SHORTEST_WAIT = 50.milliseconds
private val LONGEST_WAIT = 500.milliseconds
private val CONNECT_PATIENCE = 1_000.milliseconds

/** A place where a process of the fleet listens. */
public data class PeerAddress(public val vm: VmName, public val host: String, public val port: Int)

/** The threads on which all links of a process run. */
public class PeerNetwork internal constructor() {
    private val executor = Executors.newFixedThreadPool(THREADS, namedThreads("peer"))
    private val dispatcher = executor.asCoroutineDispatcher()
    internal val selector = SelectorManager(dispatcher)
    internal val scope = CoroutineScope(SupervisorJob() + dispatcher)

    /** Ends all links and threads. */
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
 * @throws IOException if the address can't be bound
 */
public fun PeerNetwork.listen(self: PeerName, host: String, port: Int, trust: PeerAuthentication, handlers: PeerHandlers) {
    val listener = runBlocking { aSocket(selector).tcp().bind(InetSocketAddress(host, port)) { reuseAddress = true } }
    scope.launch {
        while (true) {
            val socket = listener.accept()
            launch {
                contained(handlers) { socket.use { it.runLink({ accept(self, trust) }, handlers) } }
            }
        }
    }
}

/** A link that is kept open. */
public class ReconnectingLink internal constructor(private val job: Job) {
    /** Ends the link and dials no more. */
    public fun stop(): Unit = job.cancel()
}

/** Keeps a link from [self] to [target] open, dialing again with growing pauses whenever it ends, until the result is stopped. */
public fun PeerNetwork.dial(self: PeerName, target: PeerAddress, trust: PeerAuthentication, handlers: PeerHandlers): ReconnectingLink {
    val job = scope.launch {
        var wait = SHORTEST_WAIT
        val remembering = handlers.whenOpened { wait = SHORTEST_WAIT }
        while (true) {
            contained(handlers) {
                val address = InetSocketAddress(target.host, target.port)
                val socket = withTimeout(CONNECT_PATIENCE) { aSocket(selector).tcp().connect(address) { noDelay = true } }
                socket.use { it.runLink({ dial(self, target.vm, trust) }, remembering) }
            }
            delay(wait)
            wait = minOf(wait * 2, LONGEST_WAIT)
        }
    }
    return ReconnectingLink(job)
}

private fun PeerHandlers.whenOpened(action: () -> Unit): PeerHandlers = PeerHandlers(
    opened = { link ->
        action()
        opened(link)
    },
    received = received,
    closed = closed,
    refused = refused,
)

/** Runs [action]; what ends one link must not end the others. */
private suspend fun contained(handlers: PeerHandlers, action: suspend () -> Unit) {
    @Suppress("TooGenericExceptionCaught")
    try {
        action()
    } catch (_: IOException) {
        // The link is gone; the dialer tries again.
    } catch (_: TimeoutCancellationException) {
        // Nobody answered in time; the dialer tries again.
    } catch (failure: CancellationException) {
        throw failure
    } catch (failure: Exception) {
        handlers.refused(LinkRefused("the link failed: $failure"))
    }
}
