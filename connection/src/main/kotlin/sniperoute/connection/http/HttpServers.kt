/**
 * The HTTP server for callers and operators: the library decodes and bounds what comes in, this file turns it into
 * [Exchange]s, one at a time for each connection.
 */
package sniperoute.connection.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.group.ChannelGroup
import io.netty.channel.group.DefaultChannelGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.ssl.SslContext
import io.netty.handler.ssl.SslContextBuilder
import io.netty.handler.timeout.IdleStateHandler
import io.netty.util.concurrent.GlobalEventExecutor
import sniperoute.process.duty.namedThreads
import java.net.InetSocketAddress
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private const val DEFAULT_BODY_BYTES = 8 * 1024 * 1024

/** Bounds on what a caller may send. Sizes are in bytes. */
public data class HttpLimits(
    public val initialLineBytes: Int = 8_192,
    public val headerBytes: Int = 16_384,
    public val bodyBytes: Int = DEFAULT_BODY_BYTES,
    public val waitingRequests: Int = 16,
    public val idleTimeout: Duration = 120.seconds,
    public val headTimeout: Duration = 10.seconds,
)

/** Returns the bounds that hold for a connection that opens now. */
public typealias CurrentLimits = () -> HttpLimits

/** Whether connections should end once their present request is answered. */
public typealias IsClosing = () -> Boolean

/** The threads on which HTTP connections live: callers', operators' and endpoints' share them. */
public class HttpThreads internal constructor(internal val group: MultiThreadIoEventLoopGroup, public val count: Int) {
    /** Ends the threads and all connections on them. */
    public fun close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(2, TimeUnit.SECONDS)
    }
}

/** Returns [count] threads for HTTP connections. */
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

    /** Closes the connections on which no request is under way. */
    public fun closeIdleConnections(): Unit = connections.forEach { it.pipeline().get(CallerConnection::class.java)?.closeIfIdle() }
}

/** Certificate chain and private key of a server, in PEM files. */
public data class TlsFiles(public val certificateChain: Path, public val privateKey: Path)

/** Takes a request that is to be answered. */
public typealias HandleExchange = (Exchange) -> Unit

/**
 * Returns a server at [host] and [port] that hands each request to [handle], on the thread of its connection.
 *
 * @throws java.io.IOException if the address can't be bound or the TLS files can't be used
 */
public fun HttpThreads.serve(
    host: String,
    port: Int,
    limits: CurrentLimits = { HttpLimits() },
    tls: TlsFiles? = null,
    isClosing: IsClosing = { false },
    handle: HandleExchange,
): HttpServer {
    val tlsContext = tls?.let { SslContextBuilder.forServer(it.certificateChain.toFile(), it.privateKey.toFile()).build() }
    val connections = DefaultChannelGroup(GlobalEventExecutor.INSTANCE)
    val bootstrap = ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel::class.java)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(serverPipeline(limits, tlsContext, isClosing, connections, handle))
    return HttpServer(bootstrap.bind(host, port).sync().channel(), connections)
}

private fun serverPipeline(
    currentLimits: CurrentLimits,
    tls: SslContext?,
    isClosing: IsClosing,
    connections: ChannelGroup,
    handle: HandleExchange,
) =
    object : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            connections.add(channel)
            val limits = currentLimits()
            val headWatch = HeadWatch(limits.headTimeout)
            val decoding = HttpDecoderConfig()
                .setMaxInitialLineLength(limits.initialLineBytes)
                .setMaxHeaderSize(limits.headerBytes)
            tls?.let { channel.pipeline().addLast(it.newHandler(channel.alloc())) }
            channel.pipeline().addLast(
                headWatch.bytes,
                HttpServerCodec(decoding),
                headWatch.messages,
                IdleStateHandler(0, 0, limits.idleTimeout.inWholeSeconds.toInt()),
                HttpObjectAggregator(limits.bodyBytes, true),
                CallerConnection(limits, isClosing, handle),
            )
        }
    }
