/**
 * Digests of keys and of declarations, by the platform's own cryptography.
 */
package sniperoute.version.codec

import sniperoute.process.codec.encodeToBytes
import sniperoute.version.message.Declarations
import sniperoute.version.message.KeyDigest
import java.security.MessageDigest
import java.util.HexFormat

/** Returns the SHA-256 of [bytes] in hexadecimal. */
public fun sha256Hexadecimal(bytes: ByteArray): String =
    HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes))

/** Returns the digest under which the key [text] is known. */
public fun keyDigestOf(text: String): KeyDigest = KeyDigest(sha256Hexadecimal(text.toByteArray()))

/** Returns the digest that identifies these declarations, the same for the same content. */
public fun Declarations.digest(): String = sha256Hexadecimal(Declarations.serializer().encodeToBytes(this))
