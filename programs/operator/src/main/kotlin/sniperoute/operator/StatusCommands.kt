/**
 * `sniperoute status` and `sniperoute endpoints`.
 */
package sniperoute.operator

import kotlinx.serialization.builtins.ListSerializer
import sniperoute.common.ExitStatus
import sniperoute.common.administrationClient
import sniperoute.common.administrationClientFromFile
import sniperoute.common.administrationJson
import sniperoute.common.fail
import sniperoute.common.readCommandSettings
import sniperoute.control.message.StatusReply
import sniperoute.router.EndpointView
import sniperoute.router.EndpointsReply
import sniperoute.version.message.Move

/** Shows what the leader, or else any replica, says of the fleet. */
internal fun showStatus(options: OperatorOptions) {
    val settings = readCommandSettings(options.settings)
    val client = administrationClient(settings)
    val answers = settings.control.map { it to client.call(it, "/status", StatusReply.serializer()) }
    val replies = answers.mapNotNull { (_, answer) -> answer.getOrNull() }
    val best = replies.firstOrNull { it.leads } ?: replies.maxByOrNull { it.applied }
        ?: fail(answers.first().second.leftOrNull() ?: error("no answer and no error"))
    if (options.json) return println(administrationJson.encodeToString(StatusReply.serializer(), best))
    println(best.describe())
    answers.filter { (_, answer) -> answer.isLeft() }.forEach { (address, _) -> println("no answer from ${address.host}:${address.port}") }
    if (!best.leads) fail("no replica leads; changes wait until one does", ExitStatus.UNREACHABLE)
}

private fun StatusReply.describe(): String = buildString {
    appendLine("leader          ${leader ?: "none"} (term $term)")
    appendLine("redundancy      $redundancy")
    appendLine("configuration   $configuration, digest ${digest ?: "none"}, revision $revision")
    replicas.forEach { appendLine("replica         ${it.vm} disk ${it.disk} ${if (it.votes) "votes" else "learns"}") }
    routers.forEach {
        val force = if (it.revision >= revision) "up to date" else "at revision ${it.revision}"
        appendLine("router          ${it.vm} run ${it.incarnation} $force")
    }
    moves.forEach { appendLine("move            ${it.describe()}") }
    quarantine.forEach { appendLine("quarantined     $it") }
}.trimEnd()

private const val THOUSANDTHS_PER_PERCENT = 10.0

/** Returns one line about this move. */
internal fun Move.describe(): String =
    "$service $from -> $to ${stage.name.lowercase().replace('_', ' ')}, share ${share / THOUSANDTHS_PER_PERCENT} %: $reason"

/** Shows the endpoints as each router knows them. */
internal fun showEndpoints(options: OperatorOptions) {
    val settings = readCommandSettings(options.settings)
    val client = administrationClientFromFile(options.settings)
    val answers = settings.routers.map { it to client.call(it, "/endpoints", EndpointsReply.serializer()) }
    if (answers.none { (_, answer) ->
            answer.isRight()
        }
    ) {
        fail("no router answered; check the addresses in the settings", ExitStatus.UNREACHABLE)
    }
    answers.forEach { (address, answer) ->
        if (!options.json) println("as ${address.host}:${address.port} sees it")
        answer.fold(
            ifLeft = { println("  ${it.describe()}") },
            ifRight = { reply ->
                if (options.json) {
                    println(administrationJson.encodeToString(ListSerializer(EndpointView.serializer()), reply.endpoints))
                } else {
                    reply.endpoints.forEach { println("  ${it.describe()}") }
                }
            },
        )
    }
}

private fun EndpointView.describe(): String {
    val state = when {
        leaving -> "leaving"
        usable -> "usable"
        else -> "resting after $failures failures"
    }
    return "$endpoint ($service) $state, weights ${weights ?: "-"}, $running running here, $freeSlots slots free"
}
