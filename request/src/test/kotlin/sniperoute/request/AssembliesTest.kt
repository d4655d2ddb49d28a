/**
 * Answers assembled from broken, late and crossed attempts.
 */
package sniperoute.request

import io.kotest.property.Arb
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import sniperoute.connection.endpoint.message.*
import sniperoute.connection.http.Header
import sniperoute.connection.http.ResponseHead
import sniperoute.request.prefix.codec.parsePrompt
import sniperoute.request.routing.message.Reach
import sniperoute.request.run.codec.inspectJson
import sniperoute.request.run.codec.jsonAnswerRules
import sniperoute.request.run.decision.*
import sniperoute.request.run.message.Usage
import sniperoute.version.message.ServiceKind
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.random.Random

class AssembliesTest {
    private val streamHead = ResponseStarted(ResponseHead(200, persistentListOf(Header("content-type", "text/event-stream"))))

    private fun event(number: Int) = "id: $number\ndata: {\"n\":$number}\n\n"

    private fun Assembly.play(vararg events: CallEvent): Pair<Assembly, List<AssemblyEffect>> =
        events.fold(this to emptyList()) { (assembly, effects), event ->
            val step = assembly.take(event)
            step.assembly to effects + step.effects
        }

    private fun content(text: String) = ContentReceived(text.toByteArray())

    private fun streamed() = newAssembly(jsonAnswerRules(ServiceKind.MODEL, wantsStream = true))

    @Test
    fun `however often a stream breaks, the caller gets every event once and in order, and only a whole one is complete`() {
        val length = 30
        runBlocking {
            checkAll(Arb.long()) { seed ->
                val random = Random(seed)
                var assembly = streamed()
                val passed = StringBuilder()
                var begun = 0
                var complete = 0
                var attempts = 0
                while (complete == 0 && attempts < 200) {
                    attempts += 1
                    assembly = assembly.nextAttempt()
                    val rest = ((assembly.delivered.toInt() + 1)..length).joinToString("") { event(it) } + "data: [DONE]\n\n"
                    val kept = if (random.nextInt(4) == 0) rest else rest.take(random.nextInt(rest.length))
                    val pieces = kept.chunked(random.nextInt(1, 40))
                    val last = if (random.nextBoolean()) CallCompleted else CallFailed(CallFailure.BROKEN, "x")
                    val (next, effects) = assembly.play(streamHead, *pieces.map(::content).toTypedArray(), last)
                    assembly = next
                    effects.forEach { effect ->
                        when (effect) {
                            is PassOn -> passed.append(effect.bytes.decodeToString())
                            is BeginAnswer -> begun += 1
                            is CompleteStream -> complete += 1
                            else -> Unit
                        }
                    }
                    if (assembly.isDone && complete == 0) break
                }
                val numbers = Regex("\"n\":(\\d+)").findAll(passed).map { it.groupValues[1].toInt() }.toList()
                expectThat(numbers).describedAs("seed $seed").isEqualTo((1..numbers.size).toList())
                expectThat(begun).isEqualTo(1)
                if (complete == 1) expectThat(numbers.size).isEqualTo(length)
            }
        }
    }

    private fun failure(vararg events: CallEvent): FailAttempt = streamed()
        .play(*events)
        .second
        .filterIsInstance<FailAttempt>()
        .first()

    @Test
    fun `gaps, repeats, broken events and a missing end are no stream`() {
        expectThat(failure(streamHead, content(event(1) + event(3))).reach).isEqualTo(Reach.WRONG)
        expectThat(failure(streamHead, content(event(1) + event(1))).reach).isEqualTo(Reach.WRONG)
        expectThat(failure(streamHead, content("data: {broken\n\n")).reason).contains("no JSON object")
        expectThat(failure(streamHead, content(event(1)), CallCompleted).reach).isEqualTo(Reach.BROKEN)
        expectThat(failure(streamHead, content("data: {}\n\n"), CallCompleted).mayRepeat).isFalse()
        expectThat(failure(ResponseStarted(ResponseHead(503))).reach).isEqualTo(Reach.REJECTED)
        expectThat(failure(ResponseStarted(ResponseHead(500))).mayRepeat).isTrue()
    }

    @Test
    fun `a whole answer that is not JSON, or ends early, is not passed on`() {
        val whole = newAssembly(jsonAnswerRules(ServiceKind.MODEL, wantsStream = false))
        val head = ResponseStarted(ResponseHead(200))
        expectThat(whole.play(head, content("{\"a\":1"), CallCompleted).second.last()).isA<FailAttempt>()
        expectThat(whole.play(head, content("{\"a\":1}"), CallFailed(CallFailure.BROKEN, "x")).second.last()).isA<FailAttempt>()
        expectThat(whole.play(head, content("{\"a\":"), content("1}"), CallCompleted).second.last()).isA<CompleteWhole>()
        expectThat(whole.play(ResponseStarted(ResponseHead(404)), content("no"), CallCompleted).second.last()).isA<CompleteWhole>()
    }

    @Test
    fun `usage is found wherever it stands`() {
        val text = """{"id":"x","usage":{"prompt_tokens":7,"completion_tokens":3,"prompt_tokens_details":{"cached_tokens":5}},"z":[1]}"""
        expectThat(inspectJson(text).usage).isEqualTo(Usage(7, 5, 3))
        expectThat(inspectJson("[1]").isObject).isFalse()
        expectThat(inspectJson("{} {}").isObject).isFalse()
    }

    @Test
    fun `prompts are read from messages and from plain prompts, and nothing else passes for one`() {
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
