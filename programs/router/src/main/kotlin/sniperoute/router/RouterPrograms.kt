/**
 * `sniperoute-router`: takes callers' requests and sends them to endpoints. It keeps nothing on disk; what it needs it has
 * again within a second of its start.
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
import sniperoute.connection.http.serve
import sniperoute.connection.peer.SharedSecretAuthentication
import sniperoute.process.clock.systemClock
import sniperoute.process.identity.newIncarnation
import sniperoute.process.ring.ring
import sniperoute.request.routing.decision.RoutingSettings
import sniperoute.request.routing.message.RequestId
import sniperoute.request.run.codec.nativeProtocol
import sniperoute.router.decision.SessionSettings

private const val WATCH_RING = 1_024
private const val PROGRAM = "sniperoute-router"

/** Runs a router until it is stopped. */
public fun main(arguments: Array<String>): Unit = runRouter(serverSettings(PROGRAM, arguments) { routerSettings() }.toParts())

private fun RouterSettings.toParts(): RouterOptions = RouterOptions(
    location = location,
    callers = callers,
    tls = tls,
    discovery = staticDiscovery(replicas),
    trust = SharedSecretAuthentication(secret) { null },
    frontEnd = ownFrontEnd(),
    placement = placement,
    routing = RoutingSettings(),
    session = SessionSettings(),
    listEndpoints = { _, _ -> noEndpointList },
    watchEndpoints = { client, routing, recorder, onFailure ->
        val inbox = ring<WatchInput>("watch", WATCH_RING)
        val platform = platformList?.let { EndpointAddress(it.host, it.port) }
        startWatchDuty(WatchOutlets(inbox, routing, client::call, recorder, platform), systemClock(), onFailure)
        val onCatalogue: OnCatalogue = { inbox.offer(WatchCatalogue(it)) }
        onCatalogue
    },
    serveAdministration = ::serveAdministration,
    threads = threads,
    drain = drain,
    timelineEvents = timelineEvents,
)

private fun RouterSettings.ownFrontEnd(): FrontEnd {
    val incarnation = newIncarnation()
    return FrontEnd(
        dialect = nativeProtocol(),
        echo = RequestIdHeader(),
        identify = { _, number -> RequestId("$incarnation-$number") },
        createRun = ::createRun,
        httpLimits = { limits },
    )
}

private fun RouterSettings.serveAdministration(office: RouterPagesContext): HttpServer =
    office.threads.serve(administration.host, administration.port, tls = tls) { administer(it, office) }

private fun RouterSettings.administer(exchange: Exchange, office: RouterPagesContext) {
    val path = exchange.head.path
    val isAllowed = path in unauthenticatedPages || operators.authenticateOrNull(exchange.head) != null
    exchange.reply(
        when {
            !isAllowed -> unauthorizedPage()
            path == "/endpoints" -> endpointsPage(office.routing.get(), office.clock())
            else -> commonPageOrNull(exchange, office.metrics, office.recorder, office.unreadyReason) ?: notFoundPage(path)
        },
    )
}
