/**
 * The program `sniperoute-control`: a control replica whose settings list all replicas and a file of secrets.
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

/** Runs a replica until it is stopped. With `form` as first argument, creates the data folder of a founding member instead. */
public fun main(arguments: Array<String>) {
    if (arguments.firstOrNull() == "form") {
        form(serverSettings("$PROGRAM form", arguments.drop(1).toTypedArray()) { controlSettings() })
    } else {
        runControlReplica(serverSettings(PROGRAM, arguments) { controlSettings() }.toOptions(), ::failUnusable)
    }
}

private fun form(settings: ControlSettings) {
    val membership = foundingMembership(settings.replicas.map { it.vm })
    val self = foundingIdentity(settings.location.vm)
    initializeDataFolder(settings.dataFolder, self.disk, bootstrapLog(membership).snapshot).fold(
        ifLeft = { failUnusable(it) },
        ifRight = { println("formed $self of ${membership.voters.joinToString()}") },
    )
}

private fun failUnusable(failure: StorageError): Nothing {
    System.err.println("$PROGRAM: ${EventKind.LOG_REFUSED.number} ${failure.describe()}")
    exitProcess(ExitStatus.FAILURE)
}

private fun ControlSettings.toOptions(): ControlReplicaOptions {
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
        serveOperators = { context -> serve(context) },
    )
}

private fun ControlSettings.serve(context: OperatorPagesContext): HttpServer {
    val pages = OperatorPages(this, context.controlDuty, context.metrics, context.recorder, context.clock)
    return context.threads.serve(administration.host, administration.port, tls = tls, room = context.room, handle = pages::handle)
}
