/**
 * The binary encoding of session messages.
 */
package sniperoute.version.codec

import arrow.core.Either
import sniperoute.process.codec.DecodingError
import sniperoute.process.codec.decodeFromBytes
import sniperoute.process.codec.encodeToBytes
import sniperoute.version.message.SessionMessage

/** Returns this message, encoded. */
public fun SessionMessage.encode(): ByteArray = SessionMessage.serializer().encodeToBytes(this)

/** Returns the message that is encoded in [bytes]. */
public fun decodeSessionMessage(
    bytes: ByteArray,
): Either<DecodingError, SessionMessage> = SessionMessage.serializer().decodeFromBytes(bytes)
