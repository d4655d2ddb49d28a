/**
 * Bounds what a caller may send before the head of a request is complete, and counts what the connection holds for it. What is received
 * is copied out of the read buffers, which would otherwise be kept as a whole for the few bytes of an unfinished line.
 */
package sniperoute.connection.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.DefaultHeaders
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpHeadersFactory
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import sniperoute.connection.http.decision.headCost
import sniperoute.connection.http.decision.maxHeaderLines
import sniperoute.connection.http.decision.maxReceivedHeadBytes

/** More was received than any head within the limits has, and still none is complete. */
internal data object HeadTooLong

/** [bytes] belongs before the decoder in the pipeline, and [messages] after it. It drops all that comes while it [isDropping]. */
internal class HeadGuard(
    private val currentLimits: CurrentLimits,
    private val holder: CallerHolder,
    private val headers: CountedHeadersFactory,
    private val isDropping: () -> Boolean,
) {
    /** The bytes since the head that is being received began, or a few more. */
    private var received = 0L
    private var isInBody = false

    /** The buffer that the decoder keeps for an unfinished line; it is released once all of it is decoded. */
    private var kept: ByteBuf = Unpooled.EMPTY_BUFFER

    val bytes = object : ChannelDuplexHandler() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            val buffer = message as ByteBuf
            if (isDropping()) {
                buffer.release()
                return
            }
            val count = buffer.readableBytes()
            val copy = buffer.toHeap()
            if (kept.isDecoded()) kept = copy
            received += count
            context.fireChannelRead(copy)
            if (isInBody) {
                received = 0
            } else if (received == 0L && isHeadBegun()) {
                received = count.toLong()
            }
            countHead(context)
        }

        override fun flush(context: ChannelHandlerContext) {
            context.flush()
            holder.countOutput()
        }
    }

    val messages = object : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            if (message is HttpRequest) {
                received = 0
                isInBody = true
                holder.head = 0
                headers.end()
            }
            if (message is LastHttpContent) {
                received = 0
                isInBody = false
            }
            context.fireChannelRead(message)
        }
    }

    private fun isHeadBegun() = headers.isBegun || !kept.isDecoded()

    private fun countHead(context: ChannelHandlerContext) {
        val limits = currentLimits()
        holder.head = headCost(received, headers.lines)
        if (received > maxReceivedHeadBytes(limits.initialLineBytes, limits.headerBytes)) context.fireUserEventTriggered(HeadTooLong)
    }

    private fun ByteBuf.isDecoded() = refCnt() == 0 || !isReadable

    private fun ByteBuf.toHeap(): ByteBuf = Unpooled.buffer(readableBytes()).also {
        it.writeBytes(this)
        release()
    }
}

/** Creates the headers of requests, or their trailers, and refuses more lines than any head within the limits has. */
internal class CountedHeadersFactory(private val defaults: DefaultHttpHeadersFactory, private val currentLimits: CurrentLimits) :
    HttpHeadersFactory {
    /** The lines of the headers that were created last. */
    var lines: Int = 0
        private set

    /** Whether headers were created since the last ones ended. */
    var isBegun: Boolean = false
        private set
    private var maxLines = 0

    /** The headers that were created last are complete. */
    fun end() {
        isBegun = false
        lines = 0
    }

    override fun newHeaders(): HttpHeaders {
        lines = 0
        isBegun = true
        maxLines = currentLimits().let { it.maxHeaderLines ?: maxHeaderLines(it.headerBytes) }
        return CountedHeaders(defaults.nameValidator, defaults.valueValidator, ::count)
    }

    override fun newEmptyHeaders(): HttpHeaders = newHeaders()

    private fun count() {
        lines += 1
        if (lines > maxLines) throw TooLongHttpHeaderException("the head has over $maxLines header lines")
    }
}

private class CountedHeaders(
    nameValidator: DefaultHeaders.NameValidator<CharSequence>,
    valueValidator: DefaultHeaders.ValueValidator<CharSequence>,
    private val count: () -> Unit,
) : DefaultHttpHeaders(nameValidator, valueValidator) {
    override fun add(name: CharSequence, value: Any): HttpHeaders {
        count()
        return super.add(name, value)
    }

    override fun add(name: String, value: Any): HttpHeaders {
        count()
        return super.add(name, value)
    }
}
