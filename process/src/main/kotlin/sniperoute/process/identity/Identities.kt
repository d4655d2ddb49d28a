/**
 * Names of machines and of the processes on them. A name comes from settings; an incarnation is drawn anew at each start,
 * so that what one run of a process was granted or was doing is never taken for another's.
 */
package sniperoute.process.identity

import kotlinx.serialization.Serializable
import java.security.SecureRandom

/** A VM, by the name that its settings give it. */
@Serializable
@JvmInline
public value class VmName(public val text: String) : Comparable<VmName> {
    override fun compareTo(other: VmName): Int = text.compareTo(other.text)

    override fun toString(): String = text
}

/** A failure domain: machines that are lost together. */
@Serializable
@JvmInline
public value class FailureDomain(public val text: String) {
    override fun toString(): String = text
}

/** One run of one process: 64 random bits, drawn at its start. */
@Serializable
@JvmInline
public value class Incarnation(public val bits: Long) {
    override fun toString(): String = bits.toULong().toString(HEXADECIMAL)
}

/** One formatted data folder: 64 random bits written into it once. A VM whose disk was lost has another one. */
@Serializable
@JvmInline
public value class DiskIdentity(public val bits: Long) {
    override fun toString(): String = bits.toULong().toString(HEXADECIMAL)
}

private const val HEXADECIMAL = 16

/** Returns 64 bits from the operating system's random source. */
public fun randomBits(): Long = SecureRandom().nextLong()

/** Returns an incarnation that no other run has. */
public fun newIncarnation(): Incarnation = Incarnation(randomBits())
