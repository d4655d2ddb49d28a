/**
 * Load traces: timed requests of several workspaces, generated from one seed so that every placement policy gets the same ones.
 */
package sniperoute.standin.trial

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import sniperoute.common.NAME_PATTERN
import sniperoute.process.settings.ObjectReader
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit
import kotlin.time.times

/** The kind of a request in a trace. */
public enum class TraceKind { DRAFT, STATUS, CONFIRMATION }

/** A request that is due at [at] after the start of the trace; [levels] are the nested levels of its prompt. */
public data class TraceRequest(
    public val at: Duration,
    public val workspace: String,
    public val kind: TraceKind,
    public val levels: ImmutableList<String>,
    public val number: Int,
)

/** The load of one workspace: requests of each kind a second, and the number of handbooks that its drafts draw from. */
public data class TraceWorkspace(
    public val name: String,
    public val key: String,
    public val draftsPerSecond: Double,
    public val statusesPerSecond: Double,
    public val confirmationsPerSecond: Double,
    public val handbooks: Int,
)

/**
 * The parameters of a trace. Sizes of prompt levels are in bytes. The share [hotShare] of the drafts uses the handbook and the
 * chapter that are hot at that time; these change every [shiftEvery].
 */
public data class TraceShape(
    public val seed: Long,
    public val length: Duration,
    public val workspaces: ImmutableList<TraceWorkspace>,
    public val handbookBytes: Int,
    public val chapterBytes: Int,
    public val chapters: Int,
    public val questionBytes: Int,
    public val hotShare: Double,
    public val shiftEvery: Duration,
)

private const val PER_THOUSAND = 1_000.0
private const val DEFAULT_HANDBOOK_BYTES = 48_000L
private const val DEFAULT_CHAPTER_BYTES = 24_000L
private const val DEFAULT_CHAPTERS = 6L
private const val DEFAULT_QUESTION_BYTES = 2_000L
private const val DEFAULT_HOT_THOUSANDTHS = 500L
private val RATE_RANGE = 0L..10_000_000L
private val SIZE_RANGE = 1L..10_000_000L

internal fun ObjectReader.traceShape(): TraceShape = TraceShape(
    seed = long("seed", 0L..Long.MAX_VALUE),
    length = milliseconds("lengthMilliseconds", SIZE_RANGE),
    workspaces = objects("workspaces") { traceWorkspace() },
    handbookBytes = long("handbookBytes", SIZE_RANGE, DEFAULT_HANDBOOK_BYTES).toInt(),
    chapterBytes = long("chapterBytes", SIZE_RANGE, DEFAULT_CHAPTER_BYTES).toInt(),
    chapters = long("chapters", SIZE_RANGE, DEFAULT_CHAPTERS).toInt(),
    questionBytes = long("questionBytes", SIZE_RANGE, DEFAULT_QUESTION_BYTES).toInt(),
    hotShare = long("hotThousandths", 0L..1_000L, DEFAULT_HOT_THOUSANDTHS) / PER_THOUSAND,
    shiftEvery = milliseconds("shiftMilliseconds", SIZE_RANGE, 10_000.milliseconds),
)

private fun ObjectReader.traceWorkspace() = TraceWorkspace(
    name = string("name", pattern = NAME_PATTERN),
    key = string("key"),
    draftsPerSecond = long("draftsPerThousandSeconds", RATE_RANGE) / PER_THOUSAND,
    statusesPerSecond = long("statusesPerThousandSeconds", RATE_RANGE, 0) / PER_THOUSAND,
    confirmationsPerSecond = long("confirmationsPerThousandSeconds", RATE_RANGE, 0) / PER_THOUSAND,
    handbooks = long("handbooks", SIZE_RANGE, 1).toInt(),
)

/** Returns the requests of [shape] in order of time. */
public fun traceOf(shape: TraceShape): List<TraceRequest> =
    shape.workspaces
        .flatMapIndexed { position, workspace -> requestsOf(shape, workspace, Random(shape.seed * SEED_FACTOR + position)) }
        .sortedBy { it.at }
        .mapIndexed { number, request -> request.copy(number = number) }

private const val SEED_FACTOR = 1_009

private fun requestsOf(shape: TraceShape, workspace: TraceWorkspace, random: Random): List<TraceRequest> {
    val drafts = arrivals(workspace.draftsPerSecond, shape.length, random).map { draft(shape, workspace, it, random) }
    val statuses = arrivals(workspace.statusesPerSecond, shape.length, random).map { plainRequest(workspace, it, TraceKind.STATUS) }
    val confirmations = arrivals(
        workspace.confirmationsPerSecond,
        shape.length,
        random,
    ).map { plainRequest(workspace, it, TraceKind.CONFIRMATION) }
    return drafts + statuses + confirmations
}

private fun plainRequest(workspace: TraceWorkspace, at: Duration, kind: TraceKind) =
    TraceRequest(at, workspace.name, kind, emptyList<String>().toImmutableList(), 0)

/** Returns the arrival times of a Poisson process. */
private fun arrivals(perSecond: Double, length: Duration, random: Random): List<Duration> {
    if (perSecond <= 0.0) return emptyList()
    return generateSequence(gap(perSecond, random)) { it + gap(perSecond, random) }.takeWhile { it < length }.toList()
}

private fun gap(perSecond: Double, random: Random): Duration = -ln(1.0 - random.nextDouble()) / perSecond * 1_000.milliseconds

/** Returns a draft whose prompt has three levels: a handbook, one of its chapters, and a question that no other draft has. */
private fun draft(shape: TraceShape, workspace: TraceWorkspace, at: Duration, random: Random): TraceRequest {
    val period = (at.toDouble(DurationUnit.MILLISECONDS) / shape.shiftEvery.toDouble(DurationUnit.MILLISECONDS)).toInt()
    val isHot = random.nextDouble() < shape.hotShare
    val handbook = if (isHot) period % workspace.handbooks else random.nextInt(workspace.handbooks)
    val chapter = if (isHot) period % shape.chapters else random.nextInt(shape.chapters)
    val levels = listOf(
        fillerText("${workspace.name} handbook $handbook", shape.handbookBytes),
        fillerText("${workspace.name} handbook $handbook chapter $chapter", shape.chapterBytes),
        fillerText("question ${random.nextLong()}", shape.questionBytes),
    )
    return TraceRequest(at, workspace.name, TraceKind.DRAFT, levels.toImmutableList(), 0)
}
