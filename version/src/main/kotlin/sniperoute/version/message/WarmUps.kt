/**
 * The warm-up of endpoints: for some time after its start, an endpoint takes only few requests from all routers together.
 */
package sniperoute.version.message

import kotlinx.serialization.Serializable

/** An endpoint that has started stays cold for [milliseconds], and takes [perSecond] requests a second in that time. */
@Serializable
public data class WarmUp(public val milliseconds: Long, public val perSecond: Double)

/**
 * A router cannot tell whether [endpoint] has restarted, since a call to it failed there. [number] grows with each failure at the same
 * router.
 */
@Serializable
public data class EndpointDoubt(public val endpoint: EndpointName, public val number: Long)
