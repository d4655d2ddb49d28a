/**
 * Refusals: why a request was not served, and whether it ran.
 */
package sniperoute.request.admission.decision

import kotlin.time.Duration

/** Whether an endpoint ran a request. */
public enum class Outcome(public val text: String) {
    /** No endpoint ran it, and none will. */
    NOT_RUN("not-run"),

    /** It was sent to an endpoint, and its outcome is unknown. */
    MAY_HAVE_RUN("may-have-run"),

    /** An endpoint responded to it. */
    RAN("ran"),
}

/** Why a request is refused; [status] is the usual HTTP status, which a front end may replace by another one. */
@Suppress("MagicNumber")
public enum class RefusalKind(public val status: Int, public val text: String) {
    MALFORMED(400, "malformed_request"),
    NO_KEY(401, "no_key"),
    UNKNOWN_KEY(401, "unknown_key"),
    UNKNOWN_ROUTE(404, "unknown_route"),
    RUNNING_ALREADY(409, "running_already"),
    UNKNOWN_OUTCOME(409, "unknown_outcome"),
    KEY_REUSED(422, "idempotency_key_reused"),
    QUARANTINED(422, "quarantined"),
    OVER_RATE(429, "over_rate"),
    ENDPOINT_FAILED(502, "endpoint_failed"),
    NOT_READY(503, "not_ready"),
    OVERLOADED(503, "overloaded"),
    ROUTER_LATE(503, "router_late"),
    NO_ENDPOINT(503, "no_endpoint"),
    DEADLINE(504, "deadline_passed"),
}

/** A refused request. The caller may retry after [retryAfter], if there is one. */
public data class Refusal(
    public val kind: RefusalKind,
    public val message: String,
    public val outcome: Outcome = Outcome.NOT_RUN,
    public val retryAfter: Duration? = null,
)
