/**
 * Collects whole requests. One that is too long is passed on without its body, so that it is refused after the responses to the
 * requests before it.
 */
package sniperoute.connection.http

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelPipeline
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpUtil

/**
 * Puts a [RequestAggregator] for the limit in force behind itself before each request that begins under another one. It belongs directly
 * before the aggregator.
 */
internal class AggregatorSwitch(private val currentLimits: CurrentLimits, private val isResponding: () -> Boolean) :
    ChannelInboundHandlerAdapter() {
    private var maxBytes = currentLimits().bodyBytes

    /** Returns the aggregator for the limit that is in force when the connection opens. */
    fun firstAggregator(): RequestAggregator = RequestAggregator(maxBytes, isResponding)

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message is HttpRequest) replaceIfChanged(context)
        context.fireChannelRead(message)
    }

    /** The aggregator holds nothing between the end of a request and the beginning of the next one. */
    private fun replaceIfChanged(context: ChannelHandlerContext) {
        val inForce = currentLimits().bodyBytes
        if (inForce == maxBytes) return
        maxBytes = inForce
        context.pipeline().replace(RequestAggregator::class.java, null, RequestAggregator(inForce, isResponding))
    }
}

internal class RequestAggregator(maxBytes: Int, private val isResponding: () -> Boolean) : HttpObjectAggregator(maxBytes, true) {
    override fun handleOversizedMessage(context: ChannelHandlerContext, oversized: HttpMessage) {
        val request = oversized as HttpRequest
        context.fireChannelRead(DefaultHttpRequest(request.protocolVersion(), request.method(), request.uri(), request.headers()))
    }

    /** Returns an interim response only where no other one is due before it, and to a request that is not too long. */
    override fun newContinueResponse(start: HttpMessage, maxContentLength: Int, pipeline: ChannelPipeline): Any? {
        val isInterim = !isResponding() && HttpUtil.is100ContinueExpected(start) && !isContentLengthInvalid(start, maxContentLength)
        return if (isInterim) super.newContinueResponse(start, maxContentLength, pipeline) else null
    }
}
