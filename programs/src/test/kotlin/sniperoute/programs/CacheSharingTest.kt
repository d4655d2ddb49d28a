/**
 * Tests of the history of shared cache blocks over generated histories of configurations, changes of the leader, snapshots, and routers
 * that lag behind, lose their renewals or start anew.
 */
package sniperoute.programs

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.junit.jupiter.api.Test
import sniperoute.control.codec.decodeControlState
import sniperoute.control.codec.encode
import sniperoute.control.decision.*
import sniperoute.control.message.*
import sniperoute.process.timeline.message.EventKind
import sniperoute.version.codec.digest
import sniperoute.version.codec.emptyDeclarations
import sniperoute.version.decision.*
import sniperoute.version.message.*
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val names = listOf("t1", "t2", "t3").map(::WorkspaceName)
private val groups = listOf(0, 7, 255).map(::CacheGroup)

private fun declarations(isolated: Map<WorkspaceName, Boolean>): Declarations = emptyDeclarations().copy(
    workspaces = isolated.map { (name, isIsolated) -> Workspace(name, 1_000, 5_000, isIsolated = isIsolated) }.toPersistentList(),
)

private fun ControlDutyDriver.configure(isolated: Map<WorkspaceName, Boolean>): List<ControlEffect> {
    val declarations = declarations(isolated)
    val number = state.replicatedState.configurations.number
    input(OperatorCommandReceived(OperatorRequestId(1), SubmitConfiguration(now, number, declarations.digest(), "o", declarations)))
    return commit()
}

/** Drops the leader, whose open proposals are committed or lost; the next one has what was committed. */
private fun ControlDutyDriver.changeLeader(isReplicated: Boolean) {
    isLeader = false
    term += 1
    input(null)
    if (isReplicated) commit() else openProposals.clear()
    isLeader = true
    input(null)
}

private fun ControlDutyDriver.restoreSnapshot() {
    val replicated = state.replicatedState
    val restored = decodeControlState(replicated.encode()).getOrNull()
    expectThat(restored).isEqualTo(replicated)
    input(SnapshotRestored(state.appliedIndex, restored))
}

/** A router that serves by [catalogue]: it repeats its [uses] until they are recorded, and loses them when it starts anew. */
private class CatalogueFollower(private val name: String) {
    var catalogue = emptyCatalogue()
    private var uses = emptySet<CacheUse>()

    fun renew(driver: ControlDutyDriver, isReplyLost: Boolean = false) {
        val request = RenewRequest(catalogue.revision, persistentListOf(), cacheUses = uses.toPersistentList())
        val reply = driver
            .session(request, name)
            .filterIsInstance<SendSessionReply>()
            .map { it.message }
            .filterIsInstance<RenewReply>()
        if (isReplyLost || reply.isEmpty()) return
        catalogue = catalogue.advance(reply.single())
        uses = uses.filter(catalogue::isUnrecorded).toSet()
    }

    fun restart() {
        catalogue = emptyCatalogue()
        uses = emptySet()
    }

    /** Returns the partition of a request, which it serves. */
    fun serve(use: CacheUse): CachePartition {
        if (catalogue.isUnrecorded(use)) uses = uses + use
        return catalogue.cachePartition(use.workspace, use.group)
    }
}

/** The newest catalogue, as a router has it after all pages of it. */
private fun ControlDutyDriver.newestCatalogue(): Catalogue {
    val published = state.replicatedState.published
    return emptyCatalogue().advance(RenewReply(1, 1, published.revision, 1, true, published.changes.values.toPersistentList()))
}

class CacheSharingTest {
    private val driver = ControlDutyDriver()
    private val shared = names.associateWith { false }

    /** Has the uses of [router] recorded. */
    private fun record(router: CatalogueFollower) {
        router.renew(driver)
        driver.advance(500.milliseconds)
        router.renew(driver)
    }

    private fun share(router: CatalogueFollower, vararg uses: CacheUse) {
        router.renew(driver)
        uses.forEach { router.serve(it) }
        record(router)
    }

    @Test
    fun `a workspace shares a group only once that is recorded, and has its own blocks until then`() {
        val router = CatalogueFollower("r1")
        driver.configure(shared)
        router.renew(driver)
        val use = CacheUse(names[0], groups[0])
        expectThat(router.serve(use)).isEqualTo(OwnPartition(names[0]))
        record(router)
        expectThat(router.serve(use)).isEqualTo(SharedPartition(0))
        expectThat(router.serve(CacheUse(names[0], groups[1]))).isEqualTo(OwnPartition(names[0]))
        expectThat(router.catalogue.cachePartition(null, groups[0])).isEqualTo(SharedPartition(0))
    }

    @Test
    fun `only the groups that an isolated workspace used get a new generation, once for each time that it becomes isolated`() {
        val router = CatalogueFollower("r1")
        driver.configure(shared)
        share(router, CacheUse(names[0], groups[0]), CacheUse(names[0], groups[1]), CacheUse(names[1], groups[0]))
        val effects = driver.configure(shared + (names[1] to true))
        val events = effects.filterIsInstance<RecordTimelineEvent>().filter { it.kind == EventKind.CACHE_SEPARATED }
        expectThat(events.map { it.subject.workspace }).isEqualTo(listOf("t2"))
        val separated = driver.newestCatalogue()
        expectThat(separated.cacheGenerations.keys.toList()).isEqualTo(listOf(groups[0]))
        expectThat(separated.cachePartition(names[1], groups[0])).isEqualTo(OwnPartition(names[1]))
        expectThat(separated.cachePartition(names[0], groups[1])).isEqualTo(SharedPartition(0))
        driver.configure(shared + (names[1] to true) + (WorkspaceName("new") to true))
        expectThat(driver.newestCatalogue().cacheGenerations).isEqualTo(separated.cacheGenerations)
    }

    @Test
    fun `a workspace that was removed while it shared blocks is separated when it is declared again as isolated`() {
        val router = CatalogueFollower("r1")
        driver.configure(shared)
        share(router, CacheUse(names[0], groups[0]), CacheUse(names[1], groups[0]))
        val before = router.catalogue.cachePartition(names[0], groups[0])
        driver.configure(shared - names[1])
        expectThat(driver.newestCatalogue().cachePartition(names[0], groups[0])).isEqualTo(before)
        expectThat(driver.newestCatalogue().cachePartition(names[1], groups[0])).isEqualTo(OwnPartition(names[1]))
        driver.restoreSnapshot()
        driver.configure(shared + (names[1] to true))
        expectThat(driver.newestCatalogue().cachePartition(names[0], groups[0]) == before).isEqualTo(false)
    }

    @Test
    fun `uses of an isolated or unknown workspace and of impossible groups are not recorded, and only routers that wait hear of others`() {
        driver.configure(shared + (names[1] to true))
        val uses = listOf(CacheUse(names[1], groups[0]), CacheUse(WorkspaceName("x"), groups[0]), CacheUse(names[0], CacheGroup(256)))
        driver.session(RenewRequest(0, persistentListOf(), cacheUses = uses.toPersistentList()))
        driver.advance(1.seconds)
        expectThat(driver.newestCatalogue().cacheSharers).isEmpty()
        driver.session(RenewRequest(0, persistentListOf()))
        driver.session(RenewRequest(0, persistentListOf(), cacheUses = persistentListOf(CacheUse(names[0], groups[0]))), link = 7)
        val notices = driver.commit().filterIsInstance<NotifyRouters>()
        expectThat(notices.map { it.links.toList() }).isEqualTo(listOf(listOf(LinkId(7))))
        expectThat(
            driver
                .newestCatalogue()
                .cacheSharers.keys
                .toList(),
        ).isEqualTo(listOf(names[0]))
    }

    @Test
    fun `the history of workspaces that come and go is bounded, and what it forgets is out of reach`() {
        val gone = List(1_001) { WorkspaceName("gone$it") }
        driver.configure(gone.associateWith { false })
        gone.chunked(1_000).forEach { part ->
            driver.session(RenewRequest(0, persistentListOf(), cacheUses = part.map { CacheUse(it, groups[0]) }.toPersistentList()))
            driver.advance(1.seconds)
        }
        expectThat(driver.newestCatalogue().cacheSharers.size).isEqualTo(1_001)
        driver.configure(shared)
        expectThat(driver.newestCatalogue().cacheSharers.size).isEqualTo(1_000)
        expectThat(
            driver
                .newestCatalogue()
                .cacheGenerations.keys
                .toList(),
        ).isEqualTo(listOf(groups[0]))
    }

    /** Each partition remembers who made blocks in it, whatever happens to the processes. */
    @Test
    fun `over any history no request reaches a block of another workspace when one of the two is isolated`() {
        var checked = 0
        var separations = 0
        repeat(60) { seed ->
            val random = Random(seed)
            val driver = ControlDutyDriver()
            val routers = List(3) { CatalogueFollower("r$it") }
            val makers = mutableMapOf<Pair<CachePartition, CacheGroup>, Set<WorkspaceName>>()
            val users = mutableMapOf<CacheGroup, Set<WorkspaceName>>()
            var isolated = shared
            driver.configure(isolated)
            repeat(300) { number ->
                val router = routers.random(random)
                when (random.nextInt(24)) {
                    0 -> {
                        isolated = names.filter { random.nextInt(5) > 0 }.associateWith { random.nextInt(3) == 0 }
                        val before = driver.newestCatalogue().cacheGenerations
                        driver.configure(isolated)
                        val renewed = driver.newestCatalogue().cacheGenerations.filter { (group, generation) ->
                            before[group] != generation
                        }
                        separations += renewed.size
                        val needless = renewed.keys.filter { group -> users[group].orEmpty().none { isolated[it] == true } }
                        expectThat(needless).describedAs("seed $seed, input $number").isEmpty()
                    }
                    1 -> driver.changeLeader(random.nextBoolean())
                    2 -> driver.restoreSnapshot()
                    3 -> router.restart()
                    in 4..7 -> driver.advance(250.milliseconds)
                    in 8..13 -> router.renew(driver, isReplyLost = random.nextInt(4) == 0)
                    else -> {
                        val use = CacheUse(names.random(random), groups.random(random))
                        val partition = router.serve(use)
                        val place = partition to use.group
                        users[use.group] = users[use.group].orEmpty() + use.workspace
                        val isNewest = router.catalogue.revision == driver.state.replicatedState.published.revision
                        val others = makers[place].orEmpty() - use.workspace
                        if (isNewest && router.catalogue.revision > 0) {
                            val broken = others.filter { isolated[it] == true || isolated[use.workspace] == true }
                            expectThat(broken).describedAs("seed $seed, input $number: $use in $partition").isEmpty()
                            if (others.isNotEmpty()) checked += 1
                        }
                        if (router.catalogue.revision > 0) makers[place] = makers[place].orEmpty() + use.workspace
                    }
                }
            }
        }
        println("$checked requests that reach blocks of others, $separations new generations")
        expectThat(checked).describedAs("requests that reach blocks of others").isGreaterThan(300)
        expectThat(separations).isGreaterThan(100)
    }
}
