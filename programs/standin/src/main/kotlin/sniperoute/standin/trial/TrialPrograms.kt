/**
 * `sniperoute-trial`: runs a step of the demonstration of `bin/try`, measures a load, or prints free ports.
 */
package sniperoute.standin.trial

import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import sniperoute.common.ExitStatus
import sniperoute.common.fail
import sniperoute.common.parseArguments
import sniperoute.common.printUsage
import sniperoute.process.settings.ObjectReader
import sniperoute.process.settings.readValidatedFile
import java.net.ServerSocket
import java.nio.file.Path

private const val PROGRAM = "sniperoute-trial"

private class TrialOptions {
    @Argument(index = 0, metaVar = "ports|story|load", usage = "what to do")
    var action: String = ""

    @Argument(index = 1, metaVar = "WORD", usage = "ports: how many; story: which step of the demonstration")
    var word: String = ""

    @Option(name = "--settings", metaVar = "FILE", usage = "story: addresses of the processes; load: the load to send")
    var settings: String = ""

    @Option(name = "--help", help = true, usage = "print this page and exit")
    var help: Boolean = false
}

/** Runs the command. */
public fun main(arguments: Array<String>) {
    val options = TrialOptions()
    val parser = parseArguments(PROGRAM, options, arguments)
    when {
        options.help -> parser.printUsage(PROGRAM, System.out)
        options.action == "ports" -> println(freePorts(options.word.toIntOrNull() ?: 1).joinToString(" "))
        options.action == "story" -> Demonstration(read(options) { demonstrationSettings() }).runStep(options.word)
        options.action == "load" -> measureLoad(read(options) { loadSettings() })
        else -> {
            parser.printUsage(PROGRAM, System.err)
            fail("$PROGRAM: name an action: ports, story or load", ExitStatus.USAGE)
        }
    }
}

private fun <T> read(options: TrialOptions, read: ObjectReader.() -> T): T =
    readValidatedFile(Path.of(options.settings), read).fold({ fail(it.describe(), ExitStatus.USAGE) }, { it })

private fun freePorts(count: Int): List<Int> {
    val sockets = List(count) { ServerSocket(0) }
    return sockets.map { socket -> socket.use { it.localPort } }
}
