/**
 * What the commands for operators have in common.
 */
package sniperoute.common

import sniperoute.process.settings.readValidatedFile
import java.nio.file.Path
import kotlin.system.exitProcess

/** Returns the client that the settings file [path] describes, or ends the command with every mistake in the file. */
public fun administrationClientFromFile(path: String): AdministrationClient = administrationClient(readCommandSettings(path))

/** Returns the settings of commands in the file [path], or ends the command with every mistake in it. */
public fun readCommandSettings(path: String): CommandSettings =
    readValidatedFile(Path.of(path)) { commandSettings() }.fold({ fail(it.describe(), ExitStatus.USAGE) }, { it })

/** Ends the command with [message] and [status]. */
public fun fail(message: String, status: Int): Nothing {
    System.err.println(message)
    exitProcess(status)
}

/** Ends the command because of [error]. */
public fun fail(error: CallError): Nothing = when (error) {
    is Unreachable -> fail(error.describe(), ExitStatus.UNREACHABLE)
    is ErrorResponse -> fail(error.describe(), if (error.body.contains("may-have-run")) ExitStatus.UNKNOWN else ExitStatus.FAILURE)
}
