/**
 * How a control replica speaks with endpoints and with the platform's list.
 */
package sniperoute.control

import sniperoute.common.ListEndpoints
import sniperoute.common.noEndpointList
import sniperoute.connection.endpoint.CallEndpoint
import sniperoute.version.decision.EndpointReport
import sniperoute.version.decision.LoadCommandOutcome
import sniperoute.version.decision.SendLoadCommand
import sniperoute.version.message.ListedEndpoint
import sniperoute.version.message.StoreAddress

/** Reads what an endpoint reports of itself; [onReport] is told once, `null` when it gave no report. */
public typealias ReadEndpointReport = (endpoint: ListedEndpoint, onReport: (EndpointReport?) -> Unit) -> Unit

/** Is told what became of an order, and what that rests on. */
public typealias OnLoadCommandOutcome = (outcome: LoadCommandOutcome, reason: String) -> Unit

/** Sends an order under [fence]; [onOutcome] is told once. */
public typealias SendListedLoadCommand = (order: SendLoadCommand, fence: Long, onOutcome: OnLoadCommandOutcome) -> Unit

/** Asks a store of cached parts for its run; [onRun] is told once, `null` when it does not answer. */
public typealias ReadStoreIncarnation = (place: StoreAddress, onRun: (Long?) -> Unit) -> Unit

/** The calls of a control replica to endpoints; [list], [read] and [order] serve listed services, [call] the declared ones. */
public class EndpointGateway(
    public val call: CallEndpoint,
    public val list: ListEndpoints = noEndpointList,
    public val read: ReadEndpointReport = { _, onReport -> onReport(null) },
    public val order: SendListedLoadCommand = { _, _, onOutcome -> onOutcome(LoadCommandOutcome.LOST, "no order is sent here") },
    public val readStore: ReadStoreIncarnation = { _, onRun -> onRun(null) },
)
