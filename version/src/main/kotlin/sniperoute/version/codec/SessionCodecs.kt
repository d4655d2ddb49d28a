/**
 * The binary form of session messages.
 */
package sniperoute.version.codec

import arrow.core.Either
import sniperoute.process.codec.DecodingError
import sniperoute.process.codec.decodeFromBytes
import sniperoute.process.codec.encodeToBytes
import sniperoute.version.message.SessionMessage

/** Returns the bytes of this message. */
public fun SessionMessage.encode(): ByteArray = SessionMessage.serializer().encodeToBytes(this)

/** Returns the message in [bytes]. */
public fun decodeSessionMessage(
    bytes: ByteArray,
): Either<DecodingError, SessionMessage> = SessionMessage.serializer().decodeFromBytes(bytes)
