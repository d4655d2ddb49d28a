/**
 * `sniperoute-publish`: finds the declaration files in the services' source folders, validates them together, shows what they
 * would change, and submits them.
 */
package sniperoute.publish

import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import sniperoute.common.AdministrationClient
import sniperoute.common.ErrorResponse
import sniperoute.common.ExitStatus
import sniperoute.common.VERSION
import sniperoute.common.administrationClientFromFile
import sniperoute.common.administrationJson
import sniperoute.common.fail
import sniperoute.common.parseArguments
import sniperoute.common.printUsage
import sniperoute.control.message.ConfigurationReply
import sniperoute.control.message.InForceReply
import sniperoute.control.message.SubmissionReply
import sniperoute.control.message.SubmissionRequest
import sniperoute.process.codec.decode
import sniperoute.version.codec.digest
import sniperoute.version.codec.emptyDeclarations
import sniperoute.version.codec.readDeclarations
import sniperoute.version.message.Declarations
import java.nio.file.Files
import java.nio.file.Path
import kotlin.system.exitProcess

private const val PROGRAM = "sniperoute-publish"
private const val POLL_MILLISECONDS = 100L
private const val MAX_POLLS = 300
private const val NOT_SET = -1L

/** The command line options and arguments. */
private class PublishOptions {
    @Argument(index = 0, metaVar = "check|diff|submit", usage = "the action")
    var action: String = ""

    @Argument(index = 1, metaVar = "FOLDER", usage = "folders with sniperoute.json or *.sniperoute.json files", multiValued = true)
    var folders: MutableList<String> = mutableListOf()

    @Option(name = "--settings", metaVar = "FILE", usage = "the addresses of the control replicas; required by diff and submit")
    var settings: String = ""

    @Option(
        name = "--follows",
        metaVar = "NUMBER",
        usage = "the number of the configuration that this one replaces; by default the current one",
    )
    var follows: Long = NOT_SET

    @Option(name = "--help", help = true, usage = "print this page and exit")
    var help: Boolean = false

    @Option(name = "--version", help = true, usage = "print the version and exit")
    var version: Boolean = false
}

/** Runs the command. */
public fun main(arguments: Array<String>) {
    val options = PublishOptions()
    val parser = parseArguments(PROGRAM, options, arguments)
    when {
        options.help -> parser.printUsage(PROGRAM, System.out)
        options.version -> println("$PROGRAM $VERSION")
        options.action == "check" -> checkDeclarations(options)
        options.action == "diff" -> showDifferences(options)
        options.action == "submit" -> submit(options)
        else -> {
            parser.printUsage(PROGRAM, System.err)
            exitProcess(ExitStatus.USAGE)
        }
    }
}

private fun checkDeclarations(options: PublishOptions) {
    val declarations = readAllDeclarations(options)
    println(
        "valid: ${declarations.workspaces.size} workspaces, ${declarations.keys.size} keys, " +
            "${declarations.services.size} services, ${declarations.routes.size} routes; digest ${declarations.digest()}",
    )
}

private fun readAllDeclarations(options: PublishOptions): Declarations {
    if (options.folders.isEmpty()) fail("$PROGRAM: name at least one folder", ExitStatus.USAGE)
    val folders = options.folders.map(Path::of)
    folders.firstOrNull { !Files.exists(it) }?.let { fail("$PROGRAM: folder $it does not exist", ExitStatus.USAGE) }
    val files = findDeclarationFiles(folders)
    if (files.isEmpty()) fail("$PROGRAM: no sniperoute.json or *.sniperoute.json in ${options.folders.joinToString()}", ExitStatus.USAGE)
    return readDeclarations(files).fold({ fail(it.describe(), ExitStatus.USAGE) }, { it })
}

private fun client(options: PublishOptions): AdministrationClient {
    if (options.settings.isEmpty()) fail("$PROGRAM: ${options.action} needs --settings FILE", ExitStatus.USAGE)
    return administrationClientFromFile(options.settings)
}

private fun AdministrationClient.current(): ConfigurationReply =
    callLeader("/configuration", ConfigurationReply.serializer()).fold({ fail(it) }, { it })

private fun showDifferences(options: PublishOptions) {
    val wanted = readAllDeclarations(options)
    val current = client(options).current()
    val lines = differences(current.declarations ?: emptyDeclarations(), wanted)
    println(if (lines.isEmpty()) "no difference from configuration ${current.number}" else lines.joinToString("\n"))
}

private fun submit(options: PublishOptions) {
    val wanted = readAllDeclarations(options)
    val client = client(options)
    val current = client.current()
    val digest = wanted.digest()
    if (options.follows == NOT_SET && current.declarations?.digest() == digest) {
        println("configuration ${current.number} has the same content already")
        return awaitInForce(client, null)
    }
    val follows = if (options.follows == NOT_SET) current.number else options.follows
    val request = administrationJson.encodeToString(SubmissionRequest.serializer(), SubmissionRequest(follows, digest, wanted))
    val reply = client.callLeader("/configuration", SubmissionReply.serializer(), request).fold(
        ifLeft = { error -> if (error is ErrorResponse) failWithConflict(error) else fail(error) },
        ifRight = { it },
    )
    println("configuration ${reply.number} ${reply.outcome}")
    awaitInForce(client, reply.revision)
}

/** Fails with the reason of a refusal: another submission took the number, or the declarations are invalid. */
private fun failWithConflict(error: ErrorResponse): Nothing {
    val reply = administrationJson.decode(SubmissionReply.serializer(), error.body).getOrNull() ?: fail(error)
    when (reply.outcome) {
        "lost" -> fail(
            "configuration ${reply.number} was taken by ${reply.winnerOperator ?: "an earlier submission"} " +
                "(digest ${reply.winnerDigest ?: "not kept"}); the current one is ${reply.current}. Your submission is not in force: " +
                "compare it with `$PROGRAM diff`, then submit again",
            ExitStatus.FAILURE,
        )
        else -> fail(reply.problems.orEmpty().joinToString("\n"), ExitStatus.USAGE)
    }
}

private fun awaitInForce(client: AdministrationClient, revision: Long?) {
    var shown = ""
    repeat(MAX_POLLS) {
        val query = revision?.let { "?revision=$it" }.orEmpty()
        val report = client.callLeader("/in-force$query", InForceReply.serializer()).fold({ fail(it) }, { it })
        val line = "in force on ${report.confirmed} of ${report.live} routers"
        if (line != shown) println(line)
        shown = line
        if (report.everywhere) return println("in force everywhere")
        Thread.sleep(POLL_MILLISECONDS)
    }
    fail(
        "not in force everywhere after ${MAX_POLLS * POLL_MILLISECONDS} ms; it is accepted and will come into force. " +
            "Check with `sniperoute status`",
        ExitStatus.UNKNOWN,
    )
}
