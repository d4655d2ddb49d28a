/**
 * Settings of a router.
 */
package sniperoute.router

import kotlinx.collections.immutable.ImmutableList
import sniperoute.common.ListenAddress
import sniperoute.common.Operator
import sniperoute.common.PEER_PORT_RANGE
import sniperoute.common.ProcessLocation
import sniperoute.common.controlPeers
import sniperoute.common.listenAddress
import sniperoute.common.location
import sniperoute.common.operators
import sniperoute.common.secretFile
import sniperoute.common.tlsFilesOrNull
import sniperoute.connection.http.HttpLimits
import sniperoute.connection.http.TlsFiles
import sniperoute.connection.peer.PeerAddress
import sniperoute.process.settings.ObjectReader
import sniperoute.request.routing.decision.PlacementPolicy
import sniperoute.request.routing.decision.placementPolicyOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The settings of one router. */
public class RouterSettings(
    public val location: ProcessLocation,
    public val callers: ListenAddress,
    public val administration: ListenAddress,
    public val tls: TlsFiles?,
    public val replicas: ImmutableList<PeerAddress>,
    public val secret: ByteArray,
    public val operators: ImmutableList<Operator>,
    public val threads: Int,
    public val limits: HttpLimits,
    public val placement: PlacementPolicy,
    public val platformList: ListenAddress?,
    public val drain: Duration,
    public val timelineEvents: Int,
)

private val THREAD_RANGE = 1L..64L
private val HEADER_BYTES_RANGE = 1_024L..1_048_576L

/** 0 stands for as many lines as the bytes of a head allow. */
private val HEADER_LINES_RANGE = 0L..1_000_000L
private val BODY_BYTES_RANGE = 1_024L..268_435_456L
private val DRAIN_MILLISECONDS_RANGE = 0L..3_600_000L
private val TIMELINE_EVENTS_RANGE = 100L..1_000_000L
private const val DEFAULT_TIMELINE_EVENTS = 20_000L
private const val DEFAULT_PLACEMENT = "soonest-token"

/** Reads the settings of a router. */
internal fun ObjectReader.routerSettings(): RouterSettings {
    val defaults = HttpLimits()
    return RouterSettings(
        location = location(),
        callers = listenAddress("callers"),
        administration = listenAddress("administration"),
        tls = tlsFilesOrNull("tls"),
        replicas = controlPeers(),
        secret = secretFile("secretFile"),
        operators = operators(),
        threads = long("threads", THREAD_RANGE, default = 2).toInt(),
        limits = objectOrNull("limits") {
            defaults.copy(
                headerBytes = long("headerBytes", HEADER_BYTES_RANGE, defaults.headerBytes.toLong()).toInt(),
                maxHeaderLines = long("headerLines", HEADER_LINES_RANGE, default = 0).toInt().takeIf { it > 0 },
                bodyBytes = long("bodyBytes", BODY_BYTES_RANGE, defaults.bodyBytes.toLong()).toInt(),
            )
        } ?: defaults,
        placement = placement(),
        platformList = objectOrNull("platformList") { ListenAddress(string("host"), long("port", PEER_PORT_RANGE).toInt()) },
        drain = milliseconds("drainMilliseconds", DRAIN_MILLISECONDS_RANGE, 30.seconds),
        timelineEvents = long("timelineEvents", TIMELINE_EVENTS_RANGE, DEFAULT_TIMELINE_EVENTS).toInt(),
    )
}

private fun ObjectReader.placement(): PlacementPolicy {
    val name = string("placement", default = DEFAULT_PLACEMENT)
    val policy = placementPolicyOrNull(name)
    if (policy == null) addError("placement", "there is no policy \"$name\"", "soonest-token, round-robin, least-load or prefix-hash")
    return policy ?: checkNotNull(placementPolicyOrNull(DEFAULT_PLACEMENT))
}
