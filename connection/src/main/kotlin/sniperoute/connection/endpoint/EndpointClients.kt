/**
 * Calls to endpoints over HTTP. One call at a time uses a connection; one that was cancelled on, went silent or said anything
 * unexpected never serves again.
 */
package sniperoute.connection.endpoint

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpClientCodec
import sniperoute.connection.endpoint.decision.IdleConnections
import sniperoute.connection.endpoint.decision.add
import sniperoute.connection.endpoint.decision.choose
import sniperoute.connection.endpoint.decision.dropAll
import sniperoute.connection.endpoint.decision.noIdleConnections
import sniperoute.connection.endpoint.decision.remove
import sniperoute.connection.endpoint.message.CallFailed
import sniperoute.connection.endpoint.message.CallFailure
import sniperoute.connection.endpoint.message.EndpointAddress
import sniperoute.connection.endpoint.message.EndpointCall
import sniperoute.connection.endpoint.message.OnCallEvent
import sniperoute.connection.endpoint.message.RunningCall
import sniperoute.connection.http.HttpThreads
import sniperoute.process.clock.Clock
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Starts a call; [onEvent] is told what happens to it. */
public typealias CallEndpoint = (call: EndpointCall, onEvent: OnCallEvent) -> RunningCall

/** Endpoints are a few milliseconds away; one that does not accept a connection by then is taken for gone. */
private val CONNECT_PATIENCE: Duration = 300.milliseconds

/** How an answer names the request that it belongs to: in the header [name], which successes must have when [isRequired]. */
public data class RequestIdHeader(public val name: String = "x-request-id", public val isRequired: Boolean = false)

/** Makes calls to endpoints. Each call runs on the thread that started it, if that is one of [threads]. */
public class EndpointClient internal constructor(
    private val threads: HttpThreads,
    private val clock: Clock,
    private val echo: RequestIdHeader,
) {
    private val pools = ConcurrentHashMap<EventLoop, ConnectionPool>()

    /** Starts [call] and returns it. */
    public fun call(call: EndpointCall, onEvent: OnCallEvent): RunningCall {
        val loop = threads.group.firstOrNull { (it as EventLoop).inEventLoop() } as EventLoop? ?: threads.group.next() as EventLoop
        val pool = pools.computeIfAbsent(loop) { ConnectionPool(loop, clock, echo) }
        val running = CallOnLoop(call, onEvent, loop, pool)
        if (loop.inEventLoop()) running.start() else loop.execute(running::start)
        return running
    }
}

/** Returns a client that shares [threads]. */
public fun endpointClient(threads: HttpThreads, clock: Clock, echo: RequestIdHeader = RequestIdHeader()): EndpointClient =
    EndpointClient(threads, clock, echo)

/** The idle connections of one thread. Only that thread touches it. */
internal class ConnectionPool(private val loop: EventLoop, private val clock: Clock, private val echo: RequestIdHeader) {
    private var idle: IdleConnections<Channel> = noIdleConnections()

    fun idleOrNull(address: EndpointAddress): Channel? {
        val choice = idle.choose(address, clock())
        idle = choice.rest
        choice.close.forEach { it.close() }
        val channel = choice.reuse ?: return null
        return if (channel.isActive) channel else idleOrNull(address)
    }

    fun giveBack(address: EndpointAddress, channel: Channel, keptFor: Duration?) {
        val choice = idle.add(address, channel, clock(), keptFor)
        idle = choice.rest
        choice.close.forEach { it.close() }
    }

    fun distrust(address: EndpointAddress) {
        val choice = idle.dropAll(address)
        idle = choice.rest
        choice.close.forEach { it.close() }
    }

    fun forget(address: EndpointAddress, channel: Channel) {
        idle = idle.remove(address, channel)
    }

    fun connect(address: EndpointAddress, onOutcome: (Channel?, Throwable?) -> Unit) {
        val future = Bootstrap()
            .group(loop)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_PATIENCE.inWholeMilliseconds.toInt())
            .handler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) {
                    channel.pipeline().addLast(HttpClientCodec(), EndpointConnection(address, this@ConnectionPool, echo))
                }
            })
            .connect(address.host, address.port)
        future.addListener { onOutcome(future.channel().takeIf { future.isSuccess }, future.cause()) }
    }
}

/** One call and the connection that serves it, if any yet. */
private class CallOnLoop(
    private val call: EndpointCall,
    private val onEvent: OnCallEvent,
    private val loop: EventLoop,
    private val pool: ConnectionPool,
) : RunningCall {
    private var connection: EndpointConnection? = null
    private var isCancelled = false
    private var isReadWanted = true

    fun start() {
        if (isCancelled) return
        val idle = if (call.requiresNewConnection) null else pool.idleOrNull(call.address)
        if (idle != null) {
            use(idle)
        } else {
            pool.connect(call.address) { channel, failure -> connected(channel, failure) }
        }
    }

    private fun connected(channel: Channel?, failure: Throwable?) {
        when {
            channel == null && !isCancelled -> onEvent(CallFailed(CallFailure.NOT_SENT, failure?.message ?: "no connection"))
            channel != null && isCancelled -> channel.close()
            channel != null -> use(channel)
        }
    }

    private fun use(channel: Channel) {
        val handler = channel.pipeline().get(EndpointConnection::class.java)
        connection = handler
        handler.begin(call, onEvent)
        if (!isReadWanted) handler.setReading(false)
    }

    override fun cancel() = onLoop {
        isCancelled = true
        connection?.cancel(this.call)
    }

    override fun setReading(wanted: Boolean) = onLoop {
        isReadWanted = wanted
        connection?.setReading(wanted, call)
    }

    private fun onLoop(action: () -> Unit) {
        if (loop.inEventLoop()) action() else loop.execute(action)
    }
}
