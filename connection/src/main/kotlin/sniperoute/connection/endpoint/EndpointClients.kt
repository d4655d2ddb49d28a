/**
 * HTTP calls to endpoints over keep-alive connections. A connection serves one call at a time and no two calls with the same request ID.
 * It is closed and not reused when a call on it was cancelled, timed out, or got an unexpected response or one without the call's ID.
 */
package sniperoute.connection.endpoint

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpRequestEncoder
import sniperoute.connection.endpoint.codec.toSocketAddressOrNull
import sniperoute.connection.endpoint.decision.IdleConnections
import sniperoute.connection.endpoint.decision.add
import sniperoute.connection.endpoint.decision.choose
import sniperoute.connection.endpoint.decision.evictAll
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
import sniperoute.process.clock.Timestamp
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Starts a call, whose events go to [onEvent]. */
public typealias CallEndpoint = (call: EndpointCall, onEvent: OnCallEvent) -> RunningCall

/** Endpoints are a few milliseconds away: one that does not accept a connection within this time counts as unreachable. */
private val CONNECT_TIMEOUT: Duration = 300.milliseconds

/** A caller that was there so long ago may have left since, without its end having been read by an event loop that is late. */
public val UNREAD_LIMIT: Duration = 50.milliseconds

/**
 * The header [name] in which a response repeats the request's ID. Every response must have it when [isRequired], else every one but the
 * first of a connection.
 */
public data class RequestIdHeader(public val name: String = "x-request-id", public val isRequired: Boolean = false)

/** Calls endpoints. A call runs on the thread that started it when that is one of [threads], and on any of them otherwise. */
public class EndpointClient internal constructor(
    private val threads: HttpThreads,
    private val clock: Clock,
    private val requestIdHeader: RequestIdHeader,
) {
    private val pools = ConcurrentHashMap<EventLoop, ConnectionPool>()
    private val hostNames = HostNameResolvers()

    /** Starts [call], whose events go to [onEvent]. */
    public fun call(call: EndpointCall, onEvent: OnCallEvent): RunningCall {
        val loop = threads.group.firstOrNull { (it as EventLoop).inEventLoop() } as EventLoop? ?: threads.group.next() as EventLoop
        val pool = pools.computeIfAbsent(loop) { ConnectionPool(loop, clock, requestIdHeader, hostNames) }
        val running = EventLoopCall(call, onEvent, loop, pool, clock)
        if (loop.inEventLoop()) running.start() else loop.execute(running::start)
        return running
    }
}

/** Returns a client whose connections run on [threads]. */
public fun endpointClient(threads: HttpThreads, clock: Clock, requestIdHeader: RequestIdHeader = RequestIdHeader()): EndpointClient =
    EndpointClient(threads, clock, requestIdHeader)

/** The pool of connections of one event loop; it is used on the thread of that loop only. */
internal class ConnectionPool(
    private val loop: EventLoop,
    private val clock: Clock,
    private val requestIdHeader: RequestIdHeader,
    private val hostNames: HostNameResolvers,
) {
    private var idle: IdleConnections<Channel> = noIdleConnections()

    fun takeIdleOrNull(call: EndpointCall): Channel? {
        val choice = idle.choose(call.address, clock()) { it.connection.mayCarry(call) }
        idle = choice.remaining
        choice.close.forEach { it.close() }
        val channel = choice.reuse ?: return null
        return if (channel.isActive) channel else takeIdleOrNull(call)
    }

    fun release(address: EndpointAddress, channel: Channel, keepAliveTimeout: Duration?) {
        val choice = idle.add(address, channel, clock(), keepAliveTimeout)
        idle = choice.remaining
        choice.close.forEach { it.close() }
    }

    fun evictAll(address: EndpointAddress) {
        val choice = idle.evictAll(address)
        idle = choice.remaining
        choice.close.forEach { it.close() }
    }

    fun remove(address: EndpointAddress, channel: Channel) {
        idle = idle.remove(address, channel)
    }

    /** Opens a connection to [address]; [onOutcome] gets it, or `null` and the reason why there is none. */
    fun connect(address: EndpointAddress, onOutcome: (channel: Channel?, reason: String?) -> Unit) {
        val target = address.toSocketAddressOrNull() ?: return onOutcome(null, "${address.host}:${address.port} is not an address")
        val future = Bootstrap()
            .group(loop)
            .resolver(hostNames)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT.inWholeMilliseconds.toInt())
            .handler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) {
                    val connection = EndpointConnection(address, this@ConnectionPool, requestIdHeader)
                    val decoder = ResponseDecoder(connection::expectedResponse, connection::close)
                    channel.pipeline().addLast(decoder, HttpRequestEncoder(), connection)
                }
            })
            .connect(target)
        future.addListener { onOutcome(future.channel().takeIf { future.isSuccess }, future.cause()?.message) }
    }
}

private val Channel.connection: EndpointConnection get() = pipeline().get(EndpointConnection::class.java)

/** A call that runs on the event loop [loop], with its connection once it has one. */
private class EventLoopCall(
    private val call: EndpointCall,
    private val onEvent: OnCallEvent,
    private val loop: EventLoop,
    private val pool: ConnectionPool,
    private val clock: Clock,
) : RunningCall {
    private var connection: EndpointConnection? = null
    private var isCancelled = false
    private var isReadEnabled = true
    private var started = Timestamp.EARLIEST

    fun start() {
        if (isCancelled || !call.isWanted()) return
        started = clock()
        val idle = if (call.requiresNewConnection) null else pool.takeIdleOrNull(call)
        if (idle != null) {
            use(idle)
        } else {
            pool.connect(call.address, ::connected)
        }
    }

    private fun connected(channel: Channel?, reason: String?) {
        when {
            channel == null && !isCancelled -> onEvent(CallFailed(CallFailure.NOT_SENT, reason ?: "no connection was opened"))
            channel == null -> Unit
            // The connections that are ready at this moment are read first: one of them may be that of the caller, who has left.
            clock() - started > UNREAD_LIMIT -> loop.schedule({ useIfWanted(channel) }, 0, TimeUnit.MILLISECONDS)
            else -> useIfWanted(channel)
        }
    }

    private fun useIfWanted(channel: Channel) {
        if (isCancelled || !call.isWanted()) channel.close() else use(channel)
    }

    private fun use(channel: Channel) {
        val handler = channel.connection
        connection = handler
        handler.begin(call, onEvent)
        if (!isReadEnabled) handler.setReading(false)
    }

    override fun cancel() = onLoop {
        isCancelled = true
        connection?.cancel(this.call)
    }

    override fun setReading(isEnabled: Boolean) = onLoop {
        isReadEnabled = isEnabled
        connection?.setReading(isEnabled, call)
    }

    override fun recordProgress() = onLoop { connection?.recordProgress(call) }

    private fun onLoop(action: () -> Unit) {
        if (loop.inEventLoop()) action() else loop.execute(action)
    }
}
