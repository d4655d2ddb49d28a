/**
 * Keys that operators grant and withdraw at run time, in addition to the declared keys. A withdrawal stays in force when the same key
 * is declared again, so that an old file cannot restore it.
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

/** The keys that operators have [granted] and [withdrawn]. */
public data class OperatorKeys(
    public val granted: PersistentMap<KeyDigest, WorkspaceName>,
    public val withdrawn: PersistentSet<KeyDigest>,
)

/** Returns the state without any granted or withdrawn key. */
public fun noOperatorKeys(): OperatorKeys = OperatorKeys(persistentMapOf(), persistentSetOf())

/** The reason why a key cannot be granted. */
public sealed interface KeyGrantError

/** The key was withdrawn, which cannot be undone. */
public data object KeyWasWithdrawn : KeyGrantError

/** The key belongs to another workspace, [workspace]. */
public data class KeyOwnedByOtherWorkspace(public val workspace: WorkspaceName) : KeyGrantError

/** No such workspace is declared. */
public data object WorkspaceUnknown : KeyGrantError

/**
 * Returns the state with the key [digest] granted to [workspace], or why it cannot be granted. [holder] is the workspace that has the
 * key now, if any, and [isDeclared] whether [workspace] is declared.
 */
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

/** Returns the state with the key [digest] withdrawn, whether or not it is known. */
public fun OperatorKeys.withdraw(digest: KeyDigest): OperatorKeys =
    OperatorKeys(granted.remove(digest), withdrawn.add(digest))

/** Returns the keys in force: those [declared] and those granted, without those withdrawn. */
public fun OperatorKeys.effective(declared: List<DeclaredKey>): List<DeclaredKey> {
    val declaredDigests = declared.map { it.digest }.toSet()
    val additional = granted.filterKeys { it !in declaredDigests }.map { (digest, workspace) -> DeclaredKey(digest, workspace) }
    return (declared + additional).filter { it.digest !in withdrawn }
}
