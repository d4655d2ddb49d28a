/**
 * The catalogue after replies with many changes.
 */
package sniperoute.version

import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import sniperoute.version.decision.advance
import sniperoute.version.decision.emptyCatalogue
import sniperoute.version.message.*
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import java.lang.management.ManagementFactory
import kotlin.random.Random

private const val ROUTES = 1_750

/** A change must be in force within two seconds on a VM with 0.12 of a core. */
private const val PROCESSOR_NANOSECONDS = 2L * 120_000_000

@OptIn(ExperimentalKotest::class)
class CataloguesTest {
    private fun route(name: String, path: String) = Route(
        name = RouteName(name),
        path = path,
        service = ServiceName("s"),
        requestClass = RequestClass.STATUS,
        deadlineMilliseconds = 1_000,
        gapMilliseconds = 0,
        repetition = Repetition.REPEATABLE,
        isOpen = true,
    )

    private fun put(route: Route) = ItemChange(1, ItemName(ItemKind.ROUTE, route.name.text), RouteItem(route))

    private fun remove(name: String) = ItemChange(1, ItemName(ItemKind.ROUTE, name), null)

    private fun reply(revision: Long, changes: List<ItemChange>, isWhole: Boolean = false) =
        RenewReply(1, 1_000, revision, revision, isWhole, changes.toPersistentList(), persistentListOf(), 1, 0)

    @Test
    fun `many changes in one reply have the same result as one after the other`() {
        runBlocking {
            checkAll(PropTestConfig(seed = 5, iterations = 200), Arb.long()) { seed ->
                val random = Random(seed)
                val changes = List(40) {
                    val name = "r${random.nextInt(12)}"
                    if (random.nextInt(4) == 0) remove(name) else put(route(name, "/" + "x".repeat(random.nextInt(1, 6))))
                }
                val atOnce = emptyCatalogue().advance(reply(1, changes))
                val oneByOne = changes.foldIndexed(emptyCatalogue()) { index, catalogue, change ->
                    catalogue.advance(reply(index + 1L, listOf(change)))
                }
                expectThat(atOnce.routes).isEqualTo(oneByOne.routes)
                val last = changes.groupBy { it.name }.values.mapNotNull { (it.last().item as? RouteItem)?.route }
                expectThat(atOnce.routes.toSet()).isEqualTo(last.toSet())
                expectThat(atOnce.routes.map { it.path.length }).isEqualTo(atOnce.routes.map { it.path.length }.sortedDescending())
            }
        }
    }

    /** Guards against a router that is busy for seconds, and answers nothing, when a long configuration comes into force. */
    @Test
    fun `a configuration of many routes is taken over in the processor time that a small machine has for it`() {
        val changes = List(ROUTES) { put(route("r$it", "/${it.toString(2)}/")) }
        val threads = ManagementFactory.getThreadMXBean()
        val before = threads.currentThreadCpuTime
        val catalogue = emptyCatalogue().advance(reply(1, changes, isWhole = true))
        val used = threads.currentThreadCpuTime - before
        println("$ROUTES routes are taken over in ${used / 1_000} microseconds of processor time")
        expectThat(catalogue.routes.size).isEqualTo(ROUTES)
        expectThat(used).isLessThan(PROCESSOR_NANOSECONDS)
    }
}
