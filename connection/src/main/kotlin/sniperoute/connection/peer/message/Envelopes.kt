/**
 * Messages on the links between processes of the fleet: the handshake, and the envelopes that authenticated peers exchange.
 */
package sniperoute.connection.peer.message

import kotlinx.serialization.Serializable
import sniperoute.process.identity.DiskIdentity
import sniperoute.process.identity.Incarnation
import sniperoute.process.identity.VmName
import sniperoute.process.timeline.message.HybridTimestamp

/** The role of a process in the fleet. */
public enum class PeerRole { REPLICA, ROUTER }

/** The identity of a process: its VM, role and incarnation, and for replicas its [disk]. */
@Serializable
public data class PeerName(
    public val vm: VmName,
    public val role: PeerRole,
    public val incarnation: Incarnation,
    public val disk: DiskIdentity?,
)

/** The part of the receiving process that an envelope is for. */
public enum class EnvelopeChannel { AGREEMENT, SESSION, LEDGER }

/** An encoded message, [body]. A reply carries the [correlation] of its request; [stamp] is the sender's hybrid time. */
@Serializable
public class Envelope(
    public val channel: EnvelopeChannel,
    public val correlation: Long,
    public val stamp: HybridTimestamp,
    public val body: ByteArray,
)

/** Opens the handshake with the identity of the dialer and a nonce. */
@Serializable
public class LinkHello(public val name: PeerName, public val nonce: ByteArray)

/** Replies to a [LinkHello] with the identity of the listener, its nonce, and the proof that it knows the dialer's secret. */
@Serializable
public class LinkChallenge(public val name: PeerName, public val nonce: ByteArray, public val proof: ByteArray)

/** Proves that the dialer knows its secret. */
@Serializable
public class LinkProof(public val proof: ByteArray)
