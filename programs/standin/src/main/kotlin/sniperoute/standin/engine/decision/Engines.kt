/**
 * The stand-in engine: prompts are computed one after the other, answers are generated concurrently, and each token takes longer
 * the more answers are being generated. The engine is a pure function of time, so its timing can be computed in advance.
 */
package sniperoute.standin.engine.decision

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import sniperoute.process.clock.Timestamp
import sniperoute.version.message.WeightsVersion
import kotlin.time.Duration

/**
 * The capacity and speed of a stand-in engine. With n of its slots in use, an answer token takes [answerTokenCost] times
 * 1 + n / [slots] * [fullBatchSlowdown].
 */
public data class StandinEngineProfile(
    public val slots: Int,
    public val cacheBlocks: Int,
    public val promptTokenCost: Duration,
    public val answerTokenCost: Duration,
    public val fullBatchSlowdown: Double,
    public val loadTime: Duration,
)

/** A request at the engine; answer tokens up to number [emitted] were sent, or skipped because the caller already has them. */
public data class EngineJob(
    public val id: Long,
    public val chain: PersistentList<Long>,
    public val promptTokens: Long,
    public val answerTokens: Long,
    public val emitted: Long,
    public val cachedTokens: Long,
    public val nextTokenAt: Timestamp,
)

/** The engine's state; [computing] is the job whose prompt is being computed, until [computedAt]. */
public data class EngineState(
    public val profile: StandinEngineProfile,
    public val weights: WeightsVersion,
    public val cache: BlockCache,
    public val waiting: PersistentList<EngineJob>,
    public val computing: EngineJob?,
    public val computedAt: Timestamp,
    public val generating: PersistentMap<Long, EngineJob>,
    public val loading: WeightsVersion?,
    public val loadedAt: Timestamp,
    public val slowdown: Double,
)

/** Returns an idle engine that serves [weights]. */
public fun newEngine(profile: StandinEngineProfile, weights: WeightsVersion): EngineState = EngineState(
    profile = profile,
    weights = weights,
    cache = emptyBlockCache(profile.cacheBlocks),
    waiting = persistentListOf(),
    computing = null,
    computedAt = Timestamp.EARLIEST,
    generating = persistentMapOf(),
    loading = null,
    loadedAt = Timestamp.EARLIEST,
    slowdown = 1.0,
)

/** An input of the engine. */
public sealed interface EngineInput

/** A request arrived; its first [skip] answer tokens are not sent. */
public data class JobArrived(
    public val id: Long,
    public val chain: PersistentList<Long>,
    public val promptTokens: Long,
    public val answerTokens: Long,
    public val skip: Long,
) : EngineInput

/** The caller cancelled a request. */
public data class JobCancelled(public val id: Long) : EngineInput

/** The engine is to load [weights]; running requests finish with the previous ones. */
public data class LoadWeights(public val weights: WeightsVersion) : EngineInput

/** From now on everything takes [factor] times its usual time. */
public data class SetSlowdown(public val factor: Double) : EngineInput

/** An effect of the engine. */
public sealed interface EngineEffect

/** Token [number], counted from 1, of the answer to [id] was generated; [isLast] ends the answer. */
public data class TokenGenerated(
    public val id: Long,
    public val number: Long,
    public val isLast: Boolean,
    public val job: EngineJob,
) : EngineEffect

/** Blocks were stored in the cache or removed from it. */
public data class CacheChanged(public val stored: PersistentList<Long>, public val removed: PersistentList<Long>) : EngineEffect

/** The engine now serves [weights], with an empty cache. */
public data class WeightsLoaded(public val weights: WeightsVersion) : EngineEffect

/** The next state and the effects of reaching it. */
public data class EngineStep(public val state: EngineState, public val effects: PersistentList<EngineEffect> = persistentListOf())

private fun EngineStep.then(step: (EngineState) -> EngineStep): EngineStep {
    val next = step(state)
    return EngineStep(next.state, effects.addAll(next.effects))
}

/** The number of requests at the engine, queued ones included. */
public val EngineState.running: Int get() = waiting.size + generating.size + if (computing == null) 0 else 1

/** The prompt tokens that are still to be computed. */
public val EngineState.waitingTokens: Long
    get() = (waiting + listOfNotNull(computing)).sumOf { it.promptTokens - it.cachedTokens }

/** Returns the step that [input], if there is one, and the passage of time up to [now] cause. */
public fun EngineState.step(now: Timestamp, input: EngineInput?): EngineStep = applyInput(now, input).then { it.advance(now) }

private fun EngineState.applyInput(now: Timestamp, input: EngineInput?): EngineStep = when (input) {
    null -> EngineStep(this)
    is JobArrived -> EngineStep(copy(waiting = waiting.add(input.toJob(this, now))))
    is JobCancelled -> EngineStep(cancel(input.id))
    is LoadWeights -> EngineStep(copy(loading = input.weights, loadedAt = now + profile.loadTime))
    is SetSlowdown -> EngineStep(copy(slowdown = input.factor))
}

private const val TOKENS_PER_BLOCK = 2_000

private fun JobArrived.toJob(state: EngineState, now: Timestamp): EngineJob = EngineJob(
    id = id,
    chain = chain,
    promptTokens = promptTokens,
    answerTokens = answerTokens,
    emitted = skip,
    cachedTokens = state.cache.countCachedBlocks(chain).toLong() * TOKENS_PER_BLOCK,
    nextTokenAt = now,
)

private fun EngineState.cancel(id: Long): EngineState = copy(
    waiting = waiting.removeAll { it.id == id },
    computing = computing?.takeIf { it.id != id },
    generating = generating.remove(id),
)

private fun EngineState.advance(now: Timestamp): EngineStep =
    finishLoading(now)
        .then { it.finishPrompt(now) }
        .then { it.startPrompt(now) }
        .then { it.generateTokens(now) }

private fun EngineState.finishLoading(now: Timestamp): EngineStep {
    if (loading == null || now < loadedAt) return EngineStep(this)
    val removed = persistentListOf<Long>().addAll(cache.lastAccesses.keys)
    val next = copy(weights = loading, loading = null, cache = emptyBlockCache(profile.cacheBlocks))
    return EngineStep(next, persistentListOf(CacheChanged(persistentListOf(), removed), WeightsLoaded(loading)))
}

private fun EngineState.finishPrompt(now: Timestamp): EngineStep {
    val done = computing?.takeIf { now >= computedAt } ?: return EngineStep(this)
    val access = cache.access(done.chain)
    val next = copy(cache = access.cache, computing = null, generating = generating.put(done.id, done.copy(nextTokenAt = computedAt)))
    val changed = access.stored.isNotEmpty() || access.removed.isNotEmpty()
    return EngineStep(next, if (changed) persistentListOf(CacheChanged(access.stored, access.removed)) else persistentListOf())
}

private fun EngineState.startPrompt(now: Timestamp): EngineStep {
    if (computing != null || waiting.isEmpty() || generating.size >= profile.slots) return EngineStep(this)
    val first = waiting.first()
    val cachedTokens = cache.countCachedBlocks(first.chain).toLong() * TOKENS_PER_BLOCK
    val job = first.copy(cachedTokens = minOf(cachedTokens, first.promptTokens))
    val cost = profile.promptTokenCost * (job.promptTokens - job.cachedTokens).toDouble() * slowdown
    return EngineStep(copy(waiting = waiting.removeAt(0), computing = job, computedAt = now + cost))
}

private fun EngineState.generateTokens(now: Timestamp): EngineStep =
    generating.values.fold(EngineStep(this)) { step, job -> step.then { it.generateToken(job, now) } }

private fun EngineState.generateToken(job: EngineJob, now: Timestamp): EngineStep {
    if (now < job.nextTokenAt) return EngineStep(this)
    val advanced = job.copy(emitted = job.emitted + 1, nextTokenAt = job.nextTokenAt + tokenTime())
    val isLast = advanced.emitted >= advanced.answerTokens
    val next = copy(generating = if (isLast) generating.remove(job.id) else generating.put(job.id, advanced))
    return EngineStep(next, persistentListOf(TokenGenerated(job.id, advanced.emitted, isLast, advanced)))
}

private fun EngineState.tokenTime(): Duration {
    val load = generating.size.toDouble() / profile.slots
    return profile.answerTokenCost * (1.0 + load * profile.fullBatchSlowdown) * slowdown
}
