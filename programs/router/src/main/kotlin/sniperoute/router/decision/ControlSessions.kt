/**
 * A router's session with the control replicas: it finds the leader, renews the router's lease, follows the catalogue and the fleet
 * view, and carries token messages and ledger requests. A ledger request without a reply is sent again; all ledger requests are
 * idempotent.
 */
package sniperoute.router.decision

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import sniperoute.process.clock.Timestamp
import sniperoute.process.identity.VmName
import sniperoute.request.admission.decision.ServingView
import sniperoute.request.admission.decision.isReady
import sniperoute.request.ledger.message.LedgerRequest
import sniperoute.request.ledger.message.LedgerUnavailable
import sniperoute.request.routing.message.TokensGranted
import sniperoute.router.message.*
import sniperoute.version.decision.FleetView
import sniperoute.version.decision.IncomingCatalogue
import sniperoute.version.decision.advance
import sniperoute.version.decision.applyOrNull
import sniperoute.version.decision.emptyCatalogue
import sniperoute.version.decision.emptyFleetView
import sniperoute.version.decision.isFollowedBy
import sniperoute.version.decision.isUnrecorded
import sniperoute.version.decision.join
import sniperoute.version.decision.withPage
import sniperoute.version.message.*
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val RENEW_INTERVAL = 500.milliseconds
private val REPLY_TIMEOUT = 400.milliseconds

/** Leaves time within a lease to find another leader. */
private val MAX_REPLY_TIMEOUT = 1_200.milliseconds
private const val MAX_ABANDONED_RENEWALS = 8
private val LEDGER_TIMEOUT = 3_000.milliseconds
private val LEASE_MARGIN = 100.milliseconds

/** A renewal that was sent and has no reply yet. It continues the catalogue from the [cursor]. */
public data class PendingRenewal(public val correlation: Long, public val sent: Timestamp, public val cursor: CatalogueCursor? = null)

/** A ledger request without a reply, first [issued] and last [sent] under [correlation]. */
public data class PendingLedgerRequest(
    public val request: LedgerRequest,
    public val retryUntilAnswered: Boolean,
    public val issued: Timestamp,
    public val sent: Timestamp,
    public val correlation: Long,
)

/**
 * The state of the session duty. [leader] is the replica that is taken for the leader, and [view] what the router may serve and until
 * when. A lease that expired is reported once, which [isLeaseLossReported] records. [lastFleetUpdate] is when the leader's fleet view
 * was last known to be current, [routerCount] how many routers share the allowances, and [doubts] those of the routing duty.
 *
 * A renewal without a reply within [replyTimeout] is sent again. The earlier one is among the [abandonedRenewals]: a reply that
 * took longer still renews the lease and brings a part of the [incoming] catalogue.
 *
 * The [cacheUses], by when they were reported first, are repeated with each renewal until the catalogue records them, since the leader may
 * lose them.
 */
public data class ControlSession(
    public val replicas: PersistentList<VmName>,
    public val linked: PersistentSet<VmName>,
    public val leader: VmName,
    public val view: ServingView,
    public val renewal: PendingRenewal?,
    public val nextRenewal: Timestamp,
    public val ledgerRequests: PersistentMap<LedgerRequestId, PendingLedgerRequest>,
    public val evidence: ImmutableList<RouteEvidence>,
    public val nextCorrelation: Long,
    public val isLeaseLossReported: Boolean,
    public val settings: SessionSettings = SessionSettings(),
    public val fleet: FleetView = emptyFleetView(),
    public val lastFleetUpdate: Timestamp = Timestamp.EARLIEST,
    public val nextListRead: Timestamp = Timestamp.EARLIEST,
    public val nextDiscovery: Timestamp = Timestamp.EARLIEST,
    public val routerCount: Int = 1,
    public val doubts: ImmutableList<EndpointDoubt> = persistentListOf(),
    public val abandonedRenewals: PersistentList<PendingRenewal> = persistentListOf(),
    public val replyTimeout: Duration = REPLY_TIMEOUT,
    public val incoming: IncomingCatalogue? = null,
    public val cacheUses: PersistentMap<CacheUse, Timestamp> = persistentMapOf(),
)

/**
 * The settings of a session. A router may serve for the grace period [graceAfterLease] after its lease has expired. A router that
 * [readsPlatformList] reads the platform's list itself while the leader's fleet view is out of date.
 */
public data class SessionSettings(public val graceAfterLease: Duration = Duration.ZERO, public val readsPlatformList: Boolean = false)

/** Returns the session of a router that has just started and knows only the names of [replicas]. */
public fun newControlSession(
    replicas: PersistentList<VmName>,
    now: Timestamp,
    settings: SessionSettings = SessionSettings(),
): ControlSession {
    require(replicas.isNotEmpty()) { "a router needs at least one control replica" }
    return ControlSession(
        replicas = replicas,
        linked = persistentSetOf(),
        leader = replicas.first(),
        view = ServingView(emptyCatalogue(), Timestamp.EARLIEST),
        renewal = null,
        nextRenewal = now,
        ledgerRequests = persistentMapOf(),
        evidence = persistentListOf(),
        nextCorrelation = 1,
        isLeaseLossReported = true,
        settings = settings,
        lastFleetUpdate = now,
    )
}

/** A session, and the effects that the duty performs for it. */
public data class SessionStep(public val session: ControlSession, public val effects: PersistentList<SessionEffect> = persistentListOf())

private fun ControlSession.unchanged(): SessionStep = SessionStep(this)

private fun SessionStep.emit(effect: SessionEffect): SessionStep = copy(effects = effects.add(effect))

private fun SessionStep.then(step: (ControlSession) -> SessionStep): SessionStep {
    val next = step(session)
    return SessionStep(next.session, effects.addAll(next.effects))
}

/** Returns the next state and the effects of [input] at [now]; a `null` input is a tick. */
public fun ControlSession.step(now: Timestamp, input: SessionInput?): SessionStep = when (input) {
    null -> onTick(now)
    is LinkOpened -> copy(linked = linked.add(input.replica)).onLinked(input.replica, now)
    is LinkClosed -> copy(linked = linked.remove(input.replica)).switchLeader(input.replica, null, now)
    is SessionMessageReceived -> onSessionMessage(input, now)
    is LedgerReplyReceived -> onLedgerReply(input, now)
    is RoutingMessageSent -> unchanged().emit(SendSession(leader, 0, input.message))
    is LedgerRequestIssued -> onLedgerRequest(input, now)
    is EvidenceChanged -> copy(evidence = input.evidence).unchanged()
    is DoubtsChanged -> onDoubtsChanged(input, now)
    is CacheUseReported -> onCacheUse(input.use, now)
    is ListRead -> onListRead(input)
}

private fun ControlSession.onLinked(replica: VmName, now: Timestamp): SessionStep =
    if (renewal == null && (leader == replica || leader !in linked)) copy(leader = replica).renew(now) else unchanged()

private fun ControlSession.renew(now: Timestamp): SessionStep {
    if (leader !in linked) return unchanged()
    val cursor = incoming?.cursor
    val next = withoutRenewal().copy(
        renewal = PendingRenewal(nextCorrelation, now, cursor),
        nextRenewal = now + RENEW_INTERVAL,
        nextCorrelation = nextCorrelation + 1,
    )
    val uses = cacheUses.keys.take(MAX_SENT_CACHE_USES).toPersistentList()
    val request = RenewRequest(view.catalogue.revision, evidence, fleet.number, now.microseconds, doubts, cursor, uses)
    return next.unchanged().emit(SendSession(leader, nextCorrelation, request))
}

/** Waits no longer for the reply to the pending renewal, if there is one, but still accepts it. */
private fun ControlSession.withoutRenewal(): ControlSession {
    val abandoned = renewal ?: return this
    return copy(renewal = null, abandonedRenewals = (abandonedRenewals + abandoned).takeLast(MAX_ABANDONED_RENEWALS).toPersistentList())
}

/** The leader is told of a new doubt at once. */
private fun ControlSession.onDoubtsChanged(input: DoubtsChanged, now: Timestamp): SessionStep {
    val isNew = input.doubts.any { it !in doubts }
    val next = copy(doubts = input.doubts, nextRenewal = if (isNew) now else nextRenewal)
    return if (isNew) next.renewIfDue(now) else next.unchanged()
}

/** Bounds what a router holds and sends, whatever its callers ask for. What is left out comes again with later requests. */
private const val MAX_CACHE_USES = 4_096
private const val MAX_SENT_CACHE_USES = 1_024

/** Requests wait no longer than this for their use to be recorded: to compute blocks apart and once more takes about as long. */
private val CACHE_USE_TIMEOUT = 150.milliseconds

/** Reports a new use at once. Requests wait for its record, but only the first ones and only while there is a leader to ask. */
private fun ControlSession.onCacheUse(use: CacheUse, now: Timestamp): SessionStep {
    val reported = cacheUses[use]
    return when {
        !view.catalogue.isUnrecorded(use) -> unchanged().emit(ReleaseCacheUses(persistentListOf(use)))
        reported != null && now - reported < CACHE_USE_TIMEOUT -> unchanged()
        reported != null || cacheUses.size >= MAX_CACHE_USES -> unchanged().emit(ReleaseCacheUses(persistentListOf(use)))
        else -> copy(cacheUses = cacheUses.put(use, now), nextRenewal = minOf(nextRenewal, now))
            .renewIfDue(now)
            .let { if (it.session.renewal == null) it.emit(ReleaseCacheUses(persistentListOf(use))) else it }
    }
}

private fun ControlSession.releaseOverdueCacheUses(now: Timestamp): SessionStep {
    val overdue = cacheUses.filterValues { now - it >= CACHE_USE_TIMEOUT }.keys
    return if (overdue.isEmpty()) unchanged() else unchanged().emit(ReleaseCacheUses(overdue.toPersistentList()))
}

private fun ControlSession.onTick(now: Timestamp): SessionStep {
    val hasTimedOut = renewal?.let { now - it.sent > replyTimeout } ?: false
    val switched = if (hasTimedOut || leader !in linked) switchLeader(leader, null, now) else unchanged()
    return switched
        .then { if (it.renewal == null && now >= it.nextRenewal) it.renew(now) else it.unchanged() }
        .then { it.retryLedgerRequests(now) }
        .then { it.checkLease(now) }
        .then { it.discoverReplicasIfDue(now) }
        .then { it.readListIfDue(now) }
        .then { it.releaseOverdueCacheUses(now) }
}

private val DISCOVERY_INTERVAL = 1_000.milliseconds

/** Looks for other control replicas while none is linked or the lease, without its grace period, has expired. */
private fun ControlSession.discoverReplicasIfDue(now: Timestamp): SessionStep {
    if (linked.isNotEmpty() && now < view.leaseEnd - settings.graceAfterLease || now < nextDiscovery) return unchanged()
    return copy(nextDiscovery = now + DISCOVERY_INTERVAL).unchanged().emit(DiscoverReplicas)
}

/** A router reads the platform's list itself when no leader has updated or confirmed its fleet view for this long. */
private val FLEET_VIEW_TTL = 1_500.milliseconds
private val LIST_INTERVAL = 1_000.milliseconds

private fun ControlSession.readListIfDue(now: Timestamp): SessionStep {
    if (!settings.readsPlatformList || now - lastFleetUpdate < FLEET_VIEW_TTL || now < nextListRead) return unchanged()
    return copy(nextListRead = now + LIST_INTERVAL).unchanged().emit(ReadPlatformList)
}

/**
 * Replaces the fleet view by the list that this router read. The view's number is 0, so that the next leader sends its whole view.
 */
private fun ControlSession.onListRead(input: ListRead): SessionStep {
    val listed = input.listed ?: return unchanged()
    val endpoints = listed.fold(fleet.endpoints.clear()) { all, endpoint ->
        val existing = fleet.endpoints[endpoint.endpoint.name]?.takeIf { it.listed.incarnation == endpoint.incarnation }
        val known = existing?.copy(listed = endpoint) ?: FleetEndpoint(endpoint, endpoint.weights, isChanging = false)
        all.put(endpoint.endpoint.name, known.copy(isWarming = endpoint.coldMilliseconds > 0))
    }
    val next = FleetView(0, endpoints)
    return copy(fleet = next).unchanged().emit(ServeFleet(next))
}

private fun ControlSession.onFleetNotice(notice: FleetNotice, now: Timestamp): SessionStep {
    val next = fleet.applyOrNull(notice) ?: return copy(nextRenewal = now).unchanged()
    return copy(fleet = next, lastFleetUpdate = now).unchanged().emit(ServeFleet(next))
}

/** Replaces the known replicas by [members], unless there are none. Links to replicas that are not among them are closed. */
private fun ControlSession.withReplicas(members: List<VmName>): SessionStep {
    val distinct = members.distinct().toPersistentList()
    if (distinct.isEmpty() || distinct.toSet() == replicas.toSet()) return unchanged()
    return copy(replicas = distinct).unchanged().emit(KeepLinks(distinct))
}

/**
 * When [replica] is the one taken for the leader, takes [newLeader] for it instead or, if that is unknown or not linked, the next
 * linked replica. A different leader gets a renewal at once, the same one after a delay.
 */
private fun ControlSession.switchLeader(replica: VmName, newLeader: VmName?, now: Timestamp): SessionStep {
    if (replica != leader) return unchanged()
    val next = newLeader?.takeIf { it in linked && it != replica } ?: nextLinkedOrNull() ?: return withoutRenewal().unchanged()
    val isOther = next != leader
    return withoutRenewal()
        .copy(
            leader = next,
            nextRenewal = if (isOther) now else now + LEADER_RETRY_DELAY,
            replyTimeout = if (isOther) REPLY_TIMEOUT else replyTimeout,
        ).unchanged()
}

private val LEADER_RETRY_DELAY = 50.milliseconds

private fun ControlSession.nextLinkedOrNull(): VmName? {
    val start = replicas.indexOf(leader) + 1
    return (replicas.drop(start) + replicas.take(start)).firstOrNull { it in linked }
}

private fun ControlSession.checkLease(now: Timestamp): SessionStep = when {
    view.isReady(now) -> copy(isLeaseLossReported = false).unchanged()
    isLeaseLossReported -> unchanged()
    else -> copy(isLeaseLossReported = true).unchanged().emit(LeaseExpired)
}

private fun ControlSession.onSessionMessage(input: SessionMessageReceived, now: Timestamp): SessionStep =
    when (val message = input.message) {
        is RenewReply -> onRenewed(input, message, now)
        is FleetNotice -> onFleetNotice(message, now)
        is FleetWorkload -> unchanged().emit(DeliverWorkload(message))
        is RequestLimitNotice -> unchanged().emit(DeliverRequestLimits(message))
        is NotLeader ->
            withAddedReplicas(message.members)
                .then { it.switchLeader(input.replica, message.leader, now) }
                .then { it.renewIfDue(now) }
        is ChangeNotice -> if (message.revision > view.catalogue.revision &&
            renewal == null
        ) {
            renew(now)
        } else {
            copy(nextRenewal = now).unchanged()
        }
        is TokenGrant -> unchanged().emit(
            DeliverTokens(TokensGranted(message.workspace, message.tokens, message.retryMilliseconds.milliseconds)),
        )
        else -> unchanged()
    }

private fun ControlSession.withAddedReplicas(members: List<VmName>): SessionStep = withReplicas(replicas + members)

private fun ControlSession.renewIfDue(now: Timestamp): SessionStep =
    if (renewal == null && now >= nextRenewal) renew(now) else unchanged()

/** Applies the reply to a renewal, which may have been sent again since. A reply with a part of the catalogue requests the next one. */
private fun ControlSession.onRenewed(input: SessionMessageReceived, reply: RenewReply, now: Timestamp): SessionStep {
    val answered = (abandonedRenewals + listOfNotNull(renewal)).find { it.correlation == input.correlation } ?: return unchanged()
    if (reply.revision < view.catalogue.revision) return unchanged()
    val next = withReplyTo(answered, input.replica, now)
    val renewed = when {
        !incoming.isFollowedBy(reply, answered.cursor) -> next.unchanged()
        reply.next != null -> next.copy(incoming = incoming.withPage(reply)).renew(now)
        else -> next.copy(incoming = null).serve(incoming.join(reply), answered, now)
    }
    val settled = reply.settledDoubts.toPersistentList()
    val told = if (settled.isEmpty()) renewed else renewed.emit(DeliverSettledDoubts(settled))
    return told.then { it.withReplicas(reply.members) }.then { it.withRouterCount(reply.routers) }.then { it.renewForCacheUses(now) }
}

/** Uses that were reported while a renewal was under way go with the next one. */
private fun ControlSession.renewForCacheUses(now: Timestamp): SessionStep = if (cacheUses.isEmpty()) unchanged() else renewIfDue(now)

/** The replica that replies leads. The timeout follows the time that its replies take, so that a slow link isn't filled with repeats. */
private fun ControlSession.withReplyTo(answered: PendingRenewal, replica: VmName, now: Timestamp): ControlSession = copy(
    leader = if (replica in linked) replica else leader,
    renewal = renewal?.takeIf { it != answered },
    abandonedRenewals = abandonedRenewals.removeAll { it.correlation <= answered.correlation },
    replyTimeout = ((now - answered.sent) * 2).coerceIn(REPLY_TIMEOUT, MAX_REPLY_TIMEOUT),
)

/**
 * Serves the catalogue to which [reply] leads. The lease counts from when the renewal was sent and is shortened by a margin, so that,
 * without a grace period, it ends here before it ends at the leader.
 */
private fun ControlSession.serve(reply: RenewReply, answered: PendingRenewal, now: Timestamp): SessionStep {
    val leaseEnd = answered.sent + reply.leaseMilliseconds.milliseconds - LEASE_MARGIN + settings.graceAfterLease
    val isChanged = reply.revision > view.catalogue.revision
    val newView = ServingView(view.catalogue.advance(reply), maxOf(view.leaseEnd, leaseEnd))
    val nextDue = if (isChanged) answered.sent else nextRenewal
    val fleetUpdate = if (reply.fleet != 0L && reply.fleet == fleet.number) now else lastFleetUpdate
    val settled = if (isChanged) cacheUses.keys.filterNot(newView.catalogue::isUnrecorded) else emptyList()
    val served = copy(
        view = newView,
        nextRenewal = nextDue,
        isLeaseLossReported = false,
        lastFleetUpdate = fleetUpdate,
        cacheUses = settled.fold(cacheUses) { uses, use -> uses.remove(use) },
    ).unchanged()
        .emit(ServeView(newView))
        .let { if (settled.isEmpty()) it else it.emit(ReleaseCacheUses(settled.toPersistentList())) }
    return if (isChanged) served.emit(RevisionInForce(reply.revision, reply.configuration)) else served
}

private fun ControlSession.withRouterCount(count: Int): SessionStep =
    if (count == routerCount) unchanged() else copy(routerCount = count).unchanged().emit(ShareAllowances(count))

private fun ControlSession.onLedgerRequest(input: LedgerRequestIssued, now: Timestamp): SessionStep {
    val pending = PendingLedgerRequest(input.request, input.retryUntilAnswered, now, now, nextCorrelation)
    return copy(ledgerRequests = ledgerRequests.put(input.id, pending), nextCorrelation = nextCorrelation + 1)
        .unchanged()
        .emit(SendLedger(leader, pending.correlation, input.request))
}

private fun ControlSession.onLedgerReply(input: LedgerReplyReceived, now: Timestamp): SessionStep {
    val id = ledgerRequests.entries.firstOrNull { it.value.correlation == input.correlation }?.key ?: return unchanged()
    if (input.reply is LedgerUnavailable) return switchLeader(input.replica, null, now)
    return copy(ledgerRequests = ledgerRequests.remove(id)).unchanged().emit(DeliverLedgerReply(id, input.reply))
}

private fun ControlSession.retryLedgerRequests(now: Timestamp): SessionStep =
    ledgerRequests.entries.fold(unchanged()) { step, (id, pending) -> step.then { it.retryOrExpire(id, pending, now) } }

/** Sends [pending] again after a timeout, or gives up on it unless it must be retried until there is a reply. */
private fun ControlSession.retryOrExpire(id: LedgerRequestId, pending: PendingLedgerRequest, now: Timestamp): SessionStep = when {
    !pending.retryUntilAnswered && now - pending.issued > LEDGER_TIMEOUT ->
        copy(ledgerRequests = ledgerRequests.remove(id)).unchanged().emit(DeliverLedgerReply(id, LedgerUnavailable))
    now - pending.sent > replyTimeout -> {
        val resent = pending.copy(sent = now, correlation = nextCorrelation)
        copy(ledgerRequests = ledgerRequests.put(id, resent), nextCorrelation = nextCorrelation + 1)
            .unchanged()
            .emit(SendLedger(leader, resent.correlation, pending.request))
    }
    else -> unchanged()
}
