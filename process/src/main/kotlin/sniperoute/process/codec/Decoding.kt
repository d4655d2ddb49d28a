/**
 * Decoding errors as values. The serialization libraries throw IllegalArgumentException for most input that they can't decode, and
 * IndexOutOfBoundsException for some that is cut or states a wrong length.
 */
package sniperoute.process.codec

import arrow.core.Either
import arrow.core.left
import arrow.core.right

/** Why input can't be decoded; [reason] is the first line of the library's message. */
public data class DecodingError(public val reason: String)

/** Returns the result of [decode], or the decoding error that it throws. */
@Suppress("TooGenericExceptionCaught")
public inline fun <T> catchDecodingErrors(decode: () -> T): Either<DecodingError, T> =
    try {
        decode().right()
    } catch (failure: IllegalArgumentException) {
        DecodingError(failure.message.orEmpty().substringBefore('\n')).left()
    } catch (failure: IndexOutOfBoundsException) {
        DecodingError("the input is cut, or states a wrong length: ${failure.message}").left()
    }
