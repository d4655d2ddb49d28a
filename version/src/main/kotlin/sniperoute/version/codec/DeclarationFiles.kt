/**
 * Declaration files: short JSON files with comments, kept beside each service's code. Each file may declare workspaces, keys,
 * services and routes; all files of a submission are checked together.
 */
package sniperoute.version.codec

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList
import sniperoute.process.identity.FailureDomain
import sniperoute.process.settings.InvalidFile
import sniperoute.process.settings.ObjectReader
import sniperoute.process.settings.SourcePosition
import sniperoute.process.settings.ValidationError
import sniperoute.process.settings.readValidated
import sniperoute.version.decision.problems
import sniperoute.version.message.*

private val NAME_PATTERN = Regex("[a-z0-9][a-z0-9.-]{0,62}")
private val DIGEST_PATTERN = Regex("[0-9a-f]{64}")
private val PATH_PATTERN = Regex("/[A-Za-z0-9._~/-]*")
private val TOKEN_RANGE = 1L..1_000_000_000L
private val PORT_RANGE = 1L..65_535L
private val SLOT_RANGE = 1L..10_000L
private val DEADLINE_RANGE = 10L..3_600_000L
private val MOVE_DEADLINE_RANGE = 1_000L..86_400_000L
private const val DEFAULT_DEADLINE = 60_000L
private const val DEFAULT_GAP = 2_000L

/** A file's name and its text. */
public data class DeclarationFile(public val name: String, public val text: String)

/** Returns what [files] declare together, or every mistake in any of them. */
public fun readDeclarations(files: List<DeclarationFile>): Either<InvalidFile, Declarations> {
    val read = files.map { file -> readValidated(file.name, file.text) { placedDeclarations() } }
    val mistakes = read.flatMap { result -> result.fold({ it.errors }, { emptyList() }) }
    if (mistakes.isNotEmpty()) return InvalidFile(mistakes.toImmutableList()).left()
    val parts = read.mapNotNull { it.getOrNull() }
    val all = parts.map { it.declarations }.merge()
    val positions = parts.fold(emptyMap<String, SourcePosition>()) { known, part -> known + part.positions }
    val problems = all.problems().map { problem ->
        val position = positions[problem.subject] ?: SourcePosition(files.firstOrNull()?.name ?: "declarations", 1, 1)
        ValidationError(position, "${problem.subject}: ${problem.problem}", problem.expected)
    }
    return if (problems.isEmpty()) all.right() else InvalidFile(problems.toImmutableList()).left()
}

private data class PlacedDeclarations(val declarations: Declarations, val positions: Map<String, SourcePosition>)

private fun List<Declarations>.merge(): Declarations = Declarations(
    workspaces = flatMap { it.workspaces }.sortedBy { it.name }.toImmutableList(),
    keys = flatMap { it.keys }.sortedBy { it.digest.text }.toImmutableList(),
    services = flatMap { it.services }.sortedBy { it.name }.toImmutableList(),
    routes = flatMap { it.routes }.sortedBy { it.name }.toImmutableList(),
)

private data class Placed<T>(val value: T, val position: SourcePosition)

private fun <T> ObjectReader.placed(read: ObjectReader.() -> T): Placed<T> = Placed(read(), position)

private fun ObjectReader.placedDeclarations(): PlacedDeclarations {
    val workspaces = objects("workspaces", optional = true) { placed { workspace() } }
    val keys = objects("keys", optional = true) { placed { key() } }
    val services = objects("services", optional = true) { placed { service() } }
    val routes = objects("routes", optional = true) { placed { route() } }
    val declarations = Declarations(workspaces.values(), keys.values(), services.values(), routes.values())
    val positions = workspaces.positions { "workspace \"${it.name}\"" } +
        keys.positions { "key \"${it.digest}\"" } +
        services.positions { "service \"${it.name}\"" } +
        routes.positions { "route \"${it.name}\"" } +
        routes.positions { "path \"${it.path}\"" }
    return PlacedDeclarations(declarations, positions)
}

private fun <T> List<Placed<T>>.values(): ImmutableList<T> = map { it.value }.toImmutableList()

private fun <T> List<Placed<T>>.positions(subject: (T) -> String): Map<String, SourcePosition> = associate {
    subject(it.value) to
        it.position
}

private fun ObjectReader.workspace(): Workspace = Workspace(
    name = WorkspaceName(string("name", pattern = NAME_PATTERN)),
    tokensPerSecond = long("tokensPerSecond", TOKEN_RANGE),
    burstTokens = long("burstTokens", TOKEN_RANGE),
)

private fun ObjectReader.key(): DeclaredKey = DeclaredKey(
    digest = KeyDigest(string("sha256", pattern = DIGEST_PATTERN)),
    workspace = WorkspaceName(string("workspace", pattern = NAME_PATTERN)),
)

private fun ObjectReader.service(): Service {
    val kind = oneOf("kind", listOf(ServiceKind.MODEL, ServiceKind.PLAIN)) { it.text }
    return Service(
        name = ServiceName(string("name", pattern = NAME_PATTERN)),
        kind = kind,
        endpoints = objects("endpoints") { endpoint() },
        weights = stringOrNull("weights")?.let(::WeightsVersion),
        move = objectOrNull("move") {
            DeclaredMove(
                to = WeightsVersion(string("to", pattern = NAME_PATTERN)),
                deadlineMilliseconds = long("deadlineMilliseconds", MOVE_DEADLINE_RANGE),
            )
        },
    )
}

private fun ObjectReader.endpoint(): Endpoint = Endpoint(
    name = EndpointName(string("name", pattern = NAME_PATTERN)),
    host = string("host"),
    port = long("port", PORT_RANGE).toInt(),
    failureDomain = FailureDomain(string("failureDomain", pattern = NAME_PATTERN)),
    slots = long("slots", SLOT_RANGE).toInt(),
    checksOrders = boolean("checksOrders", default = false),
)

private fun ObjectReader.route(): Route = Route(
    name = RouteName(string("name", pattern = NAME_PATTERN)),
    path = string("path", pattern = PATH_PATTERN),
    service = ServiceName(string("service", pattern = NAME_PATTERN)),
    requestClass = oneOf("class", RequestClass.entries) { it.text },
    deadlineMilliseconds = long("deadlineMilliseconds", DEADLINE_RANGE, DEFAULT_DEADLINE),
    gapMilliseconds = long("gapMilliseconds", DEADLINE_RANGE, DEFAULT_GAP),
    repetition = oneOf("calls", Repetition.entries) { it.text },
    isOpen = boolean("open", default = false),
)

/** Returns declarations of nothing. */
public fun emptyDeclarations(): Declarations =
    Declarations(persistentListOf(), persistentListOf(), persistentListOf(), persistentListOf())
