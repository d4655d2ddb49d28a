/**
 * The calls that a connection has carried, and which response answers the last of them. An endpoint may write a response once more, or
 * late, at the point where the next one is expected. Only a request ID that the connection never carried before tells them apart.
 */
package sniperoute.connection.endpoint.decision

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashSetOf

private const val MAX_REQUEST_IDS = 256

/**
 * The calls of a connection.
 *
 * @property count is the number of calls, those without a request ID included.
 * @property idHashes are the hash codes of their request IDs. Two IDs with the same hash code cost a new connection only.
 */
public data class CarriedCalls(public val count: Int, public val idHashes: PersistentSet<Int>)

/** Returns the calls of a new connection. */
public fun noCarriedCalls(): CarriedCalls = CarriedCalls(0, persistentHashSetOf())

/** Whether the connection may carry a call with [requestId], which is `null` where a response of an earlier call does no harm. */
public fun CarriedCalls.mayCarry(requestId: String?): Boolean = requestId == null || requestId.hashCode() !in idHashes

/** Returns the calls after a call with [requestId] began. */
public fun CarriedCalls.add(requestId: String?): CarriedCalls =
    CarriedCalls(count + 1, if (requestId == null) idHashes else idHashes.add(requestId.hashCode()))

/**
 * Whether a response with [receivedId] answers the last call, whose ID is [requestId]. Without an ID, only the first response of a
 * connection does, and none when [isIdRequired].
 */
public fun CarriedCalls.isAnswered(requestId: String?, receivedId: String?, isIdRequired: Boolean): Boolean = when {
    requestId == null -> true
    receivedId == null -> count == 1 && !isIdRequired
    else -> receivedId == requestId
}

/**
 * Whether the connection may carry further calls after a response with [receivedId] to the call with [requestId]: the endpoint repeats
 * IDs, and there are not too many to remember.
 */
public fun CarriedCalls.mayCarryMore(requestId: String?, receivedId: String?): Boolean =
    idHashes.size < MAX_REQUEST_IDS && (requestId == null || receivedId != null)
