/**
 * Evacuations of failure domains: how commands start and end them, which failure domains the leader knows, and the events about them.
 * The order of the log decides; a command that comes again after a later one of the other sort counts as a new one.
 */
package sniperoute.control.decision

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.toPersistentList
import sniperoute.control.message.Command
import sniperoute.control.message.RecordTimelineEvent
import sniperoute.control.message.SetEvacuation
import sniperoute.process.clock.Timestamp
import sniperoute.process.identity.FailureDomain
import sniperoute.process.timeline.message.EventKind
import sniperoute.process.timeline.message.EventSubject
import sniperoute.version.decision.itemOrNull
import sniperoute.version.decision.publish
import sniperoute.version.message.EvacuationItem
import sniperoute.version.message.ItemKind
import sniperoute.version.message.ServiceItem
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The longest name of a failure domain. */
public const val MAX_DOMAIN_NAME_LENGTH: Int = 255

/** Bounds the replicated state, whatever the platform's list names. */
private const val MAX_RECORDED_DOMAINS = 1_024

/** The list is read again several times within this time, so an older one points to failed reads. */
private val MAX_LIST_AGE: Duration = 5.seconds

/** Returns the failure domain that [text] names, or `null` if no failure domain can have that name. */
public fun domainNameOrNull(text: String): FailureDomain? =
    FailureDomain(text).takeIf { text.isNotBlank() && text.length <= MAX_DOMAIN_NAME_LENGTH && text.none(Char::isISOControl) }

/** Returns the failure domains that are evacuated, in the order of their names. */
public fun ControlState.evacuatedDomains(): List<FailureDomain> =
    published.changes.values
        .mapNotNull { (it.item as? EvacuationItem)?.domain }
        .sortedBy { it.text }

internal fun ControlState.applyEvacuation(command: SetEvacuation): AppliedCommand {
    val item = EvacuationItem(command.domain, command.at)
    val isEvacuated = published.itemOrNull(item.name) != null
    if (isEvacuated == command.isEvacuated) return applied()
    val next = if (command.isEvacuated) published.publish(listOf(item)) else published.publish(emptyList(), listOf(item.name))
    return copy(published = next).applied().copy(hasChangedEvacuation = true)
}

/** Returns these failure domains and those of [seen], up to [MAX_RECORDED_DOMAINS]. */
internal fun PersistentSet<FailureDomain>.withSeen(seen: List<FailureDomain>): PersistentSet<FailureDomain> =
    if (seen.isEmpty()) this else addAll(seen.filter { it !in this }.take(MAX_RECORDED_DOMAINS - size))

/**
 * Returns the result for [command] if it starts the evacuation of a failure domain that certainly doesn't exist, and `null` otherwise. That
 * is certain only while this leader's list is recent and neither the list, the declarations nor any earlier list has an endpoint
 * there: the endpoints of a domain that was just lost may be gone from the list, and it is the one to evacuate.
 */
internal fun ControlDutyState.unknownDomainOrNull(command: Command, now: Timestamp): SubjectUnknown? {
    if (command !is SetEvacuation || !command.isEvacuated || !knowsAllDomains(now)) return null
    val known = replicatedState.domains + replicatedState.declaredDomains() + replicatedState.evacuatedDomains() + listedDomains()
    if (command.domain in known) return null
    return SubjectUnknown("no endpoint is in a failure domain ${command.domain}; known are ${known.map { it.text }.sorted()}")
}

private fun ControlDutyState.knowsAllDomains(now: Timestamp): Boolean {
    val leader = leaderState ?: return false
    val hasList = !settings.readsPlatformList ||
        (leader.fleet?.endpoints?.isNotEmpty() ?: false && now - leader.lastListRead < MAX_LIST_AGE)
    return hasList && replicatedState.configurations.number > 0
}

private fun ControlState.declaredDomains(): List<FailureDomain> =
    published.changes.values
        .mapNotNull { (it.item as? ServiceItem)?.service }
        .flatMap { service -> service.endpoints.map { it.failureDomain } + listOfNotNull(service.store?.failureDomain) }

private fun ControlDutyState.listedDomains(): List<FailureDomain> =
    leaderState
        ?.fleet
        ?.endpoints
        ?.values
        .orEmpty()
        .map { it.listed.endpoint.failureDomain }
        .distinct()

/** Returns the failure domains on this leader's list that aren't recorded yet, up to the number that is recorded at most. */
internal fun ControlDutyState.unrecordedDomains(): PersistentList<FailureDomain> {
    val room = MAX_RECORDED_DOMAINS - replicatedState.domains.size
    return listedDomains().filter { it !in replicatedState.domains }.take(room).toPersistentList()
}

internal fun evacuationEvent(command: SetEvacuation): RecordTimelineEvent {
    val kind = if (command.isEvacuated) EventKind.EVACUATION_STARTED else EventKind.EVACUATION_ENDED
    return RecordTimelineEvent(kind, EventSubject(), "failure domain ${command.domain} by ${command.operator}")
}

/** Returns the events for the evacuations that started or ended after the revision [since], now that all [live] routers know them. */
internal fun ControlState.evacuationsInForceEvents(since: Long, live: Int): List<RecordTimelineEvent> =
    published.changes.values
        .filter { it.name.kind == ItemKind.EVACUATION && it.revision > since }
        .sortedBy { it.revision }
        .map { change ->
            val what = if (change.item == null) "the end of the evacuation" else "the evacuation"
            val detail = "$what of failure domain ${change.name.text}, revision ${change.revision} on $live routers"
            RecordTimelineEvent(EventKind.EVACUATION_IN_FORCE_EVERYWHERE, EventSubject(), detail)
        }
