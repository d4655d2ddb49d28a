/**
 * The HTTP pages for operators: each request must carry an operator's key, and each change is a command that the replicas
 * agree on before it is answered.
 */
package sniperoute.control

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import arrow.core.right
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.KSerializer
import sniperoute.common.Operator
import sniperoute.common.administrationJson
import sniperoute.common.authenticateOrNull
import sniperoute.common.commonPageOrNull
import sniperoute.common.notFoundPage
import sniperoute.common.reply
import sniperoute.common.unauthenticatedPages
import sniperoute.common.unauthorizedPage
import sniperoute.connection.http.Exchange
import sniperoute.connection.http.Header
import sniperoute.connection.http.HttpStatus
import sniperoute.connection.http.codec.WholeResponse
import sniperoute.connection.http.codec.errorResponse
import sniperoute.connection.http.codec.jsonResponse
import sniperoute.connection.http.queryValueOrNull
import sniperoute.control.decision.*
import sniperoute.control.message.*
import sniperoute.process.clock.Clock
import sniperoute.process.clock.Timestamp
import sniperoute.process.codec.catchDecodingErrors
import sniperoute.process.metrics.MetricsRegistry
import sniperoute.process.timeline.EventRecorder
import sniperoute.version.codec.digest
import sniperoute.version.decision.*
import sniperoute.version.message.*

/** The pages of one replica. */
internal class OperatorPages(
    private val settings: ControlSettings,
    private val controlDuty: ControlDuty,
    private val metrics: MetricsRegistry,
    private val recorder: EventRecorder,
    private val clock: Clock,
) {
    /** Answers [exchange]. */
    fun handle(exchange: Exchange) {
        val isOpen = exchange.head.path in unauthenticatedPages
        val operator = settings.operators.authenticateOrNull(exchange.head)
        when {
            isOpen -> exchange.reply(commonPage(exchange) ?: notFoundPage(exchange.head.path))
            operator == null -> exchange.reply(unauthorizedPage())
            exchange.head.method == "GET" -> exchange.reply(read(exchange))
            exchange.head.method == "POST" -> change(exchange, operator)
            else -> exchange.reply(errorResponse(HttpStatus.METHOD_NOT_ALLOWED, "method", "use GET or POST", NOT_RUN))
        }
    }

    private fun commonPage(exchange: Exchange): WholeResponse? = commonPageOrNull(exchange, metrics, recorder, ::unreadyReason)

    private fun unreadyReason(): String? = if (controlDuty.status.get().leader == null) "no leader is known" else null

    private fun read(exchange: Exchange): WholeResponse = when (exchange.head.path) {
        "/status" -> json(StatusReply.serializer(), status())
        "/configuration" -> configuration()
        "/in-force" -> inForce(exchange.head.queryValueOrNull("revision")?.toLongOrNull())
        else -> commonPage(exchange) ?: notFoundPage(exchange.head.path)
    }

    private fun ifLeading(page: (ControlDutyState) -> WholeResponse): WholeResponse {
        val state = controlDuty.latestState.get()
        val status = controlDuty.status.get()
        return if (state.isLeading(status, clock())) page(state) else notLeader(status.leader?.text)
    }

    private fun configuration(): WholeResponse = ifLeading { state ->
        val configurations = state.replicatedState.configurations
        json(ConfigurationReply.serializer(), ConfigurationReply(configurations.number, configurations.declarations))
    }

    private fun inForce(wanted: Long?): WholeResponse = ifLeading { state ->
        val revision = wanted ?: state.replicatedState.published.revision
        val report = checkNotNull(state.leadership) { "a leader knows its leases" }.leases.report(revision, clock())
        json(InForceReply.serializer(), InForceReply(revision, report.confirmed, report.live, report.isEverywhere))
    }

    private fun status(): StatusReply {
        val status = controlDuty.status.get()
        val state = controlDuty.latestState.get()
        val replicatedState = state.replicatedState
        val membership = status.membership
        return StatusReply(
            vm = status.self.text,
            leads = state.isLeading(status, clock()),
            leader = status.leader?.text,
            term = status.term,
            committed = status.committed,
            applied = state.applied,
            redundancy = status.redundancy.name
                .lowercase()
                .replace('_', ' '),
            configuration = replicatedState.configurations.number,
            digest = replicatedState.configurations.declarations?.digest(),
            revision = replicatedState.published.revision,
            replicas = membership.members.map { ReplicaView(it.vm.text, it.disk.toString(), it in membership.voters) }.toPersistentList(),
            routers = state.routers(),
            moves = replicatedState.moves().toPersistentList(),
            quarantine = replicatedState.quarantine(),
        )
    }

    private fun ControlDutyState.routers() =
        leadership
            ?.leases
            ?.routers
            .orEmpty()
            .filterValues { it.until > clock() }
            .map { (name, lease) -> RouterView(name.vm.text, name.incarnation.toString(), lease.revision) }
            .sortedBy { it.vm }
            .toPersistentList()

    private fun ControlState.quarantine() =
        published.changes.values
            .mapNotNull { (it.item as? QuarantineItem)?.digest?.text }
            .sorted()
            .toPersistentList()

    private fun change(exchange: Exchange, operator: Operator) {
        commandOf(exchange, operator.name).fold(
            ifLeft = exchange::reply,
            ifRight = { command -> submit(exchange, command) },
        )
    }

    private fun submit(exchange: Exchange, command: Command) {
        val taken = controlDuty.submit(command) { exchange.reply(answerTo(it)) }
        if (!taken) exchange.reply(errorResponse(HttpStatus.UNAVAILABLE, "busy", "this replica is too busy; try again", NOT_RUN))
    }

    private fun commandOf(exchange: Exchange, operator: String): Either<WholeResponse, Command> {
        val now = clock()
        return when (exchange.head.path) {
            "/configuration" -> form(SubmissionRequest.serializer(), exchange)
                .checkDigest()
                .map { SubmitConfiguration(now, it.follows, it.digest, operator, it.declarations) }
            "/keys/grant" -> form(KeyRequest.serializer(), exchange).checkKey {
                either {
                    val workspace = ensureNotNull(it.workspace) { malformed("\"workspace\" is missing") }
                    GrantKey(now, KeyDigest(it.sha256), WorkspaceName(workspace), operator)
                }
            }
            "/keys/withdraw" -> form(KeyRequest.serializer(), exchange).checkKey {
                WithdrawKey(now, KeyDigest(it.sha256), operator).right()
            }
            "/moves/start" -> form(MoveRequest.serializer(), exchange).fold({ it.left() }, { startMove(it, now, operator) })
            "/moves/take-back" -> form(MoveRequest.serializer(), exchange).map { TakeBackMove(now, ServiceName(it.service), operator) }
            "/quarantine/pardon" -> form(LiftQuarantineRequest.serializer(), exchange).map {
                LiftQuarantine(now, RequestDigest(it.digest), operator)
            }
            else -> notFoundPage(exchange.head.path).left()
        }
    }

    private fun startMove(form: MoveRequest, now: Timestamp, operator: String): Either<WholeResponse, Command> = either {
        val to = ensureNotNull(form.to) { malformed("\"to\" is missing") }
        val deadline = ensureNotNull(form.deadlineMilliseconds) { malformed("\"deadlineMilliseconds\" is missing") }
        ensure(deadline in SHORTEST_MOVE..LONGEST_MOVE) { malformed("the deadline must be $SHORTEST_MOVE to $LONGEST_MOVE milliseconds") }
        StartMove(now, ServiceName(form.service), WeightsVersion(to), deadline, operator)
    }
}

private const val NOT_RUN = "not-run"
private const val SHORTEST_MOVE = 1_000L
private const val LONGEST_MOVE = 86_400_000L
private val DIGEST_PATTERN = Regex("[0-9a-f]{64}")

private fun Either<WholeResponse, SubmissionRequest>.checkDigest(): Either<WholeResponse, SubmissionRequest> = fold({ it.left() }) { form ->
    if (form.declarations.digest() == form.digest) form.right() else malformed("the digest is not that of the declarations").left()
}

private fun Either<WholeResponse, KeyRequest>.checkKey(
    toCommand: (KeyRequest) -> Either<WholeResponse, Command>,
): Either<WholeResponse, Command> =
    fold({ it.left() }) { form ->
        if (DIGEST_PATTERN.matches(form.sha256)) toCommand(form) else malformed("\"sha256\" must be 64 hexadecimal digits").left()
    }

private fun <T> form(serializer: KSerializer<T>, exchange: Exchange): Either<WholeResponse, T> =
    catchDecodingErrors { administrationJson.decodeFromString(serializer, exchange.body.decodeToString()) }.mapLeft { malformed(it.reason) }

private fun malformed(reason: String): WholeResponse = errorResponse(HttpStatus.BAD_REQUEST, "malformed_request", reason, NOT_RUN)

private fun notLeader(leader: String?): WholeResponse {
    val header = persistentListOf(Header("sniperoute-leader", leader.orEmpty()))
    return errorResponse(HttpStatus.UNAVAILABLE, "not_leader", "the leader is ${leader ?: "not known"}", NOT_RUN, header)
}

private fun leadershipLost(): WholeResponse =
    errorResponse(HttpStatus.UNAVAILABLE, "leadership_lost", "leadership changed meanwhile; send it again", "may-have-run")

private fun <T> json(serializer: KSerializer<T>, value: T, status: Int = HttpStatus.OK): WholeResponse =
    jsonResponse(status, administrationJson.encodeToString(serializer, value))

private fun answerTo(effect: SendOperatorReply): WholeResponse = when (val result = effect.result) {
    null -> if (effect.mayHaveRun) leadershipLost() else notLeader(effect.leader?.text)
    is SubmissionResult -> answerTo(result)
    is CommandApplied -> json(CommandReply.serializer(), CommandReply(result.revision))
    is CommandRejected -> errorResponse(HttpStatus.CONFLICT, "no_effect", result.reason, NOT_RUN)
    else -> errorResponse(HttpStatus.INTERNAL_ERROR, "unexpected", "the command came to $result", "may-have-run")
}

private fun answerTo(judged: SubmissionResult): WholeResponse = when (val outcome = judged.outcome) {
    is SubmissionAccepted -> json(SubmissionReply.serializer(), SubmissionReply("accepted", outcome.number, judged.revision))
    is SubmissionAlreadyAccepted -> json(SubmissionReply.serializer(), SubmissionReply("repeated", outcome.number, outcome.revision))
    is SubmissionConflict -> json(
        SubmissionReply.serializer(),
        SubmissionReply("lost", outcome.number, judged.revision, outcome.winner?.digest, outcome.winner?.operator, outcome.current),
        HttpStatus.CONFLICT,
    )
    is SubmissionInvalid -> json(
        SubmissionReply.serializer(),
        SubmissionReply("invalid", 0, judged.revision, problems = outcome.problems.map { it.describe() }.toPersistentList()),
        HttpStatus.UNPROCESSABLE,
    )
}

private fun DeclarationProblem.describe(): String = "$subject: $problem; expected $expected"
