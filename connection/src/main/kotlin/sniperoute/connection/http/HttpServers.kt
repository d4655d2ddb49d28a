/**
 * The HTTP server for callers and operators. Netty decodes requests and enforces limits; the server turns each request into an
 * [Exchange], one at a time for each connection.
 */
package sniperoute.connection.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.group.ChannelGroup
import io.netty.channel.group.DefaultChannelGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.ssl.SslContext
import io.netty.handler.ssl.SslContextBuilder
import io.netty.util.concurrent.GlobalEventExecutor
import sniperoute.connection.http.codec.errorResponse
import sniperoute.process.duty.namedThreads
import java.net.InetSocketAddress
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private const val DEFAULT_BODY_BYTES = 8 * 1024 * 1024

/**
 * A decoder accepts at least this much of a head, so that the limit may be raised during its life. The limit in force is checked once the
 * head is decoded.
 */
private const val MIN_DECODED_HEAD_BYTES = 64 * 1024

private const val MIN_READ_BYTES = 512
private const val FIRST_READ_BYTES = 2_048

/** What is read at once is decoded at once, so it bounds the requests that a connection gets ahead of its responses. */
private const val MAX_READ_BYTES = 16_384

/**
 * Limits on the requests of a caller: sizes in bytes, and the number of pipelined requests that may wait on a connection. A connection
 * without a request in progress is closed when nothing was received or sent for [idleTimeout]. A connection is also closed when the head
 * of a request is not complete [headTimeout] after its first byte. Each request is held to the limits in force when it begins, also on a
 * connection that was opened under other ones. Without [maxHeaderLines], a head may have as many header lines as its bytes allow.
 */
public data class HttpLimits(
    public val initialLineBytes: Int = 8_192,
    public val headerBytes: Int = 16_384,
    public val bodyBytes: Int = DEFAULT_BODY_BYTES,
    public val maxPipelinedRequests: Int = 16,
    public val idleTimeout: Duration = 120.seconds,
    public val headTimeout: Duration = 10.seconds,
    public val maxHeaderLines: Int? = null,
)

/** Returns the limits that are in force now. */
public typealias CurrentLimits = () -> HttpLimits

/** Returns whether connections should be closed after the response to their current request. */
public typealias IsClosing = () -> Boolean

/** The event loop threads of HTTP connections, shared by those of callers, operators and endpoints. */
public class HttpThreads internal constructor(internal val group: MultiThreadIoEventLoopGroup, public val count: Int) {
    /** Closes all connections and stops the threads. */
    public fun close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(2, TimeUnit.SECONDS)
    }
}

/** Starts [count] threads for HTTP connections. */
public fun startHttpThreads(count: Int): HttpThreads =
    HttpThreads(MultiThreadIoEventLoopGroup(count, namedThreads("http"), NioIoHandler.newFactory()), count)

/** A listening server. */
public class HttpServer internal constructor(private val channel: Channel, private val connections: ChannelGroup) {
    /** The port on which it listens. */
    public val port: Int get() = (channel.localAddress() as InetSocketAddress).port

    /** Stops listening; open connections stay. */
    public fun stopListening() {
        channel.close().await(1, TimeUnit.SECONDS)
    }

    /** Whether connections are open. */
    public val hasConnections: Boolean get() = connections.isNotEmpty()

    /** Closes the connections without a request in progress, once their last response is written. */
    public fun closeIdleConnections(): Unit = connections.forEach { it.pipeline().get(CallerConnection::class.java)?.closeIfIdle() }
}

/** Certificate chain and private key of a server, in PEM files. */
public data class TlsFiles(public val certificateChain: Path, public val privateKey: Path)

/** Handles a request by responding to it, at once or later. */
public typealias HandleExchange = (Exchange) -> Unit

/** What the connections of a server may hold together, and how it refuses a request that it has no room for, as not run. */
public class CallerRoom(public val budget: CallerBudget = callerBudget(), public val refuse: HandleExchange = ::refuse)

/** A server beside that of the callers may hold one part in so many of what the callers' may. */
private const val SMALL_SERVER_PARTS = 8

/** Returns room of its own for a server of pages beside that of the callers, so that it is served whatever the callers hold. */
public fun roomForPages(): CallerRoom = CallerRoom(callerBudget(parts = SMALL_SERVER_PARTS))

private fun refuse(exchange: Exchange) {
    val error = errorResponse(HttpStatus.UNAVAILABLE, "overloaded", "there is no room for the request; retry later", "not-run")
    exchange.respond(error.head, error.content)
}

/**
 * Starts a server at [host] and [port] that calls [handle] for each request, on the thread of its connection.
 *
 * @throws java.io.IOException if the address cannot be bound or the TLS files cannot be used
 */
public fun HttpThreads.serve(
    host: String,
    port: Int,
    limits: CurrentLimits = { HttpLimits() },
    tls: TlsFiles? = null,
    isClosing: IsClosing = { false },
    room: CallerRoom = CallerRoom(),
    handle: HandleExchange,
): HttpServer {
    val tlsContext = tls?.let { SslContextBuilder.forServer(it.certificateChain.toFile(), it.privateKey.toFile()).build() }
    val connections = DefaultChannelGroup(GlobalEventExecutor.INSTANCE)
    val bootstrap = ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel::class.java)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.RCVBUF_ALLOCATOR, AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES))
        .childHandler(
            serverPipeline(limits, tlsContext, connections) { decoded, channel ->
                CallerConnection(limits, decoded, isClosing, ExchangeHandlers(handle, room.refuse), room.budget, channel)
            },
        )
    return HttpServer(bootstrap.bind(host, port).sync().channel(), connections)
}

private fun serverPipeline(
    currentLimits: CurrentLimits,
    tls: SslContext?,
    connections: ChannelGroup,
    connect: (DecodedHeadBytes, Channel) -> CallerConnection,
) =
    object : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            connections.add(channel)
            val limits = currentLimits()
            val headTimeout = HeadTimeout { currentLimits().headTimeout }
            val decoded = DecodedHeadBytes(
                initialLine = maxOf(limits.initialLineBytes, MIN_DECODED_HEAD_BYTES),
                headers = maxOf(limits.headerBytes, MIN_DECODED_HEAD_BYTES),
            )
            val headers = CountedHeadersFactory(DefaultHttpHeadersFactory.headersFactory(), currentLimits)
            val decoderConfig = HttpDecoderConfig()
                .setMaxInitialLineLength(decoded.initialLine)
                .setMaxHeaderSize(decoded.headers)
                .setHeadersFactory(headers)
                .setTrailersFactory(CountedHeadersFactory(DefaultHttpHeadersFactory.trailersFactory(), currentLimits))
            val connection = connect(decoded, channel)
            val guard = HeadGuard(currentLimits, connection.holder, headers) { connection.isEnding || connection.holder.isYielding }
            tls?.let { channel.pipeline().addLast(it.newHandler(channel.alloc())) }
            channel.pipeline().addLast(
                headTimeout.bytes,
                guard.bytes,
                HttpServerCodec(decoderConfig),
                headTimeout.messages,
                guard.messages,
                idleStateHandler(limits.idleTimeout),
                connection.collector,
                connection,
            )
        }
    }
