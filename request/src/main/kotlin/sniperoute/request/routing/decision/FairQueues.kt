/**
 * Queues of requests that wait for an endpoint. Classes have strict priority. Within a class, workspaces share by start-time fair
 * queueing, weighted by their rates; the cost of a request is its number of tokens.
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

/** The upper bound on requests of one workspace that wait for one service. */
public const val MAX_QUEUED_PER_WORKSPACE: Int = 512

/** A request in a queue; [weight] is the rate of its workspace in tokens a second. */
public data class QueuedRequest(public val request: AdmittedRequest, public val weight: Long)

/** The requests of one workspace in order of arrival, and the finish tag of the last one that was dequeued. */
public data class WorkspaceQueue(public val finishTag: Long, public val requests: PersistentList<QueuedRequest>)

/** The queues of one class, and its virtual time. */
public data class ClassQueue(public val virtualTime: Long, public val workspaces: PersistentMap<WorkspaceName, WorkspaceQueue>)

/** All requests that wait for one service, by rank, and their number. Lower ranks go first. */
public data class FairQueue(public val classes: PersistentMap<Int, ClassQueue>, public val size: Int = 0)

/** Returns an empty queue. */
public fun emptyFairQueue(): FairQueue = FairQueue(persistentMapOf())

/** Requests on open routes belong to no workspace and share one queue. */
private val OPEN_ROUTES_WORKSPACE = WorkspaceName("")

/** Units of virtual time for one token at a weight of 1. */
private const val VIRTUAL_TIME_PER_TOKEN = 1_000_000L

private val QueuedRequest.owner: WorkspaceName get() = request.workspace ?: OPEN_ROUTES_WORKSPACE

/** Returns the queue with [request] at the end of its workspace's queue, or `null` if that one is full. */
public fun FairQueue.enqueueOrNull(request: QueuedRequest): FairQueue? = insertOrNull(request, atFront = false)

/** Returns the queue with [request] at the front of its workspace's queue, for a retry. The upper bound does not apply. */
public fun FairQueue.enqueueFirst(request: QueuedRequest): FairQueue = checkNotNull(insertOrNull(request, atFront = true))

private fun FairQueue.insertOrNull(queued: QueuedRequest, atFront: Boolean): FairQueue? {
    val rank = queued.request.rank
    val classQueue = classes[rank] ?: ClassQueue(0, persistentMapOf())
    val own = classQueue.workspaces[queued.owner] ?: WorkspaceQueue(classQueue.virtualTime, persistentListOf())
    if (!atFront && own.requests.size >= MAX_QUEUED_PER_WORKSPACE) return null
    val longer = own.copy(requests = if (atFront) own.requests.add(0, queued) else own.requests.add(queued))
    return withClass(rank, classQueue.copy(workspaces = classQueue.workspaces.put(queued.owner, longer)), size + 1)
}

private fun FairQueue.withClass(rank: Int, queue: ClassQueue, size: Int): FairQueue = FairQueue(classes.put(rank, queue), size)

/** A request that was dequeued, and the rest of the queue. */
public data class DequeuedRequest(public val request: QueuedRequest, public val rest: FairQueue)

/**
 * The number of requests of each workspace that are tried: a request that waits for an endpoint must not block later ones that need
 * not wait.
 */
private const val LOOK_AHEAD = 8

/** Returns the first request in fair order that [isEligible], or `null`. Of each workspace, the first [LOOK_AHEAD] requests are tried. */
public fun FairQueue.dequeueOrNull(isEligible: (QueuedRequest) -> Boolean): DequeuedRequest? =
    classes.keys.sorted().firstNotNullOfOrNull { rank ->
        classes[rank]?.dequeueOrNull(isEligible)?.let { (request, rest) -> DequeuedRequest(request, withClass(rank, rest, size - 1)) }
    }

private data class DequeuedFromClass(val request: QueuedRequest, val rest: ClassQueue)

private fun ClassQueue.dequeueOrNull(isEligible: (QueuedRequest) -> Boolean): DequeuedFromClass? {
    val byStartTag = workspaces.entries.sortedWith(compareBy({ maxOf(virtualTime, it.value.finishTag) }, { it.key }))
    return byStartTag.firstNotNullOfOrNull { (owner, queue) ->
        val position = queue.requests.take(LOOK_AHEAD).indexOfFirst(isEligible)
        if (position < 0) null else dequeue(owner, queue, position)
    }
}

private fun ClassQueue.dequeue(owner: WorkspaceName, queue: WorkspaceQueue, position: Int): DequeuedFromClass {
    val queued = queue.requests[position]
    val startTag = maxOf(virtualTime, queue.finishTag)
    val finishTag = startTag + queued.request.tokens * VIRTUAL_TIME_PER_TOKEN / queued.weight.coerceAtLeast(1)
    val shorter = WorkspaceQueue(finishTag, queue.requests.removeAt(position))
    return DequeuedFromClass(queued, ClassQueue(startTag, workspaces.put(owner, shorter)).withoutIdle())
}

/** Drops workspaces that have no requests and whose finish tag has passed: they would start at the virtual time anyway. */
private fun ClassQueue.withoutIdle(): ClassQueue {
    val idle = workspaces.filterValues { it.requests.isEmpty() && it.finishTag <= virtualTime }.keys
    return if (idle.isEmpty()) this else copy(workspaces = idle.fold(workspaces) { all, name -> all.remove(name) })
}

/** Returns all requests in the queue. */
public fun FairQueue.requests(): List<QueuedRequest> =
    if (size == 0) emptyList() else classes.values.flatMap { queue -> queue.workspaces.values.flatMap { it.requests } }

/** Returns the queue without the requests [ids]. */
public fun FairQueue.without(ids: Set<RequestId>): FairQueue {
    val rest = classes.mapValuesPersistent { queue ->
        queue.copy(
            workspaces = queue.workspaces.mapValuesPersistent { own ->
                own.copy(requests = own.requests.removeAll { it.request.id in ids })
            },
        )
    }
    return FairQueue(rest, rest.values.sumOf { queue -> queue.workspaces.values.sumOf { it.requests.size } })
}

/** Returns the tokens of the requests of [workspace] in the queue. */
public fun FairQueue.queuedTokens(workspace: WorkspaceName): Long =
    if (size == 0) 0 else classes.values.sumOf { queue -> queue.workspaces[workspace]?.requests?.sumOf { it.request.tokens } ?: 0 }

private fun <K, V> PersistentMap<K, V>.mapValuesPersistent(change: (V) -> V): PersistentMap<K, V> =
    entries.fold(this) { all, (key, value) ->
        val changed = change(value)
        if (changed === value) all else all.put(key, changed)
    }
