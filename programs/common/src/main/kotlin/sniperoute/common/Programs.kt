/**
 * Functions that all programs share: command line, settings file, exit statuses, and shutdown.
 */
package sniperoute.common

import io.github.oshai.kotlinlogging.KotlinLogging
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.Option
import sniperoute.process.duty.OnDutyFailure
import sniperoute.process.settings.ObjectReader
import sniperoute.process.settings.readValidatedFile
import sniperoute.process.timeline.EventRecorder
import sniperoute.process.timeline.message.EventKind
import sun.misc.Signal
import java.io.PrintStream
import java.nio.file.Path
import java.util.concurrent.CountDownLatch
import kotlin.system.exitProcess

/** The version of all programs. */
public const val VERSION: String = "0.1.0"

/** Exit statuses of all programs. */
public object ExitStatus {
    /** The request succeeded. */
    public const val SUCCESS: Int = 0

    /** The request failed. */
    public const val FAILURE: Int = 1

    /** The command line, the settings or the declarations are invalid. */
    public const val USAGE: Int = 2

    /** No server could be reached, or none responded. */
    public const val UNREACHABLE: Int = 3

    /** It is unknown whether the request took effect; repeating it is safe. */
    public const val UNKNOWN: Int = 4
}

/** The command line options of a server. */
public class ServerOptions {
    @Argument(metaVar = "SETTINGS", usage = "settings file, JSON with comments")
    public var settings: String = ""

    @Option(name = "--help", help = true, usage = "print this page and exit")
    public var help: Boolean = false

    @Option(name = "--version", help = true, usage = "print the version and exit")
    public var version: Boolean = false

    @Option(name = "--check", usage = "check the settings and exit")
    public var check: Boolean = false
}

/** Sets [options] from [arguments], and returns the parser; ends the program with its usage when they are invalid. */
public fun <T : Any> parseArguments(program: String, options: T, arguments: Array<String>): CmdLineParser {
    val parser = CmdLineParser(options)
    try {
        parser.parseArgument(arguments.asList())
    } catch (failure: CmdLineException) {
        System.err.println("$program: ${failure.message}")
        parser.printUsage(program, System.err)
        exitProcess(ExitStatus.USAGE)
    }
    return parser
}

/** Prints the usage of [program] to [stream]. */
public fun CmdLineParser.printUsage(program: String, stream: PrintStream) {
    stream.println("usage: $program${printExample(org.kohsuke.args4j.OptionHandlerFilter.PUBLIC)} ...")
    printUsage(stream)
}

/** Returns the settings of the server [program]; ends it after `--help`, `--version` or `--check`, or with all errors of the settings. */
public fun <T> serverSettings(program: String, arguments: Array<String>, read: ObjectReader.() -> T): T {
    val options = ServerOptions()
    val parser = parseArguments(program, options, arguments)
    if (options.help) {
        parser.printUsage(program, System.out)
        exitProcess(ExitStatus.SUCCESS)
    }
    if (options.version) {
        println("$program $VERSION")
        exitProcess(ExitStatus.SUCCESS)
    }
    if (options.settings.isEmpty()) {
        System.err.println("$program: a settings file is needed")
        parser.printUsage(program, System.err)
        exitProcess(ExitStatus.USAGE)
    }
    val settings = readValidatedFile(Path.of(options.settings), read).fold(
        ifLeft = { invalidFile ->
            System.err.println("$program: ${EventKind.SETTINGS_REFUSED.number} the settings are invalid")
            System.err.println(invalidFile.describe())
            exitProcess(ExitStatus.USAGE)
        },
        ifRight = { it },
    )
    if (options.check) {
        println("${options.settings}: the settings are valid")
        exitProcess(ExitStatus.SUCCESS)
    }
    return settings
}

/** Blocks until the process is asked to end, runs [stop], and then lets the process end. */
public fun runUntilShutdown(stop: () -> Unit) {
    val isStopping = CountDownLatch(1)
    val isStopped = CountDownLatch(1)
    Runtime.getRuntime().addShutdownHook(
        Thread {
            isStopping.countDown()
            isStopped.await()
        },
    )
    isStopping.await()
    stop()
    isStopped.countDown()
}

/** Runs [reload] at each SIGHUP, which announces changed settings; without a handler the signal would end the process. */
public fun onReloadSignal(reload: () -> Unit) {
    Signal.handle(Signal("HUP")) { reload() }
}

private val logger = KotlinLogging.logger("sniperoute")

/**
 * Returns the failure handler of all duties, which halts the process: it can't work correctly with a duty missing. The process ends also
 * when there is no memory left to record the failure.
 */
public fun haltOnDutyFailure(recorder: EventRecorder): OnDutyFailure = { name, failure ->
    try {
        recorder.record(EventKind.DUTY_FAILED, detail = "$name: $failure")
        logger.error(failure) { "${EventKind.DUTY_FAILED.number} duty $name failed; the process ends" }
    } finally {
        Runtime.getRuntime().halt(ExitStatus.FAILURE)
    }
}
