/**
 * Links between processes of the fleet over Ktor sockets: encrypted frames in order, heartbeats when there is nothing to send, and a
 * receive timeout, which ends half-open links.
 */
package sniperoute.connection.peer

import arrow.core.Either
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.network.sockets.toJavaAddress
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull
import sniperoute.connection.peer.codec.LinkCiphers
import sniperoute.connection.peer.message.Envelope
import sniperoute.connection.peer.message.PeerName
import sniperoute.process.codec.decodeFromBytes
import sniperoute.process.codec.encodeToBytes
import java.io.IOException
import java.net.InetSocketAddress
import java.util.concurrent.atomic.LongAdder
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** When there has been nothing to send for this long, an empty frame is sent as a heartbeat. */
private val HEARTBEAT_INTERVAL = 500.milliseconds

/** When nothing has been received for this long, the link ends. It also limits the handshake and the reading of one frame. */
internal val RECEIVE_TIMEOUT: Duration = 1_500.milliseconds

/**
 * When nothing has been received for this long, writing is suspended until the peer sends again, which it does at least every
 * [HEARTBEAT_INTERVAL]. Otherwise the writer would be busy with data that an unreachable peer does not read.
 */
internal val WRITE_SUSPENSION_DELAY: Duration = 700.milliseconds

private const val MAX_FRAME_BYTES = 256 * 1024 * 1024
private const val OUTBOX_CAPACITY = 4_096

/** An open link to [peer]. */
public class PeerLink internal constructor(public val peer: PeerName) {
    internal val outbox = Channel<Envelope>(OUTBOX_CAPACITY)
    private val refusedEnvelopes = LongAdder()

    /** The number of envelopes that [send] refused. */
    public val refused: Long get() = refusedEnvelopes.sum()

    /** Queues [envelope], which is sent unless the link ends before, or returns `false` when the queue is full or closed. */
    public fun send(envelope: Envelope): Boolean {
        val isAccepted = outbox.trySend(envelope).isSuccess
        if (!isAccepted) refusedEnvelopes.increment()
        return isAccepted
    }

    /** Ends the link. */
    public fun close() {
        outbox.close()
    }
}

/** The time of the last frame that was received on a link. */
private class LastReceived {
    private val updates = Channel<Unit>(Channel.CONFLATED)

    @Volatile
    private var time = TimeSource.Monotonic.markNow()

    fun update() {
        time = TimeSource.Monotonic.markNow()
        updates.trySend(Unit)
    }

    /** Suspends until a frame was received within the last [WRITE_SUSPENSION_DELAY]. */
    suspend fun awaitRecent() {
        while (time.elapsedNow() > WRITE_SUSPENSION_DELAY) updates.receive()
    }
}

/** The handlers of the events of links: opened, envelope received, closed, and refused before or while open. */
public class PeerHandlers(
    public val onOpened: (PeerLink) -> Unit,
    public val onReceived: (PeerLink, Envelope) -> Unit,
    public val onClosed: (PeerLink, reason: String) -> Unit,
    public val onRefused: (LinkRefused) -> Unit,
)

/** Performs the handshake, then runs the link until it ends. */
internal suspend fun Socket.runLink(
    handshake: suspend LinkChannels.() -> Either<LinkRefused, HandshakeResult>,
    handlers: PeerHandlers,
) {
    val remoteHost = (remoteAddress.toJavaAddress() as InetSocketAddress).address.hostAddress
    val channels = LinkChannels(openReadChannel(), openWriteChannel(autoFlush = false), remoteHost)
    val outcome = withTimeoutOrNull(RECEIVE_TIMEOUT) { channels.handshake() }
    outcome?.fold(
        ifLeft = handlers.onRefused,
        ifRight = { result -> channels.exchangeFrames(result, handlers, this) },
    ) ?: handlers.onRefused(LinkRefused("the handshake timed out"))
}

private suspend fun LinkChannels.exchangeFrames(handshake: HandshakeResult, handlers: PeerHandlers, socket: Socket) {
    val link = PeerLink(handshake.peer)
    val lastReceived = LastReceived()
    handlers.onOpened(link)
    val reason = try {
        coroutineScope {
            val writer = launch { writeFrames(link, handshake.ciphers, lastReceived) }
            writer.invokeOnCompletion { socket.close() }
            readFrames(link, handshake.ciphers, handlers, lastReceived) ?: endTimedOut(link, writer)
        }
    } catch (failure: IOException) {
        failure.message ?: failure.javaClass.simpleName
    } finally {
        link.close()
    }
    handlers.onClosed(link, reason)
}

private suspend fun LinkChannels.writeFrames(link: PeerLink, ciphers: LinkCiphers, lastReceived: LastReceived) {
    while (true) {
        val next = withTimeoutOrNull(HEARTBEAT_INTERVAL) { link.outbox.receiveCatching() }
        if (next != null && next.isClosed) return
        lastReceived.awaitRecent()
        var content = next?.getOrNull()?.let { Envelope.serializer().encodeToBytes(it) } ?: ByteArray(0)
        while (true) {
            val frame = ciphers.encrypt(content)
            output.writeInt(frame.size)
            output.writeByteArray(frame)
            content = link.outbox
                .tryReceive()
                .getOrNull()
                ?.let { Envelope.serializer().encodeToBytes(it) } ?: break
        }
        output.flush()
    }
}

/** Reads frames until one is invalid, and returns the reason, or `null` when nothing was received for [RECEIVE_TIMEOUT]. */
private suspend fun LinkChannels.readFrames(
    link: PeerLink,
    ciphers: LinkCiphers,
    handlers: PeerHandlers,
    lastReceived: LastReceived,
): String? {
    while (true) {
        val frame = withTimeoutOrNull(RECEIVE_TIMEOUT) { readFrame() } ?: return null
        lastReceived.update()
        val content = ciphers.decryptOrNull(frame) ?: return refuse(link, handlers, "a frame was altered, replayed or lost")
        if (content.isEmpty()) continue
        val envelope =
            Envelope.serializer().decodeFromBytes(content).getOrNull() ?: return refuse(link, handlers, "a frame contains no envelope")
        handlers.onReceived(link, envelope)
    }
}

/** Ends a link after the receive timeout. Unsent data is discarded: an unreachable peer never reads it, so the socket would not close. */
private fun LinkChannels.endTimedOut(link: PeerLink, writer: Job): String {
    val reason = "nothing was received for $RECEIVE_TIMEOUT"
    link.close()
    writer.cancel()
    output.cancel(IOException(reason))
    return reason
}

private fun refuse(link: PeerLink, handlers: PeerHandlers, reason: String): String {
    link.close()
    handlers.onRefused(LinkRefused("${link.peer.vm}: $reason"))
    return reason
}

private suspend fun LinkChannels.readFrame(): ByteArray {
    val size = input.readInt()
    if (size !in 1..MAX_FRAME_BYTES) throw IOException("a frame has $size bytes, not 1 to $MAX_FRAME_BYTES")
    return withTimeout(RECEIVE_TIMEOUT) { input.readByteArray(size) }
}
