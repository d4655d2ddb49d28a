/**
 * The binary form of ledger messages.
 */
package sniperoute.request.ledger.codec

import arrow.core.Either
import sniperoute.process.codec.DecodingError
import sniperoute.process.codec.fromBytes
import sniperoute.process.codec.toBytes
import sniperoute.request.ledger.message.LedgerReply
import sniperoute.request.ledger.message.LedgerRequest

/** Returns the bytes of this request. */
public fun LedgerRequest.encode(): ByteArray = LedgerRequest.serializer().toBytes(this)

/** Returns the request in [bytes]. */
public fun decodeLedgerRequest(bytes: ByteArray): Either<DecodingError, LedgerRequest> = LedgerRequest.serializer().fromBytes(bytes)

/** Returns the bytes of this reply. */
public fun LedgerReply.encode(): ByteArray = LedgerReply.serializer().toBytes(this)

/** Returns the reply in [bytes]. */
public fun decodeLedgerReply(bytes: ByteArray): Either<DecodingError, LedgerReply> = LedgerReply.serializer().fromBytes(bytes)
