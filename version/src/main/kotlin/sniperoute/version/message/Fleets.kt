/**
 * The fleet as the platform lists it and as the leader knows it.
 */
package sniperoute.version.message

import kotlinx.serialization.Serializable
import sniperoute.process.codec.SerializableMap

/**
 * An endpoint on the platform's list. [incarnation] tells one run from the next under the same name, [release] is the version of
 * its software, and [weights] are what it serves for each model, by its own word.
 */
@Serializable
public data class ListedEndpoint(
    public val endpoint: Endpoint,
    public val service: ServiceName,
    public val incarnation: String,
    public val release: String,
    public val isLeaving: Boolean,
    public val weights: SerializableMap<ModelName, Long>,
)

/** A listed endpoint with the [weights] that it serves now. One that [isChanging] is about to load others and takes no new requests. */
@Serializable
public data class FleetEndpoint(
    public val listed: ListedEndpoint,
    public val weights: SerializableMap<ModelName, Long>,
    public val isChanging: Boolean,
) {
    /** The endpoint's name. */
    public val name: EndpointName get() = listed.endpoint.name
}
