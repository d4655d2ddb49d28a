/**
 * Simulated replicas on a virtual clock, with a network and disks whose failures a test controls. A disk keeps what was synced;
 * a crash loses the writes that were not.
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

private val WRITE_RETRY_INTERVAL = 200.milliseconds

internal data class SimulatedDisk(val identity: ReplicaIdentity, val term: Long, val votedFor: ReplicaIdentity?, val log: ReplicaLog)

internal class SimulatedReplica(var disk: SimulatedDisk) {
    var state: AgreementState? = null
    var unsynced: PersistentList<AgreementEffect> = persistentListOf()
    var isPaused = false
    var isDiskFull = false
    var nextWriteAttempt = Timestamp.EARLIEST
    val vm: VmName get() = disk.identity.vm
}

internal data class InFlightMessage(val from: ReplicaIdentity, val to: ReplicaIdentity, val message: AgreementMessage)

/** A simulation broke a safety property of the agreement. */
internal class SafetyViolation(reason: String) : AssertionError(reason)

internal class SimulatedGroup(
    names: List<String>,
    private val random: Random,
    seeds: List<String> = names,
    private val settings: AgreementSettings = AgreementSettings(names.map(::VmName).toPersistentSet(), maxEntriesPerMessage = 8),
    startsAll: Boolean = true,
) {
    private val vms = names.map(::VmName)
    private val founders = seeds.map { ReplicaIdentity(VmName(it), DiskIdentity(0)) }
    private val others = vms.filter { it.text !in seeds }.map { ReplicaIdentity(it, DiskIdentity(0)) }
    private val bootstrap = bootstrapLog(Membership(founders.toPersistentList()))
    val replicas = founders.map { SimulatedReplica(SimulatedDisk(it, 0, null, bootstrap)) } +
        others.map { SimulatedReplica(SimulatedDisk(it, 0, null, emptyLog())) }
    var inFlight: PersistentList<InFlightMessage> = persistentListOf()
    var blockedLinks: Set<Pair<VmName, VmName>> = emptySet()
    var now = Timestamp(1_000_000)
    private val committed = mutableMapOf<Long, LogEntry>()
    private val leaders = mutableMapOf<Long, ReplicaIdentity>()
    private var lastDisk = 0L
    private var lastProposal = 0L

    init {
        if (startsAll) replicas.forEach(::start)
    }

    val committedIndex: Long get() = committed.keys.maxOrNull() ?: 0

    fun leaderOrNull(): SimulatedReplica? =
        replicas.filter { it.state?.role is Leader && !it.isPaused }.maxByOrNull { it.state!!.term }

    fun start(replica: SimulatedReplica) {
        val disk = replica.disk
        replica.isPaused = false
        replica.unsynced = persistentListOf()
        replica.state = recoverAgreementState(disk.identity, settings, random.nextInt(), disk.term, disk.votedFor, disk.log, now)
    }

    /** Crashes the process; unsynced writes are lost. */
    fun crash(replica: SimulatedReplica) {
        replica.state = null
        replica.unsynced = persistentListOf()
    }

    /** Restarts the machine with an empty disk, as a new replica or, with [keepIdentity], wrongly under the identity of the lost disk. */
    fun loseDisk(replica: SimulatedReplica, keepIdentity: Boolean = false) {
        lastDisk += 1
        val identity = if (keepIdentity) replica.disk.identity else ReplicaIdentity(replica.vm, DiskIdentity(lastDisk))
        replica.disk = SimulatedDisk(identity, 0, null, if (keepIdentity) bootstrap else emptyLog())
        start(replica)
    }

    /** Proposes a command of [bytes] to each replica that leads. */
    fun propose(bytes: Int = 2) {
        lastProposal += 1
        val command = byteArrayOf(lastProposal.toByte(), (lastProposal shr Byte.SIZE_BITS).toByte()).copyOf(bytes)
        replicas.filter { it.state?.role is Leader && !it.isPaused }.forEach { input(it, Propose(lastProposal, command)) }
    }

    fun takeSnapshot(replica: SimulatedReplica) {
        val state = replica.state ?: return
        input(replica, SnapshotTaken(state.commitIndex, byteArrayOf(1)))
    }

    fun input(replica: SimulatedReplica, input: AgreementInput) {
        val state = replica.state ?: return
        val transition = state.step(now, input)
        replica.state = transition.state
        transition.effects.forEach { perform(replica, it) }
    }

    private fun perform(replica: SimulatedReplica, effect: AgreementEffect) {
        when (effect) {
            is Persist, is PersistSnapshot, is SendMessageAfterSync -> replica.unsynced = replica.unsynced.add(effect)
            is SendMessage -> transmit(replica, effect.to, effect.message)
            is BroadcastMessage -> replicas.filter { it !== replica }.forEach { transmit(replica, it.disk.identity, effect.message) }
            is ApplyEntries -> effect.entries.forEach { checkCommitted(replica, it) }
            is ReportRoleChange -> if (effect.role is Leader) checkOnlyLeader(replica, effect.term)
            is RestoreSnapshot, is RejectProposal, is ReportMembershipChange, is AddKnownMembers -> Unit
        }
    }

    private fun transmit(from: SimulatedReplica, to: ReplicaIdentity, message: AgreementMessage) {
        if (from.vm to to.vm !in blockedLinks) inFlight = inFlight.add(InFlightMessage(from.disk.identity, to, message))
    }

    private fun checkCommitted(replica: SimulatedReplica, entry: LogEntry) {
        val known = committed.getOrPut(entry.index) { entry }
        if (known.term !=
            entry.term
        ) {
            throw SafetyViolation("${replica.vm} committed entry ${entry.index} of term ${entry.term}, not ${known.term}")
        }
    }

    private fun checkOnlyLeader(replica: SimulatedReplica, term: Long) {
        val known = leaders.getOrPut(term) { replica.disk.identity }
        if (known != replica.disk.identity) throw SafetyViolation("term $term has leaders $known and ${replica.disk.identity}")
    }

    fun sync(replica: SimulatedReplica, count: Int = Int.MAX_VALUE) {
        if (replica.state == null || replica.isPaused) return
        if (replica.isDiskFull) return failWrite(replica)
        val effects = replica.unsynced.take(count)
        replica.unsynced = replica.unsynced.drop(effects.size).toPersistentList()
        effects.forEach { effect ->
            when (effect) {
                is Persist -> persist(replica, effect)
                is PersistSnapshot -> {
                    replica.disk = replica.disk.copy(term = effect.term, votedFor = effect.votedFor, log = effect.log)
                    input(replica, Synced(effect.log.lastIndex, effect.log.lastTerm))
                }
                is SendMessageAfterSync -> transmit(replica, effect.to, effect.message)
                else -> error("not an effect for the disk: $effect")
            }
        }
    }

    /** As the storage duty does, reports a failed write and tries again after a pause; what waits behind it is not sent. */
    private fun failWrite(replica: SimulatedReplica) {
        if (replica.unsynced.none { it !is SendMessageAfterSync } || now < replica.nextWriteAttempt) return
        replica.nextWriteAttempt = now + WRITE_RETRY_INTERVAL
        input(replica, DiskWriteFailed)
    }

    private fun persist(replica: SimulatedReplica, effect: Persist) {
        val log = effect.entries.fold(replica.disk.log) { log, entry -> log.truncateFrom(entry.index).append(entry) }
        replica.disk = replica.disk.copy(term = effect.term, votedFor = effect.votedFor, log = log)
        effect.entries.lastOrNull()?.let { input(replica, Synced(it.index, it.term)) }
    }

    fun deliver(position: Int, keep: Boolean = false) {
        val sent = inFlight.getOrNull(position) ?: return
        val receiver = replicas.first { it.vm == sent.to.vm }
        if (receiver.isPaused) return
        if (!keep) inFlight = inFlight.removeAt(position)
        if (receiver.disk.identity == sent.to) input(receiver, MessageReceived(sent.from, sent.message))
    }

    fun advance(time: Duration) {
        now += time
        replicas.filter { !it.isPaused }.forEach { input(it, Tick) }
    }

    /**
     * Runs the group for [time], or until [until] is true: disks sync and messages in flight arrive in order. Returns whether
     * [until] is true at the end.
     */
    fun runFor(time: Duration, until: () -> Boolean = { false }): Boolean {
        val end = now + time
        while (now < end && !until()) {
            advance(5.milliseconds)
            replicas.forEach { sync(it) }
            val waiting = inFlight.size
            repeat(waiting) { if (inFlight.isNotEmpty()) deliverFirst() }
        }
        return until()
    }

    private fun deliverFirst() {
        val paused = replicas.filter { it.isPaused }.map { it.vm }
        val position = inFlight.indexOfFirst { it.to.vm !in paused }
        if (position >= 0) deliver(position)
    }

    fun restoreAll() {
        blockedLinks = emptySet()
        replicas.forEach { replica ->
            replica.isPaused = false
            if (replica.state == null) start(replica)
        }
    }

    /**
     * Whether the present disk of each machine is a voter and has every committed entry. A leader detects a lost disk only
     * after the election timeout; a second loss before that is the loss of a majority, which the agreement does not tolerate.
     */
    fun hasEveryDiskAsVoter(): Boolean {
        val voters = leaderOrNull()
            ?.state
            ?.log
            ?.membership
            ?.voters
            .orEmpty()
        return replicas.all { it.disk.identity in voters } && hasCommittedEntriesOnAllDisks()
    }

    fun isRedundant(): Boolean = leaderOrNull()?.state?.redundancy(now) == Redundancy.FULL

    /** Whether every committed entry is on all disks. */
    fun hasCommittedEntriesOnAllDisks(): Boolean = replicas.all { replica ->
        val log = replica.disk.log
        committed.values.all { it.index <= log.snapshot.index || log.termAtOrNull(it.index) == it.term }
    }
}
