/**
 * Bodies of callers and of engines: whatever their bytes are, reading them ends with a value or an error, never with an exception.
 */
package sniperoute.request

import org.junit.jupiter.api.Test
import sniperoute.request.prefix.codec.parsePrompt
import sniperoute.request.run.codec.inspectJson
import strikt.api.expectThat
import strikt.assertions.isEmpty
import kotlin.random.Random

private const val CHANGED_TEXTS = 20_000

class ForeignTextsTest {
    private val sample = """{"prompt":["a","b"],"max_tokens":99999999999999999999,"stream":true,"usage":{"prompt_tokens":1e999}}"""

    private fun Random.changed(bytes: ByteArray): ByteArray {
        val copy = bytes.copyOf(if (nextInt(4) == 0) nextInt(bytes.size + 1) else bytes.size)
        if (copy.isNotEmpty()) repeat(1 + nextInt(3)) { copy[nextInt(copy.size)] = nextInt().toByte() }
        return copy
    }

    @Test
    fun `a prompt or an answer that can't be read is no reason for an exception`() {
        val random = Random(20_261_205)
        val encodings = listOf(Charsets.UTF_8, Charsets.UTF_16BE, Charsets.UTF_16LE, Charsets.UTF_32BE, Charsets.UTF_32LE)
        val nested = listOf("[", "{\"a\":").map { """{"prompt":${it.repeat(100_000)}""".toByteArray() }
        val unreadable = listOf(byteArrayOf(0, 0, 0, '{'.code.toByte(), -1, -1, -1, -1), byteArrayOf(-1), byteArrayOf()) + nested +
            (1..CHANGED_TEXTS).map { random.changed(sample.toByteArray(encodings[it % encodings.size])) }
        val thrown = unreadable.mapNotNull { bytes ->
            runCatching { parsePrompt(bytes) to inspectJson(bytes.decodeToString()) }.exceptionOrNull()?.toString()?.take(100)
        }
        expectThat(thrown.map { it.substringBefore(':') }.distinct()).isEmpty()
    }
}
