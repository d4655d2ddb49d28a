/**
 * Tests the fair queue and the token pools: priority of urgent classes, weighted sharing between workspaces, and isolation of a
 * workspace that exceeds its rate.
 */
package sniperoute.request

import io.kotest.property.Arb
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import sniperoute.process.clock.Timestamp
import sniperoute.request.routing.decision.*
import sniperoute.version.message.RequestClass
import sniperoute.version.message.WorkspaceName
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNull
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class FairnessTest {
    private fun queued(
        id: String,
        workspace: String,
        tokens: Long = 100,
        weight: Long = 1,
        requestClass: RequestClass = RequestClass.DRAFTING,
    ) =
        QueuedRequest(admitted(id, workspace, chat.copy(requestClass = requestClass), tokens = tokens), weight)

    private fun FairQueue.plus(request: QueuedRequest) = checkNotNull(enqueueOrNull(request))

    private fun FairQueue.drain(count: Int): List<QueuedRequest> {
        var queue = this
        return List(count) { queue.dequeueOrNull { true }!!.also { queue = it.rest }.request }
    }

    @Test
    fun `status checks and confirmations go before drafts`() {
        val queue = emptyFairQueue()
            .plus(queued("d", "a"))
            .plus(queued("c", "a", requestClass = RequestClass.CONFIRMATION))
            .plus(queued("s", "b", requestClass = RequestClass.STATUS))
        expectThat(queue.drain(3).map { it.request.id.text }).isEqualTo(listOf("s", "c", "d"))
    }

    @Test
    fun `backlogged workspaces share in proportion to their rates, whatever the sizes of their requests`() {
        runBlocking {
            checkAll(Arb.long()) { seed ->
                val random = Random(seed)
                val weights = mapOf("a" to 1L, "b" to 2L, "c" to 5L)
                var queue = emptyFairQueue()
                weights.forEach { (name, weight) ->
                    repeat(400) { queue = queue.plus(queued("$name$it", name, random.nextLong(50, 1_000), weight)) }
                }
                val served = queue.drain(150).groupBy { it.request.workspace!!.text }.mapValues { (_, own) ->
                    own.sumOf { it.request.tokens }
                }
                val shares = weights.map { (name, weight) -> (served[name] ?: 0) / weight }
                expectThat(shares.max() - shares.min()).describedAs("seed $seed: $served").isLessThanOrEqualTo(3_000)
            }
        }
    }

    @Test
    fun `a workspace that becomes active does not wait for the backlog of the others`() {
        var queue = emptyFairQueue()
        repeat(500) { queue = queue.plus(queued("a$it", "a")) }
        repeat(100) { queue = queue.dequeueOrNull { true }!!.rest }
        queue = queue.plus(queued("b", "b"))
        expectThat(queue.drain(3).map { it.request.id.text }.contains("b")).isEqualTo(true)
    }

    @Test
    fun `a workspace without tokens does not block the others, and its queue is bounded`() {
        var queue = emptyFairQueue().plus(queued("a", "a")).plus(queued("b", "b"))
        expectThat(
            queue
                .dequeueOrNull { it.request.workspace == WorkspaceName("b") }
                ?.request
                ?.request
                ?.id
                ?.text,
        ).isEqualTo("b")
        repeat(MAX_QUEUED_PER_WORKSPACE - 1) { queue = queue.plus(queued("x$it", "a")) }
        expectThat(queue.enqueueOrNull(queued("more", "a"))).isNull()
        expectThat(queue.enqueueOrNull(queued("other", "b"))?.requests()?.size).isEqualTo(MAX_QUEUED_PER_WORKSPACE + 2)
    }

    @Test
    fun `a token pool never spends more than it was granted, and repeats requests that were lost`() {
        runBlocking {
            checkAll(Arb.long()) { seed ->
                val random = Random(seed)
                val name = WorkspaceName("a")
                var pools = emptyTokenPools()
                var now: Timestamp = start
                var granted = 0L
                var spent = 0L
                var returned = 0L
                repeat(200) {
                    now += random.nextInt(300).milliseconds
                    val change = pools.adjust(name, random.nextLong(500), now)
                    pools = change.pools
                    returned += change.returned
                    if (change.requested > 0 && random.nextBoolean()) {
                        val tokens = random.nextLong(change.requested + 1)
                        granted += tokens
                        pools = pools.grant(name, tokens, Duration.ZERO, now)
                    }
                    val available = pools.poolOf(name).available
                    if (available > 0) {
                        val tokens = random.nextLong(available) + 1
                        pools = pools.spend(name, tokens, now)
                        spent += tokens
                    }
                    expectThat(granted - returned - spent).describedAs("seed $seed").isGreaterThanOrEqualTo(0)
                }
            }
        }
    }
}
