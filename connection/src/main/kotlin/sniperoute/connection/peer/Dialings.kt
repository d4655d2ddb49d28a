/**
 * The links that a process keeps open, by the VMs that they lead to.
 */
package sniperoute.connection.peer

import sniperoute.process.identity.VmName
import java.util.concurrent.ConcurrentHashMap

/** Begins to keep a link to a VM open, or returns `null` when its address is not known. */
public typealias DialVm = (vm: VmName, handlers: PeerHandlers) -> Dialing?

/** The links that are kept open. */
public class Dialings internal constructor(private val dial: DialVm, private val handlers: PeerHandlers) {
    private val open = ConcurrentHashMap<VmName, Dialing>()

    /** Keeps links open to the processes on [vms], and to no others. */
    public fun linkTo(vms: Collection<VmName>) {
        open.keys.filter { it !in vms }.forEach { open.remove(it)?.stop() }
        alsoLinkTo(vms)
    }

    /** Keeps links open to the processes on [vms] as well. */
    public fun alsoLinkTo(vms: Collection<VmName>) {
        vms.filter { !open.containsKey(it) }.forEach { vm -> dial(vm, handlers)?.let { open[vm] = it } }
    }
}

/** Returns that no link is kept open yet; each that [dial] begins has these [handlers]. */
public fun noDialings(dial: DialVm, handlers: PeerHandlers): Dialings = Dialings(dial, handlers)
