/**
 * `sniperoute-standin`: a stand-in for an external system, for demonstrations and tests of the router: an engine, a plain service,
 * or the platform's list of VMs.
 */
package sniperoute.standin

import sniperoute.common.ListenAddress
import sniperoute.common.NAME_PATTERN
import sniperoute.common.haltOnDutyFailure
import sniperoute.common.listenAddress
import sniperoute.common.runUntilShutdown
import sniperoute.common.serverSettings
import sniperoute.connection.http.HandleExchange
import sniperoute.connection.http.serve
import sniperoute.connection.http.startHttpThreads
import sniperoute.process.clock.systemClock
import sniperoute.process.settings.ObjectReader
import sniperoute.process.timeline.message.EventKind
import sniperoute.process.timeline.startEventRecorder
import sniperoute.standin.engine.decision.StandinEngineProfile
import sniperoute.standin.engine.startEngineServer
import sniperoute.version.message.WeightsVersion
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

private enum class StandinKind(val text: String) {
    ENGINE("engine"),
    SERVICE("service"),
    PLATFORM("platform"),
}

private class StandinSettings(
    val kind: StandinKind,
    val listen: ListenAddress,
    val weights: WeightsVersion,
    val profile: StandinEngineProfile,
    val callMilliseconds: Long,
)

private val COUNT_RANGE = 1L..1_000_000L
private val TIME_RANGE = 0L..1_000_000L
private val DEFAULT_PROFILE = StandinEngineProfile(
    slots = 16,
    cacheBlocks = 200,
    promptTokenCost = 25.microseconds,
    answerTokenCost = 10.milliseconds,
    fullBatchSlowdown = 1.0,
    loadTime = 500.milliseconds,
)

private fun ObjectReader.standinSettings(): StandinSettings = StandinSettings(
    kind = oneOf("kind", StandinKind.entries) { it.text },
    listen = listenAddress("listen"),
    weights = WeightsVersion(string("weights", default = "v1", pattern = NAME_PATTERN)),
    profile = objectOrNull("profile") { profile() } ?: DEFAULT_PROFILE,
    callMilliseconds = long("callMilliseconds", TIME_RANGE, default = 0),
)

private fun ObjectReader.profile(): StandinEngineProfile = DEFAULT_PROFILE.copy(
    slots = long("slots", COUNT_RANGE, DEFAULT_PROFILE.slots.toLong()).toInt(),
    cacheBlocks = long("cachePieces", COUNT_RANGE, DEFAULT_PROFILE.cacheBlocks.toLong()).toInt(),
    promptTokenCost = long("promptTokenMicroseconds", TIME_RANGE, DEFAULT_PROFILE.promptTokenCost.inWholeMicroseconds).microseconds,
    answerTokenCost = long("answerTokenMicroseconds", TIME_RANGE, DEFAULT_PROFILE.answerTokenCost.inWholeMicroseconds).microseconds,
    loadTime = milliseconds("loadMilliseconds", TIME_RANGE, DEFAULT_PROFILE.loadTime),
)

/** Runs a stand-in until the process is asked to stop. */
public fun main(arguments: Array<String>) {
    val settings = serverSettings("sniperoute-standin", arguments) { standinSettings() }
    val clock = systemClock()
    val recorder = startEventRecorder("standin", clock, capacity = 1_000)
    val handle: HandleExchange = when (settings.kind) {
        StandinKind.ENGINE -> startEngineServer(settings.profile, settings.weights, clock, haltOnDutyFailure(recorder))::handle
        StandinKind.SERVICE -> plainService(settings.callMilliseconds)::handle
        StandinKind.PLATFORM -> platformPages()::handle
    }
    val threads = startHttpThreads(1)
    val server = threads.serve(settings.listen.host, settings.listen.port, handle = handle)
    recorder.record(EventKind.PROCESS_READY, detail = "${settings.kind.text} on port ${server.port}")
    runUntilShutdown { threads.close() }
}
