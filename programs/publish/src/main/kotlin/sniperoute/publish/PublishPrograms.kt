/**
 * `sniperoute-publish`: collects the declaration files beside the services' code, checks them together, shows what would
 * change, and submits them.
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
import sniperoute.version.codec.digest
import sniperoute.version.codec.emptyDeclarations
import sniperoute.version.codec.readDeclarations
import sniperoute.version.message.Declarations
import java.nio.file.Files
import java.nio.file.Path
import kotlin.system.exitProcess

private const val PROGRAM = "sniperoute-publish"
private const val POLL_MILLISECONDS = 100L
private const val POLLS = 300
private const val NO_NUMBER = -1L

/** The command line. */
private class PublishOptions {
    @Argument(index = 0, metaVar = "check|diff|submit", usage = "what to do")
    var action: String = ""

    @Argument(index = 1, metaVar = "FOLDER", usage = "folders with sniperoute.json or *.sniperoute.json files", multiValued = true)
    var folders: MutableList<String> = mutableListOf()

    @Option(name = "--settings", metaVar = "FILE", usage = "where the control replicas are; needed by diff and submit")
    var settings: String = ""

    @Option(name = "--follows", metaVar = "NUMBER", usage = "the configuration that this one is meant to follow; the present one if absent")
    var follows: Long = NO_NUMBER

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
        options.action == "check" -> check(options)
        options.action == "diff" -> diff(options)
        options.action == "submit" -> submit(options)
        else -> {
            parser.printUsage(PROGRAM, System.err)
            exitProcess(ExitStatus.USAGE)
        }
    }
}

private fun check(options: PublishOptions) {
    val declarations = declarationsIn(options)
    println(
        "right: ${declarations.workspaces.size} workspaces, ${declarations.keys.size} keys, " +
            "${declarations.services.size} services, ${declarations.routes.size} routes; digest ${declarations.digest()}",
    )
}

private fun declarationsIn(options: PublishOptions): Declarations {
    if (options.folders.isEmpty()) fail("$PROGRAM: name at least one folder", ExitStatus.USAGE)
    val folders = options.folders.map(Path::of)
    folders.firstOrNull { !Files.exists(it) }?.let { fail("$PROGRAM: there is no folder $it", ExitStatus.USAGE) }
    val files = collectFiles(folders)
    if (files.isEmpty()) fail("$PROGRAM: no sniperoute.json or *.sniperoute.json in ${options.folders.joinToString()}", ExitStatus.USAGE)
    return readDeclarations(files).fold({ fail(it.describe(), ExitStatus.USAGE) }, { it })
}

private fun client(options: PublishOptions): AdministrationClient {
    if (options.settings.isEmpty()) fail("$PROGRAM: ${options.action} needs --settings FILE", ExitStatus.USAGE)
    return administrationClientFromFile(options.settings)
}

private fun AdministrationClient.present(): ConfigurationReply =
    callLeader("/configuration", ConfigurationReply.serializer()).fold({ fail(it) }, { it })

private fun diff(options: PublishOptions) {
    val wanted = declarationsIn(options)
    val present = client(options).present()
    val lines = differences(present.declarations ?: emptyDeclarations(), wanted)
    println(if (lines.isEmpty()) "no difference to configuration ${present.number}" else lines.joinToString("\n"))
}

private fun submit(options: PublishOptions) {
    val wanted = declarationsIn(options)
    val client = client(options)
    val present = client.present()
    val digest = wanted.digest()
    if (options.follows == NO_NUMBER && present.declarations?.digest() == digest) {
        println("configuration ${present.number} says the same already")
        return awaitForce(client, null)
    }
    val follows = if (options.follows == NO_NUMBER) present.number else options.follows
    val form = administrationJson.encodeToString(SubmissionRequest.serializer(), SubmissionRequest(follows, digest, wanted))
    val reply = client.callLeader("/configuration", SubmissionReply.serializer(), form).fold(
        ifLeft = { error -> if (error is ErrorResponse) lostOrFail(error) else fail(error) },
        ifRight = { it },
    )
    println("configuration ${reply.number} ${reply.outcome}")
    awaitForce(client, reply.revision)
}

/** A refusal that says who won the number, or what is wrong, is shown as such. */
private fun lostOrFail(error: ErrorResponse): Nothing {
    val reply = runCatching { administrationJson.decodeFromString(SubmissionReply.serializer(), error.body) }.getOrNull() ?: fail(error)
    when (reply.outcome) {
        "lost" -> fail(
            "configuration ${reply.number} was taken by ${reply.winnerOperator ?: "an earlier submission"} " +
                "(digest ${reply.winnerDigest ?: "not kept"}); the present one is ${reply.current}. Nothing of yours is in force: " +
                "look at the difference with `$PROGRAM diff`, then submit again",
            ExitStatus.FAILURE,
        )
        else -> fail(reply.problems.orEmpty().joinToString("\n"), ExitStatus.USAGE)
    }
}

private fun awaitForce(client: AdministrationClient, revision: Long?) {
    var shown = ""
    repeat(POLLS) {
        val query = revision?.let { "?revision=$it" }.orEmpty()
        val report = client.callLeader("/in-force$query", InForceReply.serializer()).fold({ fail(it) }, { it })
        val line = "in force on ${report.confirmed} of ${report.live} routers"
        if (line != shown) println(line)
        shown = line
        if (report.everywhere) return println("in force everywhere")
        Thread.sleep(POLL_MILLISECONDS)
    }
    fail(
        "not in force everywhere after ${POLLS * POLL_MILLISECONDS} ms; it is accepted and will be. Ask `sniperoute status`",
        ExitStatus.UNKNOWN,
    )
}
