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

/** The pattern of VM, failure domain, operator and weights names. */
public val NAME_PATTERN: Regex = Regex("[a-z0-9][a-z0-9.-]{0,62}")

/** The range of ports to listen on; 0 selects a free port. */
public val PORT_RANGE: LongRange = 0L..65_535L

/** The range of ports to connect to. */
public val PEER_PORT_RANGE: LongRange = 1L..PORT_RANGE.last

/** The address of a server. */
public data class ListenAddress(public val host: String, public val port: Int)

/** The VM that a process runs on, and its failure domain. */
public data class ProcessLocation(public val vm: VmName, public val failureDomain: FailureDomain)

/** Reads the VM and the failure domain of the process. */
public fun ObjectReader.location(): ProcessLocation = ProcessLocation(
    vm = VmName(string("vm", pattern = NAME_PATTERN)),
    failureDomain = FailureDomain(string("failureDomain", pattern = NAME_PATTERN)),
)

/** Reads the required address at [name]. */
public fun ObjectReader.listenAddress(name: String): ListenAddress =
    requiredObjectOrNull(name) { ListenAddress(string("host", default = "0.0.0.0"), long("port", PORT_RANGE).toInt()) }
        ?: ListenAddress("", 0)

/** Reads the optional TLS files at [name]. */
public fun ObjectReader.tlsFilesOrNull(name: String): TlsFiles? = objectOrNull(name) {
    TlsFiles(readableFile("certificateChain"), readableFile("privateKey"))
}

/** Reads the path of a file, which must be readable. */
public fun ObjectReader.readableFile(name: String): Path {
    val path = Path.of(string(name))
    if (!Files.isReadable(path)) addError(name, "the file $path can't be read", "a readable file")
    return path
}

/** Reads the addresses of the control replicas. */
public fun ObjectReader.controlPeers(): ImmutableList<PeerAddress> =
    objects("controlReplicas") {
        PeerAddress(VmName(string("vm", pattern = NAME_PATTERN)), string("host"), long("port", PEER_PORT_RANGE).toInt())
    }

private val DIGEST_PATTERN = Regex("[0-9a-f]{64}")

/** Reads the operators, who may use the administration pages. */
public fun ObjectReader.operators(): ImmutableList<Operator> =
    objects("operators") { Operator(string("name", pattern = NAME_PATTERN), string("sha256", pattern = DIGEST_PATTERN)) }

private const val MIN_SECRET_CHARACTERS = 32

/** Reads the secret from the file whose path is at [name]; surrounding white space is removed. */
public fun ObjectReader.secretFile(name: String): ByteArray {
    val path = readableFile(name)
    val secret = if (Files.isReadable(path)) Files.readString(path).trim() else return ByteArray(0)
    if (secret.length <
        MIN_SECRET_CHARACTERS
    ) {
        addError(name, "the secret in $path is too short", "at least $MIN_SECRET_CHARACTERS characters")
    }
    return secret.toByteArray()
}
