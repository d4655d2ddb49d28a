/**
 * Hop-by-hop headers, which apply to one connection and are not forwarded.
 *
 * Source: RFC 9110, section 7.6.1.
 */
package sniperoute.connection.http

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList

private const val CONNECTION = "connection"
private const val TRANSFER_ENCODING = "transfer-encoding"

private val connectionHeaders = setOf(
    CONNECTION,
    "keep-alive",
    "proxy-authorization",
    "proxy-authenticate",
    "proxy-connection",
    "te",
    "trailer",
    TRANSFER_ENCODING,
    "upgrade",
    "content-length",
    "expect",
)

/** Returns these headers without the hop-by-hop headers, which include those that the `connection` header names. */
public fun ImmutableList<Header>.withoutConnectionHeaders(): ImmutableList<Header> {
    val named = filter { it.name == CONNECTION }.flatMap { it.value.lowercase().split(',') }.map { it.trim() }
    return filter { it.name !in connectionHeaders && it.name !in named }.toImmutableList()
}

/**
 * Whether the message says where its body ends; the body of a response that does not ends with the connection.
 *
 * Source: RFC 9112, section 6.3.
 */
public val ResponseHead.isFramed: Boolean
    get() {
        val coding = headers.lastOrNull { it.name == TRANSFER_ENCODING } ?: return headers.any { it.name == "content-length" }
        return coding.value
            .substringAfterLast(',')
            .trim()
            .equals("chunked", ignoreCase = true)
    }
