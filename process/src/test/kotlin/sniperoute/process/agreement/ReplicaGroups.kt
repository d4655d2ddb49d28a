/**
 * Replicas of the agreement on a virtual clock, with a network and disks that a test makes fail. A disk keeps what was
 * synced; what was ordered and not synced goes with a crash.
 */
package sniperoute.process.agreement

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentSet
import sniperoute.process.agreement.decision.*
import sniperoute.process.agreement.message.*
import sniperoute.process.clock.Timestamp
import sniperoute.process.identity.DiskIdentity
import sniperoute.process.identity.VmName
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

internal data class Disk(val identity: ReplicaIdentity, val term: Long, val votedFor: ReplicaIdentity?, val log: ReplicaLog)

internal class Replica(var disk: Disk) {
    var state: AgreementState? = null
    var unsynced: PersistentList<AgreementEffect> = persistentListOf()
    var isFrozen = false
    val vm: VmName get() = disk.identity.vm
}

internal data class Flight(val from: ReplicaIdentity, val to: ReplicaIdentity, val message: AgreementMessage)

/** What a run of the group showed to be wrong. */
internal class AgreementBroken(reason: String) : AssertionError(reason)

internal class ReplicaGroup(
    names: List<String>,
    private val random: Random,
    seeds: List<String> = names,
    private val settings: AgreementSettings = AgreementSettings(names.map(::VmName).toPersistentSet(), entriesPerMessage = 8),
    startsAll: Boolean = true,
) {
    private val vms = names.map(::VmName)
    private val founders = seeds.map { ReplicaIdentity(VmName(it), DiskIdentity(0)) }
    private val newcomers = vms.filter { it.text !in seeds }.map { ReplicaIdentity(it, DiskIdentity(0)) }
    private val founding = bootstrapLog(Membership(founders.toPersistentList()))
    val replicas = founders.map { Replica(Disk(it, 0, null, founding)) } + newcomers.map { Replica(Disk(it, 0, null, emptyLog())) }
    var flights: PersistentList<Flight> = persistentListOf()
    var cuts: Set<Pair<VmName, VmName>> = emptySet()
    var now = Timestamp(1_000_000)
    private val committed = mutableMapOf<Long, LogEntry>()
    private val leaders = mutableMapOf<Long, ReplicaIdentity>()
    private var lastDisk = 0L
    private var lastProposal = 0L

    init {
        if (startsAll) replicas.forEach(::start)
    }

    val committedIndex: Long get() = committed.keys.maxOrNull() ?: 0

    fun leaderOrNull(): Replica? =
        replicas.filter { it.state?.role is Leader && !it.isFrozen }.maxByOrNull { it.state!!.term }

    fun start(replica: Replica) {
        val disk = replica.disk
        replica.isFrozen = false
        replica.unsynced = persistentListOf()
        replica.state = recoverAgreementState(disk.identity, settings, random.nextInt(), disk.term, disk.votedFor, disk.log, now)
    }

    /** The process dies; what was not synced is gone. */
    fun crash(replica: Replica) {
        replica.state = null
        replica.unsynced = persistentListOf()
    }

    /** The machine comes back with an empty disk; as [identity] it pretends to be its old self, else it is a new replica. */
    fun loseDisk(replica: Replica, asOldSelf: Boolean = false) {
        lastDisk += 1
        val identity = if (asOldSelf) replica.disk.identity else ReplicaIdentity(replica.vm, DiskIdentity(lastDisk))
        replica.disk = Disk(identity, 0, null, if (asOldSelf) founding else emptyLog())
        start(replica)
    }

    fun propose() {
        lastProposal += 1
        replicas.filter { it.state?.role is Leader && !it.isFrozen }.forEach {
            input(it, Propose(lastProposal, byteArrayOf(lastProposal.toByte(), (lastProposal shr Byte.SIZE_BITS).toByte())))
        }
    }

    fun takeSnapshot(replica: Replica) {
        val state = replica.state ?: return
        input(replica, SnapshotTaken(state.commitIndex, byteArrayOf(1)))
    }

    fun input(replica: Replica, input: AgreementInput) {
        val state = replica.state ?: return
        val transition = state.step(now, input)
        replica.state = transition.state
        transition.effects.forEach { perform(replica, it) }
    }

    private fun perform(replica: Replica, effect: AgreementEffect) {
        when (effect) {
            is Persist, is PersistSnapshot, is SendMessageAfterSync -> replica.unsynced = replica.unsynced.add(effect)
            is SendMessage -> fly(replica, effect.to, effect.message)
            is BroadcastMessage -> replicas.filter { it !== replica }.forEach { fly(replica, it.disk.identity, effect.message) }
            is ApplyEntries -> effect.entries.forEach { commit(replica, it) }
            is ReportRoleChange -> if (effect.role is Leader) noteLeader(replica, effect.term)
            is RestoreSnapshot, is RejectProposal, is ReportMembershipChange, is AddKnownMembers -> Unit
        }
    }

    private fun fly(from: Replica, to: ReplicaIdentity, message: AgreementMessage) {
        if (from.vm to to.vm !in cuts) flights = flights.add(Flight(from.disk.identity, to, message))
    }

    private fun commit(replica: Replica, entry: LogEntry) {
        val known = committed.getOrPut(entry.index) { entry }
        if (known.term !=
            entry.term
        ) {
            throw AgreementBroken("${replica.vm} committed entry ${entry.index} of term ${entry.term}, not ${known.term}")
        }
    }

    private fun noteLeader(replica: Replica, term: Long) {
        val known = leaders.getOrPut(term) { replica.disk.identity }
        if (known != replica.disk.identity) throw AgreementBroken("term $term has leaders $known and ${replica.disk.identity}")
    }

    fun sync(replica: Replica, count: Int = Int.MAX_VALUE) {
        if (replica.state == null || replica.isFrozen) return
        val effects = replica.unsynced.take(count)
        replica.unsynced = replica.unsynced.drop(effects.size).toPersistentList()
        effects.forEach { effect ->
            when (effect) {
                is Persist -> persist(replica, effect)
                is PersistSnapshot -> {
                    replica.disk = replica.disk.copy(term = effect.term, votedFor = effect.votedFor, log = effect.log)
                    input(replica, Synced(effect.log.lastIndex, effect.log.lastTerm))
                }
                is SendMessageAfterSync -> fly(replica, effect.to, effect.message)
                else -> error("not an effect for the disk: $effect")
            }
        }
    }

    private fun persist(replica: Replica, effect: Persist) {
        val log = effect.entries.fold(replica.disk.log) { log, entry -> log.dropFrom(entry.index).append(entry) }
        replica.disk = replica.disk.copy(term = effect.term, votedFor = effect.votedFor, log = log)
        effect.entries.lastOrNull()?.let { input(replica, Synced(it.index, it.term)) }
    }

    fun deliver(position: Int, keep: Boolean = false) {
        val flight = flights.getOrNull(position) ?: return
        val receiver = replicas.first { it.vm == flight.to.vm }
        if (receiver.isFrozen) return
        if (!keep) flights = flights.removeAt(position)
        if (receiver.disk.identity == flight.to) input(receiver, MessageReceived(flight.from, flight.message))
    }

    fun pass(time: Duration) {
        now += time
        replicas.filter { !it.isFrozen }.forEach { input(it, Tick) }
    }

    /** Lets everything work for [time]: disks sync, messages arrive in order. */
    fun calm(time: Duration, until: () -> Boolean = { false }): Boolean {
        val end = now + time
        while (now < end && !until()) {
            pass(5.milliseconds)
            replicas.forEach { sync(it) }
            val waiting = flights.size
            repeat(waiting) { if (flights.isNotEmpty()) deliverFirst() }
        }
        return until()
    }

    private fun deliverFirst() {
        val frozen = replicas.filter { it.isFrozen }.map { it.vm }
        val position = flights.indexOfFirst { it.to.vm !in frozen }
        if (position >= 0) deliver(position)
    }

    fun heal() {
        cuts = emptySet()
        replicas.forEach { replica ->
            replica.isFrozen = false
            if (replica.state == null) start(replica)
        }
    }

    /**
     * Whether no disk is missing at this moment. A leader finds a lost one only after the election timeout; a second loss
     * before that is the loss of a majority, which is beyond what the agreement promises.
     */
    fun holdsEveryVoter(): Boolean {
        val voters = leaderOrNull()
            ?.state
            ?.log
            ?.membership
            ?.voters
            .orEmpty()
        return replicas.all { it.disk.identity in voters } && holdsAllCommitted()
    }

    fun isRedundant(): Boolean = leaderOrNull()?.state?.redundancy(now) == Redundancy.FULL

    /** Whether every committed entry is on the disks of all voters that are there. */
    fun holdsAllCommitted(): Boolean = replicas.all { replica ->
        val log = replica.disk.log
        committed.values.all { it.index <= log.snapshot.index || log.termAtOrNull(it.index) == it.term }
    }
}
