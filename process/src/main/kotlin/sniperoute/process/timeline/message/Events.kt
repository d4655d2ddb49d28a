/**
 * Events of the time line, ordered by hybrid logical timestamps.
 */
package sniperoute.process.timeline.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A hybrid logical timestamp: wall clock [microseconds] since the epoch, and a [counter] that orders events with equal microseconds. */
@Serializable
@SerialName("sniperoute.process.timeline.message.HybridTime")
public data class HybridTimestamp(public val microseconds: Long, public val counter: Int) : Comparable<HybridTimestamp> {
    override fun compareTo(
        other: HybridTimestamp,
    ): Int = compareValuesBy(this, other, HybridTimestamp::microseconds, HybridTimestamp::counter)

    public companion object {
        /** The smallest timestamp. */
        public val ZERO: HybridTimestamp = HybridTimestamp(0, 0)
    }
}

/** The severity of an event for the operator on call. */
public enum class Severity { DEBUG, INFORMATION, WARNING, ERROR }

/** The kinds of events that a process logs, with their [number]; docs/EVENTS.md describes each. */
@Suppress("MagicNumber")
public enum class EventKind(public val number: Int, public val severity: Severity) {
    PROCESS_STARTED(100, Severity.INFORMATION),
    PROCESS_STOPPING(101, Severity.INFORMATION),
    DUTY_FAILED(102, Severity.ERROR),
    SETTINGS_REFUSED(103, Severity.ERROR),
    PROCESS_READY(104, Severity.INFORMATION),
    SETTINGS_CHANGED(105, Severity.INFORMATION),
    LOG_OPENED(200, Severity.INFORMATION),
    LOG_TAIL_CUT(201, Severity.WARNING),
    LOG_REFUSED(202, Severity.ERROR),
    DISK_FULL(203, Severity.ERROR),
    SNAPSHOT_WRITTEN(204, Severity.INFORMATION),
    LEADER_ELECTED(300, Severity.INFORMATION),
    LEADER_STEPPED_DOWN(301, Severity.WARNING),
    FOLLOWING_LEADER(302, Severity.INFORMATION),
    MEMBERSHIP_CHANGED(303, Severity.INFORMATION),
    REPLICA_JOINED_EMPTY(304, Severity.WARNING),
    REDUNDANCY_RESTORED(305, Severity.INFORMATION),
    GROUP_FORMED(306, Severity.INFORMATION),
    PEER_CONNECTED(400, Severity.INFORMATION),
    PEER_LOST(401, Severity.WARNING),
    PEER_REFUSED(402, Severity.WARNING),
    CALLERS_LIMITED(403, Severity.WARNING),
    CONFIGURATION_ACCEPTED(500, Severity.INFORMATION),
    CONFIGURATION_REFUSED(501, Severity.WARNING),
    CONFIGURATION_IN_FORCE(502, Severity.INFORMATION),
    CONFIGURATION_IN_FORCE_EVERYWHERE(503, Severity.INFORMATION),
    CACHE_SEPARATED(504, Severity.INFORMATION),
    KEY_GRANTED(510, Severity.INFORMATION),
    KEY_WITHDRAWN(511, Severity.INFORMATION),
    LEASE_RENEWED(520, Severity.DEBUG),
    LEASE_LOST(521, Severity.WARNING),
    REQUEST_ADMITTED(600, Severity.INFORMATION),
    REQUEST_REFUSED(601, Severity.INFORMATION),
    REQUEST_PLACED(602, Severity.INFORMATION),
    REQUEST_ANSWERED(603, Severity.INFORMATION),
    REQUEST_BROKEN(604, Severity.WARNING),
    REQUEST_RETRIED(605, Severity.INFORMATION),
    REQUEST_RESUMED(606, Severity.INFORMATION),
    REQUEST_CANCELLED(607, Severity.INFORMATION),
    REQUEST_NOT_SENT(608, Severity.INFORMATION),
    ROUTER_LATE(609, Severity.WARNING),
    ONCE_ONLY_BEGUN(610, Severity.INFORMATION),
    ONCE_ONLY_FINISHED(611, Severity.INFORMATION),
    ONCE_ONLY_RELEASED(612, Severity.INFORMATION),
    ONCE_ONLY_UNKNOWN(613, Severity.WARNING),
    DIGEST_QUARANTINED(620, Severity.WARNING),
    BLOCKS_QUARANTINED(621, Severity.WARNING),
    BLOCKS_RELEASED(622, Severity.INFORMATION),
    ENDPOINT_UP(700, Severity.INFORMATION),
    ENDPOINT_DOWN(701, Severity.WARNING),
    ENDPOINT_LEAVING(702, Severity.INFORMATION),
    ENDPOINT_SILENT(703, Severity.WARNING),
    ENDPOINT_CROSSED_ANSWER(704, Severity.WARNING),
    CACHE_EVENTS_GAP(705, Severity.INFORMATION),
    LIST_ENTRY_IGNORED(706, Severity.WARNING),
    LIST_UNREAD(707, Severity.WARNING),
    REPORT_UNREAD(708, Severity.WARNING),
    STORE_UP(709, Severity.INFORMATION),
    STORE_DOWN(710, Severity.WARNING),
    ENDPOINT_LIMITED(711, Severity.WARNING),
    ENDPOINT_LIMIT_ENDED(712, Severity.INFORMATION),
    ENDPOINT_COLD(713, Severity.INFORMATION),
    ENDPOINT_WARM(714, Severity.INFORMATION),
    ENDPOINT_IN_DOUBT(715, Severity.INFORMATION),
    SERVICE_STRAINED(717, Severity.WARNING),
    SERVICE_RELIEVED(718, Severity.INFORMATION),
    EVACUATION_STARTED(720, Severity.INFORMATION),
    EVACUATION_ENDED(721, Severity.INFORMATION),
    EVACUATION_IN_FORCE_EVERYWHERE(722, Severity.INFORMATION),
    MOVE_STARTED(800, Severity.INFORMATION),
    MOVE_WIDENED(801, Severity.INFORMATION),
    MOVE_DONE(802, Severity.INFORMATION),
    MOVE_TAKEN_BACK(803, Severity.WARNING),
    LOAD_ORDERED(804, Severity.INFORMATION),
    LOAD_ORDER_REFUSED(805, Severity.WARNING),
}

/** What an event is about; properties that do not apply are `null`. */
@Serializable
public data class EventSubject(
    public val request: String? = null,
    public val workspace: String? = null,
    public val endpoint: String? = null,
    public val weights: String? = null,
    public val configuration: Long? = null,
    public val outcome: String? = null,
)

/** An event of [process], such as `router@vm1`; [detail] is one line of text for operators. */
@Serializable
public data class Event(
    public val at: HybridTimestamp,
    public val process: String,
    public val kind: EventKind,
    public val subject: EventSubject,
    public val detail: String,
)
