/**
 * The JSON events that engines publish, and the platform's list of VMs.
 */
package sniperoute.router.codec

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import sniperoute.process.codec.decode

/**
 * One event of an engine. [sequence] numbers its events without gaps. [stored] and [removed] are the cache blocks that its cache
 * stored and evicted since the previous event. [waitingTokens] counts the prompt tokens that are queued for computation.
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

/** A VM in the platform's list, and its state. */
@Serializable
public data class PlatformVm(public val endpoint: String, public val state: String)

@Serializable
private data class PlatformList(val vms: List<PlatformVm>)

private val json = Json { ignoreUnknownKeys = true }

/** Returns the event that [text] encodes, or `null` when it is not a valid event. */
public fun engineEventOrNull(text: String): EngineEvent? =
    json.decode(EngineEvent.serializer(), text).getOrNull()

/** Returns the VMs in the platform's list that [text] encodes, or `null` when it is not a valid list. */
public fun platformVmsOrNull(text: String): PersistentList<PlatformVm>? =
    json
        .decode(PlatformList.serializer(), text)
        .getOrNull()
        ?.vms
        ?.toPersistentList()
