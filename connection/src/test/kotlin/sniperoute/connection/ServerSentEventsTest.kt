/**
 * The parser of server-sent events.
 */
package sniperoute.connection

import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertTimeoutPreemptively
import sniperoute.connection.endpoint.decision.*
import sniperoute.connection.endpoint.message.*
import sniperoute.connection.http.*
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration

private val PARSING_TIME = 20.seconds.toJavaDuration()

class ServerSentEventsTest {
    @Test
    fun `only fields named id and data are taken for an event's ID and data`() {
        val event = newEventStream().parse("id: 7\nidle: 9\ndatabase: x\ndata: a\n\n".toByteArray()).events.single()
        expectThat(event.id).isEqualTo("7")
        expectThat(event.data).isEqualTo("a")
    }

    @Test
    fun `events are the same however the stream is split into chunks`() {
        val stream = "id: 1\ndata: a\n\n: note\n\nid: 2\r\ndata: b\r\n\r\ndata: [DONE]\n\n"
        runBlocking {
            checkAll(Arb.list(Arb.int(1..9), 1..40)) { sizes ->
                var state = newEventStream()
                val parsed = mutableListOf<String>()
                var bytes = ByteArray(0)
                var remaining = stream.toByteArray()
                sizes.forEach { size ->
                    val step = state.parse(remaining.copyOf(minOf(size, remaining.size)))
                    remaining = remaining.copyOfRange(minOf(size, remaining.size), remaining.size)
                    state = step.state
                    parsed += step.events.map { if (it.isComment) "comment" else "${it.id}=${it.data}" }
                    bytes = step.events.fold(bytes) { all, event -> all + event.bytes }
                }
                val last = state.parse(remaining).events
                parsed += last.map { if (it.isComment) "comment" else "${it.id}=${it.data}" }
                bytes = last.fold(bytes) { all, event -> all + event.bytes }
                expectThat(parsed).containsExactly("1=a", "comment", "2=b", "null=[DONE]")
                expectThat(bytes.decodeToString()).isEqualTo(stream)
            }
        }
    }

    @Test
    fun `a long event that is received byte by byte does not occupy the thread`() {
        val piece = "x".toByteArray()
        val state = assertTimeoutPreemptively(PARSING_TIME) { (1..500_000).fold(newEventStream()) { state, _ -> state.parse(piece).state } }
        val last = state.parse("\n\n".toByteArray())
        expectThat(
            last.events
                .single()
                .bytes.size,
        ).isEqualTo(500_002)
        expectThat(last.state.hasPartialEvent).isFalse()
    }
}
