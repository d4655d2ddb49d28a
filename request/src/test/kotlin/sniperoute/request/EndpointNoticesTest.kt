/**
 * Endpoints that say in a response that they leave, or that they want no request for some time: no further request is sent to them, and
 * callers are refused at once when no other endpoint is left.
 */
package sniperoute.request

import org.junit.jupiter.api.Test
import sniperoute.request.admission.decision.Outcome
import sniperoute.request.admission.decision.RefusalKind
import sniperoute.request.routing.message.*
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class EndpointNoticesTest {
    private val leaving = ResponseLoadReport(isLeaving = true)

    private fun paused(pause: Duration) = ResponseLoadReport(pause = pause)

    private fun ListedDriver.head(id: String, load: ResponseLoadReport) = input(ResponseHeadReceived(RequestId(id), load))

    private fun ListedDriver.complete(id: String) =
        input(AttemptEnded(RequestId(id), AttemptCompleted(null, null, null, isFault = false)))

    /** Sends the request [id] to an endpoint that reports [load] and rejects it, and returns that endpoint's name. */
    private fun ListedDriver.reject(id: String, load: ResponseLoadReport): String {
        val sent = checkNotNull(send(id)) { "$id was not sent" }
        head(id, load)
        end(id, AttemptFailureKind.REJECTED)
        input(RequestCancelled(RequestId(id)))
        return sent.endpoint.name.text
    }

    private fun ListedDriver.endpointsOf(numbers: IntRange): Set<String> = numbers
        .mapNotNull { number -> send("n$number", session = number.toLong()).also { complete("n$number") } }
        .map { it.endpoint.name.text }
        .toSet()

    @Test
    fun `an endpoint that says that it leaves gets no further request until it has started again`() {
        val router = ListedDriver()
        router.input(fleet(1, fleetEndpoint("a"), fleetEndpoint("b")))
        val left = checkNotNull(router.send("1")).endpoint.name.text
        router.head("1", leaving)
        router.complete("1")
        val other = setOf("a", "b") - left
        expectThat(router.endpointsOf(1..20)).isEqualTo(other)
        router.input(fleet(2, fleetEndpoint("a"), fleetEndpoint("b")))
        router.now += 1.minutes
        expectThat(router.endpointsOf(21..40)).isEqualTo(other)
        router.input(fleet(3, fleetEndpoint(left, incarnation = "2"), fleetEndpoint(other.single())))
        router.now += 5.seconds
        expectThat(router.endpointsOf(41..80)).isEqualTo(setOf("a", "b"))
    }

    @Test
    fun `what an endpoint said before it started again does not bind its next incarnation`() {
        val router = ListedDriver()
        router.input(fleet(1, fleetEndpoint("a")))
        router.send("1")
        router.input(fleet(2, fleetEndpoint("a", incarnation = "2")))
        router.head("1", leaving)
        router.head("1", paused(10.seconds))
        router.now += 5.seconds
        expectThat(router.send("2")).isNotNull()
    }

    @Test
    fun `an endpoint gets no request during the pause that it asked for, whatever other failures end meanwhile`() {
        val random = Random(27)
        repeat(200) {
            val pause = random.nextInt(500, 20_000).milliseconds
            val router = ListedDriver()
            router.input(fleet(1, fleetEndpoint("a"), fleetEndpoint("b")))
            val name = router.reject("1", paused(pause))
            val end = router.now + pause
            router.head("1", paused(1.milliseconds))
            var number = 2
            while (router.now < end) {
                val id = "${number++}"
                val sent = router.send(id, session = random.nextLong())
                expectThat(sent?.endpoint?.name?.text).isNotEqualTo(name)
                if (sent != null) {
                    if (random.nextInt(3) == 0) {
                        router.end(id, AttemptFailureKind.BROKEN)
                    } else {
                        router.complete(id)
                    }
                }
                router.wait(random.nextInt(1, 400))
            }
        }
    }

    @Test
    fun `when all endpoints ask for a pause, callers are refused at once as not run and return spread over a time after it`() {
        val router = ListedDriver()
        router.input(fleet(1, fleetEndpoint("a"), fleetEndpoint("b")))
        router.reject("1", paused(4.seconds))
        router.reject("2", paused(4.seconds))
        val refusals = (1..200).map { router.input(RequestAdmitted(listedRequest("r$it", router.now).copy(hash = it * 7_919L))).single() }
        val times = refusals.map { (it as Refuse).refusal.retryAfter!! }
        expectThat(
            refusals.map { (it as Refuse).refusal },
        ).all { get { kind to outcome }.isEqualTo(RefusalKind.OVERLOADED to Outcome.NOT_RUN) }
        expectThat(times.min()).isGreaterThanOrEqualTo(4.seconds)
        expectThat(times.max()).isLessThanOrEqualTo(5.seconds)
        expectThat(times.groupBy { it.inWholeMilliseconds / 100 }.values.maxOf { it.size }).isLessThanOrEqualTo(40)
        router.now += 4.seconds
        expectThat(router.send("after")).isNotNull()
    }

    @Test
    fun `a request that waits is refused as soon as the last endpoint asks for a pause, and one that may have run is given up`() {
        val router = ListedDriver()
        router.input(fleet(1, fleetEndpoint("a")))
        router.send("1")
        router.head("1", paused(4.seconds))
        expectThat(router.end("1", AttemptFailureKind.REJECTED)).isEmpty()
        expectThat(router.wait(50).filterIsInstance<GiveUp>()).isEqualTo(listOf(GiveUp(RequestId("1"), "all endpoints asked for a pause")))
    }

    @Test
    fun `an absurdly long pause ends after minutes`() {
        val router = ListedDriver()
        router.input(fleet(1, fleetEndpoint("a")))
        router.reject("1", paused(30.days))
        router.now += 4.minutes
        expectThat(router.send("2")).isNull()
        router.now += 1.minutes
        expectThat(router.send("3")).isNotNull()
    }

    @Test
    fun `an endpoint that leaves, asks for a pause and starts again under its address serves at once`() {
        val router = ListedDriver()
        router.input(fleet(1, fleetEndpoint("a")))
        router.reject("1", ResponseLoadReport(isLeaving = true, pause = 20.seconds))
        expectThat(router.send("2")).isNull()
        router.input(RequestCancelled(RequestId("2")))
        router.input(fleet(2, fleetEndpoint("a", incarnation = "2")))
        router.now += 1.seconds
        expectThat(router.send("3")).isNotNull()
    }
}
