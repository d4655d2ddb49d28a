/**
 * Declaration files: short JSON files with comments, kept beside the code of each service. A file may declare workspaces, keys,
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
private val DEADLINE_MILLISECONDS_RANGE = 10L..3_600_000L
private val MOVE_DEADLINE_MILLISECONDS_RANGE = 1_000L..86_400_000L
private const val DEFAULT_DEADLINE_MILLISECONDS = 60_000L
private const val DEFAULT_GAP_MILLISECONDS = 2_000L

/** A file's name and its text. */
public data class DeclarationFile(public val name: String, public val text: String)

/** Returns the declarations of all [files], or all errors in any of them. */
public fun readDeclarations(files: List<DeclarationFile>): Either<InvalidFile, Declarations> {
    val results = files.map { file -> readValidated(file.name, file.text) { locatedDeclarations() } }
    val errors = results.flatMap { result -> result.fold({ it.errors }, { emptyList() }) }
    if (errors.isNotEmpty()) return InvalidFile(errors.toImmutableList()).left()
    val validFiles = results.mapNotNull { it.getOrNull() }
    val all = validFiles.map { it.declarations }.merge()
    val positions = validFiles.fold(emptyMap<String, SourcePosition>()) { known, file -> known + file.positions }
    val problems = all.problems().map { problem ->
        val position = positions[problem.subject] ?: SourcePosition(files.firstOrNull()?.name ?: "declarations", 1, 1)
        ValidationError(position, "${problem.subject}: ${problem.problem}", problem.expected)
    }
    return if (problems.isEmpty()) all.right() else InvalidFile(problems.toImmutableList()).left()
}

/** The declarations of a file, and the [positions] in it by the subject under which [problems] reports each declaration. */
private data class LocatedDeclarations(val declarations: Declarations, val positions: Map<String, SourcePosition>)

private fun List<Declarations>.merge(): Declarations = Declarations(
    workspaces = flatMap { it.workspaces }.sortedBy { it.name }.toImmutableList(),
    keys = flatMap { it.keys }.sortedBy { it.digest.text }.toImmutableList(),
    services = flatMap { it.services }.sortedBy { it.name }.toImmutableList(),
    routes = flatMap { it.routes }.sortedBy { it.name }.toImmutableList(),
)

private data class Located<T>(val value: T, val position: SourcePosition)

private fun <T> ObjectReader.located(read: ObjectReader.() -> T): Located<T> = Located(read(), position)

private fun ObjectReader.locatedDeclarations(): LocatedDeclarations {
    val workspaces = objects("workspaces", optional = true) { located { workspace() } }
    val keys = objects("keys", optional = true) { located { key() } }
    val services = objects("services", optional = true) { located { service() } }
    val routes = objects("routes", optional = true) { located { route() } }
    val declarations = Declarations(workspaces.values(), keys.values(), services.values(), routes.values())
    val positions = workspaces.positions { "workspace \"${it.name}\"" } +
        keys.positions { "key \"${it.digest}\"" } +
        services.positions { "service \"${it.name}\"" } +
        routes.positions { "route \"${it.name}\"" } +
        routes.positions { "path \"${it.path}\"" }
    return LocatedDeclarations(declarations, positions)
}

private fun <T> List<Located<T>>.values(): ImmutableList<T> = map { it.value }.toImmutableList()

private fun <T> List<Located<T>>.positions(subject: (T) -> String): Map<String, SourcePosition> =
    associate { subject(it.value) to it.position }

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
                deadlineMilliseconds = long("deadlineMilliseconds", MOVE_DEADLINE_MILLISECONDS_RANGE),
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
    deadlineMilliseconds = long("deadlineMilliseconds", DEADLINE_MILLISECONDS_RANGE, DEFAULT_DEADLINE_MILLISECONDS),
    gapMilliseconds = long("gapMilliseconds", DEADLINE_MILLISECONDS_RANGE, DEFAULT_GAP_MILLISECONDS),
    repetition = oneOf("calls", Repetition.entries) { it.text },
    isOpen = boolean("open", default = false),
)

/** Returns empty declarations. */
public fun emptyDeclarations(): Declarations =
    Declarations(persistentListOf(), persistentListOf(), persistentListOf(), persistentListOf())
