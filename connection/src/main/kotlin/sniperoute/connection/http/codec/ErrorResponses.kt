/**
 * The JSON form of refusals and errors, the same for callers and operators.
 */
package sniperoute.connection.http.codec

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject
import sniperoute.connection.http.Header
import sniperoute.connection.http.ResponseHead

/** The header that says whether the request ran: `not-run`, `may-have-run` or `ran`. */
public const val OUTCOME_HEADER: String = "sniperoute-outcome"

private val JSON_TYPE = Header("content-type", "application/json")

/** A whole answer. */
public class WholeResponse(public val head: ResponseHead, public val content: ByteArray)

/** Returns the answer for an error of the given [kind]; [outcome] says whether the request ran. */
public fun errorResponse(
    status: Int,
    kind: String,
    message: String,
    outcome: String,
    more: ImmutableList<Header> = persistentListOf(),
): WholeResponse {
    val content = buildJsonObject {
        putJsonObject("error") {
            put("type", kind)
            put("message", message)
            put("outcome", outcome)
        }
    }
    val headers = (listOf(JSON_TYPE, Header(OUTCOME_HEADER, outcome)) + more).toImmutableList()
    return WholeResponse(ResponseHead(status, headers), content.toString().toByteArray())
}

/** Returns an answer with JSON content. */
public fun jsonResponse(status: Int, content: String): WholeResponse =
    WholeResponse(ResponseHead(status, persistentListOf(JSON_TYPE)), content.toByteArray())

/** Returns an answer with plain text. */
public fun textResponse(status: Int, content: String): WholeResponse =
    WholeResponse(ResponseHead(status, persistentListOf(Header("content-type", "text/plain; charset=utf-8"))), content.toByteArray())
