/**
 * Commands that the control replicas agree on. Each carries the leader's time, so that every replica decides alike.
 */
package sniperoute.control.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import sniperoute.process.clock.Timestamp
import sniperoute.process.codec.SerializableList
import sniperoute.request.ledger.message.LedgerRequest
import sniperoute.version.decision.Numbering
import sniperoute.version.message.Declarations
import sniperoute.version.message.KeyDigest
import sniperoute.version.message.ModelName
import sniperoute.version.message.Move
import sniperoute.version.message.RequestDigest
import sniperoute.version.message.ServiceName
import sniperoute.version.message.WeightsVersion
import sniperoute.version.message.WorkspaceName

/** A command; [at] is the leader's time. */
@Serializable
public sealed interface Command {
    public val at: Timestamp
}

/** Puts [declarations] in force as the configuration after [follows], or as [numbering] says. */
@Serializable
public data class SubmitConfiguration(
    override val at: Timestamp,
    public val follows: Long,
    public val digest: String,
    public val operator: String,
    public val declarations: Declarations,
    public val numbering: Numbering = Numbering.NEXT,
) : Command

/** Names weights [number] of [model], which every endpoint of that model should serve from now on. */
@Serializable
@SerialName("sniperoute.control.message.NameWeights")
public data class SetTargetWeights(
    override val at: Timestamp,
    public val model: ModelName,
    public val number: Long,
    public val operator: String,
) : Command

/** Lets the key [digest] work for [workspace]. */
@Serializable
public data class GrantKey(
    override val at: Timestamp,
    public val digest: KeyDigest,
    public val workspace: WorkspaceName,
    public val operator: String,
) : Command

/** Stops the key [digest] from working, for good. */
@Serializable
public data class WithdrawKey(override val at: Timestamp, public val digest: KeyDigest, public val operator: String) : Command

/** Tokens of a workspace. */
@Serializable
public data class TokenAmount(public val workspace: WorkspaceName, public val tokens: Long)

/** Advances fleet time in [term], takes back what was not used, and hands out what was asked for. */
@Serializable
public data class ChangeTokens(
    override val at: Timestamp,
    public val term: Long,
    public val returned: SerializableList<TokenAmount>,
    public val wanted: SerializableList<TokenAmount>,
) : Command

/** A router's request of the once-only ledger, or its notice of a death. */
@Serializable
public data class ChangeLedger(override val at: Timestamp, public val request: LedgerRequest) : Command

/** Lets a request that was held back run again. */
@Serializable
@SerialName("sniperoute.control.message.PardonDigest")
public data class LiftQuarantine(override val at: Timestamp, public val digest: RequestDigest, public val operator: String) : Command

/** Starts a move of [service] to the weights [to]; for a listed service they are releases, and [from] is the present one. */
@Serializable
public data class StartMove(
    override val at: Timestamp,
    public val service: ServiceName,
    public val to: WeightsVersion,
    public val deadlineMilliseconds: Long,
    public val operator: String,
    public val from: WeightsVersion? = null,
) : Command

/** Replaces [expected] by [next]; without effect when the move is not [expected] any more. */
@Serializable
public data class AdvanceMove(override val at: Timestamp, public val expected: Move, public val next: Move) : Command

/** Takes the move of [service] back. */
@Serializable
public data class TakeBackMove(override val at: Timestamp, public val service: ServiceName, public val operator: String) : Command
