/**
 * The demonstration that `bin/try` runs: steps that exercise the features a new user tries first. Each step prints one line for
 * each of its expectations, which says whether it held.
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

/** The addresses of the demonstration's processes, and the file with the caller's key. */
internal class DemonstrationSettings(
    val routers: ImmutableList<ListenAddress>,
    val routerPages: ImmutableList<ListenAddress>,
    val engines: ImmutableList<ListenAddress>,
    val service: ListenAddress,
    val keyFile: Path,
)

internal fun ObjectReader.demonstrationSettings(): DemonstrationSettings = DemonstrationSettings(
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

/** The steps of the demonstration. */
internal class Demonstration(private val settings: DemonstrationSettings) {
    private val caller = newCaller()
    private val key = Files.readString(settings.keyFile).trim()
    private var failures = 0

    /** Runs the step named [step]; ends the process with a failure status if an expectation does not hold. */
    fun runStep(step: String) {
        when (step) {
            "first" -> demonstrateServing()
            "one-router" -> demonstrateLossOfRouter()
            "restarted" -> demonstrateRestart()
            "withdrawn" -> demonstrateWithdrawal()
            else -> error("there is no step $step")
        }
        if (failures > 0) exitProcess(ExitStatus.FAILURE)
    }

    private fun expect(expectation: String, holds: Boolean, observed: Any?) {
        println("${if (holds) "ok  " else "FAIL"} $expectation (observed: ${observed.toString().take(MAX_SHOWN_CHARACTERS)})")
        if (!holds) failures += 1
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

    private fun demonstrateServing() {
        awaitReady(settings.routerPages)
        checkStreams()
        checkPrefixes()
        checkRefusals()
        checkConfirmations()
        expect("no endpoint received a caller's key", counts(settings.engines + settings.service).all { it.keysSeen == 0L }, "none")
    }

    private fun checkStreams() = settings.routers.forEachIndexed { position, router ->
        val body = completionBody(listOf("hello from $position"), ANSWER_TOKENS, isStreamed = true)
        val response = caller.post(router, "/v1/chat/completions", key, body)
        val events = Regex("^id: (\\d+)$", RegexOption.MULTILINE).findAll(response.body).map { it.groupValues[1].toInt() }.toList()
        val isComplete = events == (1..ANSWER_TOKENS).toList() && response.body.trimEnd().endsWith("[DONE]")
        expect("router ${position + 1} streams a complete answer in order", response.status == OK && isComplete, "${events.size} events")
    }

    private fun checkPrefixes() {
        val before = counts(settings.engines)
        val handbook = fillerText("handbook", PREFIX_BYTES)
        settings.routers.forEachIndexed { position, router ->
            val body = completionBody(listOf(handbook, "question $position"), ANSWER_TOKENS, isStreamed = false)
            caller.post(router, "/v1/chat/completions", key, body)
        }
        val after = counts(settings.engines)
        val requests = after.zip(before) { now, then -> now.requests - then.requests }
        val cached = after.zip(before) { now, then -> now.cachedTokens - then.cachedTokens }
        val isOneEngine = requests.count { it > 0 } == 1
        expect("the same long prefix goes to the same engine from both routers", isOneEngine, "requests per engine $requests")
        expect("the second request finds the prefix in that engine's cache", cached.sum() > 0, "cached tokens per engine $cached")
    }

    private fun checkRefusals() {
        val body = completionBody(listOf("x"), 1, isStreamed = false)
        val withoutKey = caller.post(settings.routers.first(), "/v1/chat/completions", null, body)
        expect("a caller without a key is refused", withoutKey.status == UNAUTHORIZED && withoutKey.outcome == "not-run", withoutKey)
        val unknownKey = caller.post(settings.routers.first(), "/v1/chat/completions", "not a key", body)
        expect("a caller with an unknown key is refused", unknownKey.status == UNAUTHORIZED && unknownKey.outcome == "not-run", unknownKey)
        val publicPage = caller.get(settings.routers.first(), "/opening-hours", null)
        expect("a public route needs no key", publicPage.status == OK, publicPage)
    }

    private fun checkConfirmations() {
        val responses = settings.routers.map { caller.post(it, "/orders/confirm", key, "deposit 1", "deposit-1") }
        val isSame = responses.all { it.status == OK && it.body == "{\"ran\":1}" }
        expect("both routers give the same answer to a confirmation", isSame, responses)
        expect("the confirmation ran once", serviceCalls()["deposit 1"] == 1L, serviceCalls())
    }

    private fun serviceCalls(): Map<String, Long> = counts(listOf(settings.service)).single().calls

    private fun counts(addresses: List<ListenAddress>): List<CountsPage> = addresses.map {
        standinJson.decodeFromString(CountsPage.serializer(), caller.get(it, "/counts", null).body)
    }

    private fun demonstrateLossOfRouter() {
        val router = settings.routers.last()
        val body = completionBody(listOf("still there"), ANSWER_TOKENS, isStreamed = false)
        val response = awaitResponse { caller.post(router, "/v1/chat/completions", key, body) }
        expect("the other router still serves", response.status == OK, response.status)
        val repeated = awaitResponse { caller.post(router, "/orders/confirm", key, "deposit 1", "deposit-1") }
        expect("the confirmation is still answered from the ledger", repeated.body == "{\"ran\":1}", repeated)
        val first = awaitResponse { caller.post(router, "/orders/confirm", key, "deposit 2", "deposit-2") }
        expect("a new confirmation runs", first.body == "{\"ran\":1}", first)
        expect("each confirmation ran once", serviceCalls().values.all { it == 1L }, serviceCalls())
    }

    private fun awaitResponse(call: () -> CallerResponse): CallerResponse {
        var response = call()
        repeat(READY_POLLS) {
            if (response.status == OK) return response
            Thread.sleep(POLL_MILLISECONDS)
            response = call()
        }
        return response
    }

    private fun demonstrateRestart() {
        awaitReady(settings.routerPages)
        val responses = settings.routers.map { caller.post(it, "/orders/confirm", key, "deposit 2", "deposit-2") }
        expect("after the restart both routers answer from the ledger", responses.all { it.body == "{\"ran\":1}" }, responses)
        expect("each confirmation still ran only once", serviceCalls().values.all { it == 1L }, serviceCalls())
    }

    private fun demonstrateWithdrawal() {
        val body = completionBody(listOf("x"), 1, isStreamed = false)
        val responses = settings.routers.map { caller.post(it, "/v1/chat/completions", key, body).status }
        expect("the withdrawn key is refused by both routers", responses.all { it == UNAUTHORIZED }, responses)
    }
}

private const val MAX_SHOWN_CHARACTERS = 200
