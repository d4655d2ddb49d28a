/**
 * `sniperoute keys`, `sniperoute moves` and `sniperoute quarantine`.
 */
package sniperoute.operator

import sniperoute.common.AdministrationClient
import sniperoute.common.ExitStatus
import sniperoute.common.administrationClientFromFile
import sniperoute.common.administrationJson
import sniperoute.common.fail
import sniperoute.control.message.CommandReply
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
private const val POLLS = 150
private const val MILLISECONDS_PER_SECOND = 1_000L

private fun OperatorOptions.word(position: Int, what: String): String =
    words.getOrNull(position) ?: fail("$PROGRAM $command ${words.joinToString(" ")}: name $what", ExitStatus.USAGE)

private fun OperatorOptions.neededWorkspace(): String =
    workspace ?: fail("$PROGRAM $command ${words.joinToString(" ")}: add --workspace NAME", ExitStatus.USAGE)

/** Makes, grants or withdraws a key. */
internal fun changeKeys(options: OperatorOptions) {
    val client = administrationClientFromFile(options.settings)
    when (options.word(0, "make, grant or withdraw")) {
        "make" -> makeKey(client, options)
        "grant" -> client.change("/keys/grant", keyForm(options.digestWord(), options.neededWorkspace()), options)
        "withdraw" -> client.change("/keys/withdraw", keyForm(options.digestWord(), null), options)
        else -> fail("$PROGRAM keys: use make, grant or withdraw", ExitStatus.USAGE)
    }
}

private fun OperatorOptions.digestWord(): String = word(1, "the key's SHA-256")

private fun keyForm(digest: String, workspace: String?): String =
    administrationJson.encodeToString(KeyRequest.serializer(), KeyRequest(digest, workspace))

/** The secret is printed once, here, and kept nowhere. */
private fun makeKey(client: AdministrationClient, options: OperatorOptions) {
    val secret = Base64.getUrlEncoder().withoutPadding().encodeToString(ByteArray(KEY_BYTES).also { SecureRandom().nextBytes(it) })
    val digest = keyDigestOf(secret).text
    client.change("/keys/grant", keyForm(digest, options.neededWorkspace()), options)
    println(if (options.json) "{\"key\":\"$secret\",\"sha256\":\"$digest\"}" else "key     $secret\nsha256  $digest")
}

/** Sends a change, and waits until it is in force everywhere. */
private fun AdministrationClient.change(path: String, form: String, options: OperatorOptions) {
    val effect = callLeader(path, CommandReply.serializer(), form).fold({ fail(it) }, { it })
    repeat(POLLS) {
        val report = callLeader("/in-force?revision=${effect.revision}", InForceReply.serializer()).fold({ fail(it) }, { it })
        if (report.everywhere) {
            val text = "in force everywhere: revision ${effect.revision} on ${report.live} routers"
            return println(if (options.json) administrationJson.encodeToString(InForceReply.serializer(), report) else text)
        }
        Thread.sleep(POLL_MILLISECONDS)
    }
    fail("accepted as revision ${effect.revision}, but not in force everywhere yet; ask `$PROGRAM status`", ExitStatus.UNKNOWN)
}

/** Lists, starts, watches or takes back moves. */
internal fun changeMoves(options: OperatorOptions) {
    val client = administrationClientFromFile(options.settings)
    when (options.word(0, "list, start, watch or take-back")) {
        "list" -> client.moves().forEach { println(if (options.json) it.toJson() else it.describe()) }
        "start" -> {
            val deadline = options.deadlineSeconds * MILLISECONDS_PER_SECOND
            val form = MoveRequest(options.word(1, "the service"), options.word(2, "the new weights"), deadline)
            client.change("/moves/start", administrationJson.encodeToString(MoveRequest.serializer(), form), options)
        }
        "take-back" -> {
            val form = MoveRequest(options.word(1, "the service"))
            client.change("/moves/take-back", administrationJson.encodeToString(MoveRequest.serializer(), form), options)
        }
        "watch" -> client.watchMove(options.word(1, "the service"), options)
        else -> fail("$PROGRAM moves: use list, start, watch or take-back", ExitStatus.USAGE)
    }
}

private fun Move.toJson(): String = administrationJson.encodeToString(Move.serializer(), this)

private fun AdministrationClient.moves(): List<Move> = callLeader("/status", StatusReply.serializer()).fold({ fail(it) }, { it }).moves

/** Follows a move to its end; the exit status says whether it was done. */
private fun AdministrationClient.watchMove(service: String, options: OperatorOptions) {
    var shown = ""
    while (true) {
        val move = moves().firstOrNull { it.service.text == service } ?: fail("service $service has no move", ExitStatus.FAILURE)
        val line = if (options.json) move.toJson() else move.describe()
        if (line != shown) println(line)
        shown = line
        if (move.stage == MoveStage.DONE) return
        if (move.stage == MoveStage.TAKEN_BACK) fail("the move was taken back: ${move.reason}", ExitStatus.FAILURE)
        Thread.sleep(POLL_MILLISECONDS)
    }
}

/** Lists what is held back, or lets a request go. */
internal fun changeQuarantine(options: OperatorOptions) {
    val client = administrationClientFromFile(options.settings)
    when (options.word(0, "list or pardon")) {
        "list" ->
            client
                .callLeader("/status", StatusReply.serializer())
                .fold({ fail(it) }, { it })
                .quarantine
                .forEach(::println)
        "pardon" -> {
            val form = administrationJson.encodeToString(
                LiftQuarantineRequest.serializer(),
                LiftQuarantineRequest(options.word(1, "the digest")),
            )
            client.change("/quarantine/pardon", form, options)
        }
        else -> fail("$PROGRAM quarantine: use list or pardon", ExitStatus.USAGE)
    }
}
