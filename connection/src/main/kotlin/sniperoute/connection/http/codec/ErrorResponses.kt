/**
 * Responses to callers and operators, with the JSON form that their refusals and errors share.
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

/** The header that states whether the request ran: `not-run`, `may-have-run` or `ran`. */
public const val OUTCOME_HEADER: String = "sniperoute-outcome"

private val JSON_TYPE = Header("content-type", "application/json")

/** A response with its whole content. */
public class WholeResponse(public val head: ResponseHead, public val content: ByteArray)

/** Returns the response for an error of the given [kind]; [outcome] states whether the request ran. */
public fun errorResponse(
    status: Int,
    kind: String,
    message: String,
    outcome: String,
    additionalHeaders: ImmutableList<Header> = persistentListOf(),
): WholeResponse {
    val content = buildJsonObject {
        putJsonObject("error") {
            put("type", kind)
            put("message", message)
            put("outcome", outcome)
        }
    }
    val headers = (listOf(JSON_TYPE, Header(OUTCOME_HEADER, outcome)) + additionalHeaders).toImmutableList()
    return WholeResponse(ResponseHead(status, headers), content.toString().toByteArray())
}

/** Returns a response with JSON content. */
public fun jsonResponse(status: Int, content: String): WholeResponse =
    WholeResponse(ResponseHead(status, persistentListOf(JSON_TYPE)), content.toByteArray())

/** Returns a response with plain text. */
public fun textResponse(status: Int, content: String): WholeResponse =
    WholeResponse(ResponseHead(status, persistentListOf(Header("content-type", "text/plain; charset=utf-8"))), content.toByteArray())
