/**
 * The JSON of an engine's page about its weights.
 */
package sniperoute.control.codec

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import sniperoute.version.message.WeightsVersion

@Serializable
private data class WeightsPage(val weights: String? = null)

@Serializable
private data class WeightsOrder(val weights: String, val fence: Long)

private val json = Json { ignoreUnknownKeys = true }

/** Returns the weights that [body] names, or `null`. */
internal fun weightsIn(body: ByteArray): WeightsVersion? =
    try {
        json.decodeFromString(WeightsPage.serializer(), body.decodeToString()).weights?.let(::WeightsVersion)
    } catch (_: SerializationException) {
        null
    }

/** Returns the body of an order to load [weights]. */
internal fun orderBody(weights: WeightsVersion, fence: Long): ByteArray =
    json.encodeToString(WeightsOrder.serializer(), WeightsOrder(weights.text, fence)).toByteArray()
