/**
 * Crashes of endpoints, charged to blocks of prompts. A block may crash each endpoint that begins to answer a prompt with it, while no
 * two of the prompts are the same. It is found by what the answers that crashes interrupted before their first content have in common.
 * A quarantine names the set of all blocks that these prompts share, and covers prompts with the whole set only: other prompts with some
 * of the blocks are served on, and show which of them are harmless.
 */
package sniperoute.request.quarantine.decision

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentSet
import sniperoute.process.clock.Timestamp
import sniperoute.version.message.BlockId
import sniperoute.version.message.EndpointName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.minutes

/** A crash is forgotten after this time. */
private val CRASH_LIFETIME = 10.minutes
private const val MAX_CRASHES = 64
private const val MAX_ANSWERS_PER_CRASH = 32
private const val MAX_QUARANTINES = 256

/** How long a quarantine lasts at first; each time that its blocks crash an endpoint after it, it lasts twice as long. */
private val FIRST_QUARANTINE = 10.minutes
private val LONGEST_QUARANTINE = 1.days

/** The suspicion that one crash adds to the blocks of an interrupted answer, and the suspicion at which they are quarantined. */
private const val SUSPICION_OF_BEGUN_ANSWER = 2
private const val SUSPICION_OF_WAITING_ANSWER = 1
private const val SUSPICION_TO_QUARANTINE = 6

/** An endpoint that interrupts this many answers has crashed, even if nobody has seen that it is gone. */
private const val INTERRUPTED_ANSWERS_OF_CRASH = 2

/** An answer without content that a crash interrupted: the blocks of its prompt, and whether its head had been received. */
public data class InterruptedAnswer(public val blocks: PersistentSet<BlockId>, public val hasBegun: Boolean)

/** The end of one [incarnation] of an endpoint, [isSeen] if it was seen to be gone, and the [answers] that it interrupted. */
public data class InterruptingCrash(
    public val endpoint: EndpointName,
    public val incarnation: String,
    public val at: Timestamp,
    public val isSeen: Boolean,
    public val answers: PersistentList<InterruptedAnswer>,
)

/**
 * The quarantine of prompts with all of [blocks], which lasts until [until]. For another [length] after that time, one crash is enough
 * to renew it.
 */
public data class BlockQuarantine(public val blocks: PersistentSet<BlockId>, public val until: Timestamp, public val length: Duration)

/** The crashes of the last time, the oldest first, and the quarantines that they led to. */
public data class BlockHistory(
    public val crashes: PersistentList<InterruptingCrash>,
    public val quarantines: PersistentList<BlockQuarantine>,
)

/** Returns an empty history. */
public fun emptyBlockHistory(): BlockHistory = BlockHistory(persistentListOf(), persistentListOf())

/** Returns the sets of blocks that are in quarantine at [now]. */
public fun BlockHistory.quarantinedAt(now: Timestamp): Set<PersistentSet<BlockId>> =
    quarantines.filter { now < it.until }.map { it.blocks }.toSet()

/** Returns the history after [answer] was interrupted at [now] when its connection to [endpoint] broke. */
public fun BlockHistory.recordInterruption(
    endpoint: EndpointName,
    incarnation: String,
    answer: InterruptedAnswer,
    now: Timestamp,
): BlockHistory = updateCrash(endpoint, incarnation, now) { crash ->
    if (crash.answers.size >= MAX_ANSWERS_PER_CRASH) crash else crash.copy(answers = crash.answers.add(answer))
}

/** Returns the history after [endpoint] was seen to be gone at [now]. */
public fun BlockHistory.recordSeenCrash(endpoint: EndpointName, incarnation: String, now: Timestamp): BlockHistory =
    updateCrash(endpoint, incarnation, now) { it.copy(isSeen = true) }

private fun BlockHistory.updateCrash(
    endpoint: EndpointName,
    incarnation: String,
    now: Timestamp,
    update: (InterruptingCrash) -> InterruptingCrash,
): BlockHistory {
    val current = expire(now)
    val index = current.crashes.indexOfLast { it.endpoint == endpoint && it.incarnation == incarnation }
    val updated = if (index >= 0) {
        current.crashes.set(index, update(current.crashes[index]))
    } else {
        current.crashes.add(update(InterruptingCrash(endpoint, incarnation, now, isSeen = false, persistentListOf())))
    }
    return current
        .copy(crashes = updated.takeLast(MAX_CRASHES).toPersistentList())
        .renewQuarantines(now)
        .addQuarantines(now)
}

/** Returns the history after an endpoint completed the answer to a prompt with [blocks], which shows that they are harmless. */
public fun BlockHistory.recordServed(blocks: Set<BlockId>): BlockHistory = BlockHistory(
    crashes = crashes.map { it.without(blocks) }.toPersistentList(),
    quarantines = quarantines
        .map { it.copy(blocks = it.blocks.removeAll(blocks)) }
        .filter { it.blocks.isNotEmpty() }
        .distinctBy { it.blocks }
        .toPersistentList(),
)

private fun InterruptingCrash.without(blocks: Set<BlockId>): InterruptingCrash =
    copy(answers = answers.map { it.copy(blocks = it.blocks.removeAll(blocks)) }.filter { it.blocks.isNotEmpty() }.toPersistentList())

/** Returns the history without the quarantine of [blocks], which an operator lifted, and without the crashes that led to it. */
public fun BlockHistory.lift(blocks: Set<BlockId>): BlockHistory = BlockHistory(
    crashes = crashes.map { it.without(blocks) }.toPersistentList(),
    quarantines = quarantines.removeAll { it.blocks == blocks },
)

/** Returns the history without what is too old at [now] to matter. */
public fun BlockHistory.expire(now: Timestamp): BlockHistory = BlockHistory(
    crashes = crashes.removeAll { now - it.at > CRASH_LIFETIME },
    quarantines = quarantines.removeAll { now >= it.until + it.length },
)

private val InterruptingCrash.isCertain: Boolean get() = isSeen || answers.size >= INTERRUPTED_ANSWERS_OF_CRASH

private fun InterruptingCrash.isExplainedBy(quarantine: BlockQuarantine): Boolean =
    answers.any { it.blocks.containsAll(quarantine.blocks) }

/** Renews the quarantines that have ended and whose blocks crashed an endpoint since. */
private fun BlockHistory.renewQuarantines(now: Timestamp): BlockHistory = copy(
    quarantines = quarantines
        .map { quarantine ->
            val hasCrashed = now >= quarantine.until &&
                crashes.any { it.isCertain && it.at >= quarantine.until && it.isExplainedBy(quarantine) }
            if (hasCrashed) quarantine.renewed(now) else quarantine
        }.toPersistentList(),
)

private fun BlockQuarantine.renewed(now: Timestamp): BlockQuarantine {
    val longer = minOf(length * 2, LONGEST_QUARANTINE)
    return copy(until = now + longer, length = longer)
}

private tailrec fun BlockHistory.addQuarantines(now: Timestamp): BlockHistory {
    val blocks = nextQuarantineOrNull() ?: return this
    val added = quarantines.add(BlockQuarantine(blocks, now + FIRST_QUARANTINE, FIRST_QUARANTINE))
    return copy(quarantines = added.takeLast(MAX_QUARANTINES).toPersistentList()).addQuarantines(now)
}

/**
 * Returns the blocks to quarantine next, or `null` if no block is suspicious enough. Only crashes that no quarantine explains raise a
 * suspicion; crashes before count too for a block that a quarantine names together with others, since it may be the harmful one. Of the
 * most suspicious blocks, those that are shared together with the most others are taken: the fewest prompts contain all of them.
 */
private fun BlockHistory.nextQuarantineOrNull(): PersistentSet<BlockId>? {
    val certain = crashes.filter { it.isCertain }
    val unexplained = certain.filter { crash -> quarantines.none { crash.isExplainedBy(it) } }
    val named = quarantines.filter { it.blocks.size > 1 }.flatMap { it.blocks }.toSet()
    val suspicions = unexplained
        .flatMap { it.answers }
        .flatMap { it.blocks }
        .distinct()
        .associateWith { block -> (if (block in named) certain else unexplained).sumOf { it.suspicionOf(block) } }
        .filterValues { it >= SUSPICION_TO_QUARANTINE }
    val highest = suspicions.values.maxOrNull() ?: return null
    return suspicions
        .filterValues { it == highest }
        .keys
        .sorted()
        .map { block -> certain.sharedWith(block) }
        .maxByOrNull { it.size }
}

private fun InterruptingCrash.suspicionOf(block: BlockId): Int {
    val with = answers.filter { block in it.blocks }
    return when {
        with.any { it.hasBegun } -> SUSPICION_OF_BEGUN_ANSWER
        with.isNotEmpty() -> SUSPICION_OF_WAITING_ANSWER
        else -> 0
    }
}

/** Returns the blocks that all interrupted answers with [block] share. */
private fun List<InterruptingCrash>.sharedWith(block: BlockId): PersistentSet<BlockId> =
    flatMap { it.answers }
        .map { it.blocks }
        .filter { block in it }
        .reduce { shared, blocks -> shared.filter { it in blocks }.toPersistentSet() }
