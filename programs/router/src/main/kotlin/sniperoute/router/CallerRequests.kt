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
import sniperoute.process.clock.Moment
import sniperoute.request.admission.decision.Admission
import sniperoute.request.admission.decision.Refusal
import sniperoute.request.admission.decision.RefusalKind
import sniperoute.request.admission.decision.RequestTarget
import sniperoute.request.admission.decision.ServingView
import sniperoute.request.admission.decision.admit
import sniperoute.request.admission.decision.requestDigest
import sniperoute.request.ledger.message.LedgerKey
import sniperoute.request.ledger.message.LedgerOwner
import sniperoute.request.prefix.codec.Prompt
import sniperoute.request.prefix.codec.readPrompt
import sniperoute.request.prefix.decision.BYTES_PER_TOKEN
import sniperoute.request.prefix.decision.contentHash
import sniperoute.request.prefix.decision.prefixChain
import sniperoute.request.prefix.decision.workspaceSalt
import sniperoute.request.routing.message.RequestFacts
import sniperoute.request.routing.message.RequestId
import sniperoute.request.run.PassedRequest
import sniperoute.request.run.RequestRun
import sniperoute.request.run.RunOutlets
import sniperoute.request.run.codec.jsonAnswerRules
import sniperoute.request.run.codec.ownDialect
import sniperoute.request.run.requestRun
import sniperoute.version.codec.keyDigestOf
import sniperoute.version.message.KeyDigest
import sniperoute.version.message.Repetition
import sniperoute.version.message.ServiceKind
import kotlin.time.Duration.Companion.milliseconds

private const val BEARER = "Bearer "
private const val LONGEST_IDEMPOTENCY_KEY = 200

private val dialect = ownDialect()

/** Who runs requests here: the parts of a ledger owner that all requests of this process share. */
public typealias OwnerOf = (RequestId) -> LedgerOwner

/** Returns the run of [exchange], or why there is none. */
public fun runOf(
    exchange: Exchange,
    id: RequestId,
    view: ServingView,
    ownerOf: OwnerOf,
    outlets: RunOutlets,
    now: Moment,
): Either<Refusal, RequestRun> = either {
    val target = RequestTarget(exchange.head.path, null, contentHash(id.text.toByteArray()))
    val admission = view.admit(now, target, exchange.head.keyOrNull()).bind()
    val prompt = promptOf(admission, exchange).bind()
    val facts = factsOf(admission, exchange, prompt, id, now)
    val passed = PassedRequest(
        rules = jsonAnswerRules(admission.service.kind, prompt.isStreamed),
        dialect = dialect,
        wantsStream = prompt.isStreamed,
        cacheSalt = workspaceSalt(admission.workspace),
        ledgerKey = ledgerKeyOrNull(admission, exchange.head).bind(),
        owner = ownerOf(id),
        configuration = view.catalogue.configuration,
    )
    requestRun(facts, passed, exchange, outlets)
}

private fun RequestHead.keyOrNull(): KeyDigest? {
    val bearer = headers.valueOrNull("authorization")?.takeIf { it.startsWith(BEARER) }?.removePrefix(BEARER)
    return (bearer ?: headers.valueOrNull("x-api-key"))?.let(::keyDigestOf)
}

private fun promptOf(admission: Admission, exchange: Exchange): Either<Refusal, Prompt> = when (admission.service.kind) {
    ServiceKind.MODEL -> readPrompt(exchange.body).mapLeft { Refusal(RefusalKind.MALFORMED, it.reason) }
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

private fun factsOf(admission: Admission, exchange: Exchange, prompt: Prompt, id: RequestId, now: Moment): RequestFacts {
    val salt = workspaceSalt(admission.workspace)
    val isModel = admission.service.kind == ServiceKind.MODEL
    return RequestFacts(
        id = id,
        workspace = admission.workspace,
        key = admission.key,
        route = admission.route,
        digest = requestDigest(admission.route, exchange.head, salt, exchange.body),
        hash = contentHash(id.text.toByteArray()),
        chain = if (isModel) prefixChain(salt, prompt.text) else persistentListOf(),
        promptTokens = (prompt.text.size / BYTES_PER_TOKEN).toLong() + 1,
        answerTokens = prompt.mostAnswerTokens,
        arrived = now,
        deadline = now + admission.route.deadlineMilliseconds.milliseconds,
    )
}
