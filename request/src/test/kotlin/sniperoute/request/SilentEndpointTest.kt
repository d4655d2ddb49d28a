/**
 * Requests whose endpoint falls silent for a while and goes on, through real connections to the caller and to the endpoint.
 */
package sniperoute.request

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import sniperoute.connection.endpoint.endpointClient
import sniperoute.connection.http.*
import sniperoute.process.clock.Timestamp
import sniperoute.process.clock.systemClock
import sniperoute.process.identity.FailureDomain
import sniperoute.process.identity.VmName
import sniperoute.process.identity.newIncarnation
import sniperoute.process.memory.byteBudget
import sniperoute.request.admission.decision.ServingView
import sniperoute.request.ledger.message.LedgerOwner
import sniperoute.request.routing.decision.*
import sniperoute.request.routing.message.*
import sniperoute.request.run.RequestContext
import sniperoute.request.run.RequestRun
import sniperoute.request.run.RequestRunDependencies
import sniperoute.request.run.codec.jsonResponseParser
import sniperoute.request.run.codec.nativeProtocol
import sniperoute.request.run.requestRun
import sniperoute.version.decision.advance
import sniperoute.version.decision.emptyCatalogue
import sniperoute.version.message.*
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds

private const val GAP_MILLISECONDS = 200L
private const val SILENCE_MILLISECONDS = 1_000L
private const val TRICKLED_PARTS = 20
private const val WHOLE_STREAM = "id: 1\ndata: {\"n\":1}\n\nid: 2\ndata: {\"n\":2}\n\ndata: [DONE]\n\n"

class SilentEndpointTest {
    private val threads = startHttpThreads(2)
    private val clock = systemClock()
    private val calls = AtomicInteger()

    @AfterEach
    fun close() = threads.close()

    /**
     * Starts an endpoint that sends one event and falls silent, or sends bytes that complete no event if there is [trickle]; it goes on
     * with the next one if [recovers].
     */
    private fun endpoint(recovers: Boolean, trickle: String = ""): Endpoint {
        val server = threads.serve("127.0.0.1", 0) { exchange ->
            val number = calls.incrementAndGet()
            val resumesAfter = exchange.head.headers.valueOrNull("last-event-id")
            val headers = persistentListOf(
                Header("content-type", "text/event-stream"),
                Header(
                    "x-request-id",
                    exchange.head.headers
                        .valueOrNull("x-request-id")
                        .orEmpty(),
                ),
            )
            exchange.startResponse(ResponseHead(200, headers))
            if (resumesAfter == null) exchange.send("id: 1\ndata: {\"n\":1}\n\n".toByteArray())
            val isSilent = number == 1
            thread(isDaemon = true) {
                if (isSilent) {
                    repeat(TRICKLED_PARTS) {
                        Thread.sleep(SILENCE_MILLISECONDS / TRICKLED_PARTS)
                        if (trickle.isNotEmpty()) exchange.send(trickle.toByteArray())
                    }
                }
                if (!isSilent || recovers) {
                    exchange.send("id: 2\ndata: {\"n\":2}\n\ndata: [DONE]\n\n".toByteArray())
                    exchange.end()
                }
            }
        }
        return Endpoint(EndpointName("e${server.port}"), "127.0.0.1", server.port, FailureDomain("d"), 4, false)
    }

    /** A router with real connections whose routing runs on the caller's thread. */
    private inner class Router(endpoints: List<Endpoint>, private val route: Route, retries: RetryAllowance) {
        private val runs = ConcurrentHashMap<RequestId, RequestRun>()
        private val lock = Any()
        private var state = newRoutingState(clock(), RoutingSettings(retries))
        private val dependencies = RequestRunDependencies(
            sendToRouting = { input -> true.also { route(input) } },
            call = endpointClient(threads, clock)::call,
            requestLedger = { _, _, _ -> },
            record = { _, _, _ -> },
            clock = clock,
            ended = { run, _, _ -> runs.remove(run.admitted.id) },
            bufferedBytes = byteBudget(Long.MAX_VALUE),
        )
        private val callers = threads.serve("127.0.0.1", 0, handle = ::receive)

        init {
            val items = listOf(
                WorkspaceItem(Workspace(WorkspaceName("a"), 0, 0)),
                KeyItem(DeclaredKey(KeyDigest("ka"), WorkspaceName("a"))),
                ServiceItem(Service(route.service, ServiceKind.PLAIN, endpoints.toPersistentList(), null, null)),
                RouteItem(route),
            )
            val changes = items.map { ItemChange(1, it.name, it) }.toPersistentList()
            route(ViewChanged(ServingView(emptyCatalogue().advance(RenewReply(1, 1, 1, 1, true, changes)), clock() + 1.hours)))
        }

        private fun route(input: RoutingInput) {
            val effects = synchronized(lock) {
                val step = state.step(earliestFirstToken(DEFAULT_RECOMPUTE_WEIGHT), clock(), input)
                state = step.state
                step.effects
            }
            effects.forEach { effect ->
                val id = when (effect) {
                    is Dispatch -> effect.id
                    is Refuse -> effect.id
                    is GiveUp -> effect.id
                    is KeepAttempt -> effect.id
                    else -> null
                }
                runs[id]?.let { run -> thread(isDaemon = true) { run.onThread { run.perform(effect) } } }
            }
        }

        private fun receive(exchange: Exchange) {
            val now: Timestamp = clock()
            val request = admitted("r1", route = route, at = now)
            val context = RequestContext(
                responseParser = jsonResponseParser(ServiceKind.PLAIN, wantsStream = true),
                protocol = nativeProtocol(),
                wantsStream = true,
                cacheSalt = 0,
                ledgerKey = null,
                owner = LedgerOwner(VmName("vm"), newIncarnation(), "r1"),
                configuration = 1,
                answerDeadline = now + 10.seconds,
            )
            val run = requestRun(request, context, exchange, dependencies)
            runs[request.id] = run
            run.begin()
        }

        /** Sends a request and returns the events of the response up to the end of the connection. */
        fun request(): String = Socket("127.0.0.1", callers.port).use { socket ->
            socket.soTimeout = 15_000
            socket.getOutputStream().write("GET /v1 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n".toByteArray())
            val text = socket.getInputStream().readAllBytes().decodeToString()
            Regex("\r\n[0-9a-f]+\r\n(.*?)(?=\r\n)", RegexOption.DOT_MATCHES_ALL)
                .findAll(text.substringAfter("\r\n\r\n", "").let { "\r\n$it" })
                .joinToString("") { it.groupValues[1] }
        }
    }

    private val plenty = RetryAllowance(ratio = 2.0, extra = 20.0)
    private val stream = Route(
        name = RouteName("stream"),
        path = "/v1",
        service = ServiceName("model"),
        requestClass = RequestClass.DRAFTING,
        deadlineMilliseconds = 10_000,
        gapMilliseconds = GAP_MILLISECONDS,
        repetition = Repetition.REPEATABLE,
        isOpen = false,
    )

    @Test
    fun `a stream is not cut by its endpoint's silence when its route allows no other attempt`() {
        val router = Router(listOf(endpoint(recovers = true), endpoint(recovers = true)), stream.copy(mostEndpoints = 1), plenty)
        expectThat(router.request()).isEqualTo(WHOLE_STREAM)
        expectThat(calls.get()).isEqualTo(1)
    }

    @Test
    fun `a stream is not cut by its endpoint's silence when the retry budget is spent`() {
        val router = Router(listOf(endpoint(recovers = true), endpoint(recovers = true)), stream, RetryAllowance(ratio = 0.0, extra = 0.0))
        expectThat(router.request()).isEqualTo(WHOLE_STREAM)
    }

    @Test
    fun `a stream is not cut by its endpoint's silence when no other endpoint can take it`() {
        expectThat(Router(listOf(endpoint(recovers = true)), stream, plenty).request()).isEqualTo(WHOLE_STREAM)
    }

    @Test
    fun `a stream that cannot be repeated is not cut by its endpoint's silence`() {
        val router = Router(listOf(endpoint(recovers = true)), stream.copy(repetition = Repetition.ONCE_ONLY), plenty)
        expectThat(router.request()).isEqualTo(WHOLE_STREAM)
    }

    @Test
    fun `a stream goes on at another endpoint after silence`() {
        val router = Router(listOf(endpoint(recovers = false), endpoint(recovers = false)), stream, plenty)
        expectThat(router.request()).isEqualTo(WHOLE_STREAM)
        expectThat(calls.get()).isEqualTo(2)
    }

    @Test
    fun `a stream whose endpoint sends bytes but no event goes on at another endpoint`() {
        listOf(":", ": waiting\n", "x").forEach { trickle ->
            calls.set(0)
            val router = Router(listOf(endpoint(false, trickle), endpoint(false, trickle)), stream, plenty)
            val events = router.request().lines().filter { !it.startsWith(":") }
            expectThat(events.filter { it.isNotEmpty() }).describedAs(trickle).isEqualTo(WHOLE_STREAM.lines().filter { it.isNotEmpty() })
            expectThat(calls.get()).describedAs(trickle).isEqualTo(2)
        }
    }
}
