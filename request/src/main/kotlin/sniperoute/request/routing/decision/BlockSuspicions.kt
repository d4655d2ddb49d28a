/**
 * What a router contributes to the quarantine of prompt blocks: it reports which blocks a prompt held whose answer was interrupted before
 * its first content, and which blocks were served although a quarantine names them. Blocks that it has seen served a short time ago are
 * above suspicion.
 */
package sniperoute.request.routing.decision

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentSet
import sniperoute.process.clock.Timestamp
import sniperoute.request.routing.message.AdmittedRequest
import sniperoute.request.routing.message.AnswerProgress
import sniperoute.request.routing.message.AttemptFailed
import sniperoute.request.routing.message.GiveUp
import sniperoute.request.routing.message.ReportInterruption
import sniperoute.request.routing.message.ReportServedBlocks
import sniperoute.version.decision.Catalogue
import sniperoute.version.message.BlockId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** For this long after an answer to a prompt with them was complete, blocks are not suspected. */
private val SERVED_BLOCKS_LIFETIME: Duration = 5.seconds

/** Whether the request, or a set of blocks that its prompt contains, is in quarantine. */
internal fun Catalogue.isQuarantined(request: AdmittedRequest): Boolean =
    request.digest in quarantine || hasQuarantinedBlocks(request)

private fun Catalogue.hasQuarantinedBlocks(request: AdmittedRequest): Boolean =
    blockQuarantines.values.any { request.sharedBlocks.containsAll(it) }

/** Returns the state after the answer to [request] was complete at [now]. */
internal fun RoutingState.recordServedBlocks(request: AdmittedRequest, now: Timestamp): RoutingStep {
    if (request.sharedBlocks.isEmpty()) return unchanged()
    val next = copy(servedBlocks = request.sharedBlocks.fold(servedBlocks) { all, block -> all.put(block, now) })
    val isNamed = view.catalogue.blockQuarantines.values
        .any { named -> request.sharedBlocks.any { it in named } }
    return if (isNamed) next.unchanged().emit(ReportServedBlocks(request.sharedBlocks.toPersistentSet())) else next.unchanged()
}

/** Returns the state after the connection of [run] broke at [now]; blocks are suspected while no content has been received. */
internal fun RoutingState.reportInterruption(run: RunningRequest, result: AttemptFailed, now: Timestamp): RoutingStep {
    val suspected = run.request.sharedBlocks
        .filter { block -> servedBlocks[block]?.let { now - it > SERVED_BLOCKS_LIFETIME } ?: true }
        .toPersistentSet()
    val incarnation = endpoints[run.endpoint]?.incarnation.orEmpty()
    return if (result.progress == AnswerProgress.CONTENT || suspected.isEmpty()) {
        unchanged()
    } else {
        unchanged().emit(ReportInterruption(run.endpoint, incarnation, suspected, result.progress == AnswerProgress.BEGUN))
    }
}

/** Returns the map without blocks whose last complete answer is too old to matter at [now]. */
internal fun PersistentMap<BlockId, Timestamp>.withoutOld(now: Timestamp): PersistentMap<BlockId, Timestamp> =
    entries.filter { now - it.value > SERVED_BLOCKS_LIFETIME }.fold(this) { all, old -> all.remove(old.key) }

/** Returns the state after the attempts of prompts with blocks in quarantine were ended, as far as no content has been received. */
internal fun RoutingState.endQuarantinedAttempts(): RoutingStep {
    if (view.catalogue.blockQuarantines.isEmpty()) return unchanged()
    val ended = running.values.filter { run -> view.catalogue.hasQuarantinedBlocks(run.request) && !hasFirstToken(run) }
    return ended.fold(unchanged()) { step, run ->
        step.then { state ->
            val id = run.request.id
            state
                .copy(running = state.running.remove(id), retries = state.retries.remove(id))
                .withEndpoint(run.endpoint) { it.withoutRequest(id) }
                .unchanged()
                .emit(GiveUp(id, quarantined().message))
        }
    }
}
