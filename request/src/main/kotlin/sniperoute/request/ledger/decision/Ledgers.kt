/**
 * The once-only ledger. An entry is committed before any byte of its call goes out; it belongs to one request at one run of a
 * router and never passes to another by time-out. So a call runs at most once, and what is said about it is true.
 */
package sniperoute.request.ledger.decision

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import sniperoute.process.clock.Timestamp
import sniperoute.request.ledger.message.*
import sniperoute.version.message.RequestDigest
import sniperoute.version.message.WorkspaceName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours

/** How long the outcome of a call is kept after it was last changed. */
public val LEDGER_LIFE: Duration = 24.hours

/** The most entries of one workspace. */
public const val MOST_ENTRIES_PER_WORKSPACE: Int = 50_000

/** Where a call stands. */
public sealed interface CallState

/** The owner may send it, or has. */
public data object Begun : CallState

/** It ran. */
public data class Finished(public val answer: RecordedAnswer) : CallState

/** It was sent, and nobody knows what became of it. */
public data object Lost : CallState

/** One call. */
public data class LedgerEntry(
    public val owner: LedgerOwner,
    public val digest: RequestDigest,
    public val state: CallState,
    public val changed: Timestamp,
)

/** All calls whose outcome is kept, and how many each workspace has. */
public data class Ledger(
    public val entries: PersistentMap<LedgerKey, LedgerEntry>,
    public val counts: PersistentMap<WorkspaceName, Int>,
)

/** Returns a ledger without calls. */
public fun emptyLedger(): Ledger = Ledger(persistentMapOf(), persistentMapOf())

/** A reply and the ledger after it. */
public data class LedgerStep(public val ledger: Ledger, public val reply: LedgerReply)

/** Returns the ledger after [request] at the leader's time [now]. Asking the same again changes nothing more. */
public fun Ledger.step(request: LedgerRequest, now: Timestamp): LedgerStep = when (request) {
    is BeginCall -> begin(request, now)
    is FinishCall -> change(request.key, request.owner, Finished(request.answer), now)
    is ReleaseCall -> release(request)
    is LoseCall -> change(request.key, request.owner, Lost, now)
    is CrashNotice -> LedgerStep(this, CallAcknowledged)
}

private val OPEN_ROUTES = WorkspaceName("")

private val LedgerKey.owningWorkspace: WorkspaceName get() = workspace ?: OPEN_ROUTES

private fun Ledger.begin(request: BeginCall, now: Timestamp): LedgerStep {
    val entry = entries[request.key]
    return when {
        entry != null && entry.isOver(now) -> remove(request.key).begin(request, now)
        entry != null -> LedgerStep(this, entry.replyTo(request))
        countOf(request.key) >= MOST_ENTRIES_PER_WORKSPACE -> LedgerStep(this, LedgerIsFull)
        else -> LedgerStep(put(request.key, LedgerEntry(request.owner, request.digest, Begun, now)), CallGranted)
    }
}

/** A call in doubt is kept for as long as one that ran; only after that may its key be used again. */
private fun LedgerEntry.isOver(now: Timestamp): Boolean = now - changed > LEDGER_LIFE

private fun LedgerEntry.replyTo(request: BeginCall): LedgerReply = when {
    digest != request.digest -> CallDiffers
    state is Finished -> CallRan(state.answer)
    state is Lost -> CallMayHaveRun
    owner == request.owner -> CallGranted
    else -> CallIsRunning
}

private fun Ledger.change(key: LedgerKey, owner: LedgerOwner, state: CallState, now: Timestamp): LedgerStep {
    val entry = entries[key]
    if (entry == null || entry.owner != owner || entry.state is Finished) return LedgerStep(this, CallAcknowledged)
    return LedgerStep(put(key, entry.copy(state = state, changed = now)), CallAcknowledged)
}

private fun Ledger.release(request: ReleaseCall): LedgerStep {
    val entry = entries[request.key]
    val isReleasable = entry != null && entry.owner == request.owner && entry.state is Begun
    return LedgerStep(if (isReleasable) remove(request.key) else this, CallAcknowledged)
}

/** Returns the ledger without the entries whose time is over at [now]. */
public fun Ledger.expire(now: Timestamp): Ledger =
    entries.filterValues { it.isOver(now) }.keys.fold(this) { ledger, key -> ledger.remove(key) }

private fun Ledger.countOf(key: LedgerKey): Int = counts[key.owningWorkspace] ?: 0

private fun Ledger.put(key: LedgerKey, entry: LedgerEntry): Ledger {
    val isNew = key !in entries
    val count = countOf(key) + if (isNew) 1 else 0
    return Ledger(entries.put(key, entry), counts.put(key.owningWorkspace, count))
}

private fun Ledger.remove(key: LedgerKey): Ledger {
    val count = countOf(key) - 1
    val rest = if (count > 0) counts.put(key.owningWorkspace, count) else counts.remove(key.owningWorkspace)
    return Ledger(entries.remove(key), rest)
}

/**
 * Returns what to tell a caller about a call that [reply] says is running, given whether its owner is known to be alive. An
 * owner that may be dead can have sent the call before it died.
 */
public fun resolveRunningReply(reply: LedgerReply, isOwnerAlive: Boolean): LedgerReply =
    if (reply is CallIsRunning && !isOwnerAlive) CallMayHaveRun else reply
