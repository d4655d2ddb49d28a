/**
 * Settings that several programs share.
 */
package sniperoute.common

import kotlinx.collections.immutable.ImmutableList
import sniperoute.connection.http.TlsFiles
import sniperoute.connection.peer.PeerAddress
import sniperoute.process.identity.FailureDomain
import sniperoute.process.identity.VmName
import sniperoute.process.settings.ObjectReader
import java.nio.file.Files
import java.nio.file.Path

/** The form of names. */
public val NAME_PATTERN: Regex = Regex("[a-z0-9][a-z0-9.-]{0,62}")

/** The range of ports; 0 takes any free one. */
public val PORT_RANGE: LongRange = 0L..65_535L

/** The range of ports of other processes. */
public val PEER_PORT_RANGE: LongRange = 1L..PORT_RANGE.last

/** Where a server listens. */
public data class ListenAddress(public val host: String, public val port: Int)

/** Who and where a process is. */
public data class ProcessLocation(public val vm: VmName, public val failureDomain: FailureDomain)

/** Reads who and where the process is. */
public fun ObjectReader.location(): ProcessLocation = ProcessLocation(
    vm = VmName(string("vm", pattern = NAME_PATTERN)),
    failureDomain = FailureDomain(string("failureDomain", pattern = NAME_PATTERN)),
)

/** Reads the address at [name]. */
public fun ObjectReader.listenAddress(name: String): ListenAddress =
    requiredObjectOrNull(name) { ListenAddress(string("host", default = "0.0.0.0"), long("port", PORT_RANGE).toInt()) }
        ?: ListenAddress("", 0)

/** Reads the optional TLS files at [name]. */
public fun ObjectReader.tlsFilesOrNull(name: String): TlsFiles? = objectOrNull(name) {
    TlsFiles(readableFile("certificateChain"), readableFile("privateKey"))
}

/** Reads the path of a file that must be there. */
public fun ObjectReader.readableFile(name: String): Path {
    val path = Path.of(string(name))
    if (!Files.isReadable(path)) addError(name, "the file $path can't be read", "a readable file")
    return path
}

/** Reads the control replicas. */
public fun ObjectReader.controlPeers(): ImmutableList<PeerAddress> =
    objects("controlReplicas") {
        PeerAddress(VmName(string("vm", pattern = NAME_PATTERN)), string("host"), long("port", PEER_PORT_RANGE).toInt())
    }

private val DIGEST_PATTERN = Regex("[0-9a-f]{64}")

/** Reads who may see and change things. */
public fun ObjectReader.operators(): ImmutableList<Operator> =
    objects("operators") { Operator(string("name", pattern = NAME_PATTERN), string("sha256", pattern = DIGEST_PATTERN)) }

private const val SHORTEST_SECRET = 32

/** Reads the secret in the file that [name] names; trailing white space does not count. */
public fun ObjectReader.secretFile(name: String): ByteArray {
    val path = readableFile(name)
    val secret = if (Files.isReadable(path)) Files.readString(path).trim() else return ByteArray(0)
    if (secret.length < SHORTEST_SECRET) addError(name, "the secret in $path is too short", "at least $SHORTEST_SECRET characters")
    return secret.toByteArray()
}
