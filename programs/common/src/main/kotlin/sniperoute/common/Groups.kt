/**
 * Discovery of the control group and of the endpoints that the platform lists.
 */
package sniperoute.common

import kotlinx.collections.immutable.ImmutableList
import sniperoute.connection.peer.PeerAddress
import sniperoute.process.identity.VmName
import sniperoute.process.timeline.EventRecorder
import sniperoute.version.message.ListedEndpoint

/** Discovery of the control group: [seeds] returns the VMs to contact first, reread at each call; [addressOf] returns a VM's address. */
public class GroupDiscovery(public val seeds: (EventRecorder) -> List<VmName>, public val addressOf: (VmName) -> PeerAddress?)

/** Returns the discovery of a group whose [replicas] are fixed by the settings. */
public fun staticDiscovery(replicas: List<PeerAddress>): GroupDiscovery = GroupDiscovery(
    seeds = { replicas.map { it.vm } },
    addressOf = { vm -> replicas.firstOrNull { it.vm == vm } },
)

/** Reads the platform's list of endpoints and calls [onListed] once, with `null` when the list can't be read. */
public typealias ListEndpoints = (onListed: (ImmutableList<ListedEndpoint>?) -> Unit) -> Unit

/** Stands for the list where the platform has none. */
public val noEndpointList: ListEndpoints = { onListed -> onListed(null) }
