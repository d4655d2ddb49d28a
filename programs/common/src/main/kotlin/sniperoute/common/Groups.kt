/**
 * How processes find the control group and the endpoints that the platform lists.
 */
package sniperoute.common

import kotlinx.collections.immutable.ImmutableList
import sniperoute.connection.peer.PeerAddress
import sniperoute.process.identity.VmName
import sniperoute.version.message.ListedEndpoint

/** How the control group is found: the VMs that are known at first, read anew at each call, and their addresses. */
public class GroupDiscovery(public val seeds: () -> List<VmName>, public val addressOf: (VmName) -> PeerAddress?)

/** Reads the platform's list; [onListed] is told once, `null` when it could not be read. */
public typealias ListEndpoints = (onListed: (ImmutableList<ListedEndpoint>?) -> Unit) -> Unit
