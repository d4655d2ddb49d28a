/**
 * The links that a process keeps open, by the VMs that they lead to.
 */
package sniperoute.connection.peer

import sniperoute.process.identity.VmName
import java.util.concurrent.ConcurrentHashMap

/** Begins to keep a link to a VM open, or returns `null` when its address is not known. */
public typealias DialVm = (vm: VmName, handlers: PeerHandlers) -> ReconnectingLink?

/** The links that are kept open. */
public class ReconnectingLinks internal constructor(private val dial: DialVm, private val handlers: PeerHandlers) {
    private val open = ConcurrentHashMap<VmName, ReconnectingLink>()

    /** Keeps links open to the processes on [vms], and to no others. */
    public fun setTargets(vms: Collection<VmName>) {
        open.keys.filter { it !in vms }.forEach { open.remove(it)?.stop() }
        addTargets(vms)
    }

    /** Keeps links open to the processes on [vms] as well. */
    public fun addTargets(vms: Collection<VmName>) {
        vms.filter { !open.containsKey(it) }.forEach { vm -> dial(vm, handlers)?.let { open[vm] = it } }
    }
}

/** Returns that no link is kept open yet; each that [dial] begins has these [handlers]. */
public fun noReconnectingLinks(dial: DialVm, handlers: PeerHandlers): ReconnectingLinks = ReconnectingLinks(dial, handlers)
