/**
 * Renders the time line as a self-contained SVG: a lane for each process, a mark for each event, and a line that connects the
 * events of a request.
 */
package sniperoute.operator

import sniperoute.process.timeline.message.Event
import sniperoute.process.timeline.message.Severity

private const val WIDTH = 1_400
private const val LEFT = 150
private const val RIGHT = 20
private const val TOP = 50
private const val LANE_HEIGHT = 70
private const val MARK_RADIUS = 4
private const val LABEL_ROWS = 4
private const val LABEL_STEP = 12
private const val GRID_LINES = 10
private const val MICROSECONDS_PER_MILLISECOND = 1_000.0
private const val KINDS_PER_GROUP = 100

/** Returns an SVG document with [events], which must be in causal order. */
internal fun renderSvg(events: List<Event>): String {
    val scale = TimelineScale(events)
    val height = TOP + scale.processes.size * LANE_HEIGHT + LABEL_STEP
    return buildString {
        append(
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"$WIDTH\" height=\"$height\" font-family=\"sans-serif\" font-size=\"10\">\n",
        )
        append("<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n")
        appendGrid(scale, height)
        scale.processes.forEach { appendLane(scale, it) }
        appendRequests(scale, events)
        events.forEachIndexed { index, event -> appendMark(scale, event, index) }
        append("</svg>\n")
    }
}

private class TimelineScale(events: List<Event>) {
    val processes = events.map { it.process }.distinct().sorted()
    val start = events.minOfOrNull { it.at.microseconds } ?: 0
    val span = ((events.maxOfOrNull { it.at.microseconds } ?: 1) - start).coerceAtLeast(1)

    fun x(event: Event): Double = LEFT + (event.at.microseconds - start).toDouble() / span * (WIDTH - LEFT - RIGHT)

    fun y(process: String): Int = TOP + processes.indexOf(process) * LANE_HEIGHT + LANE_HEIGHT / 2
}

private fun StringBuilder.appendGrid(scale: TimelineScale, height: Int) {
    for (line in 0..GRID_LINES) {
        val x = LEFT + line * (WIDTH - LEFT - RIGHT) / GRID_LINES
        val milliseconds = scale.span / MICROSECONDS_PER_MILLISECOND * line / GRID_LINES
        append("<line x1=\"$x\" y1=\"${TOP - LABEL_STEP}\" x2=\"$x\" y2=\"$height\" stroke=\"#eeeeee\"/>\n")
        append("<text x=\"$x\" y=\"${TOP / 2}\" text-anchor=\"middle\" fill=\"#555555\">+%.1f ms</text>\n".format(milliseconds))
    }
}

private fun StringBuilder.appendLane(scale: TimelineScale, process: String) {
    val y = scale.y(process)
    append("<text x=\"8\" y=\"$y\" font-weight=\"bold\">${process.escapeXml()}</text>\n")
    append("<line x1=\"$LEFT\" y1=\"$y\" x2=\"${WIDTH - RIGHT}\" y2=\"$y\" stroke=\"#bbbbbb\"/>\n")
}

private fun StringBuilder.appendRequests(scale: TimelineScale, events: List<Event>) {
    events.filter { it.subject.request != null }.groupBy { it.subject.request }.values.forEach { steps ->
        val points = steps.joinToString(" ") { "%.1f,%d".format(scale.x(it), scale.y(it.process)) }
        append("<polyline points=\"$points\" fill=\"none\" stroke=\"#7aa6d8\" stroke-width=\"2\" opacity=\"0.5\"/>\n")
    }
}

private fun StringBuilder.appendMark(scale: TimelineScale, event: Event, index: Int) {
    val x = scale.x(event)
    val y = scale.y(event.process)
    val title = "${event.kind.number} ${event.kind.name} ${event.subject} ${event.detail}".escapeXml()
    append(
        "<circle cx=\"%.1f\" cy=\"%d\" r=\"%d\" fill=\"%s\"><title>%s</title></circle>\n".format(x, y, MARK_RADIUS, event.color(), title),
    )
    if (event.kind.severity != Severity.DEBUG) {
        val label = event.kind.name
            .lowercase()
            .replace('_', ' ')
        val labelY = y - LABEL_STEP / 2 - index % LABEL_ROWS * LABEL_STEP / 2
        append("<text x=\"%.1f\" y=\"%d\" font-size=\"7\" fill=\"#333333\">%s</text>\n".format(x, labelY, label))
    }
}

@Suppress("MagicNumber")
private fun Event.color(): String = when {
    kind.severity == Severity.ERROR -> "#c0392b"
    kind.severity == Severity.WARNING -> "#e67e22"
    kind.number / KINDS_PER_GROUP == 3 -> "#8e44ad"
    kind.number / KINDS_PER_GROUP == 5 -> "#2980b9"
    kind.number / KINDS_PER_GROUP == 6 -> "#27ae60"
    else -> "#7f8c8d"
}

private fun String.escapeXml(): String = replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;").replace("\"", "&quot;")
