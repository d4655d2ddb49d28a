/**
 * A caller's request as the router passes it to a front end.
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
import sniperoute.version.message.CacheUse
import sniperoute.version.message.KeyDigest
import kotlin.time.Duration

/**
 * A request that was received over [exchange] at [arrived] and is admitted at [now], with what its run needs: the [view] by which it is
 * served, and the [owner] of the calls that it begins in the once-only ledger. The duties of this router will work on it after the [delay].
 * The [currentView] is the newest one at any later time, and [reportCacheUse] is called with a use of shared cached blocks that isn't
 * recorded yet.
 */
public class IncomingRequest(
    public val exchange: Exchange,
    public val id: RequestId,
    public val view: ServingView,
    public val owner: LedgerOwner,
    public val dependencies: RequestRunDependencies,
    public val now: Timestamp,
    public val arrived: Timestamp,
    public val delay: Duration,
    public val currentView: () -> ServingView,
    public val reportCacheUse: (CacheUse) -> Unit,
) {
    /** The head of the request. */
    public val head: RequestHead get() = exchange.head

    /** The hash by which requests are spread over shares and endpoints. */
    public val hash: Long = contentHash(id.text.toByteArray())
}

/** Returns the run of a request, or the refusal when it is not admitted. */
public typealias CreateRequestRun = (IncomingRequest) -> Either<Refusal, RequestRun>

/** Returns the digest of the key that follows [scheme] in the `authorization` header, or `null` when there is none. */
public fun RequestHead.authorizedKeyOrNull(scheme: String): KeyDigest? =
    headers
        .valueOrNull("authorization")
        ?.takeIf { it.startsWith(scheme) }
        ?.let { keyDigestOf(it.removePrefix(scheme)) }
