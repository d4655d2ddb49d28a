/**
 * Listens for links and dials them, on a few named threads.
 */
package sniperoute.connection.peer

import io.netty.bootstrap.Bootstrap
import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.UnpooledByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import sniperoute.connection.endpoint.HostNameResolvers
import sniperoute.connection.endpoint.codec.toSocketAddressOrNull
import sniperoute.connection.endpoint.message.EndpointAddress
import sniperoute.connection.peer.message.PeerName
import sniperoute.process.duty.namedThreads
import sniperoute.process.identity.VmName
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private const val THREADS = 3
private val MIN_DIAL_BACKOFF: Duration = 50.milliseconds
private val MAX_DIAL_BACKOFF: Duration = 500.milliseconds
private val CONNECT_TIMEOUT: Duration = 1_000.milliseconds

/** The address at which a process of the fleet listens for links. */
public data class PeerAddress(public val vm: VmName, public val host: String, public val port: Int)

/** The threads on which all links of a process run. */
public class PeerNetwork internal constructor() {
    internal val group = MultiThreadIoEventLoopGroup(THREADS, namedThreads("peer"), NioIoHandler.newFactory())
    internal val hostNames = HostNameResolvers()

    /** Ends all links and stops the threads. */
    public fun close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(2, TimeUnit.SECONDS)
    }
}

/** Returns a network without links. */
public fun newPeerNetwork(): PeerNetwork = PeerNetwork()

/** Frames may be long. They are kept on the heap, which bounds them better than the direct memory that calls share. */
private val frameAllocator = UnpooledByteBufAllocator(false)

/**
 * Listens at [host] and [port] for links to [self].
 *
 * @throws java.io.IOException if the address cannot be bound
 */
public fun PeerNetwork.listen(self: PeerName, host: String, port: Int, authentication: PeerAuthentication, handlers: PeerHandlers) {
    ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel::class.java)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.ALLOCATOR, frameAllocator)
        .childHandler(linkPipeline({ remoteHost -> listenerHandshake(self, remoteHost, authentication) }, handlers))
        .bind(host, port)
        .sync()
}

private fun linkPipeline(startHandshake: StartHandshake, handlers: PeerHandlers) = object : ChannelInitializer<SocketChannel>() {
    override fun initChannel(channel: SocketChannel) {
        val decoder = FrameDecoder()
        channel.pipeline().addLast(decoder, PeerConnection(startHandshake, handlers, decoder))
    }
}

/** A link that is dialed again whenever it ends. */
public class ReconnectingLink internal constructor(private val bootstrap: Bootstrap, private val loop: EventLoop) {
    private var channel: Channel? = null
    private var backoff = MIN_DIAL_BACKOFF
    private var isStopped = false

    /** Ends the link and stops dialing. */
    public fun stop() {
        loop.execute {
            isStopped = true
            channel?.close()
        }
    }

    internal fun resetBackoff() {
        backoff = MIN_DIAL_BACKOFF
    }

    internal fun dial() {
        if (isStopped) return
        val connecting = bootstrap.connect()
        channel = connecting.channel()
        connecting.channel().closeFuture().addListener {
            loop.schedule(::dial, backoff.inWholeMilliseconds, TimeUnit.MILLISECONDS)
            backoff = minOf(backoff * 2, MAX_DIAL_BACKOFF)
        }
    }
}

/** Dials a link from [self] to [target], and again with exponential backoff whenever it ends, until the returned link is stopped. */
public fun PeerNetwork.dial(
    self: PeerName,
    target: PeerAddress,
    authentication: PeerAuthentication,
    handlers: PeerHandlers,
): ReconnectingLink {
    val loop = group.next() as EventLoop
    val bootstrap = Bootstrap()
    val link = ReconnectingLink(bootstrap, loop)
    bootstrap
        .group(loop)
        .channel(NioSocketChannel::class.java)
        .resolver(hostNames)
        .remoteAddress(
            EndpointAddress(target.host, target.port).toSocketAddressOrNull()
                ?: InetSocketAddress.createUnresolved(target.host, target.port),
        ).option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT.inWholeMilliseconds.toInt())
        .option(ChannelOption.ALLOCATOR, frameAllocator)
        .handler(linkPipeline({ dialerHandshake(self, target.vm, authentication) }, handlers.alsoOnOpened(link::resetBackoff)))
    loop.execute(link::dial)
    return link
}

private fun PeerHandlers.alsoOnOpened(action: () -> Unit): PeerHandlers = PeerHandlers(
    onOpened = { link ->
        action()
        onOpened(link)
    },
    onReceived = onReceived,
    onClosed = onClosed,
    onRefused = onRefused,
)
