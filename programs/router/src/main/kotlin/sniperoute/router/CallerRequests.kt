/**
 * Creates the run of a caller's HTTP request: authenticates its key, parses its prompt, and refuses what is not admitted or malformed.
 */
package sniperoute.router

import arrow.core.Either
import arrow.core.raise.either
import kotlinx.collections.immutable.persistentListOf
import sniperoute.connection.http.Exchange
import sniperoute.connection.http.RequestHead
import sniperoute.connection.http.valueOrNull
import sniperoute.request.admission.decision.Admission
import sniperoute.request.admission.decision.Refusal
import sniperoute.request.admission.decision.RefusalKind
import sniperoute.request.admission.decision.RequestTarget
import sniperoute.request.admission.decision.admit
import sniperoute.request.admission.decision.requestDigest
import sniperoute.request.ledger.message.LedgerKey
import sniperoute.request.prefix.codec.Prompt
import sniperoute.request.prefix.codec.parsePrompt
import sniperoute.request.prefix.decision.BYTES_PER_TOKEN
import sniperoute.request.prefix.decision.blockIds
import sniperoute.request.prefix.decision.prefixChain
import sniperoute.request.prefix.decision.workspaceSalt
import sniperoute.request.routing.message.AdmittedRequest
import sniperoute.request.run.RequestContext
import sniperoute.request.run.RequestRun
import sniperoute.request.run.codec.jsonResponseParser
import sniperoute.request.run.codec.nativeProtocol
import sniperoute.request.run.requestRun
import sniperoute.version.codec.keyDigestOf
import sniperoute.version.message.KeyDigest
import sniperoute.version.message.Repetition
import sniperoute.version.message.ServiceKind
import kotlin.time.Duration.Companion.milliseconds

private const val BEARER = "Bearer "
private const val MAX_IDEMPOTENCY_KEY_LENGTH = 200

private val protocol = nativeProtocol()

/** Returns the run of [incoming], or the refusal when it is not admitted. */
internal fun createRun(incoming: IncomingRequest): Either<Refusal, RequestRun> = either {
    val head = incoming.head
    val admission = incoming.view
        .admit(
            incoming.now,
            RequestTarget(head.path, null, incoming.hash, incoming.delay),
            head.keyOrNull(),
        ).bind()
    val prompt = promptOf(admission, incoming.exchange).bind()
    val salt = workspaceSalt(admission.workspace)
    val context = RequestContext(
        responseParser = jsonResponseParser(admission.service.kind, prompt.isStreamed),
        protocol = protocol,
        wantsStream = prompt.isStreamed,
        cacheSalt = salt,
        ledgerKey = ledgerKeyOrNull(admission, head).bind(),
        owner = incoming.owner,
        configuration = incoming.view.catalogue.configuration,
    )
    requestRun(admittedRequest(admission, incoming, prompt, salt), context, incoming.exchange, incoming.dependencies)
}

private fun RequestHead.keyOrNull(): KeyDigest? = authorizedKeyOrNull(BEARER) ?: headers.valueOrNull("x-api-key")?.let(::keyDigestOf)

private fun promptOf(admission: Admission, exchange: Exchange): Either<Refusal, Prompt> = when (admission.service.kind) {
    ServiceKind.MODEL -> parsePrompt(exchange.body).mapLeft { Refusal(RefusalKind.MALFORMED, it.reason) }
    ServiceKind.PLAIN, ServiceKind.STORE -> Either.Right(Prompt(exchange.body, 0, false))
}

private fun ledgerKeyOrNull(admission: Admission, head: RequestHead): Either<Refusal, LedgerKey?> = either {
    val key = head.headers.valueOrNull("idempotency-key") ?: return@either null
    if (admission.route.repetition != Repetition.ONCE_ONLY) return@either null
    if (key.isEmpty() || key.length > MAX_IDEMPOTENCY_KEY_LENGTH) {
        raise(Refusal(RefusalKind.MALFORMED, "an idempotency key must have 1 to $MAX_IDEMPOTENCY_KEY_LENGTH characters"))
    }
    LedgerKey(admission.workspace, admission.route.name, key)
}

private fun admittedRequest(admission: Admission, incoming: IncomingRequest, prompt: Prompt, salt: Long): AdmittedRequest {
    val isModel = admission.service.kind == ServiceKind.MODEL
    return AdmittedRequest(
        id = incoming.id,
        workspace = admission.workspace,
        key = admission.key,
        route = admission.route,
        digest = requestDigest(admission.route, incoming.head, salt, incoming.exchange.body),
        hash = incoming.hash,
        chain = if (isModel) prefixChain(salt, prompt.text) else persistentListOf(),
        promptTokens = (prompt.text.size / BYTES_PER_TOKEN).toLong() + 1,
        answerTokens = prompt.maxAnswerTokens,
        arrived = incoming.arrived,
        deadline = incoming.arrived + admission.route.deadlineMilliseconds.milliseconds,
        sharedBlocks = if (isModel) blockIds(prompt.text) else persistentListOf(),
    )
}
