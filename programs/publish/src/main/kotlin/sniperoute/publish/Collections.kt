/**
 * Collection of the declaration files beside the services' code.
 */
package sniperoute.publish

import sniperoute.version.codec.DeclarationFile
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.name
import kotlin.streams.asSequence

private const val FILE_NAME = "sniperoute.json"
private const val FILE_ENDING = ".sniperoute.json"

/** Returns the declaration files in [folders] and the folders below them, in the order of their paths. */
internal fun collectFiles(folders: List<Path>): List<DeclarationFile> =
    folders
        .flatMap { folder -> Files.walk(folder).use { paths -> paths.asSequence().filter(::isDeclaration).toList() } }
        .distinct()
        .sorted()
        .map { DeclarationFile(it.toString(), Files.readString(it)) }

private fun isDeclaration(path: Path): Boolean =
    Files.isRegularFile(path) && (path.name == FILE_NAME || path.name.endsWith(FILE_ENDING))
