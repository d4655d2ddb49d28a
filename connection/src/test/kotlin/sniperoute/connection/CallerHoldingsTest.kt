/**
 * Which connections yield: those of the peer above its fair share, and of these the ones that held the most for the longest time.
 */
package sniperoute.connection

import kotlinx.collections.immutable.toImmutableList
import org.junit.jupiter.api.Test
import sniperoute.connection.http.decision.*
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class CallerHoldingsTest {
    private fun holding(name: String, peer: String, bytes: Long, ageMilliseconds: Int, mayYield: Boolean = true) =
        CallerHolding(name, peer, bytes, ageMilliseconds.milliseconds, mayYield)

    private fun yielding(target: Long, vararg holdings: CallerHolding<String>) = yieldingHolders(
        holdings.toList().toImmutableList(),
        target,
    )

    @Test
    fun `a peer within its fair share loses nothing, however small or old what it holds is`() {
        val crowd = Array(10) { holding("x$it", "x", 100, 10 + it) }
        expectThat(yielding(700, holding("a", "a", 200, 9_000), *crowd))
            .containsExactlyInAnyOrder("x9", "x8", "x7", "x6", "x5")
    }

    @Test
    fun `behind one address an old unfinished head yields before a larger request that has just begun`() {
        val old = Array(4) { holding("old$it", "balancer", 30, 5.seconds.inWholeMilliseconds.toInt()) }
        expectThat(yielding(200, holding("new", "balancer", 110, 5), *old)).containsExactlyInAnyOrder("old0")
    }

    @Test
    fun `an idle connection yields after an unfinished request that is younger`() {
        val idle = holding("idle", "a", 1, 9_000).copy(isIdle = true)
        expectThat(yielding(1, idle, holding("unfinished", "a", 1, 1_000))).containsExactlyInAnyOrder("unfinished")
    }

    @Test
    fun `a request that runs and a connection that is alone yield nothing`() {
        expectThat(yielding(10, holding("runs", "a", 500, 100, mayYield = false), holding("idle", "b", 4, 100))).isEmpty()
        expectThat(yielding(10, holding("alone", "a", 500, 100))).isEmpty()
    }

    @Test
    fun `the bounds follow from heap, direct memory and descriptors`() {
        val bounds = callerBounds(heapBytes = 96, directBytes = 24, descriptors = 4_100)
        expectThat(bounds).isEqualTo(CallerBounds(bytes = 24, connections = 2_925, outputWeight = 2))
    }

    @Test
    fun `a connection whose responses are not read is read no further, but one whose request runs is, so that its end is seen`() {
        expectThat(isReadOn(isWritable = false, isRunning = false, waitingRequests = 0, waitingBytes = 0)).isEqualTo(false)
        expectThat(isReadOn(isWritable = false, isRunning = true, waitingRequests = 0, waitingBytes = 0)).isEqualTo(true)
        expectThat(isReadOn(isWritable = true, isRunning = true, waitingRequests = 3, waitingBytes = 1_000_000)).isEqualTo(false)
    }

    @Test
    fun `no head within the limit has more lines than are allowed`() {
        expectThat(maxHeaderLines(16_384)).isEqualTo(5_462)
    }
}
