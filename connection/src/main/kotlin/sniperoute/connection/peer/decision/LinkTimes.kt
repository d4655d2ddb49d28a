/**
 * What a link does as time passes without data from its peer: it suspends writing, then ends. All times count from when the link opened.
 */
package sniperoute.connection.peer.decision

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** When there has been nothing to send for this long, an empty frame is sent as a heartbeat. */
internal val HEARTBEAT_INTERVAL: Duration = 500.milliseconds

/** When nothing has been received for this long, the link ends. It also limits the handshake. */
internal val RECEIVE_TIMEOUT: Duration = 1_500.milliseconds

/**
 * When nothing has been received for this long, writing is suspended until the peer sends again, which it does at least every
 * [HEARTBEAT_INTERVAL]. So little is lost with a link to a peer that has become unreachable.
 */
internal val WRITE_SUSPENSION_DELAY: Duration = 700.milliseconds

/** When bytes were last received and a frame was last sent. */
internal data class LinkTimes(val received: Duration = Duration.ZERO, val sent: Duration = Duration.ZERO)

/** Whether frames may be written at [now]. */
internal fun LinkTimes.mayWrite(now: Duration): Boolean = now - received <= WRITE_SUSPENSION_DELAY

/** Whether the link ends at [now]. */
internal fun LinkTimes.hasTimedOut(now: Duration): Boolean = now - received >= RECEIVE_TIMEOUT

/** Whether a heartbeat is due at [now]. */
internal fun LinkTimes.isHeartbeatDue(now: Duration): Boolean = now - sent >= HEARTBEAT_INTERVAL && mayWrite(now)

/** Returns the time from [now] until the link may have to be ended or a heartbeat be sent. */
internal fun LinkTimes.untilNextCheck(now: Duration): Duration {
    val end = received + RECEIVE_TIMEOUT - now
    val heartbeat = sent + HEARTBEAT_INTERVAL - now
    return if (heartbeat.isPositive()) minOf(end, heartbeat) else minOf(end, HEARTBEAT_INTERVAL)
}
