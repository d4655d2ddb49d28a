/**
 * Tests of evacuations in the replicated state: the order of the log decides over any history of commands, resends, changes of the leader
 * and snapshots, and only failure domains that certainly don't exist are refused.
 */
package sniperoute.programs

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.Serializable
import org.junit.jupiter.api.Test
import sniperoute.control.codec.decodeCommand
import sniperoute.control.codec.decodeControlState
import sniperoute.control.codec.encode
import sniperoute.control.decision.*
import sniperoute.control.message.*
import sniperoute.process.clock.Timestamp
import sniperoute.process.codec.SerializableList
import sniperoute.process.codec.encodeToBytes
import sniperoute.process.identity.FailureDomain
import sniperoute.process.timeline.message.EventKind
import sniperoute.version.codec.digest
import sniperoute.version.codec.emptyDeclarations
import sniperoute.version.decision.advance
import sniperoute.version.decision.emptyCatalogue
import sniperoute.version.message.*
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

private val domains = listOf("a", "b", "c").map(::FailureDomain)

private fun ControlDutyDriver.order(domain: FailureDomain, isEvacuated: Boolean) = SetEvacuation(now, domain, isEvacuated, "o")

private fun ControlDutyDriver.set(domain: FailureDomain, isEvacuated: Boolean): CommandResult? {
    val effects = input(OperatorCommandReceived(OperatorRequestId(1), order(domain, isEvacuated))) + commit()
    return effects.filterIsInstance<SendOperatorReply>().single().result
}

private fun listed(name: String, domain: FailureDomain) = ListedEndpoint(
    Endpoint(EndpointName(name), "h", 1, domain, 4, true),
    listedService,
    "1",
    "v1",
    false,
    persistentMapOf(),
)

/** A leader of the platform, with a configuration in force. */
private fun listingDriver() = ControlDutyDriver().also { driver ->
    driver.state = newControlDutyState(100, FleetSettings(readsPlatformList = true))
    driver.submit(SubmitConfiguration(driver.now, 0, emptyDeclarations().digest(), "o", emptyDeclarations()))
}

private fun ControlDutyDriver.list(where: List<FailureDomain>) =
    input(PlatformListRead(where.mapIndexed { index, domain -> listed("e$index", domain) }.toPersistentList()))

/** The fields of a command as an earlier version wrote it to the log. */
@Serializable
private data class EarlierTokens(
    val at: Timestamp,
    val term: Long,
    val returned: SerializableList<TokenAmount>,
    val wanted: SerializableList<TokenAmount>,
)

class EvacuationsTest {
    @Test
    fun `the last command decides, the same again changes nothing, and a configuration leaves evacuations in place`() {
        val driver = ControlDutyDriver()
        val first = driver.set(domains[0], true) as CommandApplied
        expectThat(driver.set(domains[0], true)).isEqualTo(CommandApplied(first.revision))
        val declarations = emptyDeclarations()
        driver.submit(SubmitConfiguration(driver.now, 0, declarations.digest(), "o", declarations))
        driver.set(domains[1], false)
        expectThat(driver.state.replicatedState.evacuatedDomains()).isEqualTo(listOf(domains[0]))
        val reply = RenewReply(
            1,
            1,
            2,
            1,
            true,
            driver.state.replicatedState.published.changes.values
                .toPersistentList(),
        )
        expectThat(emptyCatalogue().advance(reply).evacuated.toList()).isEqualTo(listOf(domains[0]))
        driver.set(domains[0], false)
        expectThat(driver.state.replicatedState.evacuatedDomains()).isEmpty()
        expectThat(driver.set(domains[0], false)).isA<CommandApplied>()
    }

    @Test
    fun `the endpoints of a failure domain are cold when its evacuation ends, and routers are told so first`() {
        val driver = ControlDutyDriver()
        driver.state = newControlDutyState(100, FleetSettings(readsPlatformList = true))
        val warmUp = WarmUp(3_000, 8.4)
        val service = Service(listedService, ServiceKind.PLAIN, persistentListOf(), null, null, isListed = true, warmUp = warmUp)
        val declarations = emptyDeclarations().copy(services = persistentListOf(service))
        driver.submit(SubmitConfiguration(driver.now, 0, declarations.digest(), "o", declarations))
        driver.list(domains)
        driver.session(RenewRequest(0, persistentListOf()))
        driver.set(domains[1], true)
        driver.input(OperatorCommandReceived(OperatorRequestId(1), driver.order(domains[1], false)))
        val notices = driver.commit().filterIsInstance<NotifyRouters>().map { it.message }
        expectThat(
            driver.state.leaderState!!
                .warming.byEndpoint.keys
                .toList(),
        ).isEqualTo(listOf(EndpointName("e1")))
        expectThat(notices.indexOfFirst { it is FleetNotice }).isEqualTo(0)
        expectThat(notices.last()).isA<ChangeNotice>()
    }

    @Test
    fun `a command is acknowledged only once it is committed, and each change is recorded once`() {
        val driver = ControlDutyDriver()
        val early = driver.input(OperatorCommandReceived(OperatorRequestId(1), driver.order(domains[0], true)))
        expectThat(early.filterIsInstance<SendOperatorReply>()).isEmpty()
        val kinds = { effects: List<ControlEffect> -> effects.filterIsInstance<RecordTimelineEvent>().map { it.kind } }
        expectThat(kinds(driver.commit())).isEqualTo(listOf(EventKind.EVACUATION_STARTED))
        driver.input(OperatorCommandReceived(OperatorRequestId(2), driver.order(domains[0], true)))
        expectThat(kinds(driver.commit())).isEmpty()
        driver.input(OperatorCommandReceived(OperatorRequestId(3), driver.order(domains[0], false)))
        expectThat(kinds(driver.commit())).isEqualTo(listOf(EventKind.EVACUATION_ENDED))
    }

    @Test
    fun `an evacuation is reported as in force everywhere once every live router has it`() {
        val driver = ControlDutyDriver()
        driver.session(RenewRequest(0, persistentListOf()))
        driver.advance(4.seconds)
        driver.session(RenewRequest(0, persistentListOf()))
        driver.set(domains[0], true)
        val kinds = { effects: List<ControlEffect> -> effects.filterIsInstance<RecordTimelineEvent>().map { it.kind } }
        expectThat(kinds(driver.session(RenewRequest(0, persistentListOf())))).isEmpty()
        val expected = listOf(EventKind.CONFIGURATION_IN_FORCE_EVERYWHERE, EventKind.EVACUATION_IN_FORCE_EVERYWHERE)
        expectThat(kinds(driver.session(RenewRequest(1, persistentListOf())))).isEqualTo(expected)
        expectThat(kinds(driver.session(RenewRequest(1, persistentListOf())))).isEmpty()
    }

    /** Commits in the order of the log; a new leader may or may not have the proposals of the last one. */
    @Test
    fun `over any history the evacuations are those that the committed commands say, and no acknowledged one is lost`() {
        var changed = 0
        repeat(60) { seed ->
            val random = Random(seed)
            val driver = ControlDutyDriver()
            var expected = emptySet<FailureDomain>()
            val commit = {
                val orders = driver.openProposals.mapNotNull { it.command as? SetEvacuation }
                orders.forEach { expected = if (it.isEvacuated) expected + it.domain else expected - it.domain }
                changed += orders.size
                val replies = driver.commit().filterIsInstance<SendOperatorReply>()
                expectThat(replies.all { it.result is CommandApplied }).isTrue()
            }
            var last = driver.order(domains[0], false)
            repeat(120) { number ->
                when (random.nextInt(8)) {
                    0 -> {
                        val isReplicated = random.nextBoolean()
                        val replies = driver
                            .run {
                                isLeader = false
                                term += 1
                                input(null)
                            }.filterIsInstance<SendOperatorReply>()
                        expectThat(replies.all { it.result == null && it.mayHaveRun }).isTrue()
                        if (isReplicated) commit() else driver.openProposals.clear()
                        driver.isLeader = true
                        driver.input(null)
                    }
                    1 -> {
                        val state = driver.state.replicatedState
                        val restored = decodeControlState(state.encode()).getOrNull()
                        expectThat(restored).isEqualTo(state)
                        driver.input(SnapshotRestored(driver.state.appliedIndex, restored))
                    }
                    2, 3 -> driver.input(OperatorCommandReceived(OperatorRequestId(number.toLong()), last))
                    4, 5 -> commit()
                    else -> {
                        last = driver.order(domains.random(random), random.nextBoolean())
                        driver.input(OperatorCommandReceived(OperatorRequestId(number.toLong()), last))
                    }
                }
                val found = driver.state.replicatedState
                    .evacuatedDomains()
                    .toSet()
                expectThat(found).describedAs("seed $seed, input $number").isEqualTo(expected)
            }
        }
        expectThat(changed).isGreaterThan(1_000)
    }

    @Test
    fun `a domain without any endpoint ever is unknown only to a leader with a recent list`() {
        val driver = listingDriver()
        val absent = FailureDomain("absent")
        expectThat(driver.set(absent, true)).describedAs("no list was read").isA<CommandApplied>()
        driver.set(absent, false)
        driver.list(domains.take(2))
        expectThat(driver.set(absent, true)).isA<SubjectUnknown>()
        expectThat(driver.state.replicatedState.evacuatedDomains()).isEmpty()
        expectThat(driver.set(absent, false)).describedAs("an end").isA<CommandApplied>()
        expectThat(driver.set(domains[1], true)).isA<CommandApplied>()
        driver.advance(6.seconds)
        expectThat(driver.set(absent, true)).describedAs("the list is old").isA<CommandApplied>()
        driver.list(domains.take(1))
        expectThat(driver.set(absent, true)).describedAs("it is evacuated").isA<CommandApplied>()
    }

    @Test
    fun `a domain whose endpoints all vanished from the list stays known, also to a new leader and after a snapshot`() {
        val driver = listingDriver()
        driver.list(domains.take(2))
        driver.advance(2.seconds)
        driver.term += 1
        val state = driver.state.replicatedState
        driver.input(SnapshotRestored(driver.state.appliedIndex, decodeControlState(state.encode()).getOrNull()))
        driver.list(domains.take(1))
        expectThat(driver.set(domains[2], true)).isA<SubjectUnknown>()
        expectThat(driver.set(domains[1], true)).isA<CommandApplied>()
    }

    @Test
    fun `commands and states without the new fields decode`() {
        val tokens = ChangeTokens(Timestamp(5), 2, persistentListOf(), persistentListOf())
        val earlier = EarlierTokens.serializer().encodeToBytes(EarlierTokens(Timestamp(5), 2, persistentListOf(), persistentListOf()))
        val now = ChangeTokens.serializer().encodeToBytes(tokens)
        expectThat(now.toList()).describedAs("nothing is written for an empty field").isEqualTo(earlier.toList())
        expectThat(decodeCommand(tokens.encode()).getOrNull()).isEqualTo(tokens)
        val state = newControlState().encode()
        expectThat(String(state, Charsets.ISO_8859_1).contains("domains")).isEqualTo(false)
        expectThat(decodeControlState(state).getOrNull()).isEqualTo(newControlState())
    }

    @Test
    fun `names that no failure domain can have are refused`() {
        listOf("", " ", "a\nb", "a".repeat(MAX_DOMAIN_NAME_LENGTH + 1)).forEach { expectThat(domainNameOrNull(it)).isNull() }
        listOf("east-1", "Domain 1", "ö/1").forEach { expectThat(domainNameOrNull(it)).isNotNull() }
    }
}
