/**
 * Bytes that another process sent or a disk holds: whatever they are, decoding ends with a value or an error, never with an exception.
 */
package sniperoute.process.codec

import org.junit.jupiter.api.Test
import sniperoute.process.agreement.codec.LogBatch
import sniperoute.process.agreement.codec.decodeAgreementMessage
import sniperoute.process.agreement.codec.decodeLogBatch
import sniperoute.process.agreement.codec.decodeSnapshot
import sniperoute.process.agreement.codec.encode
import sniperoute.process.settings.readValidated
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isNotNull
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.random.Random

private const val PROGRAM_STACK_BYTES = 512L * 1024
private const val STACK_TIMEOUT_SECONDS = 60L
private const val CHANGED_TEXTS = 20_000

/** Runs [body] on a thread with the stack of the programs' threads. */
private fun <T> onProgramStack(body: () -> T): T {
    val result = CompletableFuture<T>()
    val run = {
        @Suppress("TooGenericExceptionCaught")
        try {
            result.complete(body())
        } catch (failure: Throwable) {
            result.completeExceptionally(failure)
        }
        Unit
    }
    Thread(null, run, "program-stack", PROGRAM_STACK_BYTES).start()
    return result.get(STACK_TIMEOUT_SECONDS, TimeUnit.SECONDS)
}

class DecodingTest {
    private fun Random.changed(bytes: ByteArray): ByteArray {
        val copy = bytes.copyOf(if (nextInt(4) == 0) nextInt(bytes.size + 1) else bytes.size)
        if (copy.isNotEmpty()) repeat(1 + nextInt(3)) { copy[nextInt(copy.size)] = nextInt().toByte() }
        return copy
    }

    @Test
    fun `changed, cut and random bytes are refused by their decoders without an exception`() {
        val random = Random(20_261_205)
        val batch = LogBatch(7, null).encode()
        val decoders: List<(ByteArray) -> Any> = listOf(::decodeLogBatch, ::decodeSnapshot, ::decodeAgreementMessage)
        val thrown = (1..CHANGED_TEXTS).mapNotNull {
            val bytes = if (it % 2 == 0) random.changed(batch) else random.nextBytes(random.nextInt(1, 40))
            decoders.firstNotNullOfOrNull { decode -> runCatching { decode(bytes) }.exceptionOrNull() }?.toString()
        }
        expectThat(thrown.distinct()).isEmpty()
    }

    @Test
    fun `bytes nested deeply are refused by their decoders on the programs' stack`() {
        val nested = listOf(0x81, 0x9f, 0xa1, 0xbf, 0xc1).map { start -> ByteArray(200_000) { start.toByte() } }
        val unknownMember = nested.map { byteArrayOf(0xbf.toByte(), 0x61, 'x'.code.toByte()) + it }
        val thrown = (nested + unknownMember).mapNotNull { bytes ->
            runCatching { onProgramStack { decodeLogBatch(bytes) to decodeAgreementMessage(bytes) } }.exceptionOrNull()?.toString()
        }
        expectThat(thrown.distinct()).isEmpty()
    }

    @Test
    fun `settings nested deeply are refused on the programs' stack`() {
        listOf(999, 1_000, 100_000).forEach { depth ->
            listOf("[" to "]", "{\"a\":" to "}").forEach { (open, close) ->
                val text = "{\"name\":" + open.repeat(depth) + "1" + close.repeat(depth) + "}"
                val read = onProgramStack { readValidated("settings", text) { string("name") } }
                expectThat(read.leftOrNull()).describedAs("$open $depth").isNotNull()
            }
        }
    }
}
