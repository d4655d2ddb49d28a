/**
 * Measures and prints, for docs/CAPACITY.md, how many bytes each further cache block, call, workspace and message takes. The only bounds
 * are those that follow from the size that the system is designed for.
 */
package sniperoute.programs

import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.Test
import sniperoute.control.codec.encode
import sniperoute.control.decision.newControlState
import sniperoute.process.clock.Timestamp
import sniperoute.process.identity.Incarnation
import sniperoute.process.identity.VmName
import sniperoute.request.ledger.codec.encode
import sniperoute.request.ledger.decision.emptyLedger
import sniperoute.request.ledger.decision.step
import sniperoute.request.ledger.message.*
import sniperoute.request.routing.decision.addBlocks
import sniperoute.request.routing.decision.emptyPrefixCacheIndex
import sniperoute.version.codec.encode
import sniperoute.version.decision.noPublishedItems
import sniperoute.version.decision.publish
import sniperoute.version.message.*
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

class CapacityTest {
    private val now = Timestamp(1_000_000)

    private fun heapBytes(): Long {
        repeat(3) { System.gc() }
        return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
    }

    private fun <T : Any> bytesEach(count: Int, create: () -> T): Long {
        val before = heapBytes()
        val created = create()
        val each = (heapBytes() - before) / count
        expectThat(created.hashCode()).isGreaterThan(Int.MIN_VALUE)
        return each
    }

    private fun key(number: Int) = LedgerKey(WorkspaceName("workspace"), RouteName("confirm"), "deposit-$number")

    private fun workspaces(count: Int): List<CatalogueItem> = List(count) { WorkspaceItem(Workspace(WorkspaceName("workspace-$it"), 1, 1)) }

    private fun owner(number: Int) = LedgerOwner(VmName("r1"), Incarnation(1), "$number")

    @Test
    fun `heap bytes of a cache block, a call and an item`() {
        val blocks = bytesEach(150_000) {
            (0 until 150_000 step 500).fold(emptyPrefixCacheIndex()) { index, first ->
                index.addBlocks(EndpointName("e${first % 8}"), (first until first + 500).map { it * 7_919L }, now)
            }
        }
        val calls = bytesEach(20_000) {
            (0 until 20_000).fold(emptyLedger()) { ledger, number ->
                val begun = ledger.step(BeginCall(key(number), owner(number), RequestDigest("d$number")), now).ledger
                begun
                    .step(
                        FinishCall(key(number), owner(number), RecordedAnswer(200, "application/json", ByteArray(100), true)),
                        now,
                    ).ledger
            }
        }
        val items = bytesEach(2_000) {
            noPublishedItems().publish(workspaces(2_000))
        }
        println("heap: $blocks bytes a known block, $calls bytes a call with 100 bytes of answer, $items bytes a workspace's item")
        expectThat(blocks).isGreaterThan(0)
    }

    @Test
    fun `bytes of a message, without its envelope and the 20 bytes of its seal`() {
        val renewal = RenewRequest(1_000, persistentListOf()).encode().size
        val unchanged = RenewReply(1, 2_500, 1_000, 900, false, persistentListOf()).encode().size
        val item = WorkspaceItem(Workspace(WorkspaceName("workspace-1"), 100_000, 400_000))
        val change = RenewReply(1, 2_500, 1_000, 900, false, persistentListOf(ItemChange(1, item.name, item))).encode().size - unchanged
        val tokens = TokenRequest(WorkspaceName("workspace-1"), 20_000).encode().size
        val grant = TokenGrant(WorkspaceName("workspace-1"), 20_000, 0).encode().size
        val call = BeginCall(key(1), owner(1), RequestDigest("0".repeat(32))).encode().size
        val state = newControlState()
            .copy(
                published = noPublishedItems().publish(workspaces(800)),
            ).encode()
            .size
        println(
            "bytes: renewal $renewal, reply $unchanged, one change $change, token request $tokens, grant $grant, " +
                "ledger request $call, snapshot with 800 workspaces $state",
        )
        expectThat(renewal + unchanged).isLessThan(9_000)
    }
}
