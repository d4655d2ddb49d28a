/**
 * A connection of a caller. Pipelined requests are handled one at a time, responses are written in order, and requests that cannot be
 * decoded are refused in their turn. Whatever ends the connection, a request in progress on it gets its response first.
 */
package sniperoute.connection.http

import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.DecoderException
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.handler.timeout.IdleStateEvent
import io.netty.handler.timeout.IdleStateHandler
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList
import sniperoute.connection.http.codec.errorResponse
import java.io.IOException
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

private val logger = KotlinLogging.logger("sniperoute")

/** A request and what handles it. */
private class QueuedExchange(val exchange: NettyExchange, val handle: HandleExchange)

/** The longest initial line and headers, in bytes, that the decoder of a connection accepts. */
internal data class DecodedHeadBytes(val initialLine: Int, val headers: Int)

internal class CallerConnection(
    private val currentLimits: CurrentLimits,
    private val decoded: DecodedHeadBytes,
    private val isClosing: IsClosing,
    private val handle: HandleExchange,
) : SimpleChannelInboundHandler<HttpRequest>() {
    private var queued: PersistentList<QueuedExchange> = persistentListOf()
    private var current: NettyExchange? = null
    private var context: ChannelHandlerContext? = null
    private var idleTimeout = currentLimits().idleTimeout

    /** Set when no further request is read, so that the connection ends with its last response. */
    private var isEnding = false

    override fun channelRead0(context: ChannelHandlerContext, request: HttpRequest) {
        if (isEnding) return
        val limits = currentLimits()
        val failure = request.decoderResult().cause()
        when {
            failure != null -> refuse(request, statusOf(failure), "the request cannot be parsed: ${failure.message}")
            request.initialLineBytes() > limits.initialLineBytes ->
                refuse(request, HttpResponseStatus.REQUEST_URI_TOO_LONG, "the initial line is longer than ${limits.initialLineBytes} bytes")
            request.headerBytes() > limits.headerBytes ->
                refuse(request, HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the headers have over ${limits.headerBytes} bytes")
            request !is FullHttpRequest -> refuseBody(request)
            request.protocolVersion() !in supportedVersions ->
                refuse(request, HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED, "use HTTP/1.1")
            !request.hasValidHost() -> refuse(request, HttpResponseStatus.BAD_REQUEST, "exactly one Host header is required")
            queued.size >= limits.maxPipelinedRequests ->
                refuse(request, HttpResponseStatus.TOO_MANY_REQUESTS, "too many pipelined requests on this connection")
            else -> accept(request, request.toBytes(), handle)
        }
        watchIdleness(limits.idleTimeout)
        startNext()
    }

    /** Whether a request is in progress on the connection. */
    fun hasRequest(): Boolean = current != null || queued.isNotEmpty()

    /** Closes the connection unless a request is in progress on it. */
    fun closeIfIdle() {
        val context = context ?: return
        context.executor().execute { if (!isEnding && !hasRequest()) end() }
    }

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
    }

    private fun accept(request: HttpRequest, body: ByteArray, handle: HandleExchange) {
        val asksToKeepAlive = HttpUtil.isKeepAlive(request)
        isEnding = !asksToKeepAlive
        enqueue(request, body, handle) { asksToKeepAlive && (queued.isNotEmpty() || !(isEnding || isClosing() || isOutgrown())) }
    }

    /** Whether heads are allowed now that the decoder of this connection doesn't accept. */
    private fun isOutgrown(): Boolean {
        val limits = currentLimits()
        return limits.initialLineBytes > decoded.initialLine || limits.headerBytes > decoded.headers
    }

    /** Where the caller may keep the connection, it stays open, so that the refusal isn't lost while the body is still being sent. */
    private fun refuseBody(request: HttpRequest) =
        accept(request, ByteArray(0), refusal(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body of the request is too long"))

    private fun refuse(request: HttpRequest, status: HttpResponseStatus, reason: String) {
        isEnding = true
        enqueue(request, ByteArray(0), refusal(status, reason)) { false }
    }

    private fun refusal(status: HttpResponseStatus, reason: String): HandleExchange {
        val error = errorResponse(status.code(), "malformed_request", reason, "not-run")
        return { it.respond(error.head, error.content) }
    }

    private fun enqueue(request: HttpRequest, body: ByteArray, handle: HandleExchange, mayKeepAlive: () -> Boolean) {
        val isChunkable = request.protocolVersion() != HttpVersion.HTTP_1_0
        val exchange = NettyExchange(checkNotNull(context), request.toHead(), body, isChunkable, mayKeepAlive, ::onResponded)
        queued = queued.add(QueuedExchange(exchange, handle))
    }

    @Suppress("TooGenericExceptionCaught")
    private fun startNext() {
        if (current != null) return
        val next = queued.firstOrNull() ?: return
        queued = queued.removeAt(0)
        current = next.exchange
        try {
            next.handle(next.exchange)
        } catch (failure: RuntimeException) {
            logger.error(failure) { "the handler of a request failed" }
            next.exchange.fail()
        }
    }

    private fun onResponded(isLast: Boolean) {
        current = null
        if (isLast) {
            queued = queued.clear()
            isEnding = true
        }
        if (isEnding) end()
        startNext()
    }

    /** Reads no further request, and closes the connection unless there is still one to respond to. */
    private fun end() {
        isEnding = true
        if (!hasRequest()) context?.writeAndFlush(Unpooled.EMPTY_BUFFER)?.addListener(ChannelFutureListener.CLOSE)
    }

    private fun watchIdleness(timeout: Duration) {
        if (timeout == idleTimeout) return
        idleTimeout = timeout
        checkNotNull(context).pipeline().replace(IdleStateHandler::class.java, null, idleStateHandler(timeout))
    }

    /** Closes an idle connection, unless the timeout in force is longer than the one that is over. */
    private fun onIdle() {
        val inForce = currentLimits().idleTimeout
        if (inForce > idleTimeout) watchIdleness(inForce) else context?.close()
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        current?.listener?.onWritabilityChanged?.invoke(context.channel().isWritable)
        context.fireChannelWritabilityChanged()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        queued = queued.clear()
        current?.listener?.onDisconnected?.invoke()
        current = null
        context.fireChannelInactive()
    }

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        when (event) {
            is IdleStateEvent -> if (current == null) onIdle()
            is HeadTimedOut -> end()
            else -> context.fireUserEventTriggered(event)
        }
    }

    @Deprecated("overrides a method that Netty deprecates")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        if (cause is IOException || cause is DecoderException) {
            context.close()
        } else {
            logger.error(cause) { "the handling of a caller's connection failed" }
            end()
        }
    }
}

internal fun idleStateHandler(timeout: Duration) = IdleStateHandler(0, 0, timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)

private val supportedVersions = setOf(HttpVersion.HTTP_1_1, HttpVersion.HTTP_1_0)

private fun FullHttpRequest.hasValidHost(): Boolean {
    val hosts = headers().getAll(HttpHeaderNames.HOST).size
    return hosts == 1 || (hosts == 0 && protocolVersion() == HttpVersion.HTTP_1_0)
}

/** The bytes between the parts of an initial line, and between the name and the value of a header. */
private const val SEPARATOR_BYTES = 2

private fun HttpRequest.initialLineBytes(): Int =
    method().name().length + uri().length + protocolVersion().text().length + SEPARATOR_BYTES

private fun HttpRequest.headerBytes(): Int = headers().sumOf { it.key.length + it.value.length + SEPARATOR_BYTES }

private fun statusOf(failure: Throwable): HttpResponseStatus = when (failure) {
    is TooLongHttpHeaderException -> HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
    is TooLongHttpLineException -> HttpResponseStatus.REQUEST_URI_TOO_LONG
    else -> HttpResponseStatus.BAD_REQUEST
}

private fun HttpRequest.toHead(): RequestHead = RequestHead(
    method = method().name(),
    path = uri().substringBefore('?'),
    query = uri().substringAfter('?', ""),
    headers = headers().toImmutable(),
)

private fun FullHttpRequest.toBytes(): ByteArray = ByteArray(content().readableBytes()).also { content().readBytes(it) }

internal fun HttpHeaders.toImmutable(): ImmutableList<Header> =
    map { Header(it.key.lowercase(), it.value) }.toImmutableList()

internal fun HttpHeaders.addAll(headers: ImmutableList<Header>) {
    headers.forEach { add(it.name, it.value) }
}
