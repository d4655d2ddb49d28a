/**
 * The JSON of the stand-in engine: responses in the usual format of completion APIs, its events, and its fault switches.
 */
package sniperoute.standin.engine.codec

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import sniperoute.standin.engine.decision.EngineJob

/** The JSON format of all stand-in pages. */
public val standinJson: Json = Json {
    encodeDefaults = true
    explicitNulls = false
    ignoreUnknownKeys = true
}

/** Faults that can be switched on while a stand-in runs. Shares are in thousandths; [breakStreamsAfter] counts tokens, 0 is never. */
@Serializable
public data class FaultSwitches(
    public val silentConnections: Boolean = false,
    public val crossedAnswers: Boolean = false,
    public val malformedStream: Boolean = false,
    public val failShare: Int = 0,
    public val breakStreamsAfter: Long = 0,
    public val eventLossShare: Int = 0,
    public val eventDelayMilliseconds: Long = 0,
    public val slowness: Double = 1.0,
    public val slowWeights: String = "",
    public val failingWeights: String = "",
    public val ignoresFence: Boolean = false,
    public val leaving: Boolean = false,
    public val killingText: String = "",
)

/** The body of a load command. */
@Serializable
@SerialName("sniperoute.standin.engine.codec.WeightsOrder")
public data class LoadCommandRequest(public val weights: String, public val fence: Long)

/** The served weights, and the highest fencing token received so far. */
@Serializable
public data class WeightsPage(public val weights: String, public val fence: Long)

/** An event of the engine's event stream: its load, and the cache blocks that were [stored] or [removed] since the last event. */
@Serializable
public data class PublishedEvent(
    public val sequence: Long,
    public val incarnation: String,
    public val weights: String,
    public val running: Int,
    public val waitingTokens: Long,
    public val leaving: Boolean,
    public val stored: List<Long>,
    public val removed: List<Long>,
)

/** Counters of a stand-in, for tests; [keysSeen] counts requests that carried a caller's key. */
@Serializable
public data class CountsPage(
    public val requests: Long,
    public val promptTokens: Long,
    public val cachedTokens: Long,
    public val keysSeen: Long,
    public val calls: Map<String, Long>,
)

/** Returns event [number] of a streamed response. */
public fun streamEvent(requestId: String, number: Long, job: EngineJob, isLast: Boolean): String {
    val chunk = buildJsonObject {
        put("id", requestId)
        put("object", "chat.completion.chunk")
        putJsonArray("choices") {
            addJsonObject {
                put("index", 0)
                putJsonObject("delta") { put("content", " w$number") }
                if (isLast) put("finish_reason", "stop")
            }
        }
        if (isLast) put("usage", usageOf(job))
    }
    val end = if (isLast) "data: [DONE]\n\n" else ""
    return "id: $number\ndata: $chunk\n\n$end"
}

/** Returns the body of a response that is not streamed. */
public fun completionPage(requestId: String, job: EngineJob): String = buildJsonObject {
    put("id", requestId)
    put("object", "chat.completion")
    putJsonArray("choices") {
        addJsonObject {
            put("index", 0)
            putJsonObject("message") {
                put("role", "assistant")
                put("content", (1..job.answerTokens).joinToString("") { " w$it" })
            }
            put("finish_reason", "stop")
        }
    }
    put("usage", usageOf(job))
}.toString()

private fun usageOf(job: EngineJob) = buildJsonObject {
    put("prompt_tokens", job.promptTokens)
    put("completion_tokens", job.answerTokens)
    putJsonObject("prompt_tokens_details") { put("cached_tokens", job.cachedTokens) }
}
