/**
 * An exchange over a connection of Netty. It holds the rule for all front ends that a response stands alone: nothing is written into
 * one that has started, and one that is not whole is seen to be broken.
 */
package sniperoute.connection.http

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOption
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import sniperoute.connection.http.codec.errorResponse
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

private enum class ResponseState { NEW, STARTED, ENDED }

/** An exchange whose streamed response is sent in chunks if it [isChunkable], and else ends with the connection. */
internal class NettyExchange(
    private val context: ChannelHandlerContext,
    override val head: RequestHead,
    override val body: ByteArray,
    private val isChunkable: Boolean,
    private val mayKeepAlive: () -> Boolean,
    private val onResponded: (isLast: Boolean) -> Unit,
) : Exchange {
    var listener: CallerConnectionListener? = null
        private set
    private var state = ResponseState.NEW
    private var endsWithConnection = false
    private val keepAlive: Boolean by lazy(LazyThreadSafetyMode.NONE) { !endsWithConnection && mayKeepAlive() }

    override fun respond(head: ResponseHead, content: ByteArray) = inState(ResponseState.NEW) {
        val status = HttpResponseStatus.valueOf(head.status)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(content))
        response.headers().addAll(head.headers)
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.size)
        if (!keepAlive) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        finish(response)
    }

    override fun startResponse(head: ResponseHead) = inState(ResponseState.NEW) {
        state = ResponseState.STARTED
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(head.status))
        response.headers().addAll(head.headers)
        if (isChunkable) {
            response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        } else {
            endsWithConnection = true
            resetOnClose(true)
        }
        if (!keepAlive) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        context.write(response)
    }

    override fun send(content: ByteArray) = inState(ResponseState.STARTED) {
        context.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(content)))
    }

    override fun end() = inState(ResponseState.STARTED) { finish(LastHttpContent.EMPTY_LAST_CONTENT) }

    override fun abort() = onConnectionThread {
        if (state != ResponseState.ENDED) {
            state = ResponseState.ENDED
            // From the first context, the TLS handler is passed by: its closing alert would mark the content as complete.
            context.pipeline().firstContext()?.close()
        }
    }

    /** The one place that keeps a response from standing in another one: only a call that the state expects reaches the connection. */
    private fun inState(expected: ResponseState, action: () -> Unit) = onConnectionThread {
        when (state) {
            expected -> action()
            ResponseState.ENDED -> Unit
            else -> {
                val actual = state
                abort()
                error("the response is $actual, not $expected")
            }
        }
    }

    /** Ends the exchange after a fault of its handler: whether the request ran is not known. */
    fun fail() {
        val error = errorResponse(HttpStatus.INTERNAL_ERROR, "internal_error", "the request could not be handled", "may-have-run")
        if (state == ResponseState.NEW) respond(error.head, error.content) else abort()
    }

    override fun setListener(listener: CallerConnectionListener) = onConnectionThread {
        this.listener = listener
        if (!context.channel().isActive) listener.onDisconnected()
    }

    override fun onConnectionThread(action: () -> Unit) {
        val executor = context.executor()
        if (executor.inEventLoop()) action() else executor.execute(action)
    }

    override fun after(delay: Duration, action: () -> Unit): CancelTimer {
        val timer = context.executor().schedule(action, delay.inWholeMilliseconds.coerceAtLeast(0), TimeUnit.MILLISECONDS)
        return { timer.cancel(false) }
    }

    private fun finish(last: Any) {
        state = ResponseState.ENDED
        listener = null
        context.writeAndFlush(last).addListener { if (it.isSuccess && endsWithConnection) resetOnClose(false) }
        onResponded(!keepAlive)
    }

    /** While content ends with the connection, each other end of the connection, as that of the process, must be a reset. */
    private fun resetOnClose(isEnabled: Boolean) {
        context.channel().config().setOption(ChannelOption.SO_LINGER, if (isEnabled) 0 else -1)
    }
}
