/**
 * The HTTP pages for operators. All pages but [unauthenticatedPages] require an operator's key. Each change is a command, on which the
 * replicas must agree before the response is sent.
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
import sniperoute.process.codec.decode
import sniperoute.process.metrics.MetricsRegistry
import sniperoute.process.timeline.EventRecorder
import sniperoute.version.codec.digest
import sniperoute.version.decision.*
import sniperoute.version.message.*

/** The pages of one control replica. */
internal class OperatorPages(
    private val settings: ControlSettings,
    private val controlDuty: ControlDuty,
    private val metrics: MetricsRegistry,
    private val recorder: EventRecorder,
    private val clock: Clock,
) {
    /** Responds to [exchange]. */
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
        val report = checkNotNull(state.leaderState) { "a leading replica has leader state" }.leases.report(revision, clock())
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
            committed = status.commitIndex,
            applied = state.appliedIndex,
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
            evacuated = replicatedState.evacuatedDomains().map { it.text }.toPersistentList(),
        )
    }

    private fun ControlDutyState.routers() =
        leaderState
            ?.leases
            ?.routers
            .orEmpty()
            .filterValues { it.until > clock() }
            .map { (name, lease) -> RouterView(name.vm.text, name.incarnation.toString(), lease.revision) }
            .sortedBy { it.vm }
            .toPersistentList()

    private fun ControlState.quarantine() =
        published.changes.values
            .filter { it.item is QuarantineItem || it.item is BlockQuarantineItem }
            .map { it.name.text }
            .sorted()
            .toPersistentList()

    private fun change(exchange: Exchange, operator: Operator) {
        commandOf(exchange, operator.name).fold(
            ifLeft = exchange::reply,
            ifRight = { command -> submit(exchange, command) },
        )
    }

    private fun submit(exchange: Exchange, command: Command) {
        val isAccepted = controlDuty.submit(command) { exchange.reply(responseTo(it)) }
        if (!isAccepted) exchange.reply(errorResponse(HttpStatus.UNAVAILABLE, "busy", "this replica is too busy; try again", NOT_RUN))
    }

    private fun commandOf(exchange: Exchange, operator: String): Either<WholeResponse, Command> {
        val now = clock()
        return when (exchange.head.path) {
            "/configuration" -> decodeBody(SubmissionRequest.serializer(), exchange)
                .checkDigest()
                .map { SubmitConfiguration(now, it.follows, it.digest, operator, it.declarations) }
            "/keys/grant" -> decodeBody(KeyRequest.serializer(), exchange).checkKey {
                either {
                    val workspace = ensureNotNull(it.workspace) { malformed("\"workspace\" is missing") }
                    GrantKey(now, KeyDigest(it.sha256), WorkspaceName(workspace), operator)
                }
            }
            "/keys/withdraw" -> decodeBody(KeyRequest.serializer(), exchange).checkKey {
                WithdrawKey(now, KeyDigest(it.sha256), operator).right()
            }
            "/moves/start" -> decodeBody(MoveRequest.serializer(), exchange).fold({ it.left() }, { startMove(it, now, operator) })
            "/moves/take-back" -> decodeBody(
                MoveRequest.serializer(),
                exchange,
            ).map { RollBackMove(now, ServiceName(it.service), operator) }
            "/quarantine/pardon" -> decodeBody(LiftQuarantineRequest.serializer(), exchange).map {
                LiftQuarantine(now, RequestDigest(it.digest), operator)
            }
            "/evacuations/start" -> evacuation(exchange, now, operator, isEvacuated = true)
            "/evacuations/end" -> evacuation(exchange, now, operator, isEvacuated = false)
            else -> notFoundPage(exchange.head.path).left()
        }
    }

    private fun evacuation(exchange: Exchange, now: Timestamp, operator: String, isEvacuated: Boolean): Either<WholeResponse, Command> =
        decodeBody(EvacuationRequest.serializer(), exchange).fold({ it.left() }) { request ->
            when (val domain = domainNameOrNull(request.domain)) {
                null -> malformed("\"domain\" must be a name of 1 to $MAX_DOMAIN_NAME_LENGTH printable characters").left()
                else -> SetEvacuation(now, domain, isEvacuated, operator).right()
            }
        }

    private fun startMove(request: MoveRequest, now: Timestamp, operator: String): Either<WholeResponse, Command> = either {
        val to = ensureNotNull(request.to) { malformed("\"to\" is missing") }
        val deadline = ensureNotNull(request.deadlineMilliseconds) { malformed("\"deadlineMilliseconds\" is missing") }
        ensure(deadline in MIN_MOVE_MILLISECONDS..MAX_MOVE_MILLISECONDS) {
            malformed("the deadline must be $MIN_MOVE_MILLISECONDS to $MAX_MOVE_MILLISECONDS milliseconds")
        }
        StartMove(now, ServiceName(request.service), WeightsVersion(to), deadline, operator)
    }
}

private const val NOT_RUN = "not-run"
private const val MIN_MOVE_MILLISECONDS = 1_000L
private const val MAX_MOVE_MILLISECONDS = 86_400_000L
private val SHA256_PATTERN = Regex("[0-9a-f]{64}")

private fun Either<WholeResponse, SubmissionRequest>.checkDigest(): Either<WholeResponse, SubmissionRequest> = fold({
    it.left()
}) { request ->
    if (request.declarations.digest() == request.digest) request.right() else malformed("the digest does not match the declarations").left()
}

private fun Either<WholeResponse, KeyRequest>.checkKey(
    toCommand: (KeyRequest) -> Either<WholeResponse, Command>,
): Either<WholeResponse, Command> =
    fold({ it.left() }) { request ->
        if (SHA256_PATTERN.matches(request.sha256)) toCommand(request) else malformed("\"sha256\" must be 64 hexadecimal digits").left()
    }

private fun <T> decodeBody(serializer: KSerializer<T>, exchange: Exchange): Either<WholeResponse, T> =
    administrationJson.decode(serializer, exchange.body).mapLeft { malformed(it.reason) }

private fun malformed(reason: String): WholeResponse = errorResponse(HttpStatus.BAD_REQUEST, "malformed_request", reason, NOT_RUN)

private fun notLeader(leader: String?): WholeResponse {
    val header = persistentListOf(Header("sniperoute-leader", leader.orEmpty()))
    return errorResponse(HttpStatus.UNAVAILABLE, "not_leader", "the leader is ${leader ?: "unknown"}", NOT_RUN, header)
}

private fun leadershipLost(): WholeResponse =
    errorResponse(
        HttpStatus.UNAVAILABLE,
        "leadership_lost",
        "leadership was lost before the command was known to be committed; send it again",
        "may-have-run",
    )

private fun <T> json(serializer: KSerializer<T>, value: T, status: Int = HttpStatus.OK): WholeResponse =
    jsonResponse(status, administrationJson.encodeToString(serializer, value))

private fun responseTo(reply: SendOperatorReply): WholeResponse = when (val result = reply.result) {
    null -> if (reply.mayHaveRun) leadershipLost() else notLeader(reply.leader?.text)
    is SubmissionResult -> responseTo(result)
    is CommandApplied -> json(CommandReply.serializer(), CommandReply(result.revision))
    is SubjectUnknown -> errorResponse(HttpStatus.NOT_FOUND, "unknown", result.reason, NOT_RUN)
    is CommandRejected -> errorResponse(HttpStatus.CONFLICT, "no_effect", result.reason, NOT_RUN)
    else -> errorResponse(HttpStatus.INTERNAL_ERROR, "unexpected", "unexpected command result $result", "may-have-run")
}

private fun responseTo(submission: SubmissionResult): WholeResponse = when (val outcome = submission.outcome) {
    is SubmissionAccepted -> json(SubmissionReply.serializer(), SubmissionReply("accepted", outcome.number, submission.revision))
    is SubmissionAlreadyAccepted -> json(SubmissionReply.serializer(), SubmissionReply("repeated", outcome.number, outcome.revision))
    is SubmissionConflict -> json(
        SubmissionReply.serializer(),
        SubmissionReply("lost", outcome.number, submission.revision, outcome.winner?.digest, outcome.winner?.operator, outcome.current),
        HttpStatus.CONFLICT,
    )
    is SubmissionInvalid -> json(
        SubmissionReply.serializer(),
        SubmissionReply("invalid", 0, submission.revision, problems = outcome.problems.map { it.describe() }.toPersistentList()),
        HttpStatus.UNPROCESSABLE,
    )
}

private fun DeclarationProblem.describe(): String = "$subject: $problem; expected $expected"
