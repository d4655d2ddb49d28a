/**
 * The history of shared cache blocks: which workspaces may have made blocks in which cache groups, and which groups get a new generation
 * when a configuration separates a workspace from the others. It outlives the configurations and the workspaces that they declare.
 */
package sniperoute.control.decision

import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import sniperoute.control.message.LinkId
import sniperoute.control.message.NotifyRouters
import sniperoute.control.message.RecordCacheUses
import sniperoute.process.clock.Timestamp
import sniperoute.version.decision.itemOrNull
import sniperoute.version.decision.publish
import sniperoute.version.message.CACHE_GROUP_COUNT
import sniperoute.version.message.CacheGenerationsItem
import sniperoute.version.message.CacheGroup
import sniperoute.version.message.CacheSharerItem
import sniperoute.version.message.CacheUse
import sniperoute.version.message.ChangeNotice
import sniperoute.version.message.ItemKind
import sniperoute.version.message.ItemName
import sniperoute.version.message.Workspace
import sniperoute.version.message.WorkspaceItem
import sniperoute.version.message.WorkspaceName
import sniperoute.version.message.cacheGenerationsName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Bounds the history, whatever workspaces come and go. Beyond it, the undeclared workspaces recorded longest ago are separated. */
private const val MAX_UNDECLARED_SHARERS = 1_000

/** Bounds what a leader collects; routers repeat what is left out. */
private const val MAX_CACHE_USES = 16_384

/** The uses of a busy start share entries of the log. */
private val CACHE_USE_INTERVAL: Duration = 30.milliseconds

/**
 * What a configuration changes in the history. The [separated] workspaces are no longer recorded in any group, and the [generations] of the
 * groups in which they were are new; `null` if no generation changes.
 */
internal data class CacheSeparation(val separated: List<CacheSharerItem>, val generations: CacheGenerationsItem?) {
    /** The items that the configuration removes. */
    val removed: List<ItemName> get() = separated.map { it.name }
}

/**
 * Returns the separation of the workspaces that are isolated in a configuration with these [workspaces]. The revision in which it will be
 * published numbers the new generations, so that each of them is unlike all earlier ones.
 */
internal fun ControlState.separateCaches(workspaces: List<Workspace>): CacheSeparation {
    val declared = workspaces.associateBy { it.name }
    val sharers = published.changes.values
        .filter { it.item is CacheSharerItem }
        .sortedByDescending { it.revision }
        .map { it.item as CacheSharerItem }
    val isolated = sharers.filter { declared[it.workspace]?.isIsolated == true }
    val forgotten = sharers.filter { it.workspace !in declared }.drop(MAX_UNDECLARED_SHARERS)
    val separated = isolated + forgotten
    if (separated.isEmpty()) return CacheSeparation(separated, null)
    val renewed = separated.flatMap { it.groups }.associateWith { published.revision + 1 }
    return CacheSeparation(separated, CacheGenerationsItem((cacheGenerations() + renewed).toPersistentMap()))
}

private fun ControlState.cacheGenerations(): Map<CacheGroup, Long> =
    (published.itemOrNull(cacheGenerationsName) as CacheGenerationsItem?)?.generations.orEmpty()

/** Leaves out the uses of workspaces that became isolated since: these have made no shared blocks since then. */
internal fun ControlState.applyCacheUses(command: RecordCacheUses): AppliedCommand {
    val items = command.uses
        .filter(::isUnrecorded)
        .groupBy(CacheUse::workspace, CacheUse::group)
        .map { (workspace, groups) -> CacheSharerItem(workspace, (sharedGroups(workspace) + groups).sorted().toPersistentList()) }
    return copy(published = published.publish(items)).applied()
}

private fun ControlState.isUnrecorded(use: CacheUse): Boolean {
    val workspace = (published.itemOrNull(ItemName(ItemKind.WORKSPACE, use.workspace.text)) as WorkspaceItem?)?.workspace
    return workspace?.isIsolated == false && use.group.number in 0 until CACHE_GROUP_COUNT && use.group !in sharedGroups(use.workspace)
}

private fun ControlState.sharedGroups(workspace: WorkspaceName): List<CacheGroup> =
    (published.itemOrNull(ItemName(ItemKind.CACHE_SHARER, workspace.text)) as CacheSharerItem?)?.groups.orEmpty()

/** Collects the [uses] that the router at [link] reported, and has requests waiting for. */
internal fun ControlDutyState.collectCacheUses(link: LinkId, uses: List<CacheUse>): ControlDutyState {
    val unrecorded = uses.filter(replicatedState::isUnrecorded)
    if (unrecorded.isEmpty()) return this
    val collected = leaderState?.cacheUses ?: return this
    val added = unrecorded.take(MAX_CACHE_USES - collected.uses.size)
    return updateLeader { copy(cacheUses = CollectedCacheUses(collected.uses.addAll(added), collected.links.add(link))) }
}

/** Proposes one command for all uses that were collected since the last one. A router repeats the uses that get lost with a proposal. */
internal fun ControlDutyState.proposeCacheUses(now: Timestamp): ControlStep {
    val leader = leaderState ?: return unchanged()
    if (leader.cacheUses.uses.isEmpty() || now < leader.nextCacheUseProposal) return unchanged()
    val unrecorded = leader.cacheUses.uses.filter(replicatedState::isUnrecorded)
    val next = updateLeader { copy(cacheUses = CollectedCacheUses(), nextCacheUseProposal = now + CACHE_USE_INTERVAL) }
    if (unrecorded.isEmpty()) return next.unchanged()
    return next.propose(RecordCacheUses(now, unrecorded.toPersistentList()), CacheUseProposal(leader.cacheUses.links))
}

/** Only the routers whose requests wait for the record learn of it at once; the others do so with their next renewals. */
internal fun ControlDutyState.noticeRecordedCacheUses(proposal: CacheUseProposal): ControlStep =
    unchanged().emit(NotifyRouters(proposal.links.toPersistentList(), ChangeNotice(replicatedState.published.revision)))
