/**
 * The commands `sniperoute status` and `sniperoute endpoints`.
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

/** Shows the status reported by the leader, or else by the replica that has applied the most entries. */
internal fun showStatus(options: OperatorOptions) {
    val settings = readCommandSettings(options.settings)
    val client = administrationClient(settings)
    val results = settings.control.map { it to client.call(it, "/status", StatusReply.serializer()) }
    val replies = results.mapNotNull { (_, result) -> result.getOrNull() }
    val best = replies.firstOrNull { it.leads } ?: replies.maxByOrNull { it.applied }
        ?: fail(results.first().second.leftOrNull() ?: error("no answer and no error"))
    if (options.json) return println(administrationJson.encodeToString(StatusReply.serializer(), best))
    println(best.describe())
    results.filter { (_, result) -> result.isLeft() }.forEach { (address, _) -> println("no answer from ${address.host}:${address.port}") }
    if (!best.leads) fail("no replica leads; changes wait until one does", ExitStatus.UNREACHABLE)
}

private fun StatusReply.describe(): String = buildString {
    appendLine("leader          ${leader ?: "none"} (term $term)")
    appendLine("redundancy      $redundancy")
    appendLine("configuration   $configuration, digest ${digest ?: "none"}, revision $revision")
    replicas.forEach { appendLine("replica         ${it.vm} disk ${it.disk} ${if (it.votes) "votes" else "learns"}") }
    routers.forEach {
        val freshness = if (it.revision >= revision) "up to date" else "at revision ${it.revision}"
        appendLine("router          ${it.vm} incarnation ${it.incarnation} $freshness")
    }
    moves.forEach { appendLine("move            ${it.describe()}") }
    quarantine.forEach { appendLine("quarantined     $it") }
    evacuated.forEach { appendLine("evacuated       $it") }
}.trimEnd()

private const val THOUSANDTHS_PER_PERCENT = 10.0

/** Returns one line that describes this move. */
internal fun Move.describe(): String =
    "$service $from -> $to ${stage.name.lowercase().replace('_', ' ')}, share ${share / THOUSANDTHS_PER_PERCENT} %: $reason"

/** Shows the endpoints known to each router. */
internal fun showEndpoints(options: OperatorOptions) {
    val settings = readCommandSettings(options.settings)
    val client = administrationClientFromFile(options.settings)
    val results = settings.routers.map { it to client.call(it, "/endpoints", EndpointsReply.serializer()) }
    val hasReply = results.any { (_, result) -> result.isRight() }
    if (!hasReply) fail("no router answered; check the addresses in the settings", ExitStatus.UNREACHABLE)
    results.forEach { (address, result) ->
        if (!options.json) println("router ${address.host}:${address.port}")
        result.fold(
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
        evacuated -> "evacuated"
        usable -> "usable"
        else -> "cooling down after $failures failures"
    }
    return "$endpoint ($service) $state, weights ${weights ?: "-"}, $running running here, $freeSlots slots free"
}
