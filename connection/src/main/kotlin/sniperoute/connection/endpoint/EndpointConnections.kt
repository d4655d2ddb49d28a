/**
 * One connection to an endpoint, and the call that it serves.
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

/** The call that a connection serves now. */
private class ServedCall(val call: EndpointCall, val onEvent: OnCallEvent) {
    var isAnswering = false
    var isReusable = false
    var isWritten = false
    var keptFor: Duration? = null
}

internal class EndpointConnection(
    private val address: EndpointAddress,
    private val pool: ConnectionPool,
    private val echo: RequestIdHeader,
) : SimpleChannelInboundHandler<HttpObject>() {
    private lateinit var context: ChannelHandlerContext
    private var served: ServedCall? = null
    private var silence: ScheduledFuture<*>? = null

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
    }

    /** Sends [call]; the connection must be idle. */
    fun begin(call: EndpointCall, onEvent: OnCallEvent) {
        check(served == null) { "the connection to $address serves a call already" }
        val current = ServedCall(call, onEvent)
        served = current
        watchSilence()
        context.writeAndFlush(call.toRequest(echo)).addListener { written ->
            current.isWritten = written.isSuccess
            if (!written.isSuccess && served === current) fail(CallFailure.BROKEN, written.cause()?.message ?: "the write failed")
        }
    }

    /** Gives up [call], if the connection still serves it. */
    fun cancel(call: EndpointCall) {
        if (served?.call !== call) return
        served = null
        close()
    }

    /** Stops or goes on reading for [call], or for whatever is served. */
    fun setReading(wanted: Boolean, call: EndpointCall? = null) {
        if (call != null && served?.call !== call) return
        context.channel().config().isAutoRead = wanted
        if (wanted) watchSilence() else silence?.cancel(false)
    }

    override fun channelRead0(context: ChannelHandlerContext, message: HttpObject) {
        val current = served ?: return close()
        watchSilence()
        if (message.decoderResult().isFailure) {
            return fail(CallFailure.MALFORMED, message.decoderResult().cause().message ?: "the answer can't be read")
        }
        if (message is HttpResponse) begin(current, message)
        if (message is HttpContent && served === current) take(current, message)
    }

    private fun begin(current: ServedCall, response: HttpResponse) {
        val answered = response.headers().get(echo.name)
        val wanted = current.call.requestId
        val isOther = wanted != null && answered != wanted && (answered != null || isMissed(response))
        if (current.isAnswering || isOther) {
            return fail(CallFailure.CROSSED, "the answer names request $answered in place of $wanted")
        }
        current.isAnswering = true
        current.isReusable = HttpUtil.isKeepAlive(response) &&
            (HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response))
        current.keptFor = response
            .headers()
            .get(HttpHeaderNames.KEEP_ALIVE)
            ?.let(keepAliveForm::find)
            ?.let { it.groupValues[1].toInt().seconds }
        current.onEvent(ResponseStarted(ResponseHead(response.status().code(), response.headers().toImmutable())))
    }

    private fun isMissed(response: HttpResponse): Boolean =
        echo.isRequired && response.status().codeClass() == HttpStatusClass.SUCCESS

    private fun take(current: ServedCall, content: HttpContent) {
        if (content.content().isReadable) {
            val bytes = ByteArray(content.content().readableBytes())
            content.content().readBytes(bytes)
            current.onEvent(ContentReceived(bytes))
        }
        if (content is LastHttpContent && served === current) end(current)
    }

    private fun end(current: ServedCall) {
        served = null
        silence?.cancel(false)
        context.channel().config().isAutoRead = true
        val isReusable = current.isReusable && current.isWritten
        if (isReusable) pool.giveBack(address, context.channel(), current.keptFor) else context.close()
        current.onEvent(CallCompleted)
    }

    private fun fail(failure: CallFailure, reason: String) {
        val current = served ?: return
        served = null
        close()
        if (failure == CallFailure.SILENT) pool.distrust(address)
        current.onEvent(CallFailed(failure, reason))
    }

    private fun close() {
        silence?.cancel(false)
        context.close()
    }

    private fun watchSilence() {
        silence?.cancel(false)
        val idleTimeout = served?.call?.idleTimeout ?: return
        silence = context.executor().schedule(
            { fail(CallFailure.SILENT, "nothing came for $idleTimeout") },
            idleTimeout.inWholeMilliseconds,
            TimeUnit.MILLISECONDS,
        )
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        pool.forget(address, context.channel())
        fail(CallFailure.BROKEN, "the connection was closed")
    }

    @Deprecated("required by the library's type")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        fail(CallFailure.BROKEN, cause.message ?: cause.javaClass.simpleName)
    }
}

private val keepAliveForm = Regex("timeout=(\\d{1,6})")

private fun EndpointCall.toRequest(echo: RequestIdHeader): DefaultFullHttpRequest {
    val content = Unpooled.wrappedBuffer(body)
    val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), target, content)
    request.headers().addAll(headers)
    if (!request.headers().contains(HttpHeaderNames.HOST)) {
        request.headers().set(HttpHeaderNames.HOST, "${address.host}:${address.port}")
    }
    if (body.isNotEmpty() || method != "GET") request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.size)
    requestId?.let { request.headers().set(echo.name, it) }
    return request
}
