/**
 * The handshake of a link: a mutual challenge-response, in which both sides prove that they know the dialer's secret without sending it.
 * Each side is a chain of steps, which do no input or output themselves.
 */
package sniperoute.connection.peer

import arrow.core.Either
import arrow.core.raise.Raise
import arrow.core.raise.either
import arrow.core.raise.ensure
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

/** The longest message of a handshake. */
internal const val MAX_HANDSHAKE_BYTES: Int = 4_096

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

/** The authenticated peer, and the ciphers for the frames that follow. */
internal class HandshakeResult(val peer: PeerName, val ciphers: LinkCiphers)

/** Returns the step that follows a message of the peer, or why the link is refused. */
internal typealias OnHandshakeMessage = (ByteArray) -> Either<LinkRefused, HandshakeStep>

/**
 * A step of a handshake: the [message] to send, if any, and either the [result], when the handshake is complete, or what follows the next
 * message of the peer.
 */
internal class HandshakeStep private constructor(
    val message: ByteArray?,
    val result: HandshakeResult?,
    val onMessage: OnHandshakeMessage,
) {
    companion object {
        fun awaiting(message: ByteArray?, onMessage: OnHandshakeMessage) = HandshakeStep(message, null, onMessage)

        fun completed(message: ByteArray?, result: HandshakeResult) =
            HandshakeStep(message, result) { error("a completed handshake has no further messages") }
    }
}

/** Returns the first step of the dialer's side, for a link from [self] to a process on [expected]. */
internal fun dialerHandshake(self: PeerName, expected: VmName, authentication: PeerAuthentication): HandshakeStep {
    val hello = LinkHello.serializer().encodeToBytes(LinkHello(self, nonce()))
    return HandshakeStep.awaiting(hello) { challengeBytes ->
        either {
            val challenge = decode(LinkChallenge.serializer(), challengeBytes)
            ensure(challenge.name.vm == expected) { LinkRefused("${challenge.name.vm} answered in place of $expected") }
            if (authentication !is SharedSecretAuthentication) {
                return@either HandshakeStep.completed(null, HandshakeResult(challenge.name, plaintextCiphers()))
            }
            val secret = authentication.own
            val withoutProof = LinkChallenge.serializer().encodeToBytes(LinkChallenge(challenge.name, challenge.nonce, ByteArray(0)))
            ensure(MessageDigest.isEqual(challenge.proof, hmacOf(secret, "listener", hello, withoutProof))) {
                LinkRefused("the listener at $expected doesn't know the secret")
            }
            val proof = LinkProof.serializer().encodeToBytes(LinkProof(hmacOf(secret, "dialer", hello, challengeBytes)))
            val ciphers = linkCiphers(secret, hello, challengeBytes, isDialer = true)
            HandshakeStep.completed(proof, HandshakeResult(challenge.name, ciphers))
        }
    }
}

/** Returns the first step of the listener's side, for a connection from [remoteHost]. */
internal fun listenerHandshake(self: PeerName, remoteHost: String, authentication: PeerAuthentication): HandshakeStep =
    HandshakeStep.awaiting(null) { helloBytes ->
        either {
            val hello = decode(LinkHello.serializer(), helloBytes)
            if (authentication is SharedSecretAuthentication) {
                return@either challenge(self, hello, helloBytes, authentication)
            }
            ensure(hello.name.vm.text == remoteHost) { LinkRefused("$remoteHost claims to be ${hello.name.vm}") }
            val message = LinkChallenge.serializer().encodeToBytes(LinkChallenge(self, nonce(), ByteArray(0)))
            HandshakeStep.completed(message, HandshakeResult(hello.name, plaintextCiphers()))
        }
    }

private fun Raise<LinkRefused>.challenge(
    self: PeerName,
    hello: LinkHello,
    helloBytes: ByteArray,
    authentication: SharedSecretAuthentication,
): HandshakeStep {
    val secret = authentication.secretOf(hello.name.vm) ?: raise(LinkRefused("no secret is known for ${hello.name.vm}"))
    val nonce = nonce()
    val withoutProof = LinkChallenge.serializer().encodeToBytes(LinkChallenge(self, nonce, ByteArray(0)))
    val challenge = LinkChallenge(self, nonce, hmacOf(secret, "listener", helloBytes, withoutProof))
    val challengeBytes = LinkChallenge.serializer().encodeToBytes(challenge)
    return HandshakeStep.awaiting(challengeBytes) { proofBytes ->
        either {
            val proof = decode(LinkProof.serializer(), proofBytes).proof
            ensure(MessageDigest.isEqual(proof, hmacOf(secret, "dialer", helloBytes, challengeBytes))) {
                LinkRefused("${hello.name.vm} doesn't know its secret")
            }
            val ciphers = linkCiphers(secret, helloBytes, challengeBytes, isDialer = false)
            HandshakeStep.completed(null, HandshakeResult(hello.name, ciphers))
        }
    }
}

private fun nonce(): ByteArray = ByteArray(NONCE_BYTES).also { SecureRandom().nextBytes(it) }

private fun <T> Raise<LinkRefused>.decode(serializer: KSerializer<T>, bytes: ByteArray): T =
    serializer.decodeFromBytes(bytes).fold({ raise(LinkRefused("the handshake message cannot be decoded: ${it.reason}")) }, { it })
