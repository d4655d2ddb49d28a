/**
 * Authenticated encryption (AEAD) of the frames between peers: AES-GCM with keys that both sides derive from the dialer's secret and
 * the nonces of both. The sequence number of a frame is its nonce, so a replayed, dropped or altered frame cannot be decrypted.
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

/** Returns the HMAC of [parts] under [secret]; [purpose] keeps the results for different uses distinct. */
internal fun hmacOf(secret: ByteArray, purpose: String, vararg parts: ByteArray): ByteArray =
    Mac.getInstance(MAC_ALGORITHM).run {
        init(SecretKeySpec(secret, MAC_ALGORITHM))
        update(purpose.toByteArray())
        parts.forEach { part ->
            update(ByteBuffer.allocate(Int.SIZE_BYTES).putInt(part.size).array())
            update(part)
        }
        doFinal()
    }

/** Encrypts or decrypts the frames of one direction of a link, in order. */
internal class FrameCipher(key: ByteArray) {
    private val keySpec = SecretKeySpec(key, "AES")
    private val cipher = Cipher.getInstance(CIPHER_ALGORITHM)
    private var sequence = 0L

    /** Returns [content], encrypted as the next frame. */
    fun encrypt(content: ByteArray): ByteArray = next(Cipher.ENCRYPT_MODE).doFinal(content)

    /** Returns the content of the next frame, or `null` when [frame] is not that frame. */
    fun decryptOrNull(frame: ByteArray): ByteArray? =
        try {
            next(Cipher.DECRYPT_MODE).doFinal(frame)
        } catch (_: GeneralSecurityException) {
            null
        }

    private fun next(mode: Int): Cipher {
        val nonce = ByteBuffer.allocate(NONCE_BYTES).putLong(sequence).array()
        sequence += 1
        cipher.init(mode, keySpec, GCMParameterSpec(TAG_BITS, nonce))
        return cipher
    }
}

/** Returns the frame to send for the next content. */
internal typealias EncryptFrame = (ByteArray) -> ByteArray

/** Returns the content of the next frame, or `null` when the received bytes are not that frame. */
internal typealias DecryptFrame = (ByteArray) -> ByteArray?

/** The ciphers of both directions of a link. */
internal class LinkCiphers(val encrypt: EncryptFrame, val decryptOrNull: DecryptFrame)

private val PLAINTEXT_PREFIX = byteArrayOf(1)

/** Returns ciphers that do not encrypt. A one-byte prefix keeps frames without content, the heartbeats, from being empty. */
internal fun plaintextCiphers(): LinkCiphers =
    LinkCiphers(encrypt = { PLAINTEXT_PREFIX + it }, decryptOrNull = { if (it.isEmpty()) null else it.copyOfRange(1, it.size) })

/** Returns the ciphers of a link with these handshake messages. */
internal fun linkCiphers(secret: ByteArray, hello: ByteArray, challenge: ByteArray, isDialer: Boolean): LinkCiphers {
    val fromDialer = FrameCipher(hmacOf(secret, "dialer to listener", hello, challenge))
    val fromListener = FrameCipher(hmacOf(secret, "listener to dialer", hello, challenge))
    return if (isDialer) {
        LinkCiphers(fromDialer::encrypt, fromListener::decryptOrNull)
    } else {
        LinkCiphers(fromListener::encrypt, fromDialer::decryptOrNull)
    }
}
