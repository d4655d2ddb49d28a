/**
 * Ends a caller's connection on which the head of a request stops half-way.
 */
package sniperoute.connection.http

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.concurrent.Future
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Allows [patience] from the first byte of a head to its end. [bytes] stands before the decoder, [messages] behind it. */
internal class HeadWatch(private val patience: Duration) {
    private var timer: Future<*>? = null
    private var isInBody = false

    val bytes = object : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            if (timer == null && !isInBody) {
                timer = context.executor().schedule({ context.close() }, patience.inWholeMilliseconds, TimeUnit.MILLISECONDS)
            }
            context.fireChannelRead(message)
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            stop()
            context.fireChannelInactive()
        }
    }

    val messages = object : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            if (message is HttpRequest) {
                stop()
                isInBody = true
            }
            if (message is LastHttpContent) isInBody = false
            context.fireChannelRead(message)
        }
    }

    private fun stop() {
        timer?.cancel(false)
        timer = null
    }
}
