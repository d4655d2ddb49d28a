/**
 * The CBOR encoding of log batches and snapshots on disk, and of messages between replicas.
 */
package sniperoute.process.agreement.codec

import arrow.core.Either
import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.Serializable
import sniperoute.process.agreement.message.AgreementMessage
import sniperoute.process.agreement.message.LogEntry
import sniperoute.process.agreement.message.ReplicaIdentity
import sniperoute.process.agreement.message.Snapshot
import sniperoute.process.codec.DecodingError
import sniperoute.process.codec.SerializableList
import sniperoute.process.codec.decodeFromBytes
import sniperoute.process.codec.encodeToBytes

/** The content of one synced write: the current term and vote, and entries that replace all entries from their index on. */
@Serializable
public data class LogBatch(
    public val term: Long,
    public val votedFor: ReplicaIdentity?,
    public val entries: SerializableList<LogEntry> = persistentListOf(),
)

/** Returns the encoded batch. */
public fun LogBatch.encode(): ByteArray = LogBatch.serializer().encodeToBytes(this)

/** Returns the batch encoded in [bytes]. */
public fun decodeLogBatch(bytes: ByteArray): Either<DecodingError, LogBatch> = LogBatch.serializer().decodeFromBytes(bytes)

/** Returns the encoded snapshot. */
public fun Snapshot.encode(): ByteArray = Snapshot.serializer().encodeToBytes(this)

/** Returns the snapshot encoded in [bytes]. */
public fun decodeSnapshot(bytes: ByteArray): Either<DecodingError, Snapshot> = Snapshot.serializer().decodeFromBytes(bytes)

/** Returns the encoded message. */
public fun AgreementMessage.encode(): ByteArray = AgreementMessage.serializer().encodeToBytes(this)

/** Returns the message encoded in [bytes]. */
public fun decodeAgreementMessage(bytes: ByteArray): Either<DecodingError, AgreementMessage> =
    AgreementMessage.serializer().decodeFromBytes(bytes)
