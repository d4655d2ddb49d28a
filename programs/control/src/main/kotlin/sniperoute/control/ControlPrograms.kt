/**
 * `sniperoute-control`: a replica of the control state. It wires the duties of the agreement, of the storage and of the
 * control desk to the links with other processes and to the operators' HTTP pages.
 */
package sniperoute.control

import kotlinx.collections.immutable.toPersistentList
import sniperoute.common.ExitStatus
import sniperoute.common.awaitStop
import sniperoute.common.failTogether
import sniperoute.common.serverSettings
import sniperoute.connection.endpoint.endpointClient
import sniperoute.connection.http.HttpServer
import sniperoute.connection.http.serve
import sniperoute.connection.http.startHttpThreads
import sniperoute.connection.peer.dial
import sniperoute.connection.peer.listen
import sniperoute.connection.peer.message.PeerName
import sniperoute.connection.peer.message.PeerRole
import sniperoute.connection.peer.newPeerNetwork
import sniperoute.control.decision.AgreementStatus
import sniperoute.control.decision.newDeskState
import sniperoute.control.message.DeskInput
import sniperoute.control.message.SnapshotRestored
import sniperoute.process.agreement.decision.*
import sniperoute.process.agreement.message.Membership
import sniperoute.process.agreement.message.ReplicaIdentity
import sniperoute.process.clock.Clock
import sniperoute.process.clock.systemClock
import sniperoute.process.identity.DiskIdentity
import sniperoute.process.identity.VmName
import sniperoute.process.identity.newIncarnation
import sniperoute.process.identity.randomBits
import sniperoute.process.metrics.gauge
import sniperoute.process.metrics.newMetricsRegistry
import sniperoute.process.metrics.watch
import sniperoute.process.ring.Ring
import sniperoute.process.ring.ring
import sniperoute.process.storage.*
import sniperoute.process.timeline.Recorder
import sniperoute.process.timeline.message.EventKind
import sniperoute.process.timeline.startRecorder
import java.util.concurrent.atomic.AtomicReference
import kotlin.system.exitProcess

private const val AGREEMENT_RING = 8_192
private const val STORAGE_RING = 8_192
private const val DESK_RING = 8_192
private const val HTTP_THREADS = 2
private const val RETRY_PAUSE_MILLISECONDS = 200L
private const val HANDOVER_MILLISECONDS = 300L
private const val PROGRAM = "sniperoute-control"

/** Runs a replica until it is stopped. With `form` as first argument, makes the data folder of a first replica instead. */
public fun main(arguments: Array<String>) {
    if (arguments.firstOrNull() == "form") {
        form(serverSettings("$PROGRAM form", arguments.drop(1).toTypedArray()) { controlSettings() })
    } else {
        run(serverSettings(PROGRAM, arguments) { controlSettings() })
    }
}

/** Every VM's first replica has an identity that follows from its name, so that the first members know each other. */
private fun foundingIdentity(vm: VmName): ReplicaIdentity =
    ReplicaIdentity(
        vm,
        DiskIdentity(
            vm.text
                .hashCode()
                .toUInt()
                .toLong(),
        ),
    )

private fun form(settings: ControlSettings) {
    val membership = Membership(settings.replicas.map { foundingIdentity(it.vm) }.toPersistentList())
    val self = foundingIdentity(settings.location.vm)
    formDataFolder(settings.dataFolder, self.disk, foundingLog(membership).snapshot).fold(
        ifLeft = { refuse(it) },
        ifRight = { println("formed $self of ${membership.voters.joinToString()}") },
    )
}

private fun refuse(failure: StorageError): Nothing {
    System.err.println("$PROGRAM: ${EventKind.LOG_REFUSED.number} ${failure.describe()}")
    exitProcess(ExitStatus.FAILURE)
}

private fun run(settings: ControlSettings) {
    val clock = systemClock()
    val recorder = startRecorder("control@${settings.location.vm}", clock, settings.timelineEvents)
    val opened = openDataFolder(settings.dataFolder, DiskIdentity(randomBits())).fold({ refuse(it) }, { it })
    recorder.noteOpened(opened.recovered)
    ControlReplica(settings, opened, recorder, clock).run()
}

private fun Recorder.noteOpened(recovered: RecoveredReplica) {
    record(EventKind.PROCESS_STARTED)
    val log = recovered.log
    record(
        EventKind.LOG_OPENED,
        detail = "disk ${recovered.disk}, term ${recovered.term}, entries ${log.snapshot.index + 1} to ${log.lastIndex}",
    )
    if (recovered.cutBytes > 0) record(EventKind.LOG_TAIL_CUT, detail = "${recovered.cutBytes} bytes of an unfinished write")
    if (log.membership.voters.isEmpty()) record(EventKind.REPLICA_JOINED_EMPTY, detail = "disk ${recovered.disk}")
}

/** The wiring of one replica. */
private class ControlReplica(
    private val settings: ControlSettings,
    private val opened: OpenedFolder,
    private val recorder: Recorder,
    private val clock: Clock,
) {
    private val recovered = opened.recovered
    private val identity = ReplicaIdentity(settings.location.vm, recovered.disk)
    private val name = PeerName(identity.vm, PeerRole.REPLICA, newIncarnation(), identity.disk)
    private val agreementRing: Ring<AgreementInput> = ring("agreement", AGREEMENT_RING)
    private val storageRing: Ring<Order> = ring("storage", STORAGE_RING)
    private val deskRing: Ring<DeskInput> = ring("desk", DESK_RING)
    private val onFailure = failTogether(recorder)
    private val network = newPeerNetwork()
    private val httpThreads = startHttpThreads(HTTP_THREADS)
    private val links = ControlLinks(agreementRing, deskRing, recorder)
    private val initial = recoveredAgreement(
        self = identity,
        settings = settings.agreement,
        seed = name.incarnation.bits.toInt(),
        term = recovered.term,
        votedFor = recovered.votedFor,
        log = recovered.log,
        now = clock(),
    )
    private val status = AtomicReference<AgreementStatus>(initial.toStatus(clock()))
    private val metrics = newMetricsRegistry()

    fun run() {
        deskRing.put(SnapshotRestored(recovered.log.snapshot))
        startStorage()
        startAgreementDuty(agreementRing, initial, agreementOutlets(), clock, onFailure)
        val desk = startDesk()
        listenAndDial()
        val server = serveOperators(desk)
        recorder.record(EventKind.PROCESS_READY, detail = "administration on port ${server.port}")
        awaitStop {
            recorder.record(EventKind.PROCESS_STOPPING)
            agreementRing.put(HandOver)
            Thread.sleep(HANDOVER_MILLISECONDS)
            server.stopListening()
            network.close()
            httpThreads.close()
        }
    }

    private fun startStorage() {
        val outlets = StorageOutlets(
            append = opened.folder::append,
            replace = { opened.folder.replace(it.term, it.votedFor, it.log) },
            synced = { agreementRing.put(it) },
            send = { links.sendAgreement(it.to, it.message) },
            failed = {
                recorder.recordDiskFailure(it)
                agreementRing.offer(DiskFailed)
            },
            pause = { Thread.sleep(RETRY_PAUSE_MILLISECONDS) },
        )
        startStorageDuty(storageRing, outlets, onFailure)
    }

    private fun agreementOutlets() = AgreementOutlets(
        storage = storageRing,
        desk = deskRing,
        send = links::sendAgreement,
        broadcast = links::broadcastAgreement,
        status = status,
        recorder = recorder,
    )

    private fun startDesk(): DeskDuty {
        val client = endpointClient(httpThreads, clock)
        return startDeskDuty(deskRing, agreementRing, newDeskState(randomBits()), status, links, client::call, recorder, clock, onFailure)
    }

    private fun listenAndDial() {
        val handlers = links.handlers()
        network.listen(name, settings.peers.host, settings.peers.port, { secretOrNull(settings.secretsFile, it) }, handlers)
        val secret =
            checkNotNull(secretOrNull(settings.secretsFile, identity.vm)) { "${settings.secretsFile} has no secret for ${identity.vm}" }
        settings.replicas.filter { it.vm != identity.vm }.forEach { network.dial(name, it, secret, links.dialerHandlers()) }
    }

    private fun serveOperators(desk: DeskDuty): HttpServer {
        listOf(agreementRing, storageRing, deskRing).forEach(metrics::watch)
        metrics.gauge("sniperoute_agreement_term", "The agreement's term.") { status.get().term.toDouble() }
        metrics.gauge("sniperoute_agreement_committed", "The last committed entry.") { status.get().committed.toDouble() }
        metrics.gauge("sniperoute_agreement_leads", "1 when this replica leads.") { if (status.get().isLeader) 1.0 else 0.0 }
        val pages = OperatorPages(settings, desk, metrics, recorder, clock)
        return httpThreads.serve(settings.administration.host, settings.administration.port, tls = settings.tls, handle = pages::handle)
    }
}
