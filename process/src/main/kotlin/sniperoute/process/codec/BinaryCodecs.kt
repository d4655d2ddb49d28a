/**
 * The CBOR encoding of messages between processes and of data on disk. Decoding errors are returned as values.
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

/** Returns the encoded [value]. */
@OptIn(ExperimentalSerializationApi::class)
public fun <T> KSerializer<T>.encodeToBytes(value: T): ByteArray = format.encodeToByteArray(this, value)

/** Returns the value encoded in [bytes], or why they can't be decoded. */
@OptIn(ExperimentalSerializationApi::class)
public fun <T> KSerializer<T>.decodeFromBytes(bytes: ByteArray): Either<DecodingError, T> =
    catchDecodingErrors { format.decodeFromByteArray(this, bytes) }
