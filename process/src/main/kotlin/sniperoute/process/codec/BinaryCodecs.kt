/**
 * The binary encoding of messages between own processes and on disk: CBOR, with failures as values.
 */
package sniperoute.process.codec

import arrow.core.Either
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.cbor.Cbor

@OptIn(ExperimentalSerializationApi::class)
private val format = Cbor {
    ignoreUnknownKeys = true
    alwaysUseByteString = true
}

/** Returns the encoding of [value]. */
@OptIn(ExperimentalSerializationApi::class)
public fun <T> KSerializer<T>.encodeToBytes(value: T): ByteArray = format.encodeToByteArray(this, value)

/** Returns the value that [bytes] encode, or why they encode none. */
@OptIn(ExperimentalSerializationApi::class)
public fun <T> KSerializer<T>.decodeFromBytes(bytes: ByteArray): Either<DecodingError, T> =
    catchDecodingErrors { format.decodeFromByteArray(this, bytes) }
