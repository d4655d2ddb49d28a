/**
 * What own processes send each other: envelopes on links between peers that have proved who they are.
 */
package sniperoute.connection.peer.message

import kotlinx.serialization.Serializable
import sniperoute.process.identity.DiskIdentity
import sniperoute.process.identity.Incarnation
import sniperoute.process.identity.VmName
import sniperoute.process.timeline.message.HybridTimestamp

/** What a process is to the others. */
public enum class PeerRole { REPLICA, ROUTER }

/** One run of a process; replicas have a [disk]. */
@Serializable
public data class PeerName(
    public val vm: VmName,
    public val role: PeerRole,
    public val incarnation: Incarnation,
    public val disk: DiskIdentity?,
)

/** Whom an envelope is for within the receiving process. */
public enum class EnvelopeChannel { AGREEMENT, SESSION, LEDGER }

/** A message's bytes; a reply carries the request's [correlation]. [stamp] is the sender's hybrid time. */
@Serializable
public class Envelope(
    public val channel: EnvelopeChannel,
    public val correlation: Long,
    public val stamp: HybridTimestamp,
    public val body: ByteArray,
)

/** Opens a link: who dials, and a random number. */
@Serializable
public class LinkHello(public val name: PeerName, public val nonce: ByteArray)

/** Answers a [LinkHello]: who listens, another random number, and the proof that the listener knows the dialer's secret. */
@Serializable
public class LinkChallenge(public val name: PeerName, public val nonce: ByteArray, public val proof: ByteArray)

/** Proves that the dialer knows its secret. */
@Serializable
public class LinkProof(public val proof: ByteArray)
