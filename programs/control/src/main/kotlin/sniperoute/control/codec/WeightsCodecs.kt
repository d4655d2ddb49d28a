/**
 * The JSON bodies of an engine's page `/weights`.
 */
package sniperoute.control.codec

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import sniperoute.process.codec.decode
import sniperoute.version.message.WeightsVersion

@Serializable
private data class WeightsPage(val weights: String? = null)

@Serializable
@SerialName("sniperoute.control.codec.WeightsOrder")
private data class LoadCommandRequest(val weights: String, val fence: Long)

private val json = Json { ignoreUnknownKeys = true }

/** Returns the weights that [body] names, or `null` when it isn't valid JSON or names none. */
internal fun weightsOrNull(body: ByteArray): WeightsVersion? =
    json
        .decode(WeightsPage.serializer(), body)
        .getOrNull()
        ?.weights
        ?.let(::WeightsVersion)

/** Returns the body of a command to load [weights] with the fencing token [fence]. */
internal fun loadCommandBody(weights: WeightsVersion, fence: Long): ByteArray =
    json.encodeToString(LoadCommandRequest.serializer(), LoadCommandRequest(weights.text, fence)).toByteArray()
