/**
 * What a replica writes to disk: batches of the log, and snapshots. Each is one CBOR message.
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

/** One synced write: the term and vote that hold from it on, and entries that replace those from their index on. */
@Serializable
public data class LogBatch(
    public val term: Long,
    public val votedFor: ReplicaIdentity?,
    public val entries: SerializableList<LogEntry> = persistentListOf(),
)

/** Returns the bytes of this batch. */
public fun LogBatch.encode(): ByteArray = LogBatch.serializer().encodeToBytes(this)

/** Returns the batch in [bytes]. */
public fun decodeLogBatch(bytes: ByteArray): Either<DecodingError, LogBatch> = LogBatch.serializer().decodeFromBytes(bytes)

/** Returns the bytes of this snapshot. */
public fun Snapshot.encode(): ByteArray = Snapshot.serializer().encodeToBytes(this)

/** Returns the snapshot in [bytes]. */
public fun decodeSnapshot(bytes: ByteArray): Either<DecodingError, Snapshot> = Snapshot.serializer().decodeFromBytes(bytes)

/** Returns the bytes of this message between replicas. */
public fun AgreementMessage.encode(): ByteArray = AgreementMessage.serializer().encodeToBytes(this)

/** Returns the message between replicas in [bytes]. */
public fun decodeAgreementMessage(bytes: ByteArray): Either<DecodingError, AgreementMessage> =
    AgreementMessage.serializer().decodeFromBytes(bytes)
