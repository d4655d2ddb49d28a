/**
 * The handshake of a link: both sides prove that they know the dialer's secret, without showing it.
 */
package sniperoute.connection.peer

import arrow.core.Either
import arrow.core.raise.Raise
import arrow.core.raise.either
import arrow.core.raise.ensure
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import kotlinx.serialization.KSerializer
import sniperoute.connection.peer.codec.LinkSeals
import sniperoute.connection.peer.codec.linkSeals
import sniperoute.connection.peer.codec.plainSeals
import sniperoute.connection.peer.codec.proofOf
import sniperoute.connection.peer.message.LinkChallenge
import sniperoute.connection.peer.message.LinkHello
import sniperoute.connection.peer.message.LinkProof
import sniperoute.connection.peer.message.PeerName
import sniperoute.process.codec.decodeFromBytes
import sniperoute.process.codec.encodeToBytes
import sniperoute.process.identity.VmName
import java.security.MessageDigest
import java.security.SecureRandom

private const val NONCE_BYTES = 32
private const val LARGEST_HANDSHAKE_BYTES = 4_096

/** Why a link was refused. */
public data class LinkRefused(public val reason: String)

/** Looks up the secret of a VM. */
public typealias SecretOf = (VmName) -> ByteArray?

/** What proves that a peer is who it says. */
public sealed interface PeerAuthentication

/** Both sides know the dialing VM's secret; frames are sealed under keys that follow from it. */
public class SharedSecretAuthentication(public val own: ByteArray, public val secretOf: SecretOf) : PeerAuthentication

/** A VM is named by its address, and only VMs of the fleet reach the port: a peer may speak for its own address. Frames are plain. */
public data object AddressAuthentication : PeerAuthentication

/** The two channels of an open connection. */
internal class LinkChannels(val input: ByteReadChannel, val output: ByteWriteChannel, val remoteHost: String)

/** Who is at the other end, and the seals for what follows. */
internal class Handshaken(val peer: PeerName, val seals: LinkSeals)

/** Returns the outcome of the dialer's side, for a link from [self] to a process on [expected]. */
internal suspend fun LinkChannels.dial(
    self: PeerName,
    expected: VmName,
    trust: PeerAuthentication,
): Either<LinkRefused, Handshaken> = either {
    val hello = LinkHello.serializer().encodeToBytes(LinkHello(self, nonce()))
    writePart(hello)
    val challengeBytes = readPart()
    val challenge = decode(LinkChallenge.serializer(), challengeBytes)
    ensure(challenge.name.vm == expected) { LinkRefused("${challenge.name.vm} answered in place of $expected") }
    if (trust !is SharedSecretAuthentication) return@either Handshaken(challenge.name, plainSeals())
    val secret = trust.own
    val unproved = LinkChallenge.serializer().encodeToBytes(LinkChallenge(challenge.name, challenge.nonce, ByteArray(0)))
    ensure(MessageDigest.isEqual(challenge.proof, proofOf(secret, "listener", hello, unproved))) {
        LinkRefused("the listener at $expected doesn't know the secret")
    }
    writePart(LinkProof.serializer().encodeToBytes(LinkProof(proofOf(secret, "dialer", hello, challengeBytes))))
    Handshaken(challenge.name, linkSeals(secret, hello, challengeBytes, isDialer = true))
}

/** Returns the outcome of the listener's side. */
internal suspend fun LinkChannels.accept(self: PeerName, trust: PeerAuthentication): Either<LinkRefused, Handshaken> = either {
    val helloBytes = readPart()
    val hello = decode(LinkHello.serializer(), helloBytes)
    if (trust !is SharedSecretAuthentication) {
        ensure(hello.name.vm.text == remoteHost) { LinkRefused("$remoteHost says that it is ${hello.name.vm}") }
        writePart(LinkChallenge.serializer().encodeToBytes(LinkChallenge(self, nonce(), ByteArray(0))))
        return@either Handshaken(hello.name, plainSeals())
    }
    val secret = trust.secretOf(hello.name.vm) ?: raise(LinkRefused("no secret is known for ${hello.name.vm}"))
    val nonce = nonce()
    val unproved = LinkChallenge.serializer().encodeToBytes(LinkChallenge(self, nonce, ByteArray(0)))
    val challenge = LinkChallenge(self, nonce, proofOf(secret, "listener", helloBytes, unproved))
    val challengeBytes = LinkChallenge.serializer().encodeToBytes(challenge)
    writePart(challengeBytes)
    val proof = decode(LinkProof.serializer(), readPart()).proof
    ensure(MessageDigest.isEqual(proof, proofOf(secret, "dialer", helloBytes, challengeBytes))) {
        LinkRefused("${hello.name.vm} doesn't know its secret")
    }
    Handshaken(hello.name, linkSeals(secret, helloBytes, challengeBytes, isDialer = false))
}

private fun nonce(): ByteArray = ByteArray(NONCE_BYTES).also { SecureRandom().nextBytes(it) }

private fun <T> Raise<LinkRefused>.decode(serializer: KSerializer<T>, bytes: ByteArray): T =
    serializer.decodeFromBytes(bytes).fold({ raise(LinkRefused("the handshake can't be read: ${it.reason}")) }, { it })

private suspend fun LinkChannels.writePart(bytes: ByteArray) {
    output.writeInt(bytes.size)
    output.writeByteArray(bytes)
    output.flush()
}

context(raise: Raise<LinkRefused>)
private suspend fun LinkChannels.readPart(): ByteArray {
    val size = input.readInt()
    raise.ensure(size in 1..LARGEST_HANDSHAKE_BYTES) { LinkRefused("a handshake part of $size bytes") }
    return input.readByteArray(size)
}
