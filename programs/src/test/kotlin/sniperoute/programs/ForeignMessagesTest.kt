/**
 * Messages of other processes and entries of the log: whatever their bytes are, decoding ends with a value or an error.
 */
package sniperoute.programs

import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.Test
import sniperoute.control.codec.decodeCommand
import sniperoute.control.codec.decodeControlState
import sniperoute.control.codec.encode
import sniperoute.control.decision.newControlState
import sniperoute.request.ledger.codec.decodeLedgerReply
import sniperoute.request.ledger.codec.decodeLedgerRequest
import sniperoute.version.codec.decodeSessionMessage
import sniperoute.version.codec.encode
import sniperoute.version.message.CachedBlocks
import sniperoute.version.message.EndpointName
import sniperoute.version.message.EndpointWorkload
import sniperoute.version.message.RequestLimit
import sniperoute.version.message.RequestLimitReport
import sniperoute.version.message.TokenRequest
import sniperoute.version.message.WorkloadReport
import sniperoute.version.message.WorkspaceName
import strikt.api.expectThat
import strikt.assertions.isEmpty
import kotlin.random.Random

private const val CHANGED_MESSAGES = 20_000

class ForeignMessagesTest {
    private val name = EndpointName("e")
    private val samples = listOf(
        TokenRequest(WorkspaceName("w"), 9).encode(),
        RequestLimitReport(persistentListOf(RequestLimit(name, 1.5))).encode(),
        WorkloadReport(
            persistentListOf(EndpointWorkload(name, 1, 2)),
            persistentListOf(CachedBlocks(name, persistentListOf(1L, 2L))),
        ).encode(),
        newControlState().encode(),
    )

    private fun Random.changed(bytes: ByteArray): ByteArray {
        val copy = bytes.copyOf(if (nextInt(4) == 0) nextInt(bytes.size + 1) else bytes.size)
        if (copy.isNotEmpty()) repeat(1 + nextInt(3)) { copy[nextInt(copy.size)] = nextInt().toByte() }
        return copy
    }

    @Test
    fun `changed, cut and random messages are refused by their decoders without an exception`() {
        val random = Random(27)
        val decoders: List<(ByteArray) -> Any> =
            listOf(::decodeSessionMessage, ::decodeLedgerRequest, ::decodeLedgerReply, ::decodeCommand, ::decodeControlState)
        val thrown = (1..CHANGED_MESSAGES).mapNotNull { number ->
            val bytes = if (number % 3 == 0) random.nextBytes(random.nextInt(1, 60)) else random.changed(samples.random(random))
            decoders.firstNotNullOfOrNull { decode -> runCatching { decode(bytes) }.exceptionOrNull()?.toString()?.take(120) }
        }
        expectThat(thrown.distinct()).isEmpty()
    }
}
