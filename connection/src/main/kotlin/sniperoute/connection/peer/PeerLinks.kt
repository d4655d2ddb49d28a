/**
 * Links between own processes, over Ktor sockets: sealed frames in order, a heartbeat when there is nothing to say, and an
 * end to links on which nothing comes any more.
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

/** After this long without anything to send, an empty frame goes out. */
private val HEARTBEAT = 500.milliseconds

/** After this long without anything received, the link is taken for dead. */
internal val SILENCE: Duration = 1_500.milliseconds

/**
 * After this long without anything received, nothing more is written until the peer is heard again: it sends an empty frame at
 * least every [HEARTBEAT]. What a peer that is gone does not take would keep the writer busy for nothing.
 */
internal val HOLD_BACK: Duration = 700.milliseconds

private const val LARGEST_FRAME_BYTES = 256 * 1024 * 1024
private const val OUTBOX_CAPACITY = 4_096

/** An open link to [peer]. */
public class PeerLink internal constructor(public val peer: PeerName) {
    internal val outbox = Channel<Envelope>(OUTBOX_CAPACITY)
    private val refusedEnvelopes = LongAdder()

    /** The number of envelopes that [send] has refused. */
    public val refused: Long get() = refusedEnvelopes.sum()

    /** Returns whether [envelope] will be sent while the link lasts; a full or closed link refuses it. */
    public fun send(envelope: Envelope): Boolean {
        val taken = outbox.trySend(envelope).isSuccess
        if (!taken) refusedEnvelopes.increment()
        return taken
    }

    /** Ends the link. */
    public fun close() {
        outbox.close()
    }
}

/** When the peer of an open link was last heard. */
private class Pulse {
    private val news = Channel<Unit>(Channel.CONFLATED)

    @Volatile
    private var heard = TimeSource.Monotonic.markNow()

    fun beat() {
        heard = TimeSource.Monotonic.markNow()
        news.trySend(Unit)
    }

    /** Returns as soon as the peer was heard within [HOLD_BACK]. */
    suspend fun awaitPeer() {
        while (heard.elapsedNow() > HOLD_BACK) news.receive()
    }
}

/** What a process does with its links. */
public class PeerHandlers(
    public val opened: (PeerLink) -> Unit,
    public val received: (PeerLink, Envelope) -> Unit,
    public val closed: (PeerLink, reason: String) -> Unit,
    public val refused: (LinkRefused) -> Unit,
)

/** Runs a link until it ends, and returns why it did. */
internal suspend fun Socket.runLink(
    handshake: suspend LinkChannels.() -> Either<LinkRefused, Handshaken>,
    handlers: PeerHandlers,
) {
    val remoteHost = (remoteAddress.toJavaAddress() as InetSocketAddress).address.hostAddress
    val channels = LinkChannels(openReadChannel(), openWriteChannel(autoFlush = false), remoteHost)
    val outcome = withTimeoutOrNull(SILENCE) { channels.handshake() }
    outcome?.fold(
        ifLeft = handlers.refused,
        ifRight = { handshaken -> channels.exchange(handshaken, handlers, this) },
    ) ?: handlers.refused(LinkRefused("the handshake took too long"))
}

private suspend fun LinkChannels.exchange(handshaken: Handshaken, handlers: PeerHandlers, socket: Socket) {
    val link = PeerLink(handshaken.peer)
    val pulse = Pulse()
    handlers.opened(link)
    val reason = try {
        coroutineScope {
            val writer = launch { writeFrames(link, handshaken, pulse) }
            writer.invokeOnCompletion { socket.close() }
            readFrames(link, handshaken, handlers, pulse) ?: endSilently(link, writer)
        }
    } catch (failure: IOException) {
        failure.message ?: failure.javaClass.simpleName
    } finally {
        link.close()
    }
    handlers.closed(link, reason)
}

private suspend fun LinkChannels.writeFrames(link: PeerLink, handshaken: Handshaken, pulse: Pulse) {
    while (true) {
        val next = withTimeoutOrNull(HEARTBEAT) { link.outbox.receiveCatching() }
        if (next != null && next.isClosed) return
        pulse.awaitPeer()
        var content = next?.getOrNull()?.let { Envelope.serializer().encodeToBytes(it) } ?: ByteArray(0)
        while (true) {
            val sealed = handshaken.seals.seal(content)
            output.writeInt(sealed.size)
            output.writeByteArray(sealed)
            content = link.outbox
                .tryReceive()
                .getOrNull()
                ?.let { Envelope.serializer().encodeToBytes(it) } ?: break
        }
        output.flush()
    }
}

/** Returns why nothing more is read, or `null` when nothing came for [SILENCE]. */
private suspend fun LinkChannels.readFrames(link: PeerLink, handshaken: Handshaken, handlers: PeerHandlers, pulse: Pulse): String? {
    while (true) {
        val sealed = withTimeoutOrNull(SILENCE) { readFrame() } ?: return null
        pulse.beat()
        val content = handshaken.seals.openOrNull(sealed) ?: return refuse(link, handlers, "a frame was altered, replayed or lost")
        if (content.isEmpty()) continue
        val envelope =
            Envelope.serializer().decodeFromBytes(content).getOrNull() ?: return refuse(link, handlers, "a frame holds no envelope")
        handlers.received(link, envelope)
    }
}

/** A peer that is gone does not take what was written either: it is thrown away, or the socket would never be done with it. */
private fun LinkChannels.endSilently(link: PeerLink, writer: Job): String {
    link.close()
    writer.cancel()
    output.cancel(IOException("nothing came for $SILENCE"))
    return "nothing came for $SILENCE"
}

private fun refuse(link: PeerLink, handlers: PeerHandlers, reason: String): String {
    link.close()
    handlers.refused(LinkRefused("${link.peer.vm}: $reason"))
    return reason
}

private suspend fun LinkChannels.readFrame(): ByteArray {
    val size = input.readInt()
    if (size !in 1..LARGEST_FRAME_BYTES) throw IOException("a frame of $size bytes")
    return withTimeout(SILENCE) { input.readByteArray(size) }
}
