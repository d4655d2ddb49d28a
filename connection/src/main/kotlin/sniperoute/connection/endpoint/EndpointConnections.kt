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
import sniperoute.connection.endpoint.decision.add
import sniperoute.connection.endpoint.decision.isAnswered
import sniperoute.connection.endpoint.decision.mayCarry
import sniperoute.connection.endpoint.decision.mayCarryMore
import sniperoute.connection.endpoint.decision.noCarriedCalls
import sniperoute.connection.endpoint.message.CallCompleted
import sniperoute.connection.endpoint.message.CallFailed
import sniperoute.connection.endpoint.message.CallFailure
import sniperoute.connection.endpoint.message.CallStalled
import sniperoute.connection.endpoint.message.ContentReceived
import sniperoute.connection.endpoint.message.EndpointAddress
import sniperoute.connection.endpoint.message.EndpointCall
import sniperoute.connection.endpoint.message.OnCallEvent
import sniperoute.connection.endpoint.message.ProgressSource
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

    /** A call that was completed in the current read. The connection is idle only after it, in case more bytes were received. */
    private var completed: ServedCall? = null
    private var carried = noCarriedCalls()
    private var idleTimer: ScheduledFuture<*>? = null
    private var stallTimer: ScheduledFuture<*>? = null

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
    }

    /** The response that the connection expects now. */
    val expectedResponse: ExpectedResponse
        get() = when (served?.call?.method) {
            null -> ExpectedResponse.NONE
            HttpMethod.HEAD.name() -> ExpectedResponse.HEAD_ONLY
            else -> ExpectedResponse.WHOLE
        }

    /** Whether a response to [call] can be told from those to earlier calls on this connection. */
    fun mayCarry(call: EndpointCall): Boolean = carried.mayCarry(call.requestId)

    /** Sends [call]; the connection must be idle. */
    fun begin(call: EndpointCall, onEvent: OnCallEvent) {
        check(served == null) { "the connection to $address serves another call already" }
        carried = carried.add(call.requestId)
        val current = ServedCall(call, onEvent)
        served = current
        val request = try {
            call.toRequest(requestIdHeader)
        } catch (failure: IllegalArgumentException) {
            return fail(CallFailure.NOT_SENT, "the request can't be encoded: ${failure.message}")
        }
        restartTimers()
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
        if (isEnabled) restartTimers() else cancelTimers()
    }

    /** Restarts the timeouts of [call], if the connection serves it and reads its response. */
    fun recordProgress(call: EndpointCall) {
        if (served?.call === call && context.channel().config().isAutoRead) restartTimers()
    }

    override fun channelRead0(context: ChannelHandlerContext, message: HttpObject) {
        val current = served ?: return close()
        if (message is HttpResponse || current.call.progress == ProgressSource.RECEIVED_BYTES) restartTimers()
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
        if (current.hasResponseHead || !carried.isAnswered(expectedId, receivedId, requestIdHeader.isRequired)) {
            return fail(CallFailure.CROSSED, "the response has request ID $receivedId instead of $expectedId")
        }
        current.hasResponseHead = true
        current.isReusable = carried.mayCarryMore(expectedId, receivedId) && HttpUtil.isKeepAlive(response) &&
            (HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response))
        current.keepAliveTimeout = response
            .headers()
            .get(HttpHeaderNames.KEEP_ALIVE)
            ?.let(keepAliveTimeoutPattern::find)
            ?.let { it.groupValues[1].toInt().seconds }
        current.onEvent(ResponseStarted(ResponseHead(response.status().code(), response.headers().toImmutable())))
    }

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
        cancelTimers()
        context.channel().config().isAutoRead = true
        val isReusable = current.isReusable && current.isRequestWritten
        if (isReusable) completed = current else context.close()
        current.onEvent(CallCompleted)
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        completed?.let { pool.release(address, context.channel(), it.keepAliveTimeout) }
        completed = null
        context.fireChannelReadComplete()
    }

    private fun fail(failure: CallFailure, reason: String) {
        val current = served ?: return
        served = null
        close()
        if (failure == CallFailure.SILENT) pool.evictAll(address)
        current.onEvent(CallFailed(failure, reason))
    }

    /** Closes the connection; it is not used again. */
    fun close() {
        completed = null
        cancelTimers()
        context.close()
    }

    private fun restartTimers() {
        cancelTimers()
        val call = served?.call ?: return
        idleTimer = after(call.idleTimeout) { fail(CallFailure.SILENT, "no progress was made for ${call.idleTimeout}") }
        call.stallTimeout?.let(::startStallTimer)
    }

    private fun startStallTimer(timeout: Duration) {
        stallTimer = after(timeout) {
            startStallTimer(timeout)
            pool.evictAll(address)
            served?.onEvent?.invoke(CallStalled("no progress was made for $timeout"))
        }
    }

    private fun cancelTimers() {
        idleTimer?.cancel(false)
        stallTimer?.cancel(false)
    }

    private fun after(delay: Duration, action: () -> Unit): ScheduledFuture<*> =
        context.executor().schedule(action, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)

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
