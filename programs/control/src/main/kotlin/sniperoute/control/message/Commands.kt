/**
 * Commands of the replicated state machine. Each carries the leader's time, so that every replica applies it with the same result.
 */
package sniperoute.control.message

import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import sniperoute.process.clock.Timestamp
import sniperoute.process.codec.SerializableList
import sniperoute.process.identity.FailureDomain
import sniperoute.request.ledger.message.LedgerRequest
import sniperoute.version.decision.Numbering
import sniperoute.version.message.CacheUse
import sniperoute.version.message.Declarations
import sniperoute.version.message.KeyDigest
import sniperoute.version.message.ModelName
import sniperoute.version.message.Move
import sniperoute.version.message.RequestDigest
import sniperoute.version.message.ServiceName
import sniperoute.version.message.WeightsVersion
import sniperoute.version.message.WorkspaceName

/** A command; [at] is the leader's time when it was proposed. */
@Serializable
public sealed interface Command {
    public val at: Timestamp
}

/** Puts [declarations] in force as the configuration after number [follows], checked according to [numbering]. */
@Serializable
public data class SubmitConfiguration(
    override val at: Timestamp,
    public val follows: Long,
    public val digest: String,
    public val operator: String,
    public val declarations: Declarations,
    public val numbering: Numbering = Numbering.NEXT,
) : Command

/**
 * Sets the weights [number] that every endpoint of [model] should serve from now on. A number that isn't above the current one is
 * ignored.
 */
@Serializable
@SerialName("sniperoute.control.message.NameWeights")
public data class SetTargetWeights(
    override val at: Timestamp,
    public val model: ModelName,
    public val number: Long,
    public val operator: String,
) : Command

/** Makes the key with the digest [digest] valid for [workspace]. */
@Serializable
public data class GrantKey(
    override val at: Timestamp,
    public val digest: KeyDigest,
    public val workspace: WorkspaceName,
    public val operator: String,
) : Command

/** Withdraws the key with the digest [digest] permanently. */
@Serializable
public data class WithdrawKey(override val at: Timestamp, public val digest: KeyDigest, public val operator: String) : Command

/** A number of [tokens] of the allowance of [workspace]. */
@Serializable
public data class TokenAmount(public val workspace: WorkspaceName, public val tokens: Long)

/**
 * Advances fleet time in [term], deposits the tokens that routers [returned] unused, and withdraws those that are [wanted]. It is the
 * command that every leader sends regularly, so it also carries the failure domains in which endpoints were [seen] for the first time.
 */
@Serializable
public data class ChangeTokens(
    override val at: Timestamp,
    public val term: Long,
    public val returned: SerializableList<TokenAmount>,
    public val wanted: SerializableList<TokenAmount>,
    public val seen: SerializableList<FailureDomain> = persistentListOf(),
) : Command

/** Applies a router's request to the once-only ledger, or its notice of an endpoint crash. */
@Serializable
public data class ChangeLedger(override val at: Timestamp, public val request: LedgerRequest) : Command

/** Ends the quarantine of the request with the digest [digest]. */
@Serializable
@SerialName("sniperoute.control.message.PardonDigest")
public data class LiftQuarantine(override val at: Timestamp, public val digest: RequestDigest, public val operator: String) : Command

/**
 * Starts a move of [service] to the weights [to]. For a listed service, [to] is a release and [from] the release that most of its
 * endpoints have now.
 */
@Serializable
public data class StartMove(
    override val at: Timestamp,
    public val service: ServiceName,
    public val to: WeightsVersion,
    public val deadlineMilliseconds: Long,
    public val operator: String,
    public val from: WeightsVersion? = null,
) : Command

/** Replaces the move [expected] by [next]; rejected when the current move differs from [expected]. */
@Serializable
public data class AdvanceMove(override val at: Timestamp, public val expected: Move, public val next: Move) : Command

/** Rolls back the move of [service]. */
@Serializable
@SerialName("sniperoute.control.message.TakeBackMove")
public data class RollBackMove(override val at: Timestamp, public val service: ServiceName, public val operator: String) : Command

/** Records that blocks of the [uses] may be cached where other workspaces reach them. */
@Serializable
public data class RecordCacheUses(override val at: Timestamp, public val uses: SerializableList<CacheUse>) : Command

/**
 * Starts the evacuation of [domain] if [isEvacuated], and ends it otherwise. The last command for a failure domain in the log decides; one
 * that asks for what already is the case changes nothing.
 */
@Serializable
public data class SetEvacuation(
    override val at: Timestamp,
    public val domain: FailureDomain,
    public val isEvacuated: Boolean,
    public val operator: String,
) : Command
