/**
 * Tests what is sent to the routing duty while its ring is full.
 */
package sniperoute.programs

import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.Test
import sniperoute.process.clock.Timestamp
import sniperoute.process.ring.ring
import sniperoute.request.routing.message.*
import sniperoute.router.send
import sniperoute.version.message.RequestDigest
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.seconds

class RoutingRingTest {
    private val request = AdmittedRequest(
        id = RequestId("r"),
        workspace = null,
        key = null,
        route = listedRoute,
        digest = RequestDigest("d"),
        hash = 0,
        chain = persistentListOf(),
        promptTokens = 0,
        answerTokens = 0,
        arrived = Timestamp(0),
        deadline = Timestamp(0),
    )

    @Test
    fun `the end of a request is not lost while the ring of the routing duty is full`() {
        val ring = ring<RoutingInput>("routing", 1)
        expectThat(ring.send(RequestAdmitted(request))).isTrue()
        expectThat(ring.send(RequestAdmitted(request))).isFalse()
        val ends = listOf(AttemptEnded(request.id, AttemptCompleted(null, null, null, isFault = false)), RequestCancelled(request.id))
        val sender = thread(isDaemon = true) { ends.forEach(ring::send) }
        expectThat(List(3) { ring.takeOrNull(5.seconds) }).isEqualTo(listOf(RequestAdmitted(request)) + ends)
        sender.join()
    }
}
