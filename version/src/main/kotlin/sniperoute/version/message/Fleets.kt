/**
 * The endpoints of the fleet, as the platform lists them and as the leader knows them.
 */
package sniperoute.version.message

import kotlinx.serialization.Serializable
import sniperoute.process.codec.SerializableMap

/**
 * An endpoint on the platform's list. [incarnation] distinguishes successive runs under the same name, [release] is the version of
 * its software, and [weights] are the weights that it reports for each model. One that [isLeaving] is being drained. It stays cold for
 * [coldMilliseconds] after the list was read.
 */
@Serializable
public data class ListedEndpoint(
    public val endpoint: Endpoint,
    public val service: ServiceName,
    public val incarnation: String,
    public val release: String,
    public val isLeaving: Boolean,
    public val weights: SerializableMap<ModelName, Long>,
    public val coldMilliseconds: Long = 0,
)

/**
 * A listed endpoint with the [weights] that it serves now. One that [isChanging] is about to load others and gets no new requests. One that
 * [isWarming] gets only requests for which a router has a permit.
 */
@Serializable
public data class FleetEndpoint(
    public val listed: ListedEndpoint,
    public val weights: SerializableMap<ModelName, Long>,
    public val isChanging: Boolean,
    public val isWarming: Boolean = false,
) {
    /** The endpoint's name. */
    public val name: EndpointName get() = listed.endpoint.name
}
