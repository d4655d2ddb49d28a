/**
 * How many endpoints a leader takes away to change their weights, and which, by the requests that routers report in flight.
 */
package sniperoute.programs

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import org.junit.jupiter.api.Test
import sniperoute.control.decision.FleetSettings
import sniperoute.control.decision.newControlDutyState
import sniperoute.control.message.*
import sniperoute.process.identity.FailureDomain
import sniperoute.version.codec.digest
import sniperoute.version.codec.emptyDeclarations
import sniperoute.version.decision.EndpointReport
import sniperoute.version.decision.LoadCommandOutcome
import sniperoute.version.decision.ReadEndpoint
import sniperoute.version.decision.SendLoadCommand
import sniperoute.version.message.*
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isIn
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.none
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val ENDPOINTS = 63
private const val SLOTS = 24
private val model = ModelName("m")
private val limit = 13.seconds
private val loadTime = 3.seconds
private val step = 50.milliseconds

/** Returns [running] requests, spread evenly over the endpoints of [staying]. */
private fun evenly(running: Int, staying: List<Int>): Map<Int, Int> =
    staying.withIndex().associate { (position, index) ->
        index to running / staying.size + if (position < running % staying.size) 1 else 0
    }

/**
 * A leader whose endpoints take [loadTime] to change their weights, while routers report the requests of [spread] at those that stay.
 */
private class LoadedService(private val spread: (staying: List<Int>) -> Map<Int, Int>) {
    private val driver = ControlDutyDriver().also {
        it.state = newControlDutyState(100, FleetSettings(readsPlatformList = true, weightsLimit = limit))
    }
    private var target = 1L
    private var named = driver.now
    private val weights = MutableList(ENDPOINTS) { 1L }
    private val loadedAt = HashMap<Int, Duration>()
    private var replies = emptyList<ControlInput>()

    /** The endpoints that were away at each step. */
    val away = mutableListOf<Int>()

    /** The endpoints in the order in which they got a command. */
    val commanded = mutableListOf<Int>()

    /** When the last endpoint had changed, counted from the naming of the weights. */
    var completed: Duration? = null

    init {
        val engine = EngineProfile(SLOTS, 1_000, 1, 1.0, persistentListOf(model))
        val service = Service(listedService, ServiceKind.MODEL, persistentListOf(), null, null, isListed = true, engine = engine)
        val declarations = emptyDeclarations().copy(services = persistentListOf(service))
        driver.submit(SubmitConfiguration(driver.now, 0, declarations.digest(), "o", declarations))
        nameWeights()
    }

    /** Names newer weights; their changes are counted anew. */
    fun nameWeights() {
        target += 1
        driver.submit(SetTargetWeights(driver.now, model, target, "o"))
        named = driver.now
        completed = null
        commanded.clear()
    }

    fun play(time: Duration): LoadedService {
        while (driver.now - named < time) {
            driver.now += step
            finishLoads()
            report()
            val due = replies
            replies = emptyList()
            (due + null).forEach { input -> driver.input(input).forEach(::perform) }
            val changing = driver.state.leaderState
                ?.fleet
                ?.endpoints
                ?.values
                ?.count { it.isChanging } ?: 0
            away += changing
            if (completed == null && weights.all { it == target }) completed = driver.now - named
        }
        return this
    }

    private fun finishLoads() {
        val now = driver.now - named
        loadedAt.filterValues { it <= now }.keys.toList().forEach { index ->
            weights[index] = target
            loadedAt.remove(index)
        }
    }

    private fun report() {
        val work = spread(weights.indices.filter { it !in loadedAt })
            .filterValues { it > 0 }
            .map { (index, running) -> EndpointWorkload(EndpointName("e$index"), running, 0) }
        driver.session(WorkloadReport(work.toPersistentList(), persistentListOf(), isComplete = true))
    }

    private fun perform(effect: ControlEffect) {
        when (effect) {
            is ReadPlatformList -> replies = replies + PlatformListRead(list())
            is PerformLoadEffect -> {
                val name = effect.load.listed.endpoint.name
                val index = name.text.drop(1).toInt()
                replies = replies + when (val load = effect.load) {
                    is ReadEndpoint -> EndpointReportRead(name, EndpointReport("1", served(index), weights[index] - 1, index in loadedAt))
                    is SendLoadCommand -> {
                        commanded += index
                        loadedAt[index] = driver.now - named + loadTime
                        LoadCommandEnded(name, load.number, LoadCommandOutcome.TAKEN)
                    }
                }
            }
            else -> Unit
        }
    }

    private fun served(index: Int) = persistentMapOf(model to weights[index])

    private fun list() = List(ENDPOINTS) {
        val endpoint = Endpoint(EndpointName("e$it"), "h", it + 1, FailureDomain("d"), SLOTS, true)
        ListedEndpoint(endpoint, listedService, "1", "v1", isLeaving = false, weights = served(it))
    }.toPersistentList()
}

class WeightChangesUnderLoadTest {
    /** Guards against endpoints that change their weights while the others have no free slots for the callers. */
    @Test
    fun `a service that needs its slots keeps two thirds of them while its weights change, and changes in time`() {
        listOf(500, 1_000, 1_500).forEach { running ->
            val service = LoadedService { evenly(running, it) }.play(limit)
            println("$running requests in flight: at most ${service.away.max()} of $ENDPOINTS away, all changed after ${service.completed}")
            expectThat(service.away).describedAs("$running in flight").all { isLessThanOrEqualTo(ENDPOINTS / 3) }
            expectThat(service.completed ?: Duration.INFINITE).isLessThanOrEqualTo(limit)
        }
    }

    @Test
    fun `a service with little load changes its weights at half of its endpoints at once`() {
        val service = LoadedService { evenly(60, it) }.play(limit)
        expectThat(service.away.max()).isGreaterThanOrEqualTo(ENDPOINTS / 2)
        expectThat(service.completed ?: Duration.INFINITE).isLessThanOrEqualTo(limit * 0.75)
    }

    /** Guards against commands to endpoints with long queues, whose waiting requests are rejected when the command arrives. */
    @Test
    fun `the endpoints with the fewest requests in flight change their weights first`() {
        val busy = 0 until ENDPOINTS / 3
        val service = LoadedService { staying -> staying.associateWith { if (it in busy) 2 * SLOTS else 1 } }.play(limit + loadTime)
        service.nameWeights()
        service.play(limit)
        expectThat(service.commanded.take(ENDPOINTS / 3)).none { isIn(busy) }
        expectThat(service.completed ?: Duration.INFINITE).isLessThanOrEqualTo(limit)
    }
}
