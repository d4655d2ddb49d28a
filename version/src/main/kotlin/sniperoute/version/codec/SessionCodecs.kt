/**
 * The binary encoding of session messages.
 */
package sniperoute.version.codec

import arrow.core.Either
import sniperoute.process.codec.DecodingError
import sniperoute.process.codec.fromBytes
import sniperoute.process.codec.toBytes
import sniperoute.version.message.SessionMessage

/** Returns this message, encoded. */
public fun SessionMessage.encode(): ByteArray = SessionMessage.serializer().toBytes(this)

/** Returns the message that is encoded in [bytes]. */
public fun decodeSessionMessage(bytes: ByteArray): Either<DecodingError, SessionMessage> = SessionMessage.serializer().fromBytes(bytes)
