/**
 * Numbered configurations, operators' keys, leases, declaration files, and the catalogue that routers build from changes.
 */
package sniperoute.version

import io.kotest.property.Arb
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import sniperoute.process.clock.Timestamp
import sniperoute.process.identity.Incarnation
import sniperoute.process.identity.VmName
import sniperoute.version.codec.DeclarationFile
import sniperoute.version.codec.digest
import sniperoute.version.codec.emptyDeclarations
import sniperoute.version.codec.keyDigestOf
import sniperoute.version.codec.readDeclarations
import sniperoute.version.decision.*
import sniperoute.version.message.*
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ConfigurationsTest {
    private fun submission(follows: Long, name: String): Submission {
        val declarations = emptyDeclarations().copy(workspaces = persistentListOf(Workspace(WorkspaceName(name), 1, 1)))
        return Submission(follows, declarations.digest(), "operator", declarations)
    }

    @Test
    fun `the first submission for a number is accepted, a resend gets the same result, another one gets a conflict with the winner`() {
        val first = submission(0, "a")
        val state = noConfiguration().accept(first, revision = 4)
        expectThat(noConfiguration().evaluate(first)).isA<SubmissionAccepted>()
        expectThat(state.evaluate(first)).isEqualTo(SubmissionAlreadyAccepted(1, 4))
        val conflict = state.evaluate(submission(0, "b"))
        expectThat(conflict).isEqualTo(SubmissionConflict(1, state.winners.getValue(1), 1))
        expectThat(state.accept(submission(1, "c"), 5).evaluate(first)).isEqualTo(SubmissionAlreadyAccepted(1, 4))
    }

    @Test
    fun `a submission that follows a number not yet accepted is refused`() {
        expectThat(noConfiguration().evaluate(submission(7, "a"))).isEqualTo(SubmissionConflict(8, null, 0))
    }

    @Test
    fun `a withdrawn key stays withdrawn when an old file declares it again`() {
        val key = DeclaredKey(keyDigestOf("secret"), WorkspaceName("w"))
        val keys = noOperatorKeys().withdraw(key.digest)
        expectThat(keys.effective(listOf(key))).isEqualTo(emptyList())
        expectThat(keys.grant(key.digest, key.workspace, null, isDeclared = true).leftOrNull()).isEqualTo(KeyWasWithdrawn)
    }

    @Test
    fun `a router that applies changes in any batches ends with the items in force`() {
        runBlocking {
            checkAll(Arb.long()) { seed ->
                val random = Random(seed)
                var published = noPublishedItems()
                var catalogue = emptyCatalogue()
                repeat(60) {
                    val workspace = Workspace(WorkspaceName("w${random.nextInt(6)}"), random.nextLong(1, 100), 1)
                    val item = WorkspaceItem(workspace)
                    published =
                        if (random.nextInt(3) == 0) published.publish(emptyList(), listOf(item.name)) else published.publish(listOf(item))
                    if (random.nextInt(4) == 0) catalogue = catalogue.follow(published)
                }
                catalogue = catalogue.follow(published)
                val expected = published.changes.values
                    .mapNotNull { (it.item as? WorkspaceItem)?.workspace }
                    .toSet()
                expectThat(catalogue.workspaces.values.toSet()).isEqualTo(expected)
            }
        }
    }

    private fun Catalogue.follow(published: PublishedItems): Catalogue {
        val since = published.pageSince(revision)
        return advance(RenewReply(1, 1, published.revision, 0, since.isWhole, since.changes))
    }

    @Test
    fun `a catalogue never returns to an older revision`() {
        val newer = emptyCatalogue().copy(revision = 9)
        expectThat(newer.advance(RenewReply(1, 1, 8, 0, true, persistentListOf()))).isEqualTo(newer)
    }

    @Test
    fun `a revision is in force everywhere only when no router can serve by an older one`() {
        val start = Timestamp(1_000_000_000)
        val router = RouterName(VmName("r1"), Incarnation(1))
        val leases = newLeases(start, 900.milliseconds).renew(router, 3, start + 4.seconds)
        expectThat(leases.report(3, start + 1.seconds).isEverywhere).describedAs("an earlier leader's leases may be valid").isFalse()
        expectThat(leases.report(3, start + 5.seconds).isEverywhere).isTrue()
        expectThat(leases.report(4, start + 5.seconds).isEverywhere).isFalse()
        expectThat(leases.report(4, start + 4.seconds + LEASE_DURATION).isEverywhere).describedAs("the router's lease expired").isTrue()
    }

    @Test
    fun `conflicting declarations are refused as a whole, each error with its file and position`() {
        val one = DeclarationFile("a/sniperoute.json", """{"workspaces": [{"name": "w", "tokensPerSecond": 5, "burstTokens": 5}]}""")
        val two = DeclarationFile(
            "b/sniperoute.json",
            """{
              "workspaces": [{"name": "w", "tokensPerSecond": 9, "burstTokens": 9}],
              "keys": [{"sha256": "${keyDigestOf("k").text}", "workspace": "nobody"}],
              "routes": [{"name": "r", "path": "/x", "service": "none", "class": "status", "calls": "repeatable"}]
            }""",
        )
        expectThat(readDeclarations(listOf(one)).isRight()).isTrue()
        val refused = readDeclarations(listOf(one, two)).leftOrNull()!!.describe()
        expectThat(refused)
            .contains("b/sniperoute.json:2")
            .contains("declared 2 times")
            .contains("workspace \"nobody\" is not declared")
            .contains("b/sniperoute.json:4")
            .contains("service \"none\" is not declared")
    }

    @Test
    fun `the longest matching path wins, and only whole path segments match`() {
        val routes = listOf("/a", "/a/b").mapIndexed { index, path ->
            Route(RouteName("r$index"), path, ServiceName("s"), RequestClass.STATUS, 1, 1, Repetition.REPEATABLE, false)
        }
        val changes = routes.map { ItemChange(1, RouteItem(it).name, RouteItem(it)) }
        val catalogue = emptyCatalogue().advance(RenewReply(1, 1, 1, 1, true, persistentListOf<ItemChange>().addAll(changes)))
        expectThat(catalogue.routeOrNull("/a/b/c")?.name?.text).isEqualTo("r1")
        expectThat(catalogue.routeOrNull("/a/x")?.name?.text).isEqualTo("r0")
        expectThat(catalogue.routeOrNull("/ab")).isNull()
    }
}
