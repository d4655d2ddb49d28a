/**
 * Functions that the operators' commands share.
 */
package sniperoute.common

import sniperoute.process.settings.readValidatedFile
import java.nio.file.Path
import kotlin.system.exitProcess

/** Returns a client with the settings in the file [path]; ends the command with all errors of the file when it is invalid. */
public fun administrationClientFromFile(path: String): AdministrationClient = administrationClient(readCommandSettings(path))

/** Returns the settings in the file [path]; ends the command with all errors of the file when it is invalid. */
public fun readCommandSettings(path: String): CommandSettings =
    readValidatedFile(Path.of(path)) { commandSettings() }.fold({ fail(it.describe(), ExitStatus.USAGE) }, { it })

/** Ends the command with [message] and [status]. */
public fun fail(message: String, status: Int): Nothing {
    System.err.println(message)
    exitProcess(status)
}

/** Ends the command with the description of [error] and the exit status for it. */
public fun fail(error: CallError): Nothing = when (error) {
    is Unreachable -> fail(error.describe(), ExitStatus.UNREACHABLE)
    is ErrorResponse -> fail(error.describe(), if (error.body.contains("may-have-run")) ExitStatus.UNKNOWN else ExitStatus.FAILURE)
}
