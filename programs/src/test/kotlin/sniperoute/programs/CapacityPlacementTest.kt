/**
 * Plays an overload against the placement decisions of a whole fleet of routers on a simulated clock, without connections: with and without
 * placement by capacity, on the same seeds. Endpoints are queues with a memory and a speed that changes; workloads are known late.
 */
package sniperoute.programs

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import org.junit.jupiter.api.Test
import sniperoute.process.clock.Timestamp
import sniperoute.process.identity.Incarnation
import sniperoute.process.identity.VmName
import sniperoute.request.admission.decision.ServingView
import sniperoute.request.routing.decision.*
import sniperoute.request.routing.message.*
import sniperoute.version.decision.*
import sniperoute.version.message.*
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val model = ModelName("m")
private const val SLOTS = 24
private const val MEMORY = 108_383L
private const val TOKENS_PER_MS = 93.6
private const val STEP_MS = 4.4

/** A kind of request: its prompt is [parts] long, of which the last part is its own; it gets [answer] tokens. */
private class Kind(val name: String, val parts: List<Long>, val choices: List<Int>, val answer: Long, val perSecond: Double, route: Route) {
    val route = route.copy(name = RouteName(name))
    var asked = 0
    var inAim = 0
    var late = 0
    var refused = 0
    var waited = Duration.ZERO
}

private fun kinds() = listOf(
    Kind("ask", listOf(198, 628), listOf(40), 42, 194.0, listedRoute.copy(objectiveMilliseconds = 407, rank = 0)),
    Kind("tag", listOf(2_500, 3_800, 2_890), listOf(16, 100), 7, 171.0, listedRoute.copy(objectiveMilliseconds = 1_215, rank = 1)),
)

private class Run(val router: Int, val request: AdmittedRequest, val kind: Kind, val sent: Timestamp) {
    var uncomputed = -1.0
    var left = request.answerTokens.toDouble()
    val held: Double get() = if (uncomputed < 0) 0.0 else request.promptTokens - uncomputed + request.answerTokens - left
}

/** An engine: it computes prompts in order, generates tokens meanwhile, and puts the newest run back when its memory is full. */
private class Engine {
    val runs = mutableListOf<Run>()
    val cached = LinkedHashMap<Long, Long>()
    var slowUntil = Timestamp.EARLIEST
    var readTokens = 0.0
    var preempted = 0

    fun ratio(now: Timestamp) = if (now < slowUntil) 2.5 else 1.0

    /** Works for [TICK]; [onFirst] is called with each run that gets its first token, [onEnd] with each that is complete. */
    fun work(now: Timestamp, onFirst: (Run) -> Unit, onEnd: (Run) -> Unit) {
        var budget = TICK.inWholeMilliseconds * TOKENS_PER_MS / ratio(now)
        // An engine finishes the prompts that it has begun, and then begins the most urgent.
        for (run in runs.sortedBy { if (it.uncomputed < 0) 1 + it.request.rank else 0 }.take(SLOTS)) {
            if (run.uncomputed < 0 && budget > 0) run.uncomputed = (run.request.promptTokens - hit(run.request)).toDouble()
            if (run.uncomputed < 0) continue
            if (run.uncomputed == 0.0) {
                run.left -= TICK.inWholeMilliseconds / (STEP_MS * ratio(now))
            } else {
                val read = minOf(budget, run.uncomputed)
                run.uncomputed -= read
                budget -= read
                readTokens += read
                if (run.uncomputed == 0.0) onFirst(run).also { cache(run.request) }
            }
        }
        runs.filter { it.uncomputed == 0.0 && it.left <= 0 }.forEach { onEnd(it).also { _ -> runs.remove(it) } }
        preempt()
    }

    private fun preempt() {
        while (runs.sumOf { it.held } > MEMORY) runs.last { it.held > 0 }.let { it.uncomputed = -1.0 }.also { preempted++ }
    }

    private fun hit(request: AdmittedRequest): Long =
        request.tokensOf(
            request.chain.indices
                .takeWhile { request.chain[it] in cached }
                .size,
        )

    private fun cache(request: AdmittedRequest) {
        request.chain.dropLast(1).forEachIndexed { index, key ->
            cached.remove(key)
            cached[key] = request.tokensOf(index + 1) - request.tokensOf(index)
        }
        while (cached.values.sum() + runs.sumOf { it.held } > MEMORY && cached.isNotEmpty()) cached.remove(cached.keys.first())
    }
}

/** The share of engines that take 2.5 times the usual time, and for how long each does. */
private const val SLOW_SHARE = 0.3
private val SLOW_TIME = 600.milliseconds

private val TICK = 5.milliseconds
private val MESSAGE_TIME = 5.milliseconds

private class CapacityFleet(private val routerCount: Int, engineCount: Int, settings: RoutingSettings, seed: Long) {
    val kinds = kinds()
    private val random = Random(seed)
    var isLeaderSilent = false
    private val policy = earliestFirstToken(2.0)
    private val engines = List(engineCount) { Engine() }
    private var now = listedStart
    private var workloads = noFleetWorkloads()
    private val pending = ArrayDeque<Pair<Timestamp, () -> Unit>>()
    private val asked = HashMap<RequestId, Pair<Kind, Timestamp>>()
    private val names = List(routerCount) { RouterName(VmName("r$it"), Incarnation(1)) }
    private val fleet = listedFleet(1, List(engineCount) { 1 }, mapOf(model to 1L), SLOTS)
    private val states = MutableList(routerCount) {
        val engine = EngineProfile(SLOTS, MEMORY, 1, 1.0, persistentListOf(model))
        val service = Service(listedService, ServiceKind.MODEL, persistentListOf(), null, null, isListed = true, engine = engine)
        val items = kinds.map { RouteItem(it.route) } + ServiceItem(service) + ModelWeightsItem(ModelWeights(model, 1, now))
        val changes = items.map { ItemChange(1, it.name, it) }.toPersistentList()
        val view = ServingView(emptyCatalogue().advance(RenewReply(1, 1, 1, 1, isWhole = true, changes = changes)), now + 1.hours)
        listOf(ViewChanged(view), FleetChanged(fleet), RouterCountChanged(routerCount))
            .fold(newRoutingState(now, settings)) { state, input -> state.step(policy, now, input).state }
    }
    private val indexes = engines.indices.associateBy { EndpointName("e$it") }

    val readTokens get() = engines.sumOf { it.readTokens }.toLong()
    val preempted get() = engines.sumOf { it.preempted }

    private fun ask(kind: Kind, hot: Boolean) {
        val id = RequestId("q${asked.size}")
        asked[id] = kind to now
        kind.asked++
        var key = kind.name.hashCode().toLong()
        val shared = kind.choices.map { count ->
            key = key * 1_000_003 + if (hot) 0 else random.nextInt(count)
            key
        }
        val total = kind.parts.runningReduce(Long::plus)
        val request = AdmittedRequest(
            id = id,
            workspace = null,
            key = null,
            route = kind.route,
            digest = RequestDigest("d-$id"),
            hash = random.nextLong(),
            chain = (shared + random.nextLong()).toPersistentList(),
            promptTokens = total.last(),
            answerTokens = kind.answer,
            arrived = now,
            deadline = now + 5.seconds,
            model = model,
            blockTokens = total.toPersistentList(),
            affinityKey = shared.last(),
            queueDeadline = now + (kind.route.objectiveMilliseconds / 8).milliseconds,
        )
        input(random.nextInt(routerCount), RequestAdmitted(request))
    }

    private fun input(router: Int, input: RoutingInput?) {
        val step = states[router].step(policy, now, input)
        states[router] = step.state
        step.effects.forEach { perform(router, it) }
    }

    private fun perform(router: Int, effect: RoutingEffect) {
        when (effect) {
            is ReportWorkload -> later { workloads = workloads.recordReport(names[router], effect.report) }
            is Dispatch -> {
                val request = states[router].running.getValue(effect.id).request
                val run = Run(router, request, asked.getValue(effect.id).first, now)
                later { engines[indexes.getValue(effect.endpoint.name)].runs += run }
            }
            is Refuse -> {
                val (kind, arrived) = asked.getValue(effect.id)
                kind.refused++
                kind.waited += now - arrived
            }
            else -> Unit
        }
    }

    private fun later(action: () -> Unit) = pending.addLast(now + MESSAGE_TIME to action)

    private fun onFirst(run: Run, engine: Engine) {
        if (run.left < run.request.answerTokens) return
        if (now - run.request.arrived <= run.kind.route.objectiveMilliseconds.milliseconds) run.kind.inAim++ else run.kind.late++
        input(run.router, ResponseHeadReceived(run.request.id, ResponseLoadReport(timeRatio = engine.ratio(now))))
        input(run.router, FirstTokenReceived(run.request.id, now - run.sent))
    }

    /** Plays a tick with [load] times the usual requests of each kind. */
    fun play(load: (Kind) -> Double, hotShare: Double) {
        now += TICK
        while (pending.isNotEmpty() && pending.first().first <= now) pending.removeFirst().second()
        engines.forEach { engine ->
            if (now >= engine.slowUntil && random.nextDouble() < SLOW_SHARE * (TICK / SLOW_TIME)) engine.slowUntil = now + SLOW_TIME
            engine.work(now, { onFirst(it, engine) }) { run ->
                val request = run.request
                input(run.router, AttemptEnded(request.id, AttemptCompleted(request.promptTokens, 0, request.answerTokens, false)))
            }
        }
        kinds.forEach { kind ->
            var expected = kind.perSecond * load(kind) * (TICK / 1.seconds)
            while (random.nextDouble() < expected) ask(kind, random.nextDouble() < hotShare).also { expected -= 1 }
        }
        val step = workloads.nextMessage(now)
        workloads = step.workloads
        if (!isLeaderSilent) step.message?.let { message -> states.indices.forEach { later { input(it, FleetWorkloadReceived(message)) } } }
        if ((now - listedStart).inWholeMilliseconds % 10 == 0L) states.indices.forEach { input(it, null) }
    }
}

class CapacityPlacementTest {
    /** The load during two seconds: so many times the usual requests of each kind, and whether the leader is silent meanwhile and after. */
    private data class Burst(val tag: Double, val ask: Double, val hotShare: Double, val isLeaderSilent: Boolean)

    private fun play(placement: CapacityPlacement, burst: Burst, seed: Long): CapacityFleet {
        val fleet = CapacityFleet(69, 63, RoutingSettings(capacityPlacement = placement), seed)
        repeat(1_200) { tick ->
            val isBurst = tick in 400..800
            fleet.isLeaderSilent = burst.isLeaderSilent && tick in 300..1_100
            val loads = if (isBurst) mapOf("tag" to burst.tag, "ask" to burst.ask) else emptyMap()
            fleet.play({ loads[it.name] ?: 1.0 }, if (isBurst) burst.hotShare else 0.0)
        }
        return fleet
    }

    @Test
    fun `under a burst, more requests are served in aim by capacity, and no kind of request loses much`() {
        println("burst, seed, placement, kind: asked in aim   late refused (after ms), prompt tokens read, preempted")
        val many = Burst(8.0, 2.0, 0.2, isLeaderSilent = false)
        listOf(many to 1L, many to 2L, Burst(4.0, 2.0, 0.4, isLeaderSilent = true) to 1L).forEach { (burst, seed) ->
            val (before, after) = listOf(CapacityPlacement.NEVER, CapacityPlacement.WHERE_STATED).map { placement ->
                val fleet = play(placement, burst, seed)
                fleet.kinds.associate { kind ->
                    val wait = if (kind.refused == 0) 0 else (kind.waited / kind.refused).inWholeMilliseconds
                    val counts = listOf(kind.asked, kind.inAim, kind.late, kind.refused).joinToString(" ") { "%6d".format(it) }
                    println("$burst $seed ${placement.text} ${kind.name}: $counts ($wait), ${fleet.readTokens}, ${fleet.preempted}")
                    kind.name to kind.inAim.toDouble() / kind.asked
                }
            }
            expectThat(after.values.sum()).isGreaterThan(before.values.sum())
            before.forEach { (kind, share) -> expectThat(after.getValue(kind)).isGreaterThanOrEqualTo(share - 0.02) }
        }
    }
}
