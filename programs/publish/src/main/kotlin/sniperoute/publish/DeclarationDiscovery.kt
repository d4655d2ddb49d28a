/**
 * Finds the declaration files in the source folders of services.
 */
package sniperoute.publish

import sniperoute.version.codec.DeclarationFile
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.name
import kotlin.streams.asSequence

private const val FILE_NAME = "sniperoute.json"
private const val FILE_SUFFIX = ".sniperoute.json"

/** Returns the declaration files in [folders] and their subfolders, sorted by path. */
internal fun findDeclarationFiles(folders: List<Path>): List<DeclarationFile> =
    folders
        .flatMap { folder -> Files.walk(folder).use { paths -> paths.asSequence().filter(::isDeclarationFile).toList() } }
        .distinct()
        .sorted()
        .map { DeclarationFile(it.toString(), Files.readString(it)) }

private fun isDeclarationFile(path: Path): Boolean =
    Files.isRegularFile(path) && (path.name == FILE_NAME || path.name.endsWith(FILE_SUFFIX))
