/**
 * Admission: finds the workspace and the route of a request in the catalogue, or refuses the request.
 */
package sniperoute.request.admission.decision

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import sniperoute.process.clock.Timestamp
import sniperoute.version.decision.Catalogue
import sniperoute.version.decision.routeOrNull
import sniperoute.version.decision.serviceFor
import sniperoute.version.message.KeyDigest
import sniperoute.version.message.Route
import sniperoute.version.message.Service
import sniperoute.version.message.WorkspaceName
import kotlin.time.Duration

/** The catalogue by which a router may serve requests until its lease ends. */
public data class ServingView(public val catalogue: Catalogue, public val leaseEnd: Timestamp)

/** Whether requests may be served at [now]. */
public fun ServingView.isReady(now: Timestamp): Boolean = now < leaseEnd

/** The workspace, route and service of a request; requests on open routes have no workspace and no key. */
public data class Admission(
    public val workspace: WorkspaceName?,
    public val key: KeyDigest?,
    public val route: Route,
    public val service: Service,
)

/**
 * The path and host of a request; [hash] spreads requests over the shares of a route. The request will wait for [delay] until the duties of
 * this router work on it.
 */
public data class RequestTarget(
    public val path: String,
    public val host: String?,
    public val hash: Long,
    public val delay: Duration = Duration.ZERO,
)

/** Returns the admission of a request for [target] with [key], or why it is refused at [now]. */
public fun ServingView.admit(now: Timestamp, target: RequestTarget, key: KeyDigest?): Either<Refusal, Admission> = either {
    ensure(isReady(now)) { Refusal(RefusalKind.NOT_READY, "this router has no lease from the control replicas") }
    val route = ensureNotNull(catalogue.routeOrNull(target.path, target.host)) {
        Refusal(RefusalKind.UNKNOWN_ROUTE, "no route matches ${target.host.orEmpty()}${target.path}")
    }
    latenessRefusalOrNull(route, target.delay, target.hash)?.let { raise(it) }
    val service = ensureNotNull(catalogue.services[route.serviceFor(target.hash)]) {
        Refusal(RefusalKind.NO_ENDPOINT, "the service of route ${route.name} is not configured")
    }
    if (route.isOpen) return@either Admission(null, null, route, service)
    ensureNotNull(key) { Refusal(RefusalKind.NO_KEY, "send the workspace's key as a bearer token") }
    val holder = ensureNotNull(catalogue.keys[key]) { Refusal(RefusalKind.UNKNOWN_KEY, "the key is unknown or was withdrawn") }
    Admission(holder.workspace, key, route, service)
}
