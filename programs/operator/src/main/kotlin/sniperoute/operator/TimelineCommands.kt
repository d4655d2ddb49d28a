/**
 * `sniperoute timeline`: the events of all processes in causal order, as text, as JSON or as a picture.
 */
package sniperoute.operator

import kotlinx.serialization.builtins.ListSerializer
import sniperoute.common.ExitStatus
import sniperoute.common.administrationClient
import sniperoute.common.administrationJson
import sniperoute.common.fail
import sniperoute.common.readCommandSettings
import sniperoute.process.timeline.decision.EventFilter
import sniperoute.process.timeline.decision.mergeTimelines
import sniperoute.process.timeline.message.Event
import java.nio.file.Files
import java.nio.file.Path
import java.time.Instant
import java.time.temporal.ChronoUnit

private const val MICROSECONDS_PER_SECOND = 1_000_000L

/** Shows the events that the options ask for. */
internal fun showTimeline(options: OperatorOptions) {
    val settings = readCommandSettings(options.settings)
    val client = administrationClient(settings)
    val addresses = settings.control + settings.routers
    val timelines = addresses.mapNotNull { address ->
        client
            .call(address, "/timeline", ListSerializer(Event.serializer()))
            .onLeft {
                System.err.println("no time line from ${address.host}:${address.port}: ${it.describe()}")
            }.getOrNull()
    }
    if (timelines.isEmpty()) fail("no process gave its time line", ExitStatus.UNREACHABLE)
    show(mergeTimelines(timelines, options.toFilter(timelines)), options)
}

private fun OperatorOptions.toFilter(timelines: List<List<Event>>): EventFilter {
    val newest = timelines.flatten().maxOfOrNull { it.at.microseconds } ?: 0
    val since = if (lastSeconds > 0) newest - lastSeconds * MICROSECONDS_PER_SECOND else null
    return EventFilter(request, workspace, endpoint, kind, since)
}

private fun show(events: List<Event>, options: OperatorOptions) {
    val picture = options.picture
    when {
        picture != null -> {
            Files.writeString(Path.of(picture), pictureOf(events))
            println("${events.size} events drawn in $picture")
        }
        options.json -> println(administrationJson.encodeToString(ListSerializer(Event.serializer()), events))
        else -> events.forEach { println(it.describe()) }
    }
}

private fun Event.describe(): String = buildString {
    append(Instant.EPOCH.plus(at.microseconds, ChronoUnit.MICROS))
    append("  ${process.padEnd(PROCESS_WIDTH)}  ${kind.number} ${kind.name}")
    with(subject) {
        request?.let { append(" request=$it") }
        workspace?.let { append(" workspace=$it") }
        endpoint?.let { append(" endpoint=$it") }
        weights?.let { append(" weights=$it") }
        configuration?.let { append(" configuration=$it") }
        outcome?.let { append(" outcome=$it") }
    }
    if (detail.isNotEmpty()) append("  $detail")
}

private const val PROCESS_WIDTH = 16
