/**
 * How a front end words what goes to endpoints and callers: function types, so that front ends share one run of a request.
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
 * A request on its way to an endpoint. [lastEventId] is the last event that the caller got, [cacheSalt] keeps cached parts apart,
 * and [left] is the time until its deadline.
 */
public class OutgoingRequest(
    public val head: RequestHead,
    public val admitted: AdmittedRequest,
    public val dispatch: Dispatch,
    public val lastEventId: String?,
    public val cacheSalt: Long,
    public val left: Duration,
)

/** Returns the headers for the endpoint. */
public typealias WordRequest = (request: OutgoingRequest) -> ImmutableList<Header>

/** Returns the headers for the caller; [outcome] is known when the answer is whole. */
public typealias WordAnswer = (head: ResponseHead, id: RequestId, outcome: Outcome?) -> ImmutableList<Header>

/** Returns the answer that says why a request was not served. */
public typealias WordRefusal = (refusal: Refusal, id: RequestId) -> WholeResponse

/** Returns what an answer's head tells of its endpoint, or `null` when that is nothing. */
public typealias ParseLoadReport = (head: ResponseHead) -> ResponseLoadReport?

/** Returns how long an endpoint may say nothing before it is taken for silent, when [left] is the time until the deadline. */
public typealias IdleTimeout = (admitted: AdmittedRequest, wantsStream: Boolean, left: Duration) -> Duration

/** Returns the text by which the caller and the endpoint know the request. */
public typealias ExternalRequestId = (head: RequestHead, id: RequestId) -> String

/** The wording of one front end. */
public class FrontEndProtocol(
    public val requestHeaders: WordRequest,
    public val responseHeaders: WordAnswer,
    public val refusalResponse: WordRefusal,
    public val parseLoadReport: ParseLoadReport,
    public val idleTimeout: IdleTimeout,
    public val externalRequestId: ExternalRequestId,
)
