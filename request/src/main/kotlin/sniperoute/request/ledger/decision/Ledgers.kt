/**
 * The once-only ledger. An entry is committed before any byte of its call is sent. It belongs to one request at one incarnation of a
 * router, and no timeout passes it to another owner. So a call runs at most once, and the outcome that callers get is true.
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

/** How long an entry is kept after its last change. */
public val LEDGER_ENTRY_LIFETIME: Duration = 24.hours

/** The upper bound on entries of one workspace. */
public const val MAX_ENTRIES_PER_WORKSPACE: Int = 50_000

/** The state of a call. */
public sealed interface CallState

/** The owner may send it, or has sent it. */
public data object Begun : CallState

/** It ran. */
public data class Finished(public val answer: RecordedAnswer) : CallState

/** It was sent, and its outcome is unknown. */
public data object Lost : CallState

/** The entry of one call. */
public data class LedgerEntry(
    public val owner: LedgerOwner,
    public val digest: RequestDigest,
    public val state: CallState,
    public val changed: Timestamp,
)

/** All entries, and the number of entries of each workspace. */
public data class Ledger(
    public val entries: PersistentMap<LedgerKey, LedgerEntry>,
    public val counts: PersistentMap<WorkspaceName, Int>,
)

/** Returns an empty ledger. */
public fun emptyLedger(): Ledger = Ledger(persistentMapOf(), persistentMapOf())

/** The ledger after a request, and the reply. */
public data class LedgerStep(public val ledger: Ledger, public val reply: LedgerReply)

/** Returns the ledger after [request] at the leader's time [now]. Repeating a request has no further effect. */
public fun Ledger.step(request: LedgerRequest, now: Timestamp): LedgerStep = when (request) {
    is BeginCall -> begin(request, now)
    is FinishCall -> change(request.key, request.owner, Finished(request.answer), now)
    is ReleaseCall -> release(request)
    is MarkCallLost -> change(request.key, request.owner, Lost, now)
    is CrashNotice, is InterruptionNotice, is ServedBlocksNotice -> LedgerStep(this, CallAcknowledged)
}

/** Calls on open routes belong to no workspace and are counted together. */
private val OPEN_ROUTES_WORKSPACE = WorkspaceName("")

private val LedgerKey.owningWorkspace: WorkspaceName get() = workspace ?: OPEN_ROUTES_WORKSPACE

private fun Ledger.begin(request: BeginCall, now: Timestamp): LedgerStep {
    val entry = entries[request.key]
    return when {
        entry != null && entry.isExpired(now) -> remove(request.key).begin(request, now)
        entry != null -> LedgerStep(this, entry.replyTo(request))
        countOf(request.key) >= MAX_ENTRIES_PER_WORKSPACE -> LedgerStep(this, LedgerIsFull)
        else -> LedgerStep(put(request.key, LedgerEntry(request.owner, request.digest, Begun, now)), CallGranted)
    }
}

/** A call with an unknown outcome is kept for as long as one that ran; only then may its key be used again. */
private fun LedgerEntry.isExpired(now: Timestamp): Boolean = now - changed > LEDGER_ENTRY_LIFETIME

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

/** Returns the ledger without the entries that are expired at [now]. */
public fun Ledger.expire(now: Timestamp): Ledger =
    entries.filterValues { it.isExpired(now) }.keys.fold(this) { ledger, key -> ledger.remove(key) }

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
 * Returns the reply to a router, given whether the owner of the call is known to be alive. If it is not, the reply for a running call
 * is [CallMayHaveRun], since the owner can have sent the call before it crashed.
 */
public fun resolveRunningReply(reply: LedgerReply, isOwnerAlive: Boolean): LedgerReply =
    if (reply is CallIsRunning && !isOwnerAlive) CallMayHaveRun else reply
