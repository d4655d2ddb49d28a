/**
 * `sniperoute`: the operators' command. It prints text, or JSON with `--json`; docs/OPERATING.md explains the exit statuses.
 */
package sniperoute.operator

import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import sniperoute.common.ExitStatus
import sniperoute.common.VERSION
import sniperoute.common.parseArguments
import sniperoute.common.printUsage
import kotlin.system.exitProcess

internal const val PROGRAM = "sniperoute"

/** The command line options and arguments. */
internal class OperatorOptions {
    @Argument(index = 0, metaVar = "COMMAND", usage = "status, keys, moves, endpoints, quarantine, evacuate or timeline")
    var command: String = ""

    @Argument(
        index = 1,
        metaVar = "WORDS",
        usage = "keys make|grant|withdraw, moves list|start|watch|take-back, quarantine list|pardon; then the key, service or digest; " +
            "evacuate DOMAIN",
        multiValued = true,
    )
    var arguments: MutableList<String> = mutableListOf()

    @Option(name = "--settings", metaVar = "FILE", usage = "the addresses of the servers and the operator's key")
    var settings: String = "sniperoute-operator.json"

    @Option(name = "--json", usage = "print JSON")
    var json: Boolean = false

    @Option(name = "--workspace", metaVar = "NAME", usage = "the workspace of a key, or of the events to show")
    var workspace: String? = null

    @Option(name = "--deadline", metaVar = "SECONDS", usage = "the time within which a started move must be done")
    var deadlineSeconds: Long = DEFAULT_DEADLINE_SECONDS

    @Option(name = "--end", usage = "end the evacuation of the failure domain")
    var endsEvacuation: Boolean = false

    @Option(name = "--request", metaVar = "ID", usage = "show events about this request")
    var request: String? = null

    @Option(name = "--endpoint", metaVar = "NAME", usage = "show events about this endpoint")
    var endpoint: String? = null

    @Option(name = "--kind", metaVar = "NAME", usage = "show events whose kind starts with this name")
    var kind: String? = null

    @Option(name = "--last", metaVar = "SECONDS", usage = "show events of the last seconds before the newest event")
    var lastSeconds: Long = 0

    @Option(name = "--picture", metaVar = "FILE", usage = "write the events to an SVG file")
    var picture: String? = null

    @Option(name = "--help", help = true, usage = "print this page and exit")
    var help: Boolean = false

    @Option(name = "--version", help = true, usage = "print the version and exit")
    var version: Boolean = false
}

private const val DEFAULT_DEADLINE_SECONDS = 600L

/** Runs the command. */
public fun main(arguments: Array<String>) {
    val options = OperatorOptions()
    val parser = parseArguments(PROGRAM, options, arguments)
    val action: ((OperatorOptions) -> Unit)? = when (options.command) {
        "status" -> ::showStatus
        "keys" -> ::manageKeys
        "moves" -> ::manageMoves
        "endpoints" -> ::showEndpoints
        "quarantine" -> ::manageQuarantine
        "evacuate" -> ::evacuate
        "timeline" -> ::showTimeline
        else -> null
    }
    when {
        options.help -> parser.printUsage(PROGRAM, System.out)
        options.version -> println("$PROGRAM $VERSION")
        action != null -> action(options)
        else -> {
            System.err.println("$PROGRAM: unknown command \"${options.command}\"")
            parser.printUsage(PROGRAM, System.err)
            exitProcess(ExitStatus.USAGE)
        }
    }
}
