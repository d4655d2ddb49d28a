/**
 * The functions by which a control replica calls endpoints and reads the platform's list.
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

/** Reads the report of a listed endpoint; [onReport] is called once, with `null` when it gave none. */
public typealias ReadEndpointReport = (endpoint: ListedEndpoint, onReport: (EndpointReport?) -> Unit) -> Unit

/** Receives the outcome of a load command and the reason for it. */
public typealias OnLoadCommandOutcome = (outcome: LoadCommandOutcome, reason: String) -> Unit

/**
 * Sends a load command to a listed endpoint with the fencing token [fence]. It is dropped if [mayLeave] returns `false` right before its
 * first byte is written; otherwise [onOutcome] is called once.
 */
public typealias SendListedLoadCommand =
    (command: SendLoadCommand, fence: Long, mayLeave: () -> Boolean, onOutcome: OnLoadCommandOutcome) -> Unit

/**
 * Reads the incarnation of a cache store; [onIncarnation] is called once, with `null` when the store doesn't
 * respond.
 */
public typealias ReadStoreIncarnation = (address: StoreAddress, onIncarnation: (Long?) -> Unit) -> Unit

/**
 * The calls of a control replica to endpoints. [list], [read] and [sendLoadCommand] serve the listed services, [call] the services whose
 * endpoints are declared, and [readStore] the cache stores.
 */
public class EndpointGateway(
    public val call: CallEndpoint,
    public val list: ListEndpoints = noEndpointList,
    public val read: ReadEndpointReport = { _, onReport -> onReport(null) },
    public val sendLoadCommand: SendListedLoadCommand = { _, _, _, onOutcome ->
        onOutcome(LoadCommandOutcome.LOST, "this replica sends no load commands to listed endpoints")
    },
    public val readStore: ReadStoreIncarnation = { _, onIncarnation -> onIncarnation(null) },
)
