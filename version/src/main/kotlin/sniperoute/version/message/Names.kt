/**
 * Names of declared things, and digests of keys and requests.
 */
package sniperoute.version.message

import kotlinx.serialization.Serializable

/** The name of a workspace, which owns keys and whose rate limit applies to requests with them. */
@Serializable
@JvmInline
public value class WorkspaceName(public val text: String) : Comparable<WorkspaceName> {
    override fun compareTo(other: WorkspaceName): Int = text.compareTo(other.text)

    override fun toString(): String = text
}

/** The name of a service: a model service, a plain service or a store. */
@Serializable
@JvmInline
public value class ServiceName(public val text: String) : Comparable<ServiceName> {
    override fun compareTo(other: ServiceName): Int = text.compareTo(other.text)

    override fun toString(): String = text
}

/** The name of an endpoint: one replica of a model engine, or one instance of a plain service. */
@Serializable
@JvmInline
public value class EndpointName(public val text: String) : Comparable<EndpointName> {
    override fun compareTo(other: EndpointName): Int = text.compareTo(other.text)

    override fun toString(): String = text
}

/** The name of a route. */
@Serializable
@JvmInline
public value class RouteName(public val text: String) : Comparable<RouteName> {
    override fun compareTo(other: RouteName): Int = text.compareTo(other.text)

    override fun toString(): String = text
}

/** The name of a model, whose weights may change while it is served. */
@Serializable
@JvmInline
public value class ModelName(public val text: String) : Comparable<ModelName> {
    override fun compareTo(other: ModelName): Int = text.compareTo(other.text)

    override fun toString(): String = text
}

/** The name of a version of a model's weights, or of a release of a service's software in a move to another release. */
@Serializable
@JvmInline
public value class WeightsVersion(public val text: String) : Comparable<WeightsVersion> {
    override fun compareTo(other: WeightsVersion): Int = text.compareTo(other.text)

    override fun toString(): String = text
}

/** The SHA-256 digest of a key, in hexadecimal; the key itself is never stored. */
@Serializable
@JvmInline
public value class KeyDigest(public val text: String) {
    override fun toString(): String = text.take(PRINTED_DIGITS)

    private companion object {
        const val PRINTED_DIGITS = 12
    }
}

/** Identifies the content of one block of a prompt, whatever blocks are before it. */
@Serializable
@JvmInline
public value class BlockId(public val text: String) : Comparable<BlockId> {
    override fun compareTo(other: BlockId): Int = text.compareTo(other.text)

    override fun toString(): String = text
}

/** The digest of a request's workspace, route and body. */
@Serializable
@JvmInline
public value class RequestDigest(public val text: String) {
    override fun toString(): String = text
}
