/**
 * Decoding with failures as values. The libraries throw IllegalArgumentException for all that can't be decoded.
 */
package sniperoute.process.codec

import arrow.core.Either
import arrow.core.left
import arrow.core.right

/** What is not the message it should be; [reason] is the library's word on it, the first line of it. */
public data class DecodingError(public val reason: String)

/** Returns what [decode] returns, or why it can't be decoded. */
public inline fun <T> catchDecodingErrors(decode: () -> T): Either<DecodingError, T> =
    try {
        decode().right()
    } catch (failure: IllegalArgumentException) {
        DecodingError(failure.message.orEmpty().substringBefore('\n')).left()
    }
