/**
 * A router that receives the catalogue in pages of any length while it changes. Guards against parts of a configuration that are lost, come
 * back or are served before the rest has arrived.
 */
package sniperoute.version

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import sniperoute.process.identity.FailureDomain
import sniperoute.version.codec.encode
import sniperoute.version.decision.*
import sniperoute.version.message.*
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNull
import kotlin.random.Random

class ChangePagesTest {
    private fun PublishedItems.replyTo(catalogue: Catalogue, incoming: IncomingCatalogue?, maxBytes: Int): RenewReply {
        val page = pageSince(catalogue.revision, incoming?.cursor, maxBytes)
        return RenewReply(1, 1, revision, 0, page.isWhole, page.changes, continues = page.continues, next = page.next)
    }

    /** Forgets the removals up to some revision, as a long history of them does. */
    private fun PublishedItems.forgetAny(random: Random): PublishedItems {
        val compacted = random.nextLong(forgotten, revision + 1)
        return copy(forgotten = compacted, changes = changes.filterValues { it.item != null || it.revision > compacted }.toPersistentMap())
    }

    private fun PublishedItems.workspaces(): Set<Workspace> =
        changes.values.mapNotNull { (it.item as? WorkspaceItem)?.workspace }.toSet()

    private fun PublishedItems.changeAny(random: Random): PublishedItems {
        val items = List(random.nextInt(1, 5)) {
            WorkspaceItem(Workspace(WorkspaceName("w${random.nextInt(30)}"), random.nextLong(1, 100), 1))
        }.distinctBy { it.name }
        return if (random.nextInt(3) == 0) publish(emptyList(), items.map { it.name }) else publish(items)
    }

    @Test
    fun `a router that receives pages of any length beside changes and compactions serves what was in force at some revision, whole`() {
        runBlocking {
            checkAll(PropTestConfig(seed = 45, iterations = 300), Arb.long()) { seed ->
                val random = Random(seed)
                var published = noPublishedItems()
                var catalogue = emptyCatalogue()
                var incoming: IncomingCatalogue? = null
                val inForce = mutableMapOf(0L to emptySet<Workspace>())

                fun receivePage() {
                    val reply = published.replyTo(catalogue, incoming, random.nextInt(1, 4_000))
                    if (reply.next == null) {
                        catalogue = catalogue.advance(incoming.join(reply))
                        expectThat(catalogue.workspaces.values.toSet()).describedAs("seed $seed").isEqualTo(inForce[catalogue.revision])
                    }
                    incoming = incoming.withPage(reply)
                }
                repeat(120) {
                    when (random.nextInt(8)) {
                        in 0..3 -> published = published.changeAny(random)
                        4 -> if (random.nextInt(4) == 0) published = published.forgetAny(random)
                        else -> receivePage()
                    }
                    inForce[published.revision] = published.workspaces()
                }
                repeat(60) { receivePage() }
                expectThat(catalogue.revision).isEqualTo(published.revision)
            }
        }
    }

    @Test
    fun `a reply with a page that was received before changes nothing of what has been received since`() {
        val published = noPublishedItems().publish(List(30) { WorkspaceItem(Workspace(WorkspaceName("w$it"), 1, 1)) })
        val first = published.replyTo(emptyCatalogue(), null, maxBytes = 4_000)
        val received = null.withPage(first)
        val second = published.replyTo(emptyCatalogue(), received, maxBytes = 4_000)
        expectThat(received.isFollowedBy(first, requested = null)).isEqualTo(false)
        expectThat(received.isFollowedBy(second, requested = received?.cursor)).isEqualTo(true)
        expectThat(
            received
                .withPage(second)
                ?.changes
                .orEmpty()
                .map { it.name }
                .distinct(),
        ).hasSize(first.changes.size + second.changes.size)
    }

    @Test
    fun `pages of all kinds of items keep to their length when they are encoded, and are not much shorter`() {
        val endpoints = List(70) { Endpoint(EndpointName("endpoint-$it"), "10.0.0.$it", 8_080, FailureDomain("domain-a"), 16, true) }
        val weights = WeightsVersion("2026-12-01")
        val services = List(20) {
            Service(ServiceName("service-$it"), ServiceKind.MODEL, endpoints.toPersistentList(), weights, DeclaredMove(weights, 60_000))
        }
        val shares = services.take(3).map { RouteShare(it.name, 1) }.toPersistentList()
        val routes = List(1_000) {
            Route(
                name = RouteName("route-of-a-service-$it"),
                path = "/a/rather/long/path/$it",
                service = services.first().name,
                requestClass = RequestClass.DRAFTING,
                deadlineMilliseconds = 15_000,
                gapMilliseconds = 1_000,
                repetition = Repetition.ONCE_ONLY,
                isOpen = false,
                host = "shop.example",
                shares = if (it % 2 == 0) shares else persistentListOf(),
                rank = 2,
                mostEndpoints = 2,
                objectiveMilliseconds = 800,
                isStreamed = true,
                isResumable = false,
            )
        }
        val quarantines = List(50) { list -> BlockQuarantineItem(List(20) { BlockId("block-$list-$it") }.toPersistentList()) }
        val items = services.map(::ServiceItem) + routes.map(::RouteItem) + quarantines
        val published = noPublishedItems().publish(items)
        var incoming: IncomingCatalogue? = null
        val lengths = mutableListOf<Int>()
        do {
            val reply = published.replyTo(emptyCatalogue(), incoming, MAX_PAGE_BYTES)
            lengths += reply.encode().size
            incoming = incoming.withPage(reply)
        } while (incoming != null)
        expectThat(lengths.max()).isLessThan(MAX_PAGE_BYTES)
        expectThat(lengths.dropLast(1).min()).isGreaterThan(MAX_PAGE_BYTES / 4)
        expectThat(published.pageSince(0, maxBytes = Int.MAX_VALUE).next).isNull()
    }
}
