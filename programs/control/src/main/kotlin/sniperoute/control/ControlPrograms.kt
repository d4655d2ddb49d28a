/**
 * `sniperoute-control`: a replica of the control state, with the replicas and secrets that its settings name.
 */
package sniperoute.control

import sniperoute.common.ExitStatus
import sniperoute.common.serverSettings
import sniperoute.common.staticDiscovery
import sniperoute.connection.http.HttpServer
import sniperoute.connection.http.serve
import sniperoute.connection.peer.SharedSecretAuthentication
import sniperoute.process.agreement.decision.bootstrapLog
import sniperoute.process.clock.leaseClock
import sniperoute.process.storage.StorageError
import sniperoute.process.storage.initializeDataFolder
import sniperoute.process.timeline.message.EventKind
import kotlin.system.exitProcess

private const val HTTP_THREADS = 2
private const val PROGRAM = "sniperoute-control"

/** Runs a replica until it is stopped. With `form` as first argument, makes the data folder of a first replica instead. */
public fun main(arguments: Array<String>) {
    if (arguments.firstOrNull() == "form") {
        form(serverSettings("$PROGRAM form", arguments.drop(1).toTypedArray()) { controlSettings() })
    } else {
        runControlReplica(serverSettings(PROGRAM, arguments) { controlSettings() }.toParts(), ::refuse)
    }
}

private fun form(settings: ControlSettings) {
    val membership = foundingMembership(settings.replicas.map { it.vm })
    val self = foundingIdentity(settings.location.vm)
    initializeDataFolder(settings.dataFolder, self.disk, bootstrapLog(membership).snapshot).fold(
        ifLeft = { refuse(it) },
        ifRight = { println("formed $self of ${membership.voters.joinToString()}") },
    )
}

private fun refuse(failure: StorageError): Nothing {
    System.err.println("$PROGRAM: ${EventKind.LOG_REFUSED.number} ${failure.describe()}")
    exitProcess(ExitStatus.FAILURE)
}

private fun ControlSettings.toParts(): ControlReplicaOptions {
    val vm = location.vm
    val own = checkNotNull(secretOrNull(secretsFile, vm)) { "$secretsFile has no secret for $vm" }
    return ControlReplicaOptions(
        location = location,
        dataFolder = dataFolder,
        peers = peers,
        agreement = agreement,
        trust = SharedSecretAuthentication(own) { secretOrNull(secretsFile, it) },
        discovery = staticDiscovery(replicas),
        clock = leaseClock(),
        timelineEvents = timelineEvents,
        httpThreads = HTTP_THREADS,
        serveOperators = { office -> serve(office) },
    )
}

private fun ControlSettings.serve(office: OperatorPagesContext): HttpServer {
    val pages = OperatorPages(this, office.controlDuty, office.metrics, office.recorder, office.clock)
    return office.threads.serve(administration.host, administration.port, tls = tls, handle = pages::handle)
}
