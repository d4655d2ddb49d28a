/**
 * The story that `bin/try` runs: what a first user would look at, told line by line, each line an expectation that held or
 * did not.
 */
package sniperoute.standin.trial

import kotlinx.collections.immutable.ImmutableList
import sniperoute.common.ExitStatus
import sniperoute.common.ListenAddress
import sniperoute.common.PEER_PORT_RANGE
import sniperoute.process.settings.ObjectReader
import sniperoute.standin.engine.codec.CountsPage
import sniperoute.standin.engine.codec.standinJson
import java.nio.file.Files
import java.nio.file.Path
import kotlin.system.exitProcess

/** Where the processes of the story are. */
internal class StorySettings(
    val routers: ImmutableList<ListenAddress>,
    val routerPages: ImmutableList<ListenAddress>,
    val engines: ImmutableList<ListenAddress>,
    val service: ListenAddress,
    val keyFile: Path,
)

internal fun ObjectReader.storySettings(): StorySettings = StorySettings(
    routers = objects("routers") { address() },
    routerPages = objects("routerPages") { address() },
    engines = objects("engines") { address() },
    service = requiredObjectOrNull("service") { address() } ?: ListenAddress("", 0),
    keyFile = Path.of(string("keyFile")),
)

private fun ObjectReader.address() = ListenAddress(string("host"), long("port", PEER_PORT_RANGE).toInt())

private const val PREFIX_BYTES = 40_000
private const val ANSWER_TOKENS = 20
private const val READY_POLLS = 300
private const val POLL_MILLISECONDS = 50L
private const val OK = 200
private const val UNAUTHORIZED = 401

/** Tells one chapter; the process ends with a failure when any expectation did not hold. */
internal class Story(private val settings: StorySettings) {
    private val caller = newCaller()
    private val key = Files.readString(settings.keyFile).trim()
    private var failures = 0

    fun tell(chapter: String) {
        when (chapter) {
            "first" -> first()
            "one-router" -> oneRouter()
            "restarted" -> restarted()
            "withdrawn" -> withdrawn()
            else -> error("there is no chapter $chapter")
        }
        if (failures > 0) exitProcess(ExitStatus.FAILURE)
    }

    private fun expect(what: String, held: Boolean, seen: Any?) {
        println("${if (held) "ok  " else "FAIL"} $what (saw: ${seen.toString().take(LONGEST_SHOWN)})")
        if (!held) failures += 1
    }

    private fun awaitReady(pages: List<ListenAddress>) {
        var ready = emptyList<Int>()
        repeat(READY_POLLS) {
            ready = pages.map { caller.get(it, "/ready", null).status }
            if (ready.all { it == OK }) return
            Thread.sleep(POLL_MILLISECONDS)
        }
        expect("the routers are ready", false, ready)
    }

    private fun first() {
        awaitReady(settings.routerPages)
        streams()
        prefixes()
        refusals()
        confirmations()
        expect("no endpoint saw a key", counts(settings.engines + settings.service).all { it.keysSeen == 0L }, "none")
    }

    private fun streams() = settings.routers.forEachIndexed { position, router ->
        val body = completionBody(listOf("hello from $position"), ANSWER_TOKENS, isStreamed = true)
        val answer = caller.post(router, "/v1/chat/completions", key, body)
        val events = Regex("^id: (\\d+)$", RegexOption.MULTILINE).findAll(answer.body).map { it.groupValues[1].toInt() }.toList()
        val isComplete = events == (1..ANSWER_TOKENS).toList() && answer.body.trimEnd().endsWith("[DONE]")
        expect("router ${position + 1} streams an answer whole and in order", answer.status == OK && isComplete, "${events.size} events")
    }

    private fun prefixes() {
        val before = counts(settings.engines)
        val handbook = textOf("handbook", PREFIX_BYTES)
        settings.routers.forEachIndexed { position, router ->
            val body = completionBody(listOf(handbook, "question $position"), ANSWER_TOKENS, isStreamed = false)
            caller.post(router, "/v1/chat/completions", key, body)
        }
        val after = counts(settings.engines)
        val served = after.zip(before) { now, then -> now.requests - then.requests }
        val cached = after.zip(before) { now, then -> now.cachedTokens - then.cachedTokens }
        val isSame = served.count { it > 0 } == 1
        expect("the same long prefix goes to the same engine from both routers", isSame, "requests per engine $served")
        expect("the second one is found in its cache", cached.sum() > 0, "cached tokens per engine $cached")
    }

    private fun refusals() {
        val body = completionBody(listOf("x"), 1, isStreamed = false)
        val without = caller.post(settings.routers.first(), "/v1/chat/completions", null, body)
        expect("a caller without a key is refused", without.status == UNAUTHORIZED && without.outcome == "not-run", without)
        val unknown = caller.post(settings.routers.first(), "/v1/chat/completions", "not a key", body)
        expect("a caller with an unknown key is refused", unknown.status == UNAUTHORIZED && unknown.outcome == "not-run", unknown)
        val open = caller.get(settings.routers.first(), "/opening-hours", null)
        expect("a route that is open to all needs no key", open.status == OK, open)
    }

    private fun confirmations() {
        val answers = settings.routers.map { caller.post(it, "/orders/confirm", key, "deposit 1", "deposit-1") }
        expect("a confirmation is answered by both routers alike", answers.all { it.status == OK && it.body == "{\"ran\":1}" }, answers)
        expect("it ran once", serviceCalls()["deposit 1"] == 1L, serviceCalls())
    }

    private fun serviceCalls(): Map<String, Long> = counts(listOf(settings.service)).single().calls

    private fun counts(addresses: List<ListenAddress>): List<CountsPage> = addresses.map {
        standinJson.decodeFromString(CountsPage.serializer(), caller.get(it, "/counts", null).body)
    }

    private fun oneRouter() {
        val router = settings.routers.last()
        val body = completionBody(listOf("still there"), ANSWER_TOKENS, isStreamed = false)
        val answer = awaitAnswer { caller.post(router, "/v1/chat/completions", key, body) }
        expect("the other router still serves", answer.status == OK, answer.status)
        val again = awaitAnswer { caller.post(router, "/orders/confirm", key, "deposit 1", "deposit-1") }
        expect("the confirmation is still answered from the record", again.body == "{\"ran\":1}", again)
        val fresh = awaitAnswer { caller.post(router, "/orders/confirm", key, "deposit 2", "deposit-2") }
        expect("a new confirmation runs", fresh.body == "{\"ran\":1}", fresh)
        expect("each ran once", serviceCalls().values.all { it == 1L }, serviceCalls())
    }

    private fun awaitAnswer(ask: () -> CallerAnswer): CallerAnswer {
        var answer = ask()
        repeat(READY_POLLS) {
            if (answer.status == OK) return answer
            Thread.sleep(POLL_MILLISECONDS)
            answer = ask()
        }
        return answer
    }

    private fun restarted() {
        awaitReady(settings.routerPages)
        val answers = settings.routers.map { caller.post(it, "/orders/confirm", key, "deposit 2", "deposit-2") }
        expect("after the restart both routers know what ran", answers.all { it.body == "{\"ran\":1}" }, answers)
        expect("each confirmation ran once to the end", serviceCalls().values.all { it == 1L }, serviceCalls())
    }

    private fun withdrawn() {
        val body = completionBody(listOf("x"), 1, isStreamed = false)
        val answers = settings.routers.map { caller.post(it, "/v1/chat/completions", key, body).status }
        expect("the withdrawn key is refused by both routers", answers.all { it == UNAUTHORIZED }, answers)
    }
}

private const val LONGEST_SHOWN = 200
