/**
 * Requests that wait for an endpoint: urgent classes first, and within a class the workspaces in turn by start-time fair
 * queueing, weighted by their rates and counted in tokens.
 *
 * Source: P. Goyal, H. Vin, H. Cheng, "Start-time Fair Queuing", 1996.
 */
package sniperoute.request.routing.decision

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import sniperoute.request.routing.message.AdmittedRequest
import sniperoute.request.routing.message.RequestId
import sniperoute.version.message.WorkspaceName

/** The most requests of one workspace that may wait for one service. */
public const val MOST_WAITING_PER_WORKSPACE: Int = 512

/** A request that waits; [weight] is its workspace's rate in tokens a second. */
public data class Waiting(public val admitted: AdmittedRequest, public val weight: Long)

/** One workspace's requests in order of arrival, and the virtual time at which its last one ends. */
public data class WorkspaceQueue(public val finish: Long, public val waiting: PersistentList<Waiting>)

/** The workspaces of one class, and the virtual time. */
public data class ClassQueue(public val virtual: Long, public val workspaces: PersistentMap<WorkspaceName, WorkspaceQueue>)

/** All that waits for one service, by rank; lower ranks go first. */
public data class FairQueue(public val classes: PersistentMap<Int, ClassQueue>)

/** Returns a queue in which nothing waits. */
public fun emptyFairQueue(): FairQueue = FairQueue(persistentMapOf())

private val OPEN_ROUTES = WorkspaceName("")
private const val VIRTUAL_UNITS = 1_000_000L

private val Waiting.owner: WorkspaceName get() = admitted.workspace ?: OPEN_ROUTES

/** Returns the queue with [request] at the end of its workspace's part, or `null` when that is full. */
public fun FairQueue.addOrNull(request: Waiting): FairQueue? = insertOrNull(request, atFront = false)

/** Returns the queue with [request] at the front of its workspace's part; used for requests that are tried again. */
public fun FairQueue.addFirst(request: Waiting): FairQueue = checkNotNull(insertOrNull(request, atFront = true))

private fun FairQueue.insertOrNull(request: Waiting, atFront: Boolean): FairQueue? {
    val classQueue = classes[request.admitted.rank] ?: ClassQueue(0, persistentMapOf())
    val own = classQueue.workspaces[request.owner] ?: WorkspaceQueue(classQueue.virtual, persistentListOf())
    if (!atFront && own.waiting.size >= MOST_WAITING_PER_WORKSPACE) return null
    val longer = own.copy(waiting = if (atFront) own.waiting.add(0, request) else own.waiting.add(request))
    return withClass(request.admitted.rank, classQueue.copy(workspaces = classQueue.workspaces.put(request.owner, longer)))
}

private fun FairQueue.withClass(name: Int, queue: ClassQueue): FairQueue = FairQueue(classes.put(name, queue))

/** A request that was taken out, and the rest. */
public data class Taken(public val request: Waiting, public val rest: FairQueue)

/** How many requests of each workspace are looked at: one that waits for an endpoint must not hold up those that need not. */
private const val LOOK_AHEAD = 8

/** Returns the first request in fair order that [isEligible], or `null`. Of each workspace the first [LOOK_AHEAD] are asked about. */
public fun FairQueue.takeOrNull(isEligible: (Waiting) -> Boolean): Taken? =
    classes.keys.sorted().firstNotNullOfOrNull { name ->
        classes[name]?.takeOrNull(isEligible)?.let { (request, rest) -> Taken(request, withClass(name, rest)) }
    }

private data class TakenFromClass(val request: Waiting, val rest: ClassQueue)

private fun ClassQueue.takeOrNull(isEligible: (Waiting) -> Boolean): TakenFromClass? {
    val ordered = workspaces.entries.sortedWith(compareBy({ maxOf(virtual, it.value.finish) }, { it.key }))
    return ordered.firstNotNullOfOrNull { (owner, queue) ->
        val position = queue.waiting.take(LOOK_AHEAD).indexOfFirst(isEligible)
        if (position < 0) null else take(owner, queue, position)
    }
}

private fun ClassQueue.take(owner: WorkspaceName, queue: WorkspaceQueue, position: Int): TakenFromClass {
    val request = queue.waiting[position]
    val start = maxOf(virtual, queue.finish)
    val finish = start + request.admitted.tokens * VIRTUAL_UNITS / request.weight.coerceAtLeast(1)
    val shorter = WorkspaceQueue(finish, queue.waiting.removeAt(position))
    return TakenFromClass(request, ClassQueue(start, workspaces.put(owner, shorter)).withoutIdle())
}

/** Workspaces without requests whose last one ended in the past need not be remembered. */
private fun ClassQueue.withoutIdle(): ClassQueue {
    val idle = workspaces.filterValues { it.waiting.isEmpty() && it.finish <= virtual }.keys
    return if (idle.isEmpty()) this else copy(workspaces = idle.fold(workspaces) { all, name -> all.remove(name) })
}

/** Returns every waiting request. */
public fun FairQueue.all(): List<Waiting> =
    classes.values.flatMap { queue -> queue.workspaces.values.flatMap { it.waiting } }

/** Returns the queue without the requests [ids]. */
public fun FairQueue.without(ids: Set<RequestId>): FairQueue = FairQueue(
    classes.mapValuesPersistent { queue ->
        queue.copy(
            workspaces = queue.workspaces.mapValuesPersistent { own ->
                own.copy(waiting = own.waiting.removeAll { it.admitted.id in ids })
            },
        )
    },
)

/** Returns the tokens that [workspace] waits for. */
public fun FairQueue.tokensWaiting(workspace: WorkspaceName): Long =
    classes.values.sumOf { queue -> queue.workspaces[workspace]?.waiting?.sumOf { it.admitted.tokens } ?: 0 }

private fun <K, V> PersistentMap<K, V>.mapValuesPersistent(change: (V) -> V): PersistentMap<K, V> =
    entries.fold(this) { all, (key, value) ->
        val changed = change(value)
        if (changed === value) all else all.put(key, changed)
    }
