/**
 * The links that a process keeps open, by the VM of the peer.
 */
package sniperoute.connection.peer

import sniperoute.process.identity.VmName
import java.util.concurrent.ConcurrentHashMap

/** Starts a link to a VM that reconnects until it is stopped, or returns `null` when the address of the VM is not known. */
public typealias DialVm = (vm: VmName, handlers: PeerHandlers) -> ReconnectingLink?

/** The links to a set of target VMs, each of which reconnects until the VM is no longer a target. */
public class ReconnectingLinks internal constructor(private val dial: DialVm, private val handlers: PeerHandlers) {
    private val links = ConcurrentHashMap<VmName, ReconnectingLink>()

    /** Keeps links open to the processes on [vms] and stops all others. */
    public fun setTargets(vms: Collection<VmName>) {
        links.keys.filter { it !in vms }.forEach { links.remove(it)?.stop() }
        addTargets(vms)
    }

    /** Keeps links open to the processes on [vms] in addition to the present ones. */
    public fun addTargets(vms: Collection<VmName>) {
        vms.filter { !links.containsKey(it) }.forEach { vm -> dial(vm, handlers)?.let { links[vm] = it } }
    }
}

/** Returns an empty set of links; each link that [dial] starts gets [handlers]. */
public fun noReconnectingLinks(dial: DialVm, handlers: PeerHandlers): ReconnectingLinks = ReconnectingLinks(dial, handlers)
