/**
 * Keys that operators grant and withdraw while traffic runs, beside the declared ones. A withdrawal outlives later
 * declarations of the same key, so that an old file can't bring it back.
 */
package sniperoute.version.decision

import arrow.core.Either
import arrow.core.raise.either
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import sniperoute.version.message.DeclaredKey
import sniperoute.version.message.KeyDigest
import sniperoute.version.message.WorkspaceName

/** Keys granted and withdrawn by command. */
public data class OperatorKeys(
    public val granted: PersistentMap<KeyDigest, WorkspaceName>,
    public val withdrawn: PersistentSet<KeyDigest>,
)

/** Returns the state before the first command. */
public fun noOperatorKeys(): OperatorKeys = OperatorKeys(persistentMapOf(), persistentSetOf())

/** Why a key can't be granted. */
public sealed interface KeyGrantError

/** The key was withdrawn, which is final. */
public data object KeyWasWithdrawn : KeyGrantError

/** The key belongs to [workspace] already. */
public data class KeyOwnedByOtherWorkspace(public val workspace: WorkspaceName) : KeyGrantError

/** No such workspace is declared. */
public data object WorkspaceUnknown : KeyGrantError

/** Returns the state after [digest] was granted to [workspace], or why it can't be. */
public fun OperatorKeys.grant(
    digest: KeyDigest,
    workspace: WorkspaceName,
    holder: WorkspaceName?,
    isDeclared: Boolean,
): Either<KeyGrantError, OperatorKeys> = either {
    if (digest in withdrawn) raise(KeyWasWithdrawn)
    if (!isDeclared) raise(WorkspaceUnknown)
    if (holder != null && holder != workspace) raise(KeyOwnedByOtherWorkspace(holder))
    copy(granted = granted.put(digest, workspace))
}

/** Returns the state after [digest] was withdrawn, whether it was known or not. */
public fun OperatorKeys.withdraw(digest: KeyDigest): OperatorKeys =
    OperatorKeys(granted.remove(digest), withdrawn.add(digest))

/** Returns the keys that work, given those that are [declared]. */
public fun OperatorKeys.effective(declared: List<DeclaredKey>): List<DeclaredKey> {
    val declaredDigests = declared.map { it.digest }.toSet()
    val extra = granted.filterKeys { it !in declaredDigests }.map { (digest, workspace) -> DeclaredKey(digest, workspace) }
    return (declared + extra).filter { it.digest !in withdrawn }
}
