/**
 * From a caller's HTTP request to a run: the key is recognised, the prompt is read, and what is wrong is refused with a
 * clear error.
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
import sniperoute.request.prefix.decision.prefixChain
import sniperoute.request.prefix.decision.workspaceSalt
import sniperoute.request.routing.message.AdmittedRequest
import sniperoute.request.run.RequestContext
import sniperoute.request.run.RequestRun
import sniperoute.request.run.codec.jsonAnswerRules
import sniperoute.request.run.codec.nativeProtocol
import sniperoute.request.run.requestRun
import sniperoute.version.codec.keyDigestOf
import sniperoute.version.message.KeyDigest
import sniperoute.version.message.Repetition
import sniperoute.version.message.ServiceKind
import kotlin.time.Duration.Companion.milliseconds

private const val BEARER = "Bearer "
private const val LONGEST_IDEMPOTENCY_KEY = 200

private val dialect = nativeProtocol()

/** Returns the run of [arrival], or why there is none. */
internal fun createRun(arrival: IncomingRequest): Either<Refusal, RequestRun> = either {
    val head = arrival.head
    val admission = arrival.view.admit(arrival.now, RequestTarget(head.path, null, arrival.hash), head.keyOrNull()).bind()
    val prompt = promptOf(admission, arrival.exchange).bind()
    val salt = workspaceSalt(admission.workspace)
    val passed = RequestContext(
        rules = jsonAnswerRules(admission.service.kind, prompt.isStreamed),
        dialect = dialect,
        wantsStream = prompt.isStreamed,
        cacheSalt = salt,
        ledgerKey = ledgerKeyOrNull(admission, head).bind(),
        owner = arrival.owner,
        configuration = arrival.view.catalogue.configuration,
    )
    requestRun(factsOf(admission, arrival, prompt, salt), passed, arrival.exchange, arrival.dependencies)
}

private fun RequestHead.keyOrNull(): KeyDigest? = authorizedKeyOrNull(BEARER) ?: headers.valueOrNull("x-api-key")?.let(::keyDigestOf)

private fun promptOf(admission: Admission, exchange: Exchange): Either<Refusal, Prompt> = when (admission.service.kind) {
    ServiceKind.MODEL -> parsePrompt(exchange.body).mapLeft { Refusal(RefusalKind.MALFORMED, it.reason) }
    ServiceKind.PLAIN, ServiceKind.STORE -> Either.Right(Prompt(exchange.body, 0, false))
}

private fun ledgerKeyOrNull(admission: Admission, head: RequestHead): Either<Refusal, LedgerKey?> = either {
    val key = head.headers.valueOrNull("idempotency-key") ?: return@either null
    if (admission.route.repetition != Repetition.ONCE_ONLY) return@either null
    if (key.isEmpty() || key.length > LONGEST_IDEMPOTENCY_KEY) {
        raise(Refusal(RefusalKind.MALFORMED, "an idempotency key has 1 to $LONGEST_IDEMPOTENCY_KEY characters"))
    }
    LedgerKey(admission.workspace, admission.route.name, key)
}

private fun factsOf(admission: Admission, arrival: IncomingRequest, prompt: Prompt, salt: Long): AdmittedRequest {
    val isModel = admission.service.kind == ServiceKind.MODEL
    return AdmittedRequest(
        id = arrival.id,
        workspace = admission.workspace,
        key = admission.key,
        route = admission.route,
        digest = requestDigest(admission.route, arrival.head, salt, arrival.exchange.body),
        hash = arrival.hash,
        chain = if (isModel) prefixChain(salt, prompt.text) else persistentListOf(),
        promptTokens = (prompt.text.size / BYTES_PER_TOKEN).toLong() + 1,
        answerTokens = prompt.maxAnswerTokens,
        arrived = arrival.now,
        deadline = arrival.now + admission.route.deadlineMilliseconds.milliseconds,
    )
}
