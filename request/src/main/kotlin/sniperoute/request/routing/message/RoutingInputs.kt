/**
 * Inputs and effects of the routing duty.
 */
package sniperoute.request.routing.message

import kotlinx.collections.immutable.PersistentList
import sniperoute.request.admission.decision.Refusal
import sniperoute.request.admission.decision.ServingView
import sniperoute.version.decision.FleetView
import sniperoute.version.message.Endpoint
import sniperoute.version.message.EndpointName
import sniperoute.version.message.FleetWorkload
import sniperoute.version.message.RequestDigest
import sniperoute.version.message.StoreAddress
import sniperoute.version.message.WeightsVersion
import sniperoute.version.message.WorkloadReport
import sniperoute.version.message.WorkspaceName
import kotlin.time.Duration

/** What the routing duty takes in. */
public sealed interface RoutingInput

/** A request was admitted. */
public data class Arrived(public val admitted: AdmittedRequest) : RoutingInput

/** The caller of a request went away, or its deadline passed while it was in work. */
public data class Cancelled(public val id: RequestId) : RoutingInput

/** The first part of an answer came. */
public data class FirstTokenCame(public val id: RequestId, public val after: Duration) : RoutingInput

/** An attempt ended. */
public data class AttemptEnded(public val id: RequestId, public val result: AttemptResult) : RoutingInput

/** What is in force, or the lease, changed. */
public data class ViewChanged(public val view: ServingView) : RoutingInput

/** The control replicas granted tokens. */
public data class TokensGranted(public val workspace: WorkspaceName, public val tokens: Long, public val retryAfter: Duration) :
    RoutingInput

/** What an answer's head tells of its endpoint, as far as it does: requests in work, requests that wait, slots, and weights. */
public data class ResponseLoadReport(
    public val running: Int? = null,
    public val waiting: Int? = null,
    public val weights: WeightsVersion? = null,
)

/** The head of an answer came. */
public data class AnswerHeadCame(public val id: RequestId, public val signs: ResponseLoadReport) : RoutingInput

/** The leader's view of the listed endpoints changed, or this router read the platform's list itself. */
public data class FleetChanged(public val fleet: FleetView) : RoutingInput

/** What all routers together have at endpoints, and parts that one of them had computed. */
public data class FleetWorkloadReceived(public val message: FleetWorkload) : RoutingInput

/** So many routers share the fleet's allowances. */
public data class RouterCountChanged(public val routers: Int) : RoutingInput

/** An engine said who it is and what it works on. */
public data class EndpointReported(
    public val endpoint: EndpointName,
    public val incarnation: String,
    public val weights: WeightsVersion?,
    public val running: Int,
    public val waitingTokens: Long,
    public val isLeaving: Boolean,
) : RoutingInput

/** An engine said what came into its cache and what left it; [hasGap] when earlier events were lost. */
public data class CacheChanged(
    public val endpoint: EndpointName,
    public val incarnation: String,
    public val added: PersistentList<Long>,
    public val removed: PersistentList<Long>,
    public val hasGap: Boolean,
) : RoutingInput

/** An engine's event stream ended. */
public data class EndpointStreamLost(public val endpoint: EndpointName) : RoutingInput

/** The platform lists these endpoints' VMs as leaving. */
public data class EndpointsLeaving(public val leaving: PersistentList<EndpointName>) : RoutingInput

/** How an attempt ended. */
public sealed interface AttemptResult

/** The endpoint answered; token counts are its own, where it gave any. [isFault] tells an answer that speaks against its version. */
public data class Answered(
    public val promptTokens: Long?,
    public val cachedTokens: Long?,
    public val answerTokens: Long?,
    public val isFault: Boolean,
) : AttemptResult

/** How far an attempt went that was not answered. */
public enum class Reach {
    /** No connection: nothing was written to the endpoint. */
    NOT_RUN,

    /** The endpoint said that it did not run the request. */
    REJECTED,

    /** Another endpoint has the address, or it serves other weights; it did not run the request. */
    ELSEWHERE,

    /** The endpoint answered, completely, that it failed. */
    FAULTED,

    /** The connection ended without an answer, as when the endpoint dies. */
    BROKEN,

    /** The connection went silent. */
    SILENT,

    /** The endpoint answered something that is no answer to the request. */
    WRONG,
}

/** Whether an attempt that went so far certainly did not run. */
public val Reach.isNotRun: Boolean get() = this == Reach.NOT_RUN || this == Reach.REJECTED || this == Reach.ELSEWHERE

/** The attempt was not answered; [mayRepeat] says whether the request may go to an endpoint again. */
public data class Unanswered(public val reach: Reach, public val mayRepeat: Boolean, public val reason: String) : AttemptResult

/** What a step of the routing duty asks it to do. */
public sealed interface RoutingEffect

/**
 * Send the request to [endpoint]. It may fetch cached parts from [importFrom], and those that it computes go to [storeTo].
 * [reason] says for people what the choice rests on.
 */
public data class Dispatch(
    public val id: RequestId,
    public val endpoint: Endpoint,
    public val weights: WeightsVersion?,
    public val attempt: Int,
    public val isFresh: Boolean,
    public val importFrom: StoreAddress? = null,
    public val storeTo: StoreAddress? = null,
    public val reason: String = "",
) : RoutingEffect

/** Answer the request with [refusal]. */
public data class Refuse(public val id: RequestId, public val refusal: Refusal) : RoutingEffect

/** No further attempt: end the request as [reason] says. */
public data class GiveUp(public val id: RequestId, public val reason: String) : RoutingEffect

/** Ask the control replicas for tokens. */
public data class RequestTokens(public val workspace: WorkspaceName, public val tokens: Long) : RoutingEffect

/** Give tokens back to the control replicas. */
public data class ReturnTokens(public val workspace: WorkspaceName, public val tokens: Long) : RoutingEffect

/** Tell the other routers, through the leader, what this one has at endpoints. */
public data class ReportWorkload(public val report: WorkloadReport) : RoutingEffect

/** Tell the control replicas that [endpoint] died while it worked on [digests]. */
public data class ReportCrash(
    public val endpoint: EndpointName,
    public val incarnation: String,
    public val digests: PersistentList<RequestDigest>,
) : RoutingEffect
