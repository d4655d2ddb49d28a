/**
 * The order in which the routing duty works on what waits for it. It answers the load of a duty that is late: hundreds of new requests lie
 * in its ring, and callers of some of them have left. Placements for those would delay the others further, and reach endpoints for nobody.
 *
 * What ends or continues running requests goes before new requests, since it frees slots and costs little. A new request whose cancellation
 * is already there is dropped together with it.
 */
package sniperoute.request.routing.decision

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import sniperoute.request.routing.message.AttemptEnded
import sniperoute.request.routing.message.AttemptStalled
import sniperoute.request.routing.message.FirstTokenReceived
import sniperoute.request.routing.message.RequestAdmitted
import sniperoute.request.routing.message.RequestCancelled
import sniperoute.request.routing.message.RequestId
import sniperoute.request.routing.message.ResponseHeadReceived
import sniperoute.request.routing.message.RoutingInput

/**
 * The inputs that the routing duty has taken from its ring and not worked on yet.
 *
 * @property running are those about requests in flight, in order of arrival.
 * @property others are all others, in order of arrival.
 * @property admitted are the new requests among [others].
 * @property unwanted are the new requests among [others] that were cancelled since.
 */
public data class RoutingBacklog(
    public val running: PersistentList<RoutingInput> = persistentListOf(),
    public val others: PersistentList<RoutingInput> = persistentListOf(),
    public val admitted: PersistentSet<RequestId> = persistentSetOf(),
    public val unwanted: PersistentSet<RequestId> = persistentSetOf(),
) {
    /** The number of inputs. */
    public val size: Int get() = running.size + others.size
}

/** The input that is due and the [rest]; [input] is `null` if it is a new request that is no longer wanted. */
public data class DueInput(public val input: RoutingInput?, public val rest: RoutingBacklog)

/** Returns the backlog with [input]. */
public fun RoutingBacklog.add(input: RoutingInput): RoutingBacklog = when (input) {
    is RequestAdmitted -> copy(others = others.add(input), admitted = admitted.add(input.request.id))
    is RequestCancelled -> when (input.id) {
        !in admitted -> copy(running = running.add(input))
        // A request with an id that was used before: each cancellation belongs to one of the two.
        in unwanted -> copy(others = others.add(input))
        else -> copy(unwanted = unwanted.add(input.id))
    }
    is AttemptEnded, is AttemptStalled, is FirstTokenReceived, is ResponseHeadReceived -> copy(running = running.add(input))
    else -> copy(others = others.add(input))
}

/** Returns what the duty works on next, or `null` when the backlog is empty. */
public fun RoutingBacklog.dueOrNull(): DueInput? {
    running.firstOrNull()?.let { return DueInput(it, copy(running = running.removeAt(0))) }
    val next = others.firstOrNull() ?: return null
    val rest = copy(others = others.removeAt(0))
    return when {
        next !is RequestAdmitted -> DueInput(next, rest)
        next.request.id in unwanted -> DueInput(null, rest.copy(unwanted = unwanted.remove(next.request.id)))
        else -> DueInput(next, rest.copy(admitted = admitted.remove(next.request.id)))
    }
}
