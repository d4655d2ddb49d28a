/**
 * Digests that identify a request when it is sent again.
 */
package sniperoute.request.admission.decision

import sniperoute.connection.http.RequestHead
import sniperoute.request.prefix.decision.contentHash
import sniperoute.version.message.RequestDigest
import sniperoute.version.message.Route

/** Returns the digest of a request on [route] with [head] and [body] from a workspace with [salt]. */
public fun requestDigest(route: Route, head: RequestHead, salt: Long, body: ByteArray): RequestDigest {
    val content = contentHash(body)
    val identity = "${route.name}\n${head.method} ${head.path}?${head.query}\n$salt\n$content"
    return RequestDigest(content.toHexString() + contentHash(identity.toByteArray()).toHexString())
}
