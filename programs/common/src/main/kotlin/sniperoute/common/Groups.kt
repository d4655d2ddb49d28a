/**
 * How processes find the control group and the endpoints that the platform lists.
 */
package sniperoute.common

import kotlinx.collections.immutable.ImmutableList
import sniperoute.connection.peer.PeerAddress
import sniperoute.process.identity.VmName
import sniperoute.process.timeline.EventRecorder
import sniperoute.version.message.ListedEndpoint

/** How the control group is found: the VMs that are known at first, read anew at each call, and their addresses. */
public class GroupDiscovery(public val seeds: (EventRecorder) -> List<VmName>, public val addressOf: (VmName) -> PeerAddress?)

/** Returns the discovery of a group whose [replicas] are all known from the start. */
public fun staticDiscovery(replicas: List<PeerAddress>): GroupDiscovery = GroupDiscovery(
    seeds = { replicas.map { it.vm } },
    addressOf = { wanted -> replicas.firstOrNull { it.vm == wanted } },
)

/** Reads the platform's list; [onListed] is told once, `null` when it could not be read. */
public typealias ListEndpoints = (onListed: (ImmutableList<ListedEndpoint>?) -> Unit) -> Unit

/** The list where there is none to read. */
public val noEndpointList: ListEndpoints = { onListed -> onListed(null) }
