/**
 * How many endpoints a leader takes away to change their weights, by the requests that routers report in flight.
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
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val ENDPOINTS = 63
private const val SLOTS = 24
private val model = ModelName("m")
private val limit = 13.seconds
private val loadTime = 3.seconds
private val step = 50.milliseconds

/** A leader whose endpoints take [loadTime] to change their weights, while routers report [running] requests at those that stay. */
private class LoadedService(private val running: Int) {
    private val driver = ControlDutyDriver().also {
        it.state = newControlDutyState(100, FleetSettings(readsPlatformList = true, weightsLimit = limit))
    }
    private val named = driver.now
    private val weights = MutableList(ENDPOINTS) { 1L }
    private val loadedAt = HashMap<Int, Duration>()
    private var replies = emptyList<ControlInput>()

    /** The endpoints that were away at each step. */
    val away = mutableListOf<Int>()

    /** When the last endpoint had changed, counted from the naming of the weights. */
    var completed: Duration? = null

    init {
        val engine = EngineProfile(SLOTS, 1_000, 1, 1.0, persistentListOf(model))
        val service = Service(listedService, ServiceKind.MODEL, persistentListOf(), null, null, isListed = true, engine = engine)
        val declarations = emptyDeclarations().copy(services = persistentListOf(service))
        driver.submit(SubmitConfiguration(driver.now, 0, declarations.digest(), "o", declarations))
        driver.submit(SetTargetWeights(driver.now, model, 2, "o"))
    }

    fun play(time: Duration): LoadedService {
        while (driver.now - named < time) {
            driver.now += step
            finishLoads()
            report()
            val due = replies
            replies = emptyList()
            (due + null).forEach { input -> driver.input(input).forEach(::perform) }
            val changing = driver.state.leaderState?.fleet?.endpoints?.values?.count { it.isChanging } ?: 0
            away += changing
            if (completed == null && weights.all { it == 2L }) completed = driver.now - named
        }
        return this
    }

    private fun finishLoads() {
        val now = driver.now - named
        loadedAt.filterValues { it <= now }.keys.toList().forEach { index ->
            weights[index] = 2
            loadedAt.remove(index)
        }
    }

    private fun report() {
        val staying = weights.indices.filter { it !in loadedAt }
        val work = staying.mapIndexed { position, index ->
            val share = running / staying.size + if (position < running % staying.size) 1 else 0
            EndpointWorkload(EndpointName("e$index"), share, 0)
        }
        driver.session(WorkloadReport(work.filter { it.running > 0 }.toPersistentList(), persistentListOf(), isComplete = true))
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
            val service = LoadedService(running).play(limit)
            println("$running requests in flight: at most ${service.away.max()} of $ENDPOINTS away, all changed after ${service.completed}")
            expectThat(service.away).describedAs("$running in flight").all { isLessThanOrEqualTo(ENDPOINTS / 3) }
            expectThat(service.completed ?: Duration.INFINITE).isLessThanOrEqualTo(limit)
        }
    }

    @Test
    fun `a service with little load changes its weights at half of its endpoints at once`() {
        val service = LoadedService(60).play(limit)
        expectThat(service.away.max()).isGreaterThanOrEqualTo(ENDPOINTS / 2)
        expectThat(service.completed ?: Duration.INFINITE).isLessThanOrEqualTo(limit * 0.75)
    }
}
