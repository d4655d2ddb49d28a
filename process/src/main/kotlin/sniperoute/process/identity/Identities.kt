/**
 * Identities of machines, processes and disks. Names come from the settings. An incarnation is generated at each start of a
 * process, so that leases, tokens and calls of one run of the process are never attributed to another.
 */
package sniperoute.process.identity

import kotlinx.serialization.Serializable
import java.security.SecureRandom

/** The name of a VM in the settings. */
@Serializable
@JvmInline
public value class VmName(public val text: String) : Comparable<VmName> {
    override fun compareTo(other: VmName): Int = text.compareTo(other.text)

    override fun toString(): String = text
}

/** A failure domain: machines that can fail together. */
@Serializable
@JvmInline
public value class FailureDomain(public val text: String) {
    override fun toString(): String = text
}

/** Identifies one run of a process by 64 random bits, generated at its start. */
@Serializable
@JvmInline
public value class Incarnation(public val bits: Long) {
    override fun toString(): String = bits.toULong().toString(HEXADECIMAL)
}

/** Identifies a data folder by 64 random bits written when it is initialized. A VM that lost its disk gets a new one. */
@Serializable
@JvmInline
public value class DiskIdentity(public val bits: Long) {
    override fun toString(): String = bits.toULong().toString(HEXADECIMAL)
}

private const val HEXADECIMAL = 16

/** Returns 64 cryptographically secure random bits. */
public fun randomBits(): Long = SecureRandom().nextLong()

/** Returns a new random incarnation. */
public fun newIncarnation(): Incarnation = Incarnation(randomBits())
