/**
 * A connection of a caller. Pipelined requests are handled one at a time, responses are written in order, and requests that cannot be
 * decoded are refused in their turn. Whatever ends the connection, a request in progress on it gets its response first.
 */
package sniperoute.connection.http

import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.DecoderException
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
import sniperoute.connection.http.decision.headCost
import sniperoute.connection.http.decision.isReadOn
import java.io.IOException
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

private val logger = KotlinLogging.logger("sniperoute")

/** A request, what handles it, and what it costs in memory. */
private class QueuedExchange(val exchange: NettyExchange, val handle: HandleExchange, val cost: Long)

/** The longest initial line and headers, in bytes, that the decoder of a connection accepts. */
internal data class DecodedHeadBytes(val initialLine: Int, val headers: Int)

/** How a server handles requests, and how it refuses one that it has no memory for. */
internal class ExchangeHandlers(val handle: HandleExchange, val refuse: HandleExchange)

internal class CallerConnection(
    private val currentLimits: CurrentLimits,
    private val decoded: DecodedHeadBytes,
    private val isClosing: IsClosing,
    private val handlers: ExchangeHandlers,
    private val budget: CallerBudget,
    private val channel: Channel,
) : SimpleChannelInboundHandler<CollectedRequest>() {
    /** What the connection holds. */
    val holder: CallerHolder = budget.open(channel, ::yieldRoom)

    /** Collects the requests of the connection. */
    val collector: RequestCollector = RequestCollector(currentLimits, holder, ::hasRequest, ::updateReading)
    private var queued: PersistentList<QueuedExchange> = persistentListOf()
    private var running: QueuedExchange? = null
    private val current: NettyExchange? get() = running?.exchange
    private var context: ChannelHandlerContext? = null
    private var idleTimeout = currentLimits().idleTimeout

    /** Set when no further request is read, so that the connection ends with its last response. */
    var isEnding: Boolean = false
        private set

    override fun channelRead0(context: ChannelHandlerContext, collected: CollectedRequest) {
        if (isEnding) return
        val request = collected.request
        val limits = currentLimits()
        val failure = request.decoderResult().cause()
        when {
            failure != null -> refuse(request, statusOf(failure), "the request cannot be parsed: ${failure.message}")
            request.initialLineBytes() > limits.initialLineBytes ->
                refuse(request, HttpResponseStatus.REQUEST_URI_TOO_LONG, "the initial line is longer than ${limits.initialLineBytes} bytes")
            request.headerBytes() > limits.headerBytes ->
                refuse(request, HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the headers have over ${limits.headerBytes} bytes")
            collected.isTooLong -> refuseBody(request)
            request.protocolVersion() !in supportedVersions ->
                refuse(request, HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED, "use HTTP/1.1")
            !request.hasValidHost() -> refuse(request, HttpResponseStatus.BAD_REQUEST, "exactly one Host header is required")
            queued.size >= limits.maxPipelinedRequests ->
                refuse(request, HttpResponseStatus.TOO_MANY_REQUESTS, "too many pipelined requests on this connection")
            else -> accept(request, collected.body, handlers.handle)
        }
        watchIdleness(limits.idleTimeout)
        startNext()
        updateReading()
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
        enqueue(request.toHead(), request.protocolVersion(), body, handle) {
            asksToKeepAlive &&
                (queued.isNotEmpty() || !(isEnding || isClosing() || isOutgrown()))
        }
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
        enqueue(request.toHead(), request.protocolVersion(), ByteArray(0), refusal(status, reason)) { false }
    }

    private fun refuseHead() {
        if (isEnding) return
        isEnding = true
        val refusal = refusal(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head of the request is too long")
        enqueue(noHead, HttpVersion.HTTP_1_1, ByteArray(0), refusal) { false }
        startNext()
    }

    private fun refusal(status: HttpResponseStatus, reason: String): HandleExchange {
        val error = errorResponse(status.code(), "malformed_request", reason, "not-run")
        return { it.respond(error.head, error.content) }
    }

    private fun enqueue(head: RequestHead, version: HttpVersion, body: ByteArray, handle: HandleExchange, mayKeepAlive: () -> Boolean) {
        val isChunkable = version != HttpVersion.HTTP_1_0
        val exchange = NettyExchange(checkNotNull(context), head, body, isChunkable, mayKeepAlive, ::onResponded)
        queued = queued.add(QueuedExchange(exchange, handle, body.size + head.cost()))
        countRequests()
    }

    private fun countRequests() {
        holder.isRunning = running != null
        holder.requests = (running?.cost ?: 0L) + queued.sumOf { it.cost }
    }

    /** Reads on or not, so that requests ahead wait in the network when their peer doesn't read its responses. */
    private fun updateReading() {
        val waitingBytes = if (running == null) 0L else queued.sumOf { it.cost } + holder.body
        val isReadOn = isReadOn(channel.isWritable, running != null, queued.size, waitingBytes)
        if (channel.config().isAutoRead != isReadOn) channel.config().isAutoRead = isReadOn
    }

    /** Ends the connection for the room that it takes. An incomplete request on it is refused; one that wasn't seen at all isn't run. */
    private fun yieldRoom() {
        val incomplete = collector.incomplete
        val isPartOfHead = holder.head > 0
        collector.drop()
        queued = queued.clear()
        // A request that has begun since another thread chose the connection, or a response that is being read, ends first.
        if ((running != null && !holder.isLeftUnread) || holder.isBeingRead) return end()
        if (running == null && (incomplete != null || isPartOfHead)) {
            isEnding = true
            enqueue(incomplete?.toHead() ?: noHead, HttpVersion.HTTP_1_1, ByteArray(0), handlers.refuse) { false }
            startNext()
        }
        // Closed even while the refusal, or the rest of a response, is not taken by the peer, which then sees that it isn't whole.
        channel.close()
    }

    @Suppress("TooGenericExceptionCaught")
    private fun startNext() {
        if (running != null || !channel.isWritable) return
        val next = queued.firstOrNull() ?: return
        queued = queued.removeAt(0)
        running = next
        countRequests()
        try {
            if (next.handle !== handlers.handle || budget.mayRun()) next.handle(next.exchange) else handlers.refuse(next.exchange)
        } catch (failure: RuntimeException) {
            logger.error(failure) { "the handler of a request failed" }
            next.exchange.fail()
        }
    }

    private fun onResponded(isLast: Boolean) {
        running = null
        if (isLast) {
            queued = queued.clear()
            isEnding = true
        }
        countRequests()
        if (isEnding) end()
        startNext()
        updateReading()
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
        holder.countOutput()
        current?.listener?.onWritabilityChanged?.invoke(context.channel().isWritable)
        startNext()
        updateReading()
        context.fireChannelWritabilityChanged()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        queued = queued.clear()
        current?.listener?.onDisconnected?.invoke()
        running = null
        holder.close()
        context.fireChannelInactive()
    }

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        when (event) {
            is IdleStateEvent -> if (current == null) onIdle()
            // While the connection isn't read, the rest of the head may have been sent in time.
            is HeadTimedOut -> if (channel.config().isAutoRead) end()
            is HeadTooLong -> refuseHead()
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

/** Stands for a head that is not complete. */
private val noHead = RequestHead("", "", "", persistentListOf())

private fun RequestHead.cost(): Long =
    headCost(path.length + query.length + headers.sumOf { it.name.length + it.value.length }.toLong(), headers.size)

private fun HttpRequest.hasValidHost(): Boolean {
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

internal fun HttpHeaders.toImmutable(): ImmutableList<Header> =
    map { Header(it.key.lowercase(), it.value) }.toImmutableList()

internal fun HttpHeaders.addAll(headers: ImmutableList<Header>) {
    headers.forEach { add(it.name, it.value) }
}
