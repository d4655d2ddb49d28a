/**
 * The protocol of a front end: the encoding of requests to endpoints and of responses to callers. It consists of functions, so that all
 * front ends share one implementation of a request's run.
 */
package sniperoute.request.run.message

import kotlinx.collections.immutable.ImmutableList
import sniperoute.connection.http.Header
import sniperoute.connection.http.RequestHead
import sniperoute.connection.http.ResponseHead
import sniperoute.connection.http.codec.WholeResponse
import sniperoute.request.admission.decision.Outcome
import sniperoute.request.admission.decision.Refusal
import sniperoute.request.routing.message.AdmittedRequest
import sniperoute.request.routing.message.Dispatch
import sniperoute.request.routing.message.RequestId
import sniperoute.request.routing.message.ResponseLoadReport
import kotlin.time.Duration

/**
 * A request to be sent to an endpoint.
 *
 * @property lastEventId is the ID of the last event that was sent to the caller, from which a stream is resumed.
 * @property cacheSalt separates the cached blocks of workspaces; `null` if the request may use none but its own.
 * @property left is the time until the deadline.
 */
public class OutgoingRequest(
    public val head: RequestHead,
    public val admitted: AdmittedRequest,
    public val dispatch: Dispatch,
    public val lastEventId: String?,
    public val cacheSalt: Long?,
    public val left: Duration,
)

/** Returns the headers of a request to an endpoint. */
public typealias RequestHeaders = (request: OutgoingRequest) -> ImmutableList<Header>

/** Returns the headers of a response to a caller; [outcome] is `null` for a stream, whose outcome is not known yet. */
public typealias ResponseHeaders = (head: ResponseHead, id: RequestId, outcome: Outcome?) -> ImmutableList<Header>

/** Returns the response for a refused request. */
public typealias RefusalResponse = (refusal: Refusal, id: RequestId) -> WholeResponse

/** Returns the load and weights that an endpoint reports in the head of a response, or `null` if it reports none. */
public typealias ParseLoadReport = (head: ResponseHead) -> ResponseLoadReport?

/**
 * Returns the silence of an endpoint after which another one is tried if that is possible, when [left] is the time until the deadline,
 * or `null` if none may be tried.
 */
public typealias StallTimeout = (admitted: AdmittedRequest, wantsStream: Boolean, left: Duration) -> Duration?

/** Returns the ID by which the caller and the endpoint know the request. */
public typealias ExternalRequestId = (head: RequestHead, id: RequestId) -> String

/** The functions of one front end. */
public class FrontEndProtocol(
    public val requestHeaders: RequestHeaders,
    public val responseHeaders: ResponseHeaders,
    public val refusalResponse: RefusalResponse,
    public val parseLoadReport: ParseLoadReport,
    public val stallTimeout: StallTimeout,
    public val externalRequestId: ExternalRequestId,
)
