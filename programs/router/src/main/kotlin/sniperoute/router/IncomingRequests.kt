/**
 * A caller's request as a front end gets it.
 */
package sniperoute.router

import arrow.core.Either
import sniperoute.connection.http.Exchange
import sniperoute.connection.http.RequestHead
import sniperoute.connection.http.valueOrNull
import sniperoute.process.clock.Timestamp
import sniperoute.request.admission.decision.Refusal
import sniperoute.request.admission.decision.ServingView
import sniperoute.request.ledger.message.LedgerOwner
import sniperoute.request.prefix.decision.contentHash
import sniperoute.request.routing.message.RequestId
import sniperoute.request.run.RequestRun
import sniperoute.request.run.RequestRunDependencies
import sniperoute.version.codec.keyDigestOf
import sniperoute.version.message.KeyDigest

/** A request that came at [now] over [exchange], and what a run of it needs: what is in force, its [owner] here, and the way out. */
public class IncomingRequest(
    public val exchange: Exchange,
    public val id: RequestId,
    public val view: ServingView,
    public val owner: LedgerOwner,
    public val dependencies: RequestRunDependencies,
    public val now: Timestamp,
) {
    /** The head of the request. */
    public val head: RequestHead get() = exchange.head

    /** What spreads requests over shares and endpoints. */
    public val hash: Long = contentHash(id.text.toByteArray())
}

/** Returns the run of a request, or why there is none. */
public typealias CreateRequestRun = (IncomingRequest) -> Either<Refusal, RequestRun>

/** Returns the digest of the key that the `authorization` header gives after [scheme], or `null` when there is none. */
public fun RequestHead.authorizedKeyOrNull(scheme: String): KeyDigest? =
    headers
        .valueOrNull("authorization")
        ?.takeIf { it.startsWith(scheme) }
        ?.let { keyDigestOf(it.removePrefix(scheme)) }
