/**
 * The JSON events that engines publish, and the platform's list of VMs.
 */
package sniperoute.router.codec

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/**
 * One event of an engine. [sequence] counts its events without gaps; [stored] and [removed] are the pieces that came into its
 * cache and left it; [waitingTokens] are prompt tokens that wait to be computed.
 */
@Serializable
public data class EngineEvent(
    public val sequence: Long,
    public val incarnation: String,
    public val weights: String? = null,
    public val running: Int = 0,
    public val waitingTokens: Long = 0,
    public val leaving: Boolean = false,
    public val stored: List<Long> = emptyList(),
    public val removed: List<Long> = emptyList(),
)

/** What the platform says of a VM. */
@Serializable
public data class PlatformVm(public val endpoint: String, public val state: String)

@Serializable
private data class PlatformList(val vms: List<PlatformVm>)

private val json = Json { ignoreUnknownKeys = true }

/** Returns the event in [text], or `null` when it holds none. */
public fun engineEventOrNull(text: String): EngineEvent? =
    try {
        json.decodeFromString(EngineEvent.serializer(), text)
    } catch (_: SerializationException) {
        null
    }

/** Returns the platform's list in [text], or `null` when it holds none. */
public fun platformVmsOrNull(text: String): PersistentList<PlatformVm>? =
    try {
        json.decodeFromString(PlatformList.serializer(), text).vms.toPersistentList()
    } catch (_: SerializationException) {
        null
    }
