/**
 * Who waits: urgent classes first, workspaces in turn, and one that sends several times its rate harms only itself.
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
    private fun waiting(
        id: String,
        workspace: String,
        tokens: Long = 100,
        weight: Long = 1,
        urgency: RequestClass = RequestClass.DRAFTING,
    ) =
        Waiting(admitted(id, workspace, chat.copy(requestClass = urgency), tokens = tokens), weight)

    private fun FairQueue.plus(request: Waiting) = checkNotNull(addOrNull(request))

    private fun FairQueue.drain(count: Int): List<Waiting> {
        var queue = this
        return List(count) { queue.takeOrNull { true }!!.also { queue = it.rest }.request }
    }

    @Test
    fun `status checks and confirmations go before drafts`() {
        val queue = emptyFairQueue()
            .plus(waiting("d", "a"))
            .plus(waiting("c", "a", urgency = RequestClass.CONFIRMATION))
            .plus(waiting("s", "b", urgency = RequestClass.STATUS))
        expectThat(queue.drain(3).map { it.admitted.id.text }).isEqualTo(listOf("s", "c", "d"))
    }

    @Test
    fun `workspaces that always wait share in proportion to their rates, whatever the sizes of their requests`() {
        runBlocking {
            checkAll(Arb.long()) { seed ->
                val random = Random(seed)
                val weights = mapOf("a" to 1L, "b" to 2L, "c" to 5L)
                var queue = emptyFairQueue()
                weights.forEach { (name, weight) ->
                    repeat(400) { queue = queue.plus(waiting("$name$it", name, random.nextLong(50, 1_000), weight)) }
                }
                val served = queue.drain(150).groupBy { it.admitted.workspace!!.text }.mapValues { (_, own) ->
                    own.sumOf { it.admitted.tokens }
                }
                val shares = weights.map { (name, weight) -> (served[name] ?: 0) / weight }
                expectThat(shares.max() - shares.min()).describedAs("seed $seed: $served").isLessThanOrEqualTo(3_000)
            }
        }
    }

    @Test
    fun `a workspace that comes late is not behind all that others sent before`() {
        var queue = emptyFairQueue()
        repeat(500) { queue = queue.plus(waiting("a$it", "a")) }
        repeat(100) { queue = queue.takeOrNull { true }!!.rest }
        queue = queue.plus(waiting("b", "b"))
        expectThat(queue.drain(3).map { it.admitted.id.text }.contains("b")).isEqualTo(true)
    }

    @Test
    fun `a workspace without tokens does not hold the others up, and its queue is bounded`() {
        var queue = emptyFairQueue().plus(waiting("a", "a")).plus(waiting("b", "b"))
        expectThat(
            queue
                .takeOrNull { it.admitted.workspace == WorkspaceName("b") }
                ?.request
                ?.admitted
                ?.id
                ?.text,
        ).isEqualTo("b")
        repeat(MOST_WAITING_PER_WORKSPACE - 1) { queue = queue.plus(waiting("x$it", "a")) }
        expectThat(queue.addOrNull(waiting("more", "a"))).isNull()
        expectThat(queue.addOrNull(waiting("other", "b"))?.all()?.size).isEqualTo(MOST_WAITING_PER_WORKSPACE + 2)
    }

    @Test
    fun `a router's pool never spends more than it was granted, and asks again for what was lost`() {
        runBlocking {
            checkAll(Arb.long()) { seed ->
                val random = Random(seed)
                val name = WorkspaceName("a")
                var pools = noTokenPools()
                var now: Timestamp = start
                var granted = 0L
                var spent = 0L
                var returned = 0L
                repeat(200) {
                    now += random.nextInt(300).milliseconds
                    val change = pools.balance(name, random.nextLong(500), now)
                    pools = change.pools
                    returned += change.giveBack
                    if (change.ask > 0 && random.nextBoolean()) {
                        val tokens = random.nextLong(change.ask + 1)
                        granted += tokens
                        pools = pools.granted(name, tokens, Duration.ZERO, now)
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
