/**
 * The state of the control duty: the agreed state, and what a leader knows beside it and may lose.
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
import sniperoute.version.decision.Leases
import sniperoute.version.decision.RouterName
import sniperoute.version.decision.WeightLoads
import sniperoute.version.decision.noFleetWorkloads
import sniperoute.version.decision.noWeightLoads
import sniperoute.version.message.EndpointName
import sniperoute.version.message.ServiceName
import sniperoute.version.message.WeightsVersion
import sniperoute.version.message.WorkspaceName
import kotlin.time.Duration

/** What the agreement duty publishes of itself. [leaseEnd] is `null` unless this replica leads and may act on it. */
public data class AgreementStatus(
    public val self: VmName,
    public val term: Long,
    public val isLeader: Boolean,
    public val leader: VmName?,
    public val leaseEnd: Timestamp?,
    public val committed: Long,
    public val membership: Membership,
    public val redundancy: Redundancy,
    public val maximumElectionTimeout: Duration,
)

/** Who waits for a proposal. */
public sealed interface Waiter

/** A router that made [request] of the ledger. */
public data class LedgerWaiter(public val to: ReplyAddress, public val request: LedgerRequest) : Waiter

/** An operator. */
public data class OperatorWaiter(public val wait: OperatorRequestId) : Waiter

/** The routers whose tokens are in the command, in order. */
public data class TokenWaiter(public val asks: PersistentList<TokenAsk>) : Waiter

/** Nobody: the leader itself advances a move. */
public data object NobodyWaits : Waiter

/** A router's request for tokens. */
public data class TokenAsk(public val to: ReplyAddress, public val workspace: WorkspaceName, public val tokens: Long)

/** What evidence a step of a move began with, and when. */
public data class MoveBaseline(
    public val share: Int,
    public val fence: Long,
    public val started: Timestamp,
    public val evidence: EvidenceTable,
)

/** An order to an endpoint that was sent at [at]. */
public data class SentLoadCommand(public val weights: WeightsVersion, public val at: Timestamp)

/** What a leader knows beside the agreed state. It may give orders to endpoints from [loadCommandsAllowedFrom] on. */
public data class Leadership(
    public val term: Long,
    public val loadCommandsAllowedFrom: Timestamp,
    public val leases: Leases,
    public val links: PersistentMap<LinkNumber, RouterName>,
    public val waiters: PersistentMap<Long, Waiter>,
    public val asks: PersistentList<TokenAsk>,
    public val returns: PersistentList<TokenAmount>,
    public val isTokenCommandOpen: Boolean,
    public val nextMark: Timestamp,
    public val evidence: PersistentMap<RouterName, EvidenceTable>,
    public val baselines: PersistentMap<ServiceName, MoveBaseline>,
    public val openAdvances: PersistentSet<ServiceName>,
    public val loaded: PersistentMap<EndpointName, WeightsVersion>,
    public val orders: PersistentMap<EndpointName, SentLoadCommand>,
    public val reads: PersistentMap<EndpointName, Timestamp>,
    public val reported: Long,
    public val fleet: FleetView? = null,
    public val loads: WeightLoads = noWeightLoads(loadCommandsAllowedFrom),
    public val nextList: Timestamp = Timestamp.EARLIEST,
    public val works: FleetWorkloads = noFleetWorkloads(),
    public val stores: PersistentMap<ServiceName, Long> = persistentMapOf(),
    public val nextStoreRead: Timestamp = Timestamp.EARLIEST,
)

/** Whether listed services are to be tended, and how long a new leader waits for orders of an earlier one to be over. */
public data class FleetSettings(public val readsPlatformList: Boolean = false, public val loadCommandGracePeriod: Duration = Duration.ZERO)

/** Everything that the control duty knows. */
public data class ControlDutyState(
    public val applied: Long,
    public val replicatedState: ControlState,
    public val leadership: Leadership?,
    public val nextProposal: Long,
    public val snapshotIndex: Long,
    public val settings: FleetSettings = FleetSettings(),
)

/** Returns the state of the control duty at start; [firstProposal] should be random, so that no two leaders use the same numbers. */
public fun newControlDutyState(firstProposal: Long, settings: FleetSettings = FleetSettings()): ControlDutyState =
    ControlDutyState(0, newControlState(), null, firstProposal, 0, settings)

internal fun newLeadership(
    term: Long,
    now: Timestamp,
    maximumElectionTimeout: Duration,
    leases: Leases,
    reported: Long,
): Leadership = Leadership(
    term = term,
    loadCommandsAllowedFrom = now + maximumElectionTimeout * 2,
    leases = leases,
    links = persistentMapOf(),
    waiters = persistentMapOf(),
    asks = persistentListOf(),
    returns = persistentListOf(),
    isTokenCommandOpen = false,
    nextMark = now,
    evidence = persistentMapOf(),
    baselines = persistentMapOf(),
    openAdvances = persistentSetOf(),
    loaded = persistentMapOf(),
    orders = persistentMapOf(),
    reads = persistentMapOf(),
    reported = reported,
)

/** A state and what was ordered on the way to it. */
public data class ControlStep(public val state: ControlDutyState, public val effects: PersistentList<ControlEffect> = persistentListOf())

internal fun ControlDutyState.unchanged(): ControlStep = ControlStep(this)

internal fun ControlStep.emit(effect: ControlEffect): ControlStep = copy(effects = effects.add(effect))

internal fun ControlStep.then(step: (ControlDutyState) -> ControlStep): ControlStep {
    val next = step(state)
    return ControlStep(next.state, effects.addAll(next.effects))
}

internal fun ControlDutyState.lead(change: Leadership.() -> Leadership): ControlDutyState = copy(leadership = leadership?.change())

/** Whether this replica leads at [now], may act on it, and knows all that was committed. */
public fun ControlDutyState.isLeading(status: AgreementStatus, now: Timestamp): Boolean {
    val leaseEnd = status.leaseEnd ?: return false
    return leadership != null && leadership.term == status.term && now < leaseEnd && applied >= status.committed
}
