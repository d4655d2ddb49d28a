/**
 * Resolution of host names. The JDK's look-up blocks, so it runs on a thread of its own, which starts with the first look-up; addresses
 * that are IP numbers need none.
 */
package sniperoute.connection.endpoint

import io.netty.resolver.AddressResolver
import io.netty.resolver.AddressResolverGroup
import io.netty.resolver.InetNameResolver
import io.netty.util.concurrent.DefaultEventExecutor
import io.netty.util.concurrent.EventExecutor
import io.netty.util.concurrent.Promise
import io.netty.util.concurrent.RejectedExecutionHandlers
import sniperoute.process.duty.namedThreads
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.UnknownHostException
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A look-up that takes longer fails; so does one that finds [MAX_WAITING_LOOKUPS] before it. */
private val LOOKUP_TIMEOUT: Duration = 500.milliseconds
private const val MAX_WAITING_LOOKUPS = 256

/** The resolvers of all event loops. */
internal class HostNameResolvers : AddressResolverGroup<InetSocketAddress>() {
    private val lookups =
        DefaultEventExecutor(null, namedThreads("host-names"), MAX_WAITING_LOOKUPS, RejectedExecutionHandlers.reject())

    override fun newResolver(executor: EventExecutor): AddressResolver<InetSocketAddress> =
        HostNameResolver(executor, lookups).asAddressResolver()
}

private class HostNameResolver(private val loop: EventExecutor, private val lookups: EventExecutor) : InetNameResolver(loop) {
    override fun doResolve(name: String, promise: Promise<InetAddress>) = lookUp(promise) { InetAddress.getByName(name) }

    override fun doResolveAll(name: String, promise: Promise<List<InetAddress>>) =
        lookUp(promise) { InetAddress.getAllByName(name).asList() }

    private fun <T> lookUp(promise: Promise<T>, find: () -> T) {
        val failure = { reason: String -> promise.tryFailure(UnknownHostException(reason)) }
        loop.schedule({ failure("the look-up of the host took too long") }, LOOKUP_TIMEOUT.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        try {
            lookups.execute {
                try {
                    promise.trySuccess(find())
                } catch (unknown: UnknownHostException) {
                    promise.tryFailure(unknown)
                }
            }
        } catch (_: RejectedExecutionException) {
            failure("too many look-ups of hosts wait")
        }
    }
}
