/**
 * Seals of frames between peers, by the platform's cryptography: AES-GCM under keys that both sides derive from the dialer's
 * secret and both random numbers. Each frame's number is its nonce, so a replayed, dropped or altered frame does not open.
 */
package sniperoute.connection.peer.codec

import java.nio.ByteBuffer
import java.security.GeneralSecurityException
import javax.crypto.Cipher
import javax.crypto.Mac
import javax.crypto.spec.GCMParameterSpec
import javax.crypto.spec.SecretKeySpec

private const val MAC_ALGORITHM = "HmacSHA256"
private const val CIPHER_ALGORITHM = "AES/GCM/NoPadding"
private const val TAG_BITS = 128
private const val NONCE_BYTES = 12

/** Returns the code of [parts] under [secret]; [purpose] keeps codes for different uses apart. */
internal fun proofOf(secret: ByteArray, purpose: String, vararg parts: ByteArray): ByteArray =
    Mac.getInstance(MAC_ALGORITHM).run {
        init(SecretKeySpec(secret, MAC_ALGORITHM))
        update(purpose.toByteArray())
        parts.forEach { part ->
            update(ByteBuffer.allocate(Int.SIZE_BYTES).putInt(part.size).array())
            update(part)
        }
        doFinal()
    }

/** Seals or opens the frames of one direction of one link, in order. */
internal class FrameSeal(key: ByteArray) {
    private val keySpec = SecretKeySpec(key, "AES")
    private val cipher = Cipher.getInstance(CIPHER_ALGORITHM)
    private var number = 0L

    /** Returns [content], sealed as the next frame. */
    fun seal(content: ByteArray): ByteArray = next(Cipher.ENCRYPT_MODE).doFinal(content)

    /** Returns the content of the next frame, or `null` when [sealed] isn't it. */
    fun openOrNull(sealed: ByteArray): ByteArray? =
        try {
            next(Cipher.DECRYPT_MODE).doFinal(sealed)
        } catch (_: GeneralSecurityException) {
            null
        }

    private fun next(mode: Int): Cipher {
        val nonce = ByteBuffer.allocate(NONCE_BYTES).putLong(number).array()
        number += 1
        cipher.init(mode, keySpec, GCMParameterSpec(TAG_BITS, nonce))
        return cipher
    }
}

/** Turns the content of the next frame into what is sent. */
internal typealias SealFrame = (ByteArray) -> ByteArray

/** Returns the content of the next frame, or `null` when what came is not it. */
internal typealias OpenFrame = (ByteArray) -> ByteArray?

/** The seals of both directions of a link. */
internal class LinkSeals(val seal: SealFrame, val openOrNull: OpenFrame)

private val PLAIN_MARK = byteArrayOf(1)

/** Returns seals that leave frames as they are; a mark keeps empty ones apart from none. */
internal fun plainSeals(): LinkSeals =
    LinkSeals(seal = { PLAIN_MARK + it }, openOrNull = { if (it.isEmpty()) null else it.copyOfRange(1, it.size) })

/** Returns the seals of a link whose handshake had these messages. */
internal fun linkSeals(secret: ByteArray, hello: ByteArray, challenge: ByteArray, isDialer: Boolean): LinkSeals {
    val fromDialer = FrameSeal(proofOf(secret, "dialer to listener", hello, challenge))
    val fromListener = FrameSeal(proofOf(secret, "listener to dialer", hello, challenge))
    return if (isDialer) LinkSeals(fromDialer::seal, fromListener::openOrNull) else LinkSeals(fromListener::seal, fromDialer::openOrNull)
}
