/**
 * The commands `sniperoute keys`, `sniperoute moves`, `sniperoute quarantine` and `sniperoute evacuate`.
 */
package sniperoute.operator

import sniperoute.common.AdministrationClient
import sniperoute.common.ExitStatus
import sniperoute.common.administrationClientFromFile
import sniperoute.common.administrationJson
import sniperoute.common.fail
import sniperoute.control.message.CommandReply
import sniperoute.control.message.EvacuationRequest
import sniperoute.control.message.InForceReply
import sniperoute.control.message.KeyRequest
import sniperoute.control.message.LiftQuarantineRequest
import sniperoute.control.message.MoveRequest
import sniperoute.control.message.StatusReply
import sniperoute.version.codec.keyDigestOf
import sniperoute.version.message.Move
import sniperoute.version.message.MoveStage
import java.security.SecureRandom
import java.util.Base64

private const val KEY_BYTES = 32
private const val POLL_MILLISECONDS = 200L
private const val MAX_POLLS = 150
private const val MILLISECONDS_PER_SECOND = 1_000L

private fun OperatorOptions.argument(index: Int, description: String): String =
    arguments.getOrNull(index) ?: fail("$PROGRAM $command ${arguments.joinToString(" ")}: missing argument: $description", ExitStatus.USAGE)

private fun OperatorOptions.requiredWorkspace(): String =
    workspace ?: fail("$PROGRAM $command ${arguments.joinToString(" ")}: missing option --workspace NAME", ExitStatus.USAGE)

/** Creates, grants or withdraws a key. */
internal fun manageKeys(options: OperatorOptions) {
    val client = administrationClientFromFile(options.settings)
    when (options.argument(0, "make, grant or withdraw")) {
        "make" -> createKey(client, options)
        "grant" -> client.submitAndAwait("/keys/grant", keyRequest(options.digestArgument(), options.requiredWorkspace()), options)
        "withdraw" -> client.submitAndAwait("/keys/withdraw", keyRequest(options.digestArgument(), null), options)
        else -> fail("$PROGRAM keys: use make, grant or withdraw", ExitStatus.USAGE)
    }
}

private fun OperatorOptions.digestArgument(): String = argument(1, "the key's SHA-256")

private fun keyRequest(digest: String, workspace: String?): String =
    administrationJson.encodeToString(KeyRequest.serializer(), KeyRequest(digest, workspace))

/** Creates and grants a key. The secret is printed once and stored nowhere; only its digest is sent. */
private fun createKey(client: AdministrationClient, options: OperatorOptions) {
    val secret = Base64.getUrlEncoder().withoutPadding().encodeToString(ByteArray(KEY_BYTES).also { SecureRandom().nextBytes(it) })
    val digest = keyDigestOf(secret).text
    client.submitAndAwait("/keys/grant", keyRequest(digest, options.requiredWorkspace()), options)
    println(if (options.json) "{\"key\":\"$secret\",\"sha256\":\"$digest\"}" else "key     $secret\nsha256  $digest")
}

/** Submits a change and waits until it is in force on all live routers. */
private fun AdministrationClient.submitAndAwait(path: String, request: String, options: OperatorOptions) {
    val effect = callLeader(path, CommandReply.serializer(), request).fold({ fail(it) }, { it })
    repeat(MAX_POLLS) {
        val report = callLeader("/in-force?revision=${effect.revision}", InForceReply.serializer()).fold({ fail(it) }, { it })
        if (report.everywhere) {
            val text = "in force everywhere: revision ${effect.revision} on ${report.live} routers"
            return println(if (options.json) administrationJson.encodeToString(InForceReply.serializer(), report) else text)
        }
        Thread.sleep(POLL_MILLISECONDS)
    }
    fail("accepted as revision ${effect.revision}, but not in force everywhere yet; check with `$PROGRAM status`", ExitStatus.UNKNOWN)
}

/** Lists, starts, watches or rolls back moves. */
internal fun manageMoves(options: OperatorOptions) {
    val client = administrationClientFromFile(options.settings)
    when (options.argument(0, "list, start, watch or take-back")) {
        "list" -> client.moves().forEach { println(if (options.json) it.toJson() else it.describe()) }
        "start" -> {
            val deadline = options.deadlineSeconds * MILLISECONDS_PER_SECOND
            val request = MoveRequest(options.argument(1, "the service"), options.argument(2, "the new weights"), deadline)
            client.submitAndAwait("/moves/start", administrationJson.encodeToString(MoveRequest.serializer(), request), options)
        }
        "take-back" -> {
            val request = MoveRequest(options.argument(1, "the service"))
            client.submitAndAwait("/moves/take-back", administrationJson.encodeToString(MoveRequest.serializer(), request), options)
        }
        "watch" -> client.watchMove(options.argument(1, "the service"), options)
        else -> fail("$PROGRAM moves: use list, start, watch or take-back", ExitStatus.USAGE)
    }
}

private fun Move.toJson(): String = administrationJson.encodeToString(Move.serializer(), this)

private fun AdministrationClient.moves(): List<Move> = callLeader("/status", StatusReply.serializer()).fold({ fail(it) }, { it }).moves

/** Prints the progress of a move until it ends; fails when the move was rolled back. */
private fun AdministrationClient.watchMove(service: String, options: OperatorOptions) {
    var shown = ""
    while (true) {
        val move = moves().firstOrNull { it.service.text == service } ?: fail("service $service has no move", ExitStatus.FAILURE)
        val line = if (options.json) move.toJson() else move.describe()
        if (line != shown) println(line)
        shown = line
        if (move.stage == MoveStage.DONE) return
        if (move.stage == MoveStage.TAKEN_BACK) fail("the move was rolled back: ${move.reason}", ExitStatus.FAILURE)
        Thread.sleep(POLL_MILLISECONDS)
    }
}

/** Lists the quarantined digests, or lifts the quarantine of one. */
internal fun manageQuarantine(options: OperatorOptions) {
    val client = administrationClientFromFile(options.settings)
    when (options.argument(0, "list or pardon")) {
        "list" ->
            client
                .callLeader("/status", StatusReply.serializer())
                .fold({ fail(it) }, { it })
                .quarantine
                .forEach(::println)
        "pardon" -> {
            val request = administrationJson.encodeToString(
                LiftQuarantineRequest.serializer(),
                LiftQuarantineRequest(options.argument(1, "the digest")),
            )
            client.submitAndAwait("/quarantine/pardon", request, options)
        }
        else -> fail("$PROGRAM quarantine: use list or pardon", ExitStatus.USAGE)
    }
}

/** Starts or ends the evacuation of a failure domain. */
internal fun evacuate(options: OperatorOptions) {
    val client = administrationClientFromFile(options.settings)
    val request = EvacuationRequest(options.argument(0, "the failure domain"))
    val path = if (options.endsEvacuation) "/evacuations/end" else "/evacuations/start"
    client.submitAndAwait(path, administrationJson.encodeToString(EvacuationRequest.serializer(), request), options)
}
