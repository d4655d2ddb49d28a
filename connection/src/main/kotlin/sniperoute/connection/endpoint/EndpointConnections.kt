/**
 * A connection to an endpoint, and the call that it serves.
 */
package sniperoute.connection.endpoint

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.concurrent.ScheduledFuture
import sniperoute.connection.endpoint.message.CallCompleted
import sniperoute.connection.endpoint.message.CallFailed
import sniperoute.connection.endpoint.message.CallFailure
import sniperoute.connection.endpoint.message.ContentReceived
import sniperoute.connection.endpoint.message.EndpointAddress
import sniperoute.connection.endpoint.message.EndpointCall
import sniperoute.connection.endpoint.message.OnCallEvent
import sniperoute.connection.endpoint.message.ResponseStarted
import sniperoute.connection.http.ResponseHead
import sniperoute.connection.http.addAll
import sniperoute.connection.http.toImmutable
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private const val MAX_INTERIM_RESPONSES = 16

/** The call that a connection serves now, and the progress of its request and response. */
private class ServedCall(val call: EndpointCall, val onEvent: OnCallEvent) {
    var hasResponseHead = false
    var interimResponses = 0
    var isInterim = false
    var contentBytes = 0L
    var isReusable = false
    var isRequestWritten = false
    var keepAliveTimeout: Duration? = null
}

internal class EndpointConnection(
    private val address: EndpointAddress,
    private val pool: ConnectionPool,
    private val requestIdHeader: RequestIdHeader,
) : SimpleChannelInboundHandler<HttpObject>() {
    private lateinit var context: ChannelHandlerContext
    private var served: ServedCall? = null
    private var idleTimer: ScheduledFuture<*>? = null

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
    }

    /** Sends [call]; the connection must be idle. */
    fun begin(call: EndpointCall, onEvent: OnCallEvent) {
        check(served == null) { "the connection to $address serves another call already" }
        val current = ServedCall(call, onEvent)
        served = current
        val request = try {
            call.toRequest(requestIdHeader)
        } catch (failure: IllegalArgumentException) {
            return fail(CallFailure.NOT_SENT, "the request can't be encoded: ${failure.message}")
        }
        restartIdleTimer()
        context.writeAndFlush(request).addListener { written ->
            current.isRequestWritten = written.isSuccess
            if (!written.isSuccess && served === current) {
                fail(CallFailure.BROKEN, written.cause()?.message ?: "the request could not be written")
            }
        }
    }

    /** Cancels [call], if the connection still serves it. */
    fun cancel(call: EndpointCall) {
        if (served?.call !== call) return
        served = null
        close()
    }

    /** Starts or stops reading, if the connection serves [call] or [call] is `null`. */
    fun setReading(isEnabled: Boolean, call: EndpointCall? = null) {
        if (call != null && served?.call !== call) return
        context.channel().config().isAutoRead = isEnabled
        if (isEnabled) restartIdleTimer() else idleTimer?.cancel(false)
    }

    override fun channelRead0(context: ChannelHandlerContext, message: HttpObject) {
        val current = served ?: return close()
        restartIdleTimer()
        if (message.decoderResult().isFailure) {
            return fail(CallFailure.MALFORMED, message.decoderResult().cause().message ?: "the response cannot be parsed")
        }
        if (message is HttpResponse) {
            current.isInterim = message.status().codeClass() == HttpStatusClass.INFORMATIONAL
            if (current.isInterim) onInterimResponse(current) else onResponseHead(current, message)
        }
        if (message is HttpContent && served === current && !current.isInterim) onContent(current, message)
    }

    /** Interim responses are skipped; they say nothing about the final one. */
    private fun onInterimResponse(current: ServedCall) {
        current.interimResponses += 1
        if (current.interimResponses > MAX_INTERIM_RESPONSES) fail(CallFailure.MALFORMED, "too many interim responses")
    }

    private fun onResponseHead(current: ServedCall, response: HttpResponse) {
        val receivedId = response.headers().get(requestIdHeader.name)
        val expectedId = current.call.requestId
        val isMismatch = expectedId != null && receivedId != expectedId && (receivedId != null || requiresRequestId(response))
        if (current.hasResponseHead || isMismatch) {
            return fail(CallFailure.CROSSED, "the response has request ID $receivedId instead of $expectedId")
        }
        current.hasResponseHead = true
        current.isReusable = HttpUtil.isKeepAlive(response) &&
            (HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response))
        current.keepAliveTimeout = response
            .headers()
            .get(HttpHeaderNames.KEEP_ALIVE)
            ?.let(keepAliveTimeoutPattern::find)
            ?.let { it.groupValues[1].toInt().seconds }
        current.onEvent(ResponseStarted(ResponseHead(response.status().code(), response.headers().toImmutable())))
    }

    private fun requiresRequestId(response: HttpResponse): Boolean =
        requestIdHeader.isRequired && response.status().codeClass() == HttpStatusClass.SUCCESS

    private fun onContent(current: ServedCall, content: HttpContent) {
        if (content.content().isReadable) {
            current.contentBytes += content.content().readableBytes()
            val maxBytes = current.call.maxContentBytes
            if (maxBytes != null && current.contentBytes > maxBytes) {
                return fail(CallFailure.MALFORMED, "the response is longer than $maxBytes bytes")
            }
            val bytes = ByteArray(content.content().readableBytes())
            content.content().readBytes(bytes)
            current.onEvent(ContentReceived(bytes))
        }
        if (content is LastHttpContent && served === current) complete(current)
    }

    private fun complete(current: ServedCall) {
        served = null
        idleTimer?.cancel(false)
        context.channel().config().isAutoRead = true
        val isReusable = current.isReusable && current.isRequestWritten
        if (isReusable) pool.release(address, context.channel(), current.keepAliveTimeout) else context.close()
        current.onEvent(CallCompleted)
    }

    private fun fail(failure: CallFailure, reason: String) {
        val current = served ?: return
        served = null
        close()
        if (failure == CallFailure.SILENT) pool.evictAll(address)
        current.onEvent(CallFailed(failure, reason))
    }

    private fun close() {
        idleTimer?.cancel(false)
        context.close()
    }

    private fun restartIdleTimer() {
        idleTimer?.cancel(false)
        val timeout = served?.call?.idleTimeout ?: return
        idleTimer = context.executor().schedule(
            { fail(CallFailure.SILENT, "no data was received for $timeout") },
            timeout.inWholeMilliseconds,
            TimeUnit.MILLISECONDS,
        )
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        pool.remove(address, context.channel())
        fail(CallFailure.BROKEN, "the connection was closed")
    }

    @Deprecated("overrides a method that Netty deprecates")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        fail(CallFailure.BROKEN, cause.message ?: cause.javaClass.simpleName)
    }
}

private val keepAliveTimeoutPattern = Regex("timeout=(\\d{1,6})")

private fun EndpointCall.toRequest(requestIdHeader: RequestIdHeader): DefaultFullHttpRequest {
    val content = Unpooled.wrappedBuffer(body)
    val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), target, content)
    request.headers().addAll(headers)
    if (!request.headers().contains(HttpHeaderNames.HOST)) {
        request.headers().set(HttpHeaderNames.HOST, "${address.host}:${address.port}")
    }
    if (body.isNotEmpty() || method != "GET") request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.size)
    requestId?.let { request.headers().set(requestIdHeader.name, it) }
    return request
}
