/**
 * Tests the assembly of responses from attempts that break off, or whose events or content are invalid. The caller must not get an
 * event twice, out of order or not at all, nor an incomplete response as complete. Also tests the parsing of prompts and token counts.
 */
package sniperoute.request

import io.kotest.property.Arb
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertTimeoutPreemptively
import sniperoute.connection.endpoint.message.*
import sniperoute.connection.http.Header
import sniperoute.connection.http.ResponseHead
import sniperoute.request.prefix.codec.parsePrompt
import sniperoute.request.routing.message.AttemptFailureKind
import sniperoute.request.run.codec.inspectJson
import sniperoute.request.run.codec.isEventStream
import sniperoute.request.run.codec.jsonResponseParser
import sniperoute.request.run.decision.*
import sniperoute.request.run.message.*
import sniperoute.version.message.ServiceKind
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration

class AssembliesTest {
    private val streamHead = ResponseStarted(ResponseHead(200, persistentListOf(Header("content-type", "text/event-stream"))))

    private val framedStreamHead =
        ResponseStarted(
            streamHead.head.copy(headers = persistentListOf(Header("content-type", "text/event-stream"), Header("content-length", "0"))),
        )

    private fun event(number: Int) = "id: $number\ndata: {\"n\":$number}\n\n"

    private fun Assembly.takeAll(vararg events: CallEvent): Pair<Assembly, List<AssemblyEffect>> =
        events.fold(this to emptyList()) { (assembly, effects), event ->
            val step = assembly.take(event)
            step.assembly to effects + step.effects
        }

    private fun content(text: String) = ContentReceived(text.toByteArray())

    private fun streamed() = newAssembly(jsonResponseParser(ServiceKind.MODEL, wantsStream = true))

    @Test
    fun `the caller gets every event once and in order, however often a stream breaks, and only a whole stream is complete`() {
        val length = 30
        runBlocking {
            checkAll(Arb.long()) { seed ->
                val random = Random(seed)
                var assembly = streamed()
                val received = StringBuilder()
                var heads = 0
                var complete = 0
                var attempts = 0
                while (complete == 0 && attempts < 200) {
                    attempts += 1
                    assembly = assembly.nextAttempt()
                    val rest = ((assembly.delivered.toInt() + 1)..length).joinToString("") { event(it) } + "data: [DONE]\n\n"
                    val kept = if (random.nextInt(4) == 0) rest else rest.take(random.nextInt(rest.length))
                    val chunks = kept.chunked(random.nextInt(1, 40))
                    val last = if (random.nextBoolean()) CallCompleted else CallFailed(CallFailure.BROKEN, "x")
                    val (next, effects) = assembly.takeAll(streamHead, *chunks.map(::content).toTypedArray(), last)
                    assembly = next
                    effects.forEach { effect ->
                        when (effect) {
                            is SendContent -> received.append(effect.bytes.decodeToString())
                            is SendHead -> heads += 1
                            is EndStream -> complete += 1
                            else -> Unit
                        }
                    }
                    if (assembly.isDone && complete == 0) break
                }
                val numbers = Regex("\"n\":(\\d+)").findAll(received).map { it.groupValues[1].toInt() }.toList()
                expectThat(numbers).describedAs("seed $seed").isEqualTo((1..numbers.size).toList())
                expectThat(heads).isEqualTo(1)
                if (complete == 1) expectThat(numbers.size).isEqualTo(length)
            }
        }
    }

    private fun failure(vararg events: CallEvent): FailAttempt = streamed()
        .takeAll(*events)
        .second
        .filterIsInstance<FailAttempt>()
        .first()

    @Test
    fun `gaps, duplicates, invalid events and a missing end marker fail a stream`() {
        expectThat(failure(streamHead, content(event(1) + event(3))).kind).isEqualTo(AttemptFailureKind.WRONG)
        expectThat(failure(streamHead, content(event(1) + event(1))).kind).isEqualTo(AttemptFailureKind.WRONG)
        expectThat(failure(streamHead, content("data: {broken\n\n")).reason).contains("no JSON object")
        expectThat(failure(streamHead, content(event(1)), CallCompleted).kind).isEqualTo(AttemptFailureKind.BROKEN)
        expectThat(failure(streamHead, content("data: {}\n\n"), CallCompleted).mayRepeat).isFalse()
        expectThat(failure(ResponseStarted(ResponseHead(503))).kind).isEqualTo(AttemptFailureKind.REJECTED)
        expectThat(failure(ResponseStarted(ResponseHead(500))).mayRepeat).isTrue()
    }

    @Test
    fun `a chunk with very many comments does not occupy the thread`() {
        val comments = content(":\n\n".repeat(300_000))
        val step = assertTimeoutPreemptively(PARSING_TIME) { streamed().takeAll(streamHead, comments) }
        expectThat(step.second.count { it is SendContent }).isEqualTo(300_000)
    }

    @Test
    fun `a buffered response that is not JSON or is incomplete is not sent to the caller`() {
        val buffered = newAssembly(jsonResponseParser(ServiceKind.MODEL, wantsStream = false))
        val head = ResponseStarted(ResponseHead(200))
        expectThat(buffered.takeAll(head, content("{\"a\":1"), CallCompleted).second.last()).isA<FailAttempt>()
        expectThat(buffered.takeAll(head, content("{\"a\":1}"), CallFailed(CallFailure.BROKEN, "x")).second.last()).isA<FailAttempt>()
        expectThat(buffered.takeAll(head, content("{\"a\":"), content("1}"), CallCompleted).second.last()).isA<SendResponse>()
        expectThat(buffered.takeAll(ResponseStarted(ResponseHead(404)), content("no"), CallCompleted).second.last()).isA<SendResponse>()
    }

    /** A parser of numbered events without an end marker; only streams are told from other responses. */
    private val numberedEvents = ResponseParser(
        parseHead = { if (it.isEventStream) StreamHead else BufferedHead },
        parseEvent = { event, _, _ -> ContentEvent(event.id) },
        parseBody = { _, _ -> ValidBody() },
        hasEndMarker = false,
    )

    @Test
    fun `a head is sent with the first bytes of its stream, so that a response after an empty broken stream is sent whole`() {
        val broken = newAssembly(numberedEvents).nextAttempt().takeAll(streamHead, CallFailed(CallFailure.BROKEN, "x"))
        expectThat(broken.second.single()).isA<FailAttempt>().get { mayRepeat }.isTrue()
        val answered = broken.first
            .nextAttempt()
            .takeAll(ResponseStarted(ResponseHead(404)), content("no"), CallCompleted)
            .second
        expectThat(answered.last()).isA<SendResponse>().get { head.status }.isEqualTo(404)
        val (_, commented) = newAssembly(numberedEvents).nextAttempt().takeAll(streamHead, content(":\n\n"))
        expectThat(commented.map { it::class }).containsExactly(SendHead::class, SendContent::class)
        val (_, ended) = newAssembly(numberedEvents).nextAttempt().takeAll(framedStreamHead, CallCompleted)
        expectThat(ended.map { it::class }).containsExactly(SendHead::class, EndStream::class)
    }

    @Test
    fun `a response that is no stream is never sent after comments of a stream`() {
        val commented = newAssembly(numberedEvents).nextAttempt().takeAll(streamHead, content(":\n\n")).first
        listOf(200, 204, 302, 404, 429, 500).forEach { status ->
            val next = ResponseStarted(ResponseHead(status))
            val effects = commented.nextAttempt().takeAll(next, content("x"), CallCompleted).second
            expectThat(effects.first()).describedAs("$status").isA<FailAttempt>()
            expectThat(effects.filterIsInstance<SendResponse>()).isEmpty()
        }
    }

    @Test
    fun `a resumed stream whose first event has no ID fails, since its place in the stream is unknown`() {
        val broken = newAssembly(numberedEvents).nextAttempt().takeAll(streamHead, content(event(1))).first
        val resumed = broken.nextAttempt().takeAll(streamHead, content("data: 1\n\n" + event(2))).second
        expectThat(resumed.single()).isA<FailAttempt>()
    }

    @Test
    fun `a stream whose connection breaks after its end marker is complete`() {
        val end = content(event(1) + "data: [DONE]\n\n")
        val (_, effects) = streamed().nextAttempt().takeAll(streamHead, end, CallFailed(CallFailure.BROKEN, "x"))
        expectThat(effects.last()).isA<EndStream>()
    }

    @Test
    fun `token usage is found at any position`() {
        val text = """{"id":"x","usage":{"prompt_tokens":7,"completion_tokens":3,"prompt_tokens_details":{"cached_tokens":5}},"z":[1]}"""
        expectThat(inspectJson(text).usage).isEqualTo(Usage(7, 5, 3))
        expectThat(inspectJson("[1]").isObject).isFalse()
        expectThat(inspectJson("{} {}").isObject).isFalse()
    }

    @Test
    fun `prompts are parsed from messages and from plain prompts, and other bodies are rejected`() {
        val chat = """{"model":"m","stream":true,"max_tokens":9,"messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}]}"""
        val prompt = parsePrompt(chat.toByteArray()).getOrNull()!!
        expectThat(prompt.text.decodeToString()).isEqualTo("userhi")
        expectThat(prompt.isStreamed).isTrue()
        expectThat(prompt.maxAnswerTokens).isEqualTo(9)
        expectThat(parsePrompt("""{"prompt":"p"}""".toByteArray()).getOrNull()!!.text.decodeToString()).isEqualTo("p")
        listOf("", "[]", "{", "{\"prompt\":", "{\"model\":1}", "x").forEach {
            expectThat(parsePrompt(it.toByteArray()).isLeft()).describedAs(it).isTrue()
        }
    }
}

private val PARSING_TIME = 20.seconds.toJavaDuration()
