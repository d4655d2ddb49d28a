/**
 * The wiring of one control replica: the duties of the agreement, of the storage and of control, the links with other
 * processes and the operators' pages.
 */
package sniperoute.control

import kotlinx.collections.immutable.toPersistentList
import sniperoute.common.GroupDiscovery
import sniperoute.common.ListenAddress
import sniperoute.common.ProcessLocation
import sniperoute.common.haltOnDutyFailure
import sniperoute.common.runUntilShutdown
import sniperoute.connection.endpoint.EndpointClient
import sniperoute.connection.endpoint.endpointClient
import sniperoute.connection.http.HttpServer
import sniperoute.connection.http.HttpThreads
import sniperoute.connection.http.startHttpThreads
import sniperoute.connection.peer.*
import sniperoute.connection.peer.message.PeerName
import sniperoute.connection.peer.message.PeerRole
import sniperoute.control.codec.restored
import sniperoute.control.decision.AgreementStatus
import sniperoute.control.decision.FleetSettings
import sniperoute.control.decision.newControlDutyState
import sniperoute.control.message.ControlInput
import sniperoute.process.agreement.decision.*
import sniperoute.process.agreement.message.Membership
import sniperoute.process.agreement.message.ReplicaIdentity
import sniperoute.process.clock.Clock
import sniperoute.process.identity.DiskIdentity
import sniperoute.process.identity.VmName
import sniperoute.process.identity.newIncarnation
import sniperoute.process.identity.randomBits
import sniperoute.process.metrics.MetricsRegistry
import sniperoute.process.metrics.gauge
import sniperoute.process.metrics.newMetricsRegistry
import sniperoute.process.metrics.registerRing
import sniperoute.process.ring.Ring
import sniperoute.process.ring.ring
import sniperoute.process.storage.*
import sniperoute.process.timeline.EventRecorder
import sniperoute.process.timeline.message.EventKind
import sniperoute.process.timeline.startEventRecorder
import java.nio.file.Path
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration.Companion.milliseconds

private const val AGREEMENT_RING = 8_192
private const val STORAGE_RING = 8_192
private const val CONTROL_RING = 8_192
private const val RETRY_PAUSE_MILLISECONDS = 200L
private const val HANDOVER_MILLISECONDS = 300L
private val DUTY_PATIENCE = 200.milliseconds

/** What operators' pages are made of. */
public class OperatorPagesContext internal constructor(
    public val threads: HttpThreads,
    public val controlDuty: ControlDuty,
    public val metrics: MetricsRegistry,
    public val recorder: EventRecorder,
    public val clock: Clock,
)

/** Starts serving operators. */
public typealias ServeOperators = (OperatorPagesContext) -> HttpServer

/** Returns how the replica speaks with endpoints, given its client. */
public typealias OpenEndpointGateway = (EndpointClient, EventRecorder) -> EndpointGateway

/** What one control replica is made of; an empty folder is formed with the members [founding], if there are any. */
public class ControlReplicaOptions(
    public val location: ProcessLocation,
    public val dataFolder: Path,
    public val peers: ListenAddress,
    public val agreement: AgreementSettings,
    public val trust: PeerAuthentication,
    public val discovery: GroupDiscovery,
    public val clock: Clock,
    public val timelineEvents: Int,
    public val httpThreads: Int,
    public val founding: List<VmName> = emptyList(),
    public val fleet: FleetSettings = FleetSettings(),
    public val openEndpointGateway: OpenEndpointGateway = { client, _ -> EndpointGateway(client::call) },
    public val serveOperators: ServeOperators,
)

/** Every VM's first replica has an identity that follows from its name, so that the first members know each other. */
internal fun foundingIdentity(vm: VmName): ReplicaIdentity =
    ReplicaIdentity(
        vm,
        DiskIdentity(
            vm.text
                .hashCode()
                .toUInt()
                .toLong(),
        ),
    )

/** Returns the membership of a group that [vms] form. */
internal fun foundingMembership(vms: List<VmName>): Membership = Membership(vms.map(::foundingIdentity).toPersistentList())

/** Runs a replica until it is stopped. */
public fun runControlReplica(parts: ControlReplicaOptions, onUnusable: (StorageError) -> Nothing) {
    val recorder = startEventRecorder("control@${parts.location.vm}", parts.clock, parts.timelineEvents)
    if (parts.founding.isNotEmpty()) parts.formIfEmpty(recorder).onLeft { onUnusable(it) }
    val opened = openDataFolder(parts.dataFolder, DiskIdentity(randomBits())).fold({ onUnusable(it) }, { it })
    recorder.noteOpened(opened.recovered)
    ControlReplica(parts, opened, recorder).run()
}

private fun ControlReplicaOptions.formIfEmpty(recorder: EventRecorder) = initializeDataFolderIfEmpty(
    dataFolder,
    foundingIdentity(location.vm).disk,
    bootstrapLog(foundingMembership(founding)).snapshot,
).onRight { isFormed ->
    if (isFormed) recorder.record(EventKind.GROUP_FORMED, detail = "with ${founding.joinToString()}")
}

private fun EventRecorder.noteOpened(recovered: RecoveredReplica) {
    record(EventKind.PROCESS_STARTED)
    val log = recovered.log
    record(
        EventKind.LOG_OPENED,
        detail = "disk ${recovered.disk}, term ${recovered.term}, entries ${log.snapshot.index + 1} to ${log.lastIndex}",
    )
    if (recovered.truncatedBytes > 0) record(EventKind.LOG_TAIL_CUT, detail = "${recovered.truncatedBytes} bytes of an unfinished write")
    if (log.membership.voters.isEmpty()) record(EventKind.REPLICA_JOINED_EMPTY, detail = "disk ${recovered.disk}")
}

private class ControlReplica(
    private val parts: ControlReplicaOptions,
    private val opened: OpenDataFolder,
    private val recorder: EventRecorder,
) {
    private val clock = parts.clock
    private val recovered = opened.recovered
    private val identity = ReplicaIdentity(parts.location.vm, recovered.disk)
    private val name = PeerName(identity.vm, PeerRole.REPLICA, newIncarnation(), identity.disk)
    private val agreementRing: Ring<AgreementInput> = ring("agreement", AGREEMENT_RING)
    private val storageRing: Ring<AgreementEffect> = ring("storage", STORAGE_RING)
    private val controlRing: Ring<ControlInput> = ring("desk", CONTROL_RING)
    private val onFailure = haltOnDutyFailure(recorder)
    private val network = newPeerNetwork()
    private val httpThreads = startHttpThreads(parts.httpThreads)
    private val client = endpointClient(httpThreads, clock)
    private val links = ControlLinks(::dial, agreementRing, controlRing, recorder)
    private val initial = recoverAgreementState(
        self = identity,
        settings = parts.agreement,
        seed = name.incarnation.bits.toInt(),
        term = recovered.term,
        votedFor = recovered.votedFor,
        log = recovered.log,
        now = clock(),
    )
    private val status = AtomicReference<AgreementStatus>(initial.toStatus(clock()))
    private val metrics = newMetricsRegistry()

    fun run() {
        controlRing.put(restored(recovered.log.snapshot))
        startStorage()
        startAgreementDuty(agreementRing, initial, agreementOutlets(), clock, onFailure)
        val controlDuty = startControl()
        network.listen(name, parts.peers.host, parts.peers.port, parts.trust, links.handlers())
        links.dialings.setTargets(
            others(
                recovered.log.membership.members
                    .map { it.vm } + parts.discovery.seeds(recorder),
            ),
        )
        val server = serveOperators(controlDuty)
        recorder.record(EventKind.PROCESS_READY, detail = "operators on port ${server.port}")
        runUntilShutdown { stop(server, controlDuty) }
    }

    /** Duties end before the threads that perform their effects. */
    private fun stop(server: HttpServer, controlDuty: ControlDuty) {
        recorder.record(EventKind.PROCESS_STOPPING)
        agreementRing.put(TransferLeadership)
        Thread.sleep(HANDOVER_MILLISECONDS)
        server.stopListening()
        controlDuty.duty?.stop(DUTY_PATIENCE)
        network.close()
        httpThreads.close()
    }

    private fun dial(vm: VmName, handlers: PeerHandlers): ReconnectingLink? =
        parts.discovery.addressOf(vm)?.let { network.dial(name, it, parts.trust, handlers) }

    private fun others(vms: Collection<VmName>): List<VmName> = vms.filter { it != identity.vm }.distinct()

    private fun startStorage() {
        val outlets = StorageEffectHandlers(
            append = opened.folder::append,
            replace = { opened.folder.replace(it.term, it.votedFor, it.log) },
            synced = { agreementRing.put(it) },
            send = { links.sendAgreement(it.to, it.message) },
            failed = {
                recorder.recordStorageError(it)
                agreementRing.offer(DiskWriteFailed)
            },
            pause = { Thread.sleep(RETRY_PAUSE_MILLISECONDS) },
        )
        startStorageDuty(storageRing, outlets, onFailure)
    }

    private fun agreementOutlets() = AgreementEffectHandlers(
        storage = storageRing,
        controlDuty = controlRing,
        send = links::sendAgreement,
        broadcast = { message ->
            links.dialings.addTargets(others(parts.discovery.seeds(recorder)))
            links.broadcastAgreement(message)
        },
        members = { vms -> links.dialings.setTargets(others(vms)) },
        learned = { vms -> links.dialings.addTargets(others(vms)) },
        status = status,
        recorder = recorder,
    )

    private fun startControl(): ControlDuty {
        val office = parts.openEndpointGateway(client, recorder)
        val state = newControlDutyState(randomBits(), parts.fleet)
        return startControlDuty(controlRing, agreementRing, state, status, links, office, recorder, clock, onFailure)
    }

    private fun serveOperators(controlDuty: ControlDuty): HttpServer {
        listOf(agreementRing, storageRing, controlRing).forEach(metrics::registerRing)
        metrics.gauge("sniperoute_agreement_term", "The agreement's term.") { status.get().term.toDouble() }
        metrics.gauge("sniperoute_agreement_committed", "The last committed entry.") { status.get().committed.toDouble() }
        metrics.gauge("sniperoute_agreement_leads", "1 when this replica leads.") { if (status.get().isLeader) 1.0 else 0.0 }
        return parts.serveOperators(OperatorPagesContext(httpThreads, controlDuty, metrics, recorder, clock))
    }
}
