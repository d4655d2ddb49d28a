/**
 * A timeout for the head of a request, for callers that do not finish sending one in time.
 */
package sniperoute.connection.http

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.concurrent.Future
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** A head was not complete in time. */
internal data object HeadTimedOut

/**
 * Fires [HeadTimedOut] when a head is not complete in time after its first byte, when [currentTimeout] is read. [bytes] belongs before
 * the decoder in the pipeline, and [messages] after it.
 */
internal class HeadTimeout(private val currentTimeout: () -> Duration) {
    private var timer: Future<*>? = null
    private var isInBody = false

    val bytes = object : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            if (timer == null && !isInBody) {
                timer =
                    context.executor().schedule(
                        { context.fireUserEventTriggered(HeadTimedOut) },
                        currentTimeout().inWholeMilliseconds,
                        TimeUnit.MILLISECONDS,
                    )
            }
            context.fireChannelRead(message)
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            cancelTimer()
            context.fireChannelInactive()
        }
    }

    val messages = object : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            if (message is HttpRequest) {
                cancelTimer()
                isInBody = true
            }
            if (message is LastHttpContent) isInBody = false
            context.fireChannelRead(message)
        }
    }

    private fun cancelTimer() {
        timer?.cancel(false)
        timer = null
    }
}
