/**
 * Collects whole requests. One that is too long is passed on without its body, so that it is refused after the responses to the
 * requests before it. Bodies are copied to the heap as they arrive, so that no caller keeps a read buffer.
 */
package sniperoute.connection.http

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil

/** A request with its whole [body], or without one that [isTooLong]. */
internal class CollectedRequest(val request: HttpRequest, val body: ByteArray, val isTooLong: Boolean = false)

private const val FIRST_BODY_BYTES = 1_024
private val noBytes = ByteArray(0)

/** Bytes that grow until they are [declared], if that is known. */
private class GrowingBody(private val declared: Int) {
    private var bytes = noBytes
    private var size = 0

    val capacity: Int get() = bytes.size

    fun add(content: HttpContent) {
        val count = content.content().readableBytes()
        if (size + count > bytes.size) bytes = bytes.copyOf(maxOf(size + count, grownCapacity()))
        content.content().readBytes(bytes, size, count)
        size += count
    }

    private fun grownCapacity(): Int = maxOf(FIRST_BODY_BYTES, 2 * bytes.size).let { if (declared > 0) minOf(it, declared) else it }

    fun toBytes(): ByteArray = if (size == bytes.size) bytes else bytes.copyOf(size)
}

/** Collects requests for a connection; each is held to the limit on bodies that is in force when it begins. */
internal class RequestCollector(
    private val currentLimits: CurrentLimits,
    private val holder: CallerHolder,
    private val isResponding: () -> Boolean,
    private val onBodyReceived: () -> Unit,
) : ChannelInboundHandlerAdapter() {
    /** The request whose body is being received, or `null` between requests and while a body is dropped. */
    private var request: HttpRequest? = null
    private var body = GrowingBody(0)
    private var received = 0L
    private var maxBytes = 0

    /** The head of the request that is being received, or `null`. */
    val incomplete: HttpRequest? get() = request

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            if (message is HttpRequest) begin(context, message)
            if (message is HttpContent) add(context, message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun begin(context: ChannelHandlerContext, started: HttpRequest) {
        request = null
        if (started.decoderResult().isFailure) return pass(context, CollectedRequest(started, noBytes))
        maxBytes = currentLimits().bodyBytes
        val declared = HttpUtil.getContentLength(started, 0L)
        if (declared > maxBytes) return pass(context, CollectedRequest(started, noBytes, isTooLong = true))
        if (HttpUtil.is100ContinueExpected(started) && !isResponding()) {
            started.headers().remove(HttpHeaderNames.EXPECT)
            context.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
        }
        request = started
        received = 0
        body = GrowingBody(declared.toInt())
    }

    private fun add(context: ChannelHandlerContext, content: HttpContent) {
        val started = request ?: return
        if (content.decoderResult().isFailure) {
            started.decoderResult = content.decoderResult()
            return pass(context, CollectedRequest(started, noBytes))
        }
        received += content.content().readableBytes()
        if (received > maxBytes) return pass(context, CollectedRequest(started, noBytes, isTooLong = true))
        body.add(content)
        if (content is LastHttpContent) return pass(context, CollectedRequest(started, body.toBytes()))
        holder.body = body.capacity.toLong()
        onBodyReceived()
    }

    private fun pass(context: ChannelHandlerContext, collected: CollectedRequest) {
        drop()
        context.fireChannelRead(collected)
    }

    /** Forgets what is received of a body. */
    fun drop() {
        request = null
        body = GrowingBody(0)
        holder.body = 0
    }
}
