/**
 * The stand-in engine: prompts are computed one after the other, answers are generated side by side, each token slower the
 * more answers are under way. It is a pure function of time, so that its figures can be told in advance.
 */
package sniperoute.standin.engine.decision

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import sniperoute.process.clock.Timestamp
import sniperoute.version.message.WeightsVersion
import kotlin.time.Duration

/** What an engine can do. */
public data class EngineProfile(
    public val slots: Int,
    public val cachePieces: Int,
    public val promptTokenCost: Duration,
    public val answerTokenCost: Duration,
    public val fullBatchSlowdown: Double,
    public val loadTime: Duration,
)

/** One request at the engine; answer tokens up to [emitted] were sent, or were skipped because the caller has them. */
public data class EngineJob(
    public val id: Long,
    public val chain: PersistentList<Long>,
    public val promptTokens: Long,
    public val answerTokens: Long,
    public val emitted: Long,
    public val cachedTokens: Long,
    public val nextToken: Timestamp,
)

/** The engine's state; [computing] is the prompt in work, until [computedAt]. */
public data class EngineState(
    public val profile: EngineProfile,
    public val weights: WeightsVersion,
    public val cache: PieceCache,
    public val waiting: PersistentList<EngineJob>,
    public val computing: EngineJob?,
    public val computedAt: Timestamp,
    public val generating: PersistentMap<Long, EngineJob>,
    public val loading: WeightsVersion?,
    public val loadedAt: Timestamp,
    public val slowness: Double,
)

/** Returns an idle engine that serves [weights]. */
public fun newEngine(profile: EngineProfile, weights: WeightsVersion): EngineState = EngineState(
    profile = profile,
    weights = weights,
    cache = emptyPieceCache(profile.cachePieces),
    waiting = persistentListOf(),
    computing = null,
    computedAt = Timestamp.EARLIEST,
    generating = persistentMapOf(),
    loading = null,
    loadedAt = Timestamp.EARLIEST,
    slowness = 1.0,
)

/** What an engine takes in. */
public sealed interface EngineInput

/** A request came; the first [skip] answer tokens need not be sent. */
public data class JobCame(
    public val id: Long,
    public val chain: PersistentList<Long>,
    public val promptTokens: Long,
    public val answerTokens: Long,
    public val skip: Long,
) : EngineInput

/** A request was given up by its caller. */
public data class JobLeft(public val id: Long) : EngineInput

/** The weights are to be replaced; requests under way keep the old ones to their end. */
public data class LoadWeights(public val weights: WeightsVersion) : EngineInput

/** Everything takes [factor] times as long from now on. */
public data class SlowDown(public val factor: Double) : EngineInput

/** What an engine does. */
public sealed interface EngineEffect

/** Token number [number], counted from 1, of the answer to [id] is there; [isLast] ends it. */
public data class TokenMade(
    public val id: Long,
    public val number: Long,
    public val isLast: Boolean,
    public val job: EngineJob,
) : EngineEffect

/** The cache changed. */
public data class CacheDiffers(public val stored: PersistentList<Long>, public val removed: PersistentList<Long>) : EngineEffect

/** The weights were replaced and the cache was emptied. */
public data class WeightsLoaded(public val weights: WeightsVersion) : EngineEffect

/** A state and what was done on the way to it. */
public data class EngineStep(public val state: EngineState, public val effects: PersistentList<EngineEffect> = persistentListOf())

private fun EngineStep.then(step: (EngineState) -> EngineStep): EngineStep {
    val next = step(state)
    return EngineStep(next.state, effects.addAll(next.effects))
}

/** The number of requests in work. */
public val EngineState.running: Int get() = waiting.size + generating.size + if (computing == null) 0 else 1

/** The prompt tokens that wait to be computed. */
public val EngineState.waitingTokens: Long
    get() = (waiting + listOfNotNull(computing)).sumOf { it.promptTokens - it.cachedTokens }

/** Returns the state after [input] at [now]. */
public fun EngineState.step(now: Timestamp, input: EngineInput?): EngineStep = take(now, input).then { it.advance(now) }

private fun EngineState.take(now: Timestamp, input: EngineInput?): EngineStep = when (input) {
    null -> EngineStep(this)
    is JobCame -> EngineStep(copy(waiting = waiting.add(input.toJob(this, now))))
    is JobLeft -> EngineStep(leave(input.id))
    is LoadWeights -> EngineStep(copy(loading = input.weights, loadedAt = now + profile.loadTime))
    is SlowDown -> EngineStep(copy(slowness = input.factor))
}

private const val TOKENS_PER_PIECE = 2_000

private fun JobCame.toJob(state: EngineState, now: Timestamp): EngineJob = EngineJob(
    id = id,
    chain = chain,
    promptTokens = promptTokens,
    answerTokens = answerTokens,
    emitted = skip,
    cachedTokens = state.cache.heldPieces(chain).toLong() * TOKENS_PER_PIECE,
    nextToken = now,
)

private fun EngineState.leave(id: Long): EngineState = copy(
    waiting = waiting.removeAll { it.id == id },
    computing = computing?.takeIf { it.id != id },
    generating = generating.remove(id),
)

private fun EngineState.advance(now: Timestamp): EngineStep =
    finishLoading(now)
        .then { it.finishPrompt(now) }
        .then { it.startPrompt(now) }
        .then { it.generate(now) }

private fun EngineState.finishLoading(now: Timestamp): EngineStep {
    if (loading == null || now < loadedAt) return EngineStep(this)
    val removed = persistentListOf<Long>().addAll(cache.pieces.keys)
    val next = copy(weights = loading, loading = null, cache = emptyPieceCache(profile.cachePieces))
    return EngineStep(next, persistentListOf(CacheDiffers(persistentListOf(), removed), WeightsLoaded(loading)))
}

private fun EngineState.finishPrompt(now: Timestamp): EngineStep {
    val done = computing?.takeIf { now >= computedAt } ?: return EngineStep(this)
    val use = cache.use(done.chain)
    val next = copy(cache = use.cache, computing = null, generating = generating.put(done.id, done.copy(nextToken = computedAt)))
    val changed = use.stored.isNotEmpty() || use.removed.isNotEmpty()
    return EngineStep(next, if (changed) persistentListOf(CacheDiffers(use.stored, use.removed)) else persistentListOf())
}

private fun EngineState.startPrompt(now: Timestamp): EngineStep {
    if (computing != null || waiting.isEmpty() || generating.size >= profile.slots) return EngineStep(this)
    val first = waiting.first()
    val held = cache.heldPieces(first.chain).toLong() * TOKENS_PER_PIECE
    val job = first.copy(cachedTokens = minOf(held, first.promptTokens))
    val cost = profile.promptTokenCost * (job.promptTokens - job.cachedTokens).toDouble() * slowness
    return EngineStep(copy(waiting = waiting.removeAt(0), computing = job, computedAt = now + cost))
}

private fun EngineState.generate(now: Timestamp): EngineStep =
    generating.values.fold(EngineStep(this)) { step, job -> step.then { it.generate(job, now) } }

private fun EngineState.generate(job: EngineJob, now: Timestamp): EngineStep {
    if (now < job.nextToken) return EngineStep(this)
    val made = job.copy(emitted = job.emitted + 1, nextToken = job.nextToken + tokenTime())
    val isLast = made.emitted >= made.answerTokens
    val next = copy(generating = if (isLast) generating.remove(job.id) else generating.put(job.id, made))
    return EngineStep(next, persistentListOf(TokenMade(job.id, made.emitted, isLast, made)))
}

private fun EngineState.tokenTime(): Duration {
    val load = generating.size.toDouble() / profile.slots
    return profile.answerTokenCost * (1.0 + load * profile.fullBatchSlowdown) * slowness
}
