/**
 * The protocol of a front end: the encoding of requests to endpoints and of answers to callers. It consists of functions, so that all
 * front ends share one implementation of a request's run.
 */
package sniperoute.request.run.message

import kotlinx.collections.immutable.ImmutableList
import sniperoute.connection.http.AnswerHead
import sniperoute.connection.http.Header
import sniperoute.connection.http.RequestHead
import sniperoute.connection.http.codec.WholeAnswer
import sniperoute.request.admission.decision.Outcome
import sniperoute.request.admission.decision.Refusal
import sniperoute.request.routing.message.AnswerSigns
import sniperoute.request.routing.message.Dispatch
import sniperoute.request.routing.message.RequestFacts
import sniperoute.request.routing.message.RequestId
import kotlin.time.Duration

/**
 * A request to be sent to an endpoint.
 *
 * @property lastEventId is the ID of the last event that was sent to the caller, from which a stream is resumed.
 * @property cacheSalt separates the cached blocks of workspaces.
 * @property left is the time until the deadline.
 */
public class OutgoingRequest(
    public val head: RequestHead,
    public val facts: RequestFacts,
    public val dispatch: Dispatch,
    public val lastEventId: String?,
    public val cacheSalt: Long,
    public val left: Duration,
)

/** Returns the headers of a request to an endpoint. */
public typealias WordRequest = (request: OutgoingRequest) -> ImmutableList<Header>

/** Returns the headers of an answer to a caller; [outcome] is `null` for a stream, whose outcome is not known yet. */
public typealias WordAnswer = (head: AnswerHead, id: RequestId, outcome: Outcome?) -> ImmutableList<Header>

/** Returns the answer for a refused request. */
public typealias WordRefusal = (refusal: Refusal, id: RequestId) -> WholeAnswer

/** Returns the load and weights that an endpoint reports in the head of an answer, or `null` if it reports none. */
public typealias ReadSigns = (head: AnswerHead) -> AnswerSigns?

/** Returns the idle timeout of an attempt, when [left] is the time until the deadline. */
public typealias SilencePatience = (facts: RequestFacts, wantsStream: Boolean, left: Duration) -> Duration

/** Returns the ID of the request in messages of the caller and the endpoint. */
public typealias OuterId = (head: RequestHead, id: RequestId) -> String

/** The functions of one front end. */
public class Dialect(
    public val wordRequest: WordRequest,
    public val wordAnswer: WordAnswer,
    public val wordRefusal: WordRefusal,
    public val readSigns: ReadSigns,
    public val silencePatience: SilencePatience,
    public val outerId: OuterId,
)
