/**
 * The program `sniperoute-router`: receives callers' requests and routes them to endpoints. It stores nothing on disk; it has all state
 * that it needs again within a second of its start.
 */
package sniperoute.router

import sniperoute.common.authenticateOrNull
import sniperoute.common.commonPageOrNull
import sniperoute.common.noEndpointList
import sniperoute.common.notFoundPage
import sniperoute.common.reply
import sniperoute.common.serverSettings
import sniperoute.common.staticDiscovery
import sniperoute.common.unauthenticatedPages
import sniperoute.common.unauthorizedPage
import sniperoute.connection.endpoint.RequestIdHeader
import sniperoute.connection.endpoint.message.EndpointAddress
import sniperoute.connection.http.Exchange
import sniperoute.connection.http.HttpServer
import sniperoute.connection.http.roomForPages
import sniperoute.connection.http.serve
import sniperoute.connection.peer.SharedSecretAuthentication
import sniperoute.process.clock.systemClock
import sniperoute.process.identity.newIncarnation
import sniperoute.process.ring.ring
import sniperoute.request.admission.decision.StopTiming
import sniperoute.request.routing.decision.RoutingSettings
import sniperoute.request.routing.message.RequestId
import sniperoute.request.run.codec.nativeProtocol
import sniperoute.router.decision.SessionSettings

private const val WATCH_RING_CAPACITY = 1_024
private const val PROGRAM = "sniperoute-router"

/** Runs a router until it is stopped. */
public fun main(arguments: Array<String>): Unit = runRouter(serverSettings(PROGRAM, arguments) { routerSettings() }.toOptions())

private fun RouterSettings.toOptions(): RouterOptions = RouterOptions(
    location = location,
    callers = callers,
    tls = tls,
    discovery = staticDiscovery(replicas),
    trust = SharedSecretAuthentication(secret) { null },
    frontEnd = nativeFrontEnd(),
    placement = placement,
    routing = RoutingSettings(),
    session = SessionSettings(),
    listEndpoints = { _, _ -> noEndpointList },
    watchEndpoints = { client, routing, recorder, onFailure ->
        val inbox = ring<WatchInput>("watch", WATCH_RING_CAPACITY)
        val platform = platformList?.let { EndpointAddress(it.host, it.port) }
        startWatchDuty(EndpointWatchContext(inbox, routing, client::call, recorder, platform), systemClock(), onFailure)
        val onCatalogue: OnCatalogue = { inbox.offer(CatalogueChanged(it)) }
        onCatalogue
    },
    serveAdministration = ::serveAdministration,
    resources = RouterResources(threads),
    stopTiming = StopTiming(READINESS_LAG, READINESS_LAG + drain),
    timelineEvents = timelineEvents,
)

private fun RouterSettings.nativeFrontEnd(): FrontEnd {
    val incarnation = newIncarnation()
    return FrontEnd(
        protocol = nativeProtocol(),
        echo = RequestIdHeader(),
        identify = { _, number -> RequestId("$incarnation-$number") },
        createRun = ::createRun,
        httpLimits = { limits },
    )
}

private fun RouterSettings.serveAdministration(context: RouterPagesContext): HttpServer =
    context.threads.serve(administration.host, administration.port, tls = tls, room = roomForPages()) { administer(it, context) }

private fun RouterSettings.administer(exchange: Exchange, context: RouterPagesContext) {
    val path = exchange.head.path
    val isAllowed = path in unauthenticatedPages || operators.authenticateOrNull(exchange.head) != null
    exchange.reply(
        when {
            !isAllowed -> unauthorizedPage()
            path == "/endpoints" -> endpointsPage(context.routing.get(), context.clock())
            else -> commonPageOrNull(exchange, context.metrics, context.recorder, context.unreadyReason) ?: notFoundPage(path)
        },
    )
}
