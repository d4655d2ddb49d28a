/**
 * Links between processes of the fleet: envelopes in order over a connection, as encrypted frames, with heartbeats when there is nothing
 * to send and a receive timeout, which ends half-open links.
 */
package sniperoute.connection.peer

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.ByteToMessageDecoder
import io.netty.handler.codec.CorruptedFrameException
import io.netty.handler.codec.DecoderException
import io.netty.util.concurrent.Future
import sniperoute.connection.peer.codec.LinkCiphers
import sniperoute.connection.peer.decision.LinkTimes
import sniperoute.connection.peer.decision.RECEIVE_TIMEOUT
import sniperoute.connection.peer.decision.hasTimedOut
import sniperoute.connection.peer.decision.isHeartbeatDue
import sniperoute.connection.peer.decision.mayWrite
import sniperoute.connection.peer.decision.untilNextCheck
import sniperoute.connection.peer.message.Envelope
import sniperoute.connection.peer.message.PeerName
import sniperoute.process.codec.decodeFromBytes
import sniperoute.process.codec.encodeToBytes
import java.io.IOException
import java.net.InetSocketAddress
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.LongAdder
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

private const val MAX_FRAME_BYTES = 256 * 1024 * 1024
private const val OUTBOX_CAPACITY = 4_096

/** A longer frame is handed to the socket in parts, each of which takes so much direct memory. */
private const val MAX_WRITE_BYTES = 64 * 1024

/** An open link to [peer]. */
public class PeerLink internal constructor(public val peer: PeerName, private val channel: Channel) {
    private val outbox = ArrayBlockingQueue<Envelope>(OUTBOX_CAPACITY)
    private val refusedEnvelopes = LongAdder()
    private val isWriteRequested = AtomicBoolean()

    @Volatile
    private var isClosed = false

    /** The number of envelopes that [send] refused. */
    public val refused: Long get() = refusedEnvelopes.sum()

    /** Queues [envelope], which is sent unless the link ends before, or returns `false` when the queue is full or the link closed. */
    public fun send(envelope: Envelope): Boolean {
        val isAccepted = !isClosed && outbox.offer(envelope)
        if (isAccepted) requestWrite() else refusedEnvelopes.increment()
        return isAccepted
    }

    /** Ends the link once the queued envelopes were sent. */
    public fun close() {
        isClosed = true
        requestWrite()
    }

    private fun requestWrite() {
        if (!isWriteRequested.compareAndSet(false, true)) return
        channel.eventLoop().execute { channel.pipeline().get(PeerConnection::class.java)?.writeQueued() }
    }

    /** Returns the next queued envelope, or `null` when there is none. Envelopes that are queued after that request another write. */
    internal fun pollOrNull(): Envelope? {
        isWriteRequested.set(false)
        return outbox.poll()
    }

    /** Whether the link was closed and everything before was polled. */
    internal val isFinished: Boolean get() = isClosed && outbox.isEmpty()

    internal fun discardQueued() {
        isClosed = true
        outbox.clear()
    }
}

/** The handlers of the events of links: opened, envelope received, closed, and refused before or while open. */
public class PeerHandlers(
    public val onOpened: (PeerLink) -> Unit,
    public val onReceived: (PeerLink, Envelope) -> Unit,
    public val onClosed: (PeerLink, reason: String) -> Unit,
    public val onRefused: (LinkRefused) -> Unit,
)

/** Decodes frames: a length of four bytes, then as many bytes. Until the peer is authenticated, only short ones are accepted. */
internal class FrameDecoder : ByteToMessageDecoder() {
    private var maxBytes = MAX_HANDSHAKE_BYTES

    fun acceptLongFrames() {
        maxBytes = MAX_FRAME_BYTES
    }

    override fun decode(context: ChannelHandlerContext, input: ByteBuf, output: MutableList<Any>) {
        if (input.readableBytes() < Int.SIZE_BYTES) return
        val size = input.getInt(input.readerIndex())
        if (size !in 1..maxBytes) throw CorruptedFrameException("$size bytes, not 1 to $maxBytes")
        if (input.readableBytes() < Int.SIZE_BYTES + size) return
        input.skipBytes(Int.SIZE_BYTES)
        output += ByteArray(size).also { input.readBytes(it) }
    }
}

/** Starts the handshake of a connection to a process at the host. */
internal typealias StartHandshake = (remoteHost: String) -> HandshakeStep

/** Performs the handshake, then runs the link until it ends. It is used on the thread of its connection only. */
internal class PeerConnection(
    private val startHandshake: StartHandshake,
    private val handlers: PeerHandlers,
    private val decoder: FrameDecoder,
) : ChannelInboundHandlerAdapter() {
    private val opened = TimeSource.Monotonic.markNow()
    private lateinit var channel: Channel
    private lateinit var handshake: HandshakeStep
    private lateinit var nextCheck: Future<*>
    private var link: PeerLink? = null
    private var ciphers: LinkCiphers? = null
    private var times = LinkTimes()
    private var hasEnded = false

    override fun channelActive(context: ChannelHandlerContext) {
        channel = context.channel()
        nextCheck = channel.eventLoop().schedule(::endTimedOutHandshake, RECEIVE_TIMEOUT.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        proceed(startHandshake((channel.remoteAddress() as InetSocketAddress).address.hostAddress))
    }

    private fun endTimedOutHandshake() {
        if (link == null) refuse("the handshake timed out")
    }

    private fun proceed(step: HandshakeStep) {
        handshake = step
        step.message?.let {
            writeFrame(it)
            channel.flush()
        }
        step.result?.let(::open)
    }

    private fun open(result: HandshakeResult) {
        nextCheck.cancel(false)
        decoder.acceptLongFrames()
        times = LinkTimes(received = opened.elapsedNow(), sent = opened.elapsedNow())
        ciphers = result.ciphers
        val newLink = PeerLink(result.peer, channel)
        link = newLink
        handlers.onOpened(newLink)
        scheduleCheck()
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (hasEnded) return
        val frame = message as ByteArray
        val open = link ?: return handshake.onMessage(frame).fold({ refuse(it.reason) }, ::proceed)
        val content = checkNotNull(ciphers) { "an open link has ciphers" }.decryptOrNull(frame)
            ?: return refuse("${open.peer.vm}: a frame was altered, replayed or lost")
        if (content.isEmpty()) return
        Envelope.serializer().decodeFromBytes(content).fold(
            { refuse("${open.peer.vm}: a frame contains no envelope") },
            { handlers.onReceived(open, it) },
        )
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        if (link == null) return
        val wasSuspended = !times.mayWrite(opened.elapsedNow())
        times = times.copy(received = opened.elapsedNow())
        if (wasSuspended) writeQueued()
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext): Unit = writeQueued()

    /** Writes what is queued, as far as the connection takes it now; it goes on when the connection becomes writable again. */
    fun writeQueued() {
        val open = link
        if (open == null || hasEnded || !channel.isWritable || !times.mayWrite(opened.elapsedNow())) return
        var hasWritten = false
        while (channel.isWritable) {
            val envelope = open.pollOrNull() ?: break
            writeContent(Envelope.serializer().encodeToBytes(envelope))
            hasWritten = true
        }
        if (hasWritten) channel.flush()
        if (open.isFinished) channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE)
    }

    private fun writeContent(content: ByteArray) {
        writeFrame(checkNotNull(ciphers) { "an open link has ciphers" }.encrypt(content))
        times = times.copy(sent = opened.elapsedNow())
    }

    private fun writeFrame(frame: ByteArray) {
        channel.write(Unpooled.buffer(Int.SIZE_BYTES).writeInt(frame.size))
        for (start in frame.indices step MAX_WRITE_BYTES) {
            channel.write(Unpooled.wrappedBuffer(frame, start, minOf(MAX_WRITE_BYTES, frame.size - start)))
        }
    }

    private fun scheduleCheck() {
        val delay = times.untilNextCheck(opened.elapsedNow()).coerceAtLeast(MIN_CHECK_DELAY)
        nextCheck = channel.eventLoop().schedule(::check, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun check() {
        val now = opened.elapsedNow()
        when {
            hasEnded -> return
            times.hasTimedOut(now) -> return end("nothing was received for $RECEIVE_TIMEOUT")
            times.isHeartbeatDue(now) && channel.isWritable -> {
                writeContent(ByteArray(0))
                channel.flush()
            }
        }
        scheduleCheck()
    }

    override fun channelInactive(context: ChannelHandlerContext): Unit = end("the peer closed the connection")

    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        val invalidFrame = (cause as? DecoderException)?.let { it.cause as? CorruptedFrameException ?: it as? CorruptedFrameException }
        when {
            invalidFrame != null && link == null -> refuse("a handshake message has ${invalidFrame.message}")
            invalidFrame != null -> end("a frame has ${invalidFrame.message}")
            cause is IOException -> end(cause.message ?: cause.javaClass.simpleName)
            else -> refuse("the link failed: $cause")
        }
    }

    private fun refuse(reason: String) {
        if (!hasEnded) handlers.onRefused(LinkRefused(reason))
        end(reason)
    }

    private fun end(reason: String) {
        if (hasEnded) return
        hasEnded = true
        if (::nextCheck.isInitialized) nextCheck.cancel(false)
        channel.close()
        val open = link ?: return
        open.discardQueued()
        handlers.onClosed(open, reason)
    }
}

/** A check that is due sooner is made after this time. */
private val MIN_CHECK_DELAY: Duration = 1.milliseconds
