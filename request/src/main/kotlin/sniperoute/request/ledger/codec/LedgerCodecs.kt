/**
 * The binary form of ledger messages.
 */
package sniperoute.request.ledger.codec

import arrow.core.Either
import sniperoute.process.codec.DecodingError
import sniperoute.process.codec.decodeFromBytes
import sniperoute.process.codec.encodeToBytes
import sniperoute.request.ledger.message.LedgerReply
import sniperoute.request.ledger.message.LedgerRequest

/** Returns the bytes of this request. */
public fun LedgerRequest.encode(): ByteArray = LedgerRequest.serializer().encodeToBytes(this)

/** Returns the request in [bytes]. */
public fun decodeLedgerRequest(bytes: ByteArray): Either<DecodingError, LedgerRequest> = LedgerRequest.serializer().decodeFromBytes(bytes)

/** Returns the bytes of this reply. */
public fun LedgerReply.encode(): ByteArray = LedgerReply.serializer().encodeToBytes(this)

/** Returns the reply in [bytes]. */
public fun decodeLedgerReply(bytes: ByteArray): Either<DecodingError, LedgerReply> = LedgerReply.serializer().decodeFromBytes(bytes)
