/**
 * Values and a driver that the tests of this module share.
 */
package sniperoute.request

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import sniperoute.process.clock.Timestamp
import sniperoute.process.identity.FailureDomain
import sniperoute.process.identity.VmName
import sniperoute.process.identity.newIncarnation
import sniperoute.request.admission.decision.ServingView
import sniperoute.request.ledger.message.LedgerOwner
import sniperoute.request.prefix.decision.contentHash
import sniperoute.request.routing.decision.*
import sniperoute.request.routing.message.*
import sniperoute.request.run.RequestContext
import sniperoute.request.run.codec.jsonResponseParser
import sniperoute.request.run.codec.nativeProtocol
import sniperoute.version.decision.advance
import sniperoute.version.decision.emptyCatalogue
import sniperoute.version.message.*
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds

internal val start = Timestamp(1_000_000_000)
internal val v1 = WeightsVersion("v1")
internal val v2 = WeightsVersion("v2")
internal val chat =
    Route(RouteName("chat"), "/v1", ServiceName("model"), RequestClass.DRAFTING, 30_000, 2_000, Repetition.REPEATABLE, false)
internal val confirm =
    Route(RouteName("confirm"), "/confirm", ServiceName("orders"), RequestClass.CONFIRMATION, 5_000, 2_000, Repetition.ONCE_ONLY, false)

internal fun endpoint(name: String, slots: Int = 4) = Endpoint(EndpointName(name), "h", 1, FailureDomain("d"), slots, false)

internal fun catalogueItems(engines: Int, slots: Int = 4, rate: Long = 1_000_000, burst: Long = 10_000_000): List<CatalogueItem> = listOf(
    WorkspaceItem(Workspace(WorkspaceName("a"), rate, burst)),
    WorkspaceItem(Workspace(WorkspaceName("b"), rate, burst)),
    KeyItem(DeclaredKey(KeyDigest("ka"), WorkspaceName("a"))),
    KeyItem(DeclaredKey(KeyDigest("kb"), WorkspaceName("b"))),
    ServiceItem(Service(ServiceName("model"), ServiceKind.MODEL, List(engines) { endpoint("e$it", slots) }.toPersistentList(), v1, null)),
    ServiceItem(Service(ServiceName("orders"), ServiceKind.PLAIN, persistentListOf(endpoint("o0"), endpoint("o1")), null, null)),
    RouteItem(chat),
    RouteItem(confirm),
)

internal fun view(items: List<CatalogueItem>, revision: Long = 1): ServingView {
    val changes = items.map { ItemChange(revision, it.name, it) }.toPersistentList()
    return ServingView(emptyCatalogue().advance(RenewReply(1, 1, revision, 1, true, changes)), start + 1.hours)
}

internal fun admitted(
    id: String,
    workspace: String = "a",
    route: Route = chat,
    chain: List<Long> = emptyList(),
    tokens: Long = 100,
    at: Timestamp = start,
) = AdmittedRequest(
    id = RequestId(id),
    workspace = WorkspaceName(workspace),
    key = KeyDigest("k$workspace"),
    route = route,
    digest = RequestDigest("digest-$id"),
    hash = contentHash(id.toByteArray()),
    chain = chain.toPersistentList(),
    promptTokens = tokens,
    answerTokens = 0,
    arrived = at,
    deadline = at + 30.seconds,
)

/** Drives the routing state of one router. All requested tokens are granted if [grantsTokens]. */
internal class RoutingDriver(
    items: List<CatalogueItem>,
    private val policy: PlacementPolicy = earliestFirstToken(DEFAULT_RECOMPUTE_WEIGHT),
    private val grantsTokens: Boolean = true,
) {
    var now = start
    var state = newRoutingState(start - 60.seconds)
    val effects = mutableListOf<RoutingEffect>()

    init {
        input(ViewChanged(view(items)))
    }

    fun input(input: RoutingInput?): List<RoutingEffect> {
        val step = state.step(policy, now, input)
        state = step.state
        effects += step.effects
        val more = if (!grantsTokens) {
            emptyList()
        } else {
            step.effects.filterIsInstance<RequestTokens>().flatMap {
                input(TokensGranted(it.workspace, it.tokens, kotlin.time.Duration.ZERO))
            }
        }
        return step.effects + more
    }

    fun report(name: String, incarnation: String = "i-$name", weights: WeightsVersion = v1, isLeaving: Boolean = false, running: Int = 0) =
        input(EndpointReported(EndpointName(name), incarnation, weights, running, 0, isLeaving))

    fun send(admitted: AdmittedRequest): Dispatch? = input(RequestAdmitted(admitted)).filterIsInstance<Dispatch>().firstOrNull()

    fun end(id: String, result: AttemptResult = AttemptCompleted(100, 0, 0, false)) = input(AttemptEnded(RequestId(id), result))

    fun breakOff(id: String, mayRepeat: Boolean = true) = end(id, AttemptFailed(AttemptFailureKind.BROKEN, mayRepeat, "broken"))
}

/** The context of a request to a plain service without a ledger entry. */
internal fun plainContext(id: String, wantsStream: Boolean) = RequestContext(
    responseParser = jsonResponseParser(ServiceKind.PLAIN, wantsStream),
    protocol = nativeProtocol(),
    wantsStream = wantsStream,
    cacheSalt = 0,
    ledgerKey = null,
    owner = LedgerOwner(VmName("vm"), newIncarnation(), id),
    configuration = 1,
)
