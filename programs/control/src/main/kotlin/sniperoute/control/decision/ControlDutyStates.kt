/**
 * The state of the control duty: the replicated state, and the volatile state that a replica holds while it leads.
 */
package sniperoute.control.decision

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import sniperoute.control.message.*
import sniperoute.process.agreement.decision.Redundancy
import sniperoute.process.agreement.message.Membership
import sniperoute.process.clock.Timestamp
import sniperoute.process.identity.VmName
import sniperoute.request.ledger.message.LedgerRequest
import sniperoute.version.decision.EvidenceTable
import sniperoute.version.decision.FleetView
import sniperoute.version.decision.FleetWorkloads
import sniperoute.version.decision.Lateness
import sniperoute.version.decision.Leases
import sniperoute.version.decision.RequestLimits
import sniperoute.version.decision.RouterName
import sniperoute.version.decision.TargetWeights
import sniperoute.version.decision.WarmUpTolerance
import sniperoute.version.decision.WarmingEndpoints
import sniperoute.version.decision.WeightLoads
import sniperoute.version.decision.noFleetWorkloads
import sniperoute.version.decision.noRequestLimits
import sniperoute.version.decision.noWarmingEndpoints
import sniperoute.version.decision.noWeightLoads
import sniperoute.version.decision.with
import sniperoute.version.message.CacheUse
import sniperoute.version.message.EndpointName
import sniperoute.version.message.ModelName
import sniperoute.version.message.ModelWeights
import sniperoute.version.message.ServiceName
import sniperoute.version.message.WeightsVersion
import sniperoute.version.message.WorkspaceName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The status that the agreement duty publishes. [leaseEnd] is the end of the leader lease; it is `null` when this replica
 * doesn't lead or may not act as the leader. [firstIndex] is the log entry with which the leader's term began.
 */
public data class AgreementStatus(
    public val self: VmName,
    public val term: Long,
    public val isLeader: Boolean,
    public val leader: VmName?,
    public val leaseEnd: Timestamp?,
    public val commitIndex: Long,
    public val membership: Membership,
    public val redundancy: Redundancy,
    public val maximumElectionTimeout: Duration,
    public val firstIndex: Long,
)

/** A proposal that isn't committed yet, by who is to get its result. */
public sealed interface PendingProposal

/** A proposal for the ledger [request] of the router at [to]. */
public data class LedgerProposal(public val to: ReplyAddress, public val request: LedgerRequest) : PendingProposal

/** A proposal for the operator's request [requestId]. */
public data class OperatorProposal(public val requestId: OperatorRequestId) : PendingProposal

/** A proposal for the token requests [requests], in the order in which the command lists them. */
public data class TokenProposal(public val requests: PersistentList<PendingTokenRequest>) : PendingProposal

/** A proposal of the leader itself: its result goes to nobody. */
public data object LeaderProposal : PendingProposal

/** A proposal to record uses of shared cached blocks, which the routers at [links] reported. */
public data class CacheUseProposal(public val links: PersistentSet<LinkId>) : PendingProposal

/** The [uses] of shared cached blocks that are to be recorded, which the routers at [links] reported. */
public data class CollectedCacheUses(
    public val uses: PersistentSet<CacheUse> = persistentSetOf(),
    public val links: PersistentSet<LinkId> = persistentSetOf(),
)

/** A router's request for [tokens] of [workspace]. */
public data class PendingTokenRequest(public val to: ReplyAddress, public val workspace: WorkspaceName, public val tokens: Long)

/** The evidence at the start of a move's current step, and when that step [started]. */
public data class MoveBaseline(
    public val share: Int,
    public val fence: Long,
    public val started: Timestamp,
    public val evidence: EvidenceTable,
)

/** A command to load [weights] that was sent to an endpoint at [at]. */
public data class SentLoadCommand(public val weights: WeightsVersion, public val at: Timestamp)

/**
 * The volatile state of a leader, which isn't replicated and is lost with the leadership.
 *
 * The leader sends no load command to declared endpoints before [loadCommandsAllowedFrom]. [links] are the open links to routers.
 * [pendingProposals] are keyed by proposal number. Token requests and returns collect in [pendingTokenRequests] and [returnedTokens]
 * while an earlier token command is pending. [pendingMoveAdvances] are the services for whose move an advance was proposed in the last
 * tick. [servedWeights] holds the last weights read from each endpoint, [lastReportedRevision] the newest revision that was recorded as
 * in force everywhere, [lastListRead] the time at which the platform's list was last read in full, [storeIncarnations] the incarnation
 * of each cache store, or that it is unreachable, [lateness] how many first tokens of each service come late, and [strained] the services
 * for which that is too many. The [cacheUses] are to be recorded, with the next proposal no earlier than [nextCacheUseProposal].
 */
public data class LeaderState(
    public val term: Long,
    public val loadCommandsAllowedFrom: Timestamp,
    public val leases: Leases,
    public val links: PersistentMap<LinkId, RouterName>,
    public val pendingProposals: PersistentMap<Long, PendingProposal>,
    public val pendingTokenRequests: PersistentList<PendingTokenRequest>,
    public val returnedTokens: PersistentList<TokenAmount>,
    public val isTokenProposalPending: Boolean,
    public val nextFleetTimeAdvance: Timestamp,
    public val evidence: PersistentMap<RouterName, EvidenceTable>,
    public val baselines: PersistentMap<ServiceName, MoveBaseline>,
    public val pendingMoveAdvances: PersistentSet<ServiceName>,
    public val servedWeights: PersistentMap<EndpointName, WeightsVersion>,
    public val sentLoadCommands: PersistentMap<EndpointName, SentLoadCommand>,
    public val lastWeightsReads: PersistentMap<EndpointName, Timestamp>,
    public val lastReportedRevision: Long,
    public val fleet: FleetView? = null,
    public val loads: WeightLoads = noWeightLoads(loadCommandsAllowedFrom),
    public val nextListRead: Timestamp = Timestamp.EARLIEST,
    public val lastListRead: Timestamp = Timestamp.EARLIEST,
    public val workloads: FleetWorkloads = noFleetWorkloads(),
    public val storeIncarnations: PersistentMap<ServiceName, Long> = persistentMapOf(),
    public val nextStoreCheck: Timestamp = Timestamp.EARLIEST,
    public val limits: RequestLimits,
    public val lateness: PersistentMap<ServiceName, Lateness> = persistentMapOf(),
    public val strained: PersistentSet<ServiceName> = persistentSetOf(),
    public val warming: WarmingEndpoints,
    public val cacheUses: CollectedCacheUses = CollectedCacheUses(),
    public val nextCacheUseProposal: Timestamp = Timestamp.EARLIEST,
)

/**
 * The settings for listed services. With [readsPlatformList] a leader reads the platform's list and reconciles the services in it. A new
 * leader sends their endpoints no load command for [loadCommandGracePeriod], after which commands of an earlier leader can no longer
 * take effect. Endpoints must change within [weightsLimit] of the naming of newer weights; when it is `null`, services change
 * theirs whatever their load. Cold endpoints get requests within the [warmUpTolerance].
 */
public data class FleetSettings(
    public val readsPlatformList: Boolean = false,
    public val loadCommandGracePeriod: Duration = Duration.ZERO,
    public val weightsLimit: Duration? = null,
    public val warmUpTolerance: WarmUpTolerance = WarmUpTolerance(),
)

/**
 * The state of the control duty. [appliedIndex] is the last log entry that was applied to [replicatedState], [nextProposal] the number of
 * the next proposal, [snapshotIndex] the log entry of the last snapshot, and [bytesSinceSnapshot] the length of the commands after it.
 * The [targetWeights] of each model are those that this replica has applied, with the time at which it did.
 * [leaderState] is `null` unless this replica leads.
 */
public data class ControlDutyState(
    public val appliedIndex: Long,
    public val replicatedState: ControlState,
    public val leaderState: LeaderState?,
    public val nextProposal: Long,
    public val snapshotIndex: Long,
    public val settings: FleetSettings = FleetSettings(),
    public val bytesSinceSnapshot: Long = 0,
    public val targetWeights: PersistentMap<ModelName, PersistentList<TargetWeights>> = persistentMapOf(),
)

/** Returns the state after this replica learned of the target weights [newer] at [now]. A later leader so knows how old they are. */
internal fun ControlDutyState.withTargetWeights(newer: Collection<ModelWeights>, now: Timestamp): ControlDutyState = copy(
    targetWeights = newer.fold(targetWeights) { all, target ->
        val known = all[target.model] ?: persistentListOf()
        if (known.any { it.number >= target.number }) all else all.put(target.model, known.with(TargetWeights(target.number, now)))
    },
)

/**
 * Returns the state of the control duty at the start of the process. [firstProposal] should be random, so that two leaders
 * don't use the same proposal numbers.
 */
public fun newControlDutyState(firstProposal: Long, settings: FleetSettings = FleetSettings()): ControlDutyState =
    ControlDutyState(0, newControlState(), null, firstProposal, 0, settings)

internal fun newLeaderState(
    term: Long,
    now: Timestamp,
    maximumElectionTimeout: Duration,
    leases: Leases,
    revision: Long,
    tolerance: WarmUpTolerance,
): LeaderState = LeaderState(
    term = term,
    loadCommandsAllowedFrom = now + maximumElectionTimeout * 2,
    leases = leases,
    links = persistentMapOf(),
    pendingProposals = persistentMapOf(),
    pendingTokenRequests = persistentListOf(),
    returnedTokens = persistentListOf(),
    isTokenProposalPending = false,
    nextFleetTimeAdvance = now,
    evidence = persistentMapOf(),
    baselines = persistentMapOf(),
    pendingMoveAdvances = persistentSetOf(),
    servedWeights = persistentMapOf(),
    sentLoadCommands = persistentMapOf(),
    lastWeightsReads = persistentMapOf(),
    lastReportedRevision = revision,
    limits = noRequestLimits(now),
    warming = noWarmingEndpoints(now, tolerance),
)

/** A state, and the effects that the duty performs for it. */
public data class ControlStep(public val state: ControlDutyState, public val effects: PersistentList<ControlEffect> = persistentListOf())

internal fun ControlDutyState.unchanged(): ControlStep = ControlStep(this)

internal fun ControlStep.emit(effect: ControlEffect): ControlStep = copy(effects = effects.add(effect))

internal fun ControlStep.then(step: (ControlDutyState) -> ControlStep): ControlStep {
    val next = step(state)
    return ControlStep(next.state, effects.addAll(next.effects))
}

/** Returns this state with [change] applied to the leader's state, or this state when the replica doesn't lead. */
internal fun ControlDutyState.updateLeader(change: LeaderState.() -> LeaderState): ControlDutyState =
    copy(leaderState = leaderState?.change())

/**
 * Returns whether this replica leads at [now] with a valid leader lease and has applied all entries of earlier terms. Entries of its own
 * term need not be applied: only the leader acknowledges them, after it has applied them.
 */
public fun ControlDutyState.isLeading(status: AgreementStatus, now: Timestamp): Boolean =
    leaderState != null && status.holdsLease(leaderState.term, now) && appliedIndex >= status.firstIndex

/** Returns whether this replica is the leader of [term] and its leader lease lasts beyond [now]. */
private fun AgreementStatus.holdsLease(term: Long, now: Timestamp): Boolean = this.term == term && leaseEnd != null && now < leaseEnd

/** A load command arrives within this time, unless its connection fails. */
private val LOAD_COMMAND_TRANSIT = 100.milliseconds

/**
 * Returns whether the leader of [term] may send a load command at [now]. It arrives before the leader lease ends, and so before the next
 * leader's grace period for load commands begins.
 */
public fun AgreementStatus.maySendLoadCommand(term: Long, now: Timestamp): Boolean = holdsLease(term, now + LOAD_COMMAND_TRANSIT)
