/**
 * The handshake of a link: a mutual challenge-response, in which both sides prove that they know the dialer's secret without sending it.
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
import sniperoute.connection.peer.codec.LinkCiphers
import sniperoute.connection.peer.codec.hmacOf
import sniperoute.connection.peer.codec.linkCiphers
import sniperoute.connection.peer.codec.plaintextCiphers
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
private const val MAX_MESSAGE_BYTES = 4_096

/** The reason why a link was refused. */
public data class LinkRefused(public val reason: String)

/** Returns the secret of a VM, or `null` when none is known. */
public typealias SecretOf = (VmName) -> ByteArray?

/** How peers are authenticated. */
public sealed interface PeerAuthentication

/** Both sides prove that they know the dialer's secret. Frames are encrypted with keys derived from it. */
public class SharedSecretAuthentication(public val own: ByteArray, public val secretOf: SecretOf) : PeerAuthentication

/**
 * A peer is authenticated by its source address, which is the name of its VM; this requires that only VMs of the fleet can reach the
 * port. Frames are not encrypted.
 */
public data object AddressAuthentication : PeerAuthentication

/** The byte channels of an open connection. */
internal class LinkChannels(val input: ByteReadChannel, val output: ByteWriteChannel, val remoteHost: String)

/** The authenticated peer, and the ciphers for the frames that follow. */
internal class HandshakeResult(val peer: PeerName, val ciphers: LinkCiphers)

/** Performs the dialer's side of the handshake, for a link from [self] to a process on [expected]. */
internal suspend fun LinkChannels.dial(
    self: PeerName,
    expected: VmName,
    authentication: PeerAuthentication,
): Either<LinkRefused, HandshakeResult> = either {
    val hello = LinkHello.serializer().encodeToBytes(LinkHello(self, nonce()))
    writeMessage(hello)
    val challengeBytes = readMessage()
    val challenge = decode(LinkChallenge.serializer(), challengeBytes)
    ensure(challenge.name.vm == expected) { LinkRefused("${challenge.name.vm} answered in place of $expected") }
    if (authentication !is SharedSecretAuthentication) return@either HandshakeResult(challenge.name, plaintextCiphers())
    val secret = authentication.own
    val challengeWithoutProof = LinkChallenge.serializer().encodeToBytes(LinkChallenge(challenge.name, challenge.nonce, ByteArray(0)))
    ensure(MessageDigest.isEqual(challenge.proof, hmacOf(secret, "listener", hello, challengeWithoutProof))) {
        LinkRefused("the listener at $expected doesn't know the secret")
    }
    writeMessage(LinkProof.serializer().encodeToBytes(LinkProof(hmacOf(secret, "dialer", hello, challengeBytes))))
    HandshakeResult(challenge.name, linkCiphers(secret, hello, challengeBytes, isDialer = true))
}

/** Performs the listener's side of the handshake. */
internal suspend fun LinkChannels.accept(
    self: PeerName,
    authentication: PeerAuthentication,
): Either<LinkRefused, HandshakeResult> = either {
    val helloBytes = readMessage()
    val hello = decode(LinkHello.serializer(), helloBytes)
    if (authentication !is SharedSecretAuthentication) {
        ensure(hello.name.vm.text == remoteHost) { LinkRefused("$remoteHost claims to be ${hello.name.vm}") }
        writeMessage(LinkChallenge.serializer().encodeToBytes(LinkChallenge(self, nonce(), ByteArray(0))))
        return@either HandshakeResult(hello.name, plaintextCiphers())
    }
    val secret = authentication.secretOf(hello.name.vm) ?: raise(LinkRefused("no secret is known for ${hello.name.vm}"))
    val nonce = nonce()
    val challengeWithoutProof = LinkChallenge.serializer().encodeToBytes(LinkChallenge(self, nonce, ByteArray(0)))
    val challenge = LinkChallenge(self, nonce, hmacOf(secret, "listener", helloBytes, challengeWithoutProof))
    val challengeBytes = LinkChallenge.serializer().encodeToBytes(challenge)
    writeMessage(challengeBytes)
    val proof = decode(LinkProof.serializer(), readMessage()).proof
    ensure(MessageDigest.isEqual(proof, hmacOf(secret, "dialer", helloBytes, challengeBytes))) {
        LinkRefused("${hello.name.vm} doesn't know its secret")
    }
    HandshakeResult(hello.name, linkCiphers(secret, helloBytes, challengeBytes, isDialer = false))
}

private fun nonce(): ByteArray = ByteArray(NONCE_BYTES).also { SecureRandom().nextBytes(it) }

private fun <T> Raise<LinkRefused>.decode(serializer: KSerializer<T>, bytes: ByteArray): T =
    serializer.decodeFromBytes(bytes).fold({ raise(LinkRefused("the handshake message cannot be decoded: ${it.reason}")) }, { it })

private suspend fun LinkChannels.writeMessage(bytes: ByteArray) {
    output.writeInt(bytes.size)
    output.writeByteArray(bytes)
    output.flush()
}

context(raise: Raise<LinkRefused>)
private suspend fun LinkChannels.readMessage(): ByteArray {
    val size = input.readInt()
    raise.ensure(size in 1..MAX_MESSAGE_BYTES) { LinkRefused("a handshake message has $size bytes, not 1 to $MAX_MESSAGE_BYTES") }
    return input.readByteArray(size)
}
