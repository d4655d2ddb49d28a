/**
 * Checks of declarations against each other: files that clash are refused as a whole.
 */
package sniperoute.version.decision

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import sniperoute.version.message.*

/** What is wrong with declarations taken together; [subject] names what [problem] is about. */
public data class DeclarationProblem(public val subject: String, public val problem: String, public val expected: String)

/** Returns every problem of these declarations; an empty list means that they can be in force. */
public fun Declarations.problems(): ImmutableList<DeclarationProblem> = listOf(
    duplicates("workspace", workspaces.map { it.name.text }),
    duplicates("key", keys.map { it.digest.text }),
    duplicates("service", services.map { it.name.text }),
    duplicates("route", routes.map { it.name.text }),
    duplicates("path", routes.map { it.host.orEmpty() + it.path }),
    duplicates("endpoint", services.flatMap { service -> service.endpoints.map { it.name.text } }),
    duplicates("address", services.flatMap { service -> service.endpoints.map { "${it.host}:${it.port}" } }),
    unknownWorkspaces(),
    unknownServices(),
    routes.flatMap { it.problems() },
    services.flatMap { it.problems() },
).flatten().toImmutableList()

private fun duplicates(kind: String, names: List<String>): List<DeclarationProblem> =
    names
        .groupingBy { it }
        .eachCount()
        .filterValues { it > 1 }
        .map { (name, count) -> DeclarationProblem("$kind \"$name\"", "it is declared $count times", "one declaration") }

private fun Declarations.unknownWorkspaces(): List<DeclarationProblem> {
    val known = workspaces.map { it.name }.toSet()
    return keys
        .filter { it.workspace !in known }
        .map { DeclarationProblem("key \"${it.digest}\"", "workspace \"${it.workspace}\" is not declared", "a declared workspace") }
}

private fun Declarations.unknownServices(): List<DeclarationProblem> {
    val known = services.map { it.name }.toSet()
    return routes.flatMap { route ->
        route.services
            .filter { it !in known }
            .map { DeclarationProblem("route \"${route.name}\"", "service \"$it\" is not declared", "a declared service") }
    }
}

private fun Route.problems(): List<DeclarationProblem> = listOfNotNull(
    DeclarationProblem("route \"$name\"", "its weights add up to 0", "a weight above 0")
        .takeIf { shares.isNotEmpty() && shares.sumOf { it.weight.toLong() } <= 0 },
    DeclarationProblem("route \"$name\"", "a weight is negative", "weights from 0 on").takeIf { shares.any { it.weight < 0 } },
    DeclarationProblem("route \"$name\"", "its deadline is $deadlineMilliseconds ms", "more than 0 ms")
        .takeIf { deadlineMilliseconds <= 0 },
)

private fun Service.problems(): List<DeclarationProblem> {
    val subject = "service \"$name\""
    return listOfNotNull(
        DeclarationProblem(subject, "it has no endpoint", "at least one endpoint")
            .takeIf { endpoints.isEmpty() && !isListed && store == null },
        DeclarationProblem(subject, "a model without weights", "\"weights\"")
            .takeIf { kind == ServiceKind.MODEL && weights == null && !isListed },
        DeclarationProblem(subject, "a plain service with weights or a move", "neither")
            .takeIf { kind == ServiceKind.PLAIN && (weights != null || move != null) },
        DeclarationProblem(subject, "a move with fewer than two endpoints", "two endpoints, so that both versions are served")
            .takeIf { move != null && endpoints.size < 2 },
        DeclarationProblem(subject, "a move to the weights that it serves", "other weights")
            .takeIf { move != null && move.to == weights },
    )
}

/** Returns the items that these declarations put in force. */
public fun Declarations.toItems(): List<CatalogueItem> =
    workspaces.map(::WorkspaceItem) + keys.map(::KeyItem) + services.map(::ServiceItem) + routes.map(::RouteItem) +
        listOfNotNull(limits?.let(::LimitsItem))
