/**
 * The composition of one control replica: its agreement, storage and control duties, its links to other processes and its pages for
 * operators.
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
import sniperoute.connection.http.CallerRoom
import sniperoute.connection.http.HttpServer
import sniperoute.connection.http.HttpThreads
import sniperoute.connection.http.callerBudget
import sniperoute.connection.http.registerCallers
import sniperoute.connection.http.startHttpThreads
import sniperoute.connection.peer.*
import sniperoute.connection.peer.message.PeerName
import sniperoute.connection.peer.message.PeerRole
import sniperoute.control.decision.AgreementStatus
import sniperoute.control.decision.FleetSettings
import sniperoute.control.decision.evacuatedDomains
import sniperoute.control.decision.newControlDutyState
import sniperoute.control.message.EncodedSnapshot
import sniperoute.control.message.QueuedControlInput
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

private const val AGREEMENT_RING_CAPACITY = 8_192
private const val STORAGE_RING_CAPACITY = 8_192
private const val CONTROL_RING_CAPACITY = 8_192
private const val STORAGE_RETRY_MILLISECONDS = 200L
private const val HANDOVER_MILLISECONDS = 300L
private val DUTY_STOP_TIMEOUT = 200.milliseconds

/** What operators' pages use. */
public class OperatorPagesContext internal constructor(
    public val threads: HttpThreads,
    public val controlDuty: ControlDuty,
    public val metrics: MetricsRegistry,
    public val recorder: EventRecorder,
    public val clock: Clock,
    public val room: CallerRoom,
)

/** Starts serving operators. */
public typealias ServeOperators = (OperatorPagesContext) -> HttpServer

/** Returns the replica's access to endpoints over the given client. */
public typealias OpenEndpointGateway = (EndpointClient, EventRecorder) -> EndpointGateway

/**
 * The settings and functions that one control replica runs with. An empty data folder is initialized with the members [founding],
 * unless there are none.
 */
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
    public val descriptors: Long = Long.MAX_VALUE,
)

/** Returns the identity of the first replica on [vm]. It is derived from the name, so that the founding members know each other's. */
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

/** Returns the membership of a group whose founding members are on [vms]. */
internal fun foundingMembership(vms: List<VmName>): Membership = Membership(vms.map(::foundingIdentity).toPersistentList())

/** Runs a replica until it is stopped; [onUnusable] is called when the data folder can't be used. */
public fun runControlReplica(options: ControlReplicaOptions, onUnusable: (StorageError) -> Nothing) {
    val recorder = startEventRecorder("control@${options.location.vm}", options.clock, options.timelineEvents)
    if (options.founding.isNotEmpty()) options.formIfEmpty(recorder).onLeft { onUnusable(it) }
    val opened = openDataFolder(options.dataFolder, DiskIdentity(randomBits())).fold({ onUnusable(it) }, { it })
    recorder.recordOpened(opened.recovered)
    ControlReplica(options, opened, recorder).run()
}

private fun ControlReplicaOptions.formIfEmpty(recorder: EventRecorder) = initializeDataFolderIfEmpty(
    dataFolder,
    foundingIdentity(location.vm).disk,
    bootstrapLog(foundingMembership(founding)).snapshot,
).onRight { isFormed ->
    if (isFormed) recorder.record(EventKind.GROUP_FORMED, detail = "with ${founding.joinToString()}")
}

private fun EventRecorder.recordOpened(recovered: RecoveredReplica) {
    record(EventKind.PROCESS_STARTED)
    val log = recovered.log
    record(
        EventKind.LOG_OPENED,
        detail = "disk ${recovered.disk}, term ${recovered.term}, entries ${log.snapshot.index + 1} to ${log.lastIndex}",
    )
    if (recovered.truncatedBytes > 0) record(EventKind.LOG_TAIL_CUT, detail = "${recovered.truncatedBytes} bytes of an incomplete write")
    if (log.membership.voters.isEmpty()) record(EventKind.REPLICA_JOINED_EMPTY, detail = "disk ${recovered.disk}")
}

private class ControlReplica(
    private val options: ControlReplicaOptions,
    private val opened: OpenDataFolder,
    private val recorder: EventRecorder,
) {
    private val clock = options.clock
    private val recovered = opened.recovered
    private val identity = ReplicaIdentity(options.location.vm, recovered.disk)
    private val name = PeerName(identity.vm, PeerRole.REPLICA, newIncarnation(), identity.disk)
    private val agreementRing: Ring<AgreementInput> = ring("agreement", AGREEMENT_RING_CAPACITY)
    private val storageRing: Ring<AgreementEffect> = ring("storage", STORAGE_RING_CAPACITY)
    private val controlRing: Ring<QueuedControlInput> = ring("desk", CONTROL_RING_CAPACITY)
    private val onFailure = haltOnDutyFailure(recorder)
    private val network = newPeerNetwork()
    private val httpThreads = startHttpThreads(options.httpThreads)
    private val client = endpointClient(httpThreads, clock)
    private val links = ControlLinks(::dial, agreementRing, controlRing, recorder)
    private val initial = recoverAgreementState(
        self = identity,
        settings = options.agreement,
        seed = name.incarnation.bits.toInt(),
        term = recovered.term,
        votedFor = recovered.votedFor,
        log = recovered.log,
        now = clock(),
    )
    private val status = AtomicReference<AgreementStatus>(initial.toStatus(clock()))
    private val metrics = newMetricsRegistry()

    fun run() {
        controlRing.put(EncodedSnapshot(recovered.log.snapshot))
        startStorage()
        startAgreementDuty(agreementRing, initial, agreementHandlers(), clock, onFailure)
        val controlDuty = newControlDuty()
        network.listen(name, options.peers.host, options.peers.port, options.trust, links.handlers())
        links.reconnectingLinks.setTargets(
            others(
                recovered.log.membership.members
                    .map { it.vm } + options.discovery.seeds(recorder),
            ),
        )
        val server = serveOperators(controlDuty)
        recorder.record(EventKind.PROCESS_READY, detail = "operators on port ${server.port}")
        runUntilShutdown { stop(server, controlDuty) }
    }

    /** Hands over leadership, then stops the control duty before the threads that perform its effects. */
    private fun stop(server: HttpServer, controlDuty: ControlDuty) {
        recorder.record(EventKind.PROCESS_STOPPING)
        agreementRing.put(TransferLeadership)
        Thread.sleep(HANDOVER_MILLISECONDS)
        server.stopListening()
        controlDuty.duty?.stop(DUTY_STOP_TIMEOUT)
        network.close()
        httpThreads.close()
    }

    private fun dial(vm: VmName, handlers: PeerHandlers): ReconnectingLink? =
        options.discovery.addressOf(vm)?.let { network.dial(name, it, options.trust, handlers) }

    private fun others(vms: Collection<VmName>): List<VmName> = vms.filter { it != identity.vm }.distinct()

    private fun startStorage() {
        val handlers = StorageEffectHandlers(
            append = opened.folder::append,
            replace = { opened.folder.replace(it.term, it.votedFor, it.log) },
            onSynced = { agreementRing.put(it) },
            send = { links.sendAgreement(it.to, it.message) },
            onWriteFailed = {
                recorder.recordStorageError(it)
                agreementRing.offer(DiskWriteFailed)
            },
            pause = { Thread.sleep(STORAGE_RETRY_MILLISECONDS) },
        )
        startStorageDuty(storageRing, handlers, onFailure)
    }

    private fun agreementHandlers() = AgreementEffectHandlers(
        storage = storageRing,
        control = controlRing,
        send = links::sendAgreement,
        broadcast = { message ->
            links.reconnectingLinks.addTargets(others(options.discovery.seeds(recorder)))
            links.broadcastAgreement(message)
        },
        onMembersChanged = { vms -> links.reconnectingLinks.setTargets(others(vms)) },
        addKnownMembers = { vms -> links.reconnectingLinks.addTargets(others(vms)) },
        status = status,
        recorder = recorder,
    )

    private fun newControlDuty(): ControlDuty {
        val gateway = options.openEndpointGateway(client, recorder)
        val state = newControlDutyState(randomBits(), options.fleet)
        return startControlDuty(controlRing, agreementRing, state, status, links, gateway, recorder, clock, onFailure)
    }

    private fun serveOperators(controlDuty: ControlDuty): HttpServer {
        listOf(agreementRing, storageRing, controlRing).forEach(metrics::registerRing)
        metrics.gauge("sniperoute_agreement_term", "The agreement's term.") { status.get().term.toDouble() }
        metrics.gauge("sniperoute_agreement_committed", "The last committed entry.") { status.get().commitIndex.toDouble() }
        metrics.gauge("sniperoute_agreement_leads", "1 when this replica leads.") { if (status.get().isLeader) 1.0 else 0.0 }
        metrics.gauge("sniperoute_evacuated_domains", "Failure domains whose endpoints get no new requests.") {
            controlDuty.latestState
                .get()
                .replicatedState
                .evacuatedDomains()
                .size
                .toDouble()
        }
        metrics.gauge(
            "sniperoute_session_refused",
            "Router messages answered with \"not the leader\".",
        ) { links.notLeaderReplyCount.toDouble() }
        val budget = callerBudget(options.descriptors, clock = clock) { recorder.record(EventKind.CALLERS_LIMITED, detail = it) }
        metrics.registerCallers(budget)
        return options.serveOperators(OperatorPagesContext(httpThreads, controlDuty, metrics, recorder, clock, CallerRoom(budget)))
    }
}
