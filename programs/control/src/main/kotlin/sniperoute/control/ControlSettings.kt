/**
 * Settings of a control replica.
 */
package sniperoute.control

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toPersistentSet
import sniperoute.common.ListenAddress
import sniperoute.common.Operator
import sniperoute.common.ProcessLocation
import sniperoute.common.controlPeers
import sniperoute.common.listenAddress
import sniperoute.common.location
import sniperoute.common.operators
import sniperoute.common.readableFile
import sniperoute.common.tlsFilesOrNull
import sniperoute.connection.http.TlsFiles
import sniperoute.connection.peer.PeerAddress
import sniperoute.process.agreement.decision.AgreementSettings
import sniperoute.process.identity.VmName
import sniperoute.process.settings.ObjectReader
import sniperoute.process.settings.readValidatedFile
import java.nio.file.Path
import kotlin.time.Duration.Companion.milliseconds

/** The settings of one control replica. */
public data class ControlSettings(
    public val location: ProcessLocation,
    public val dataFolder: Path,
    public val peers: ListenAddress,
    public val administration: ListenAddress,
    public val tls: TlsFiles?,
    public val replicas: ImmutableList<PeerAddress>,
    public val secretsFile: Path,
    public val operators: ImmutableList<Operator>,
    public val agreement: AgreementSettings,
    public val timelineEvents: Int,
)

private val HEARTBEAT_RANGE = 10L..1_000L
private val ELECTION_RANGE = 50L..1_000L
private val TIMELINE_RANGE = 100L..1_000_000L
private const val DEFAULT_TIMELINE = 20_000L
private const val HEARTBEATS_IN_ELECTION = 3

/** Reads the settings of a control replica. */
internal fun ObjectReader.controlSettings(): ControlSettings {
    val replicas = controlPeers()
    return ControlSettings(
        location = location(),
        dataFolder = Path.of(string("dataFolder")),
        peers = listenAddress("peers"),
        administration = listenAddress("administration"),
        tls = tlsFilesOrNull("tls"),
        replicas = replicas,
        secretsFile = readableFile("secretsFile"),
        operators = operators(),
        agreement = objectOrNull("agreement") { agreementSettings(replicas) }
            ?: AgreementSettings(replicas.map { it.vm }.toPersistentSet()),
        timelineEvents = long("timelineEvents", TIMELINE_RANGE, DEFAULT_TIMELINE).toInt(),
    )
}

private fun ObjectReader.agreementSettings(replicas: List<PeerAddress>): AgreementSettings {
    val defaults = AgreementSettings(replicas.map { it.vm }.toPersistentSet())
    val settings = defaults.copy(
        heartbeatInterval = milliseconds("heartbeatMilliseconds", HEARTBEAT_RANGE, defaults.heartbeatInterval),
        minimumElectionTimeout = milliseconds("electionMinimumMilliseconds", ELECTION_RANGE, defaults.minimumElectionTimeout),
        maximumElectionTimeout = milliseconds("electionMaximumMilliseconds", ELECTION_RANGE, defaults.maximumElectionTimeout),
    )
    if (settings.minimumElectionTimeout < settings.heartbeatInterval * HEARTBEATS_IN_ELECTION) {
        addError("electionMinimumMilliseconds", "it is ${settings.minimumElectionTimeout}", "at least three heartbeats")
    }
    if (settings.maximumElectionTimeout < settings.minimumElectionTimeout + 50.milliseconds) {
        addError("electionMaximumMilliseconds", "it is ${settings.maximumElectionTimeout}", "at least 50 ms above the minimum")
    }
    return settings
}

/** Returns the secret of [vm] in [file], read anew at each call so that new VMs need no restart; `null` when there is none. */
internal fun secretOrNull(file: Path, vm: VmName): ByteArray? =
    readValidatedFile(file) { names().associateWith { string(it) } }.getOrNull()?.get(vm.text)?.toByteArray()
