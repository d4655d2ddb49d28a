/**
 * The HTTP client with which operators' commands call the administration pages of servers. Commands are safe to repeat, so a call
 * whose response was lost is retried.
 */
package sniperoute.common

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import sniperoute.process.codec.decode
import sniperoute.process.settings.ObjectReader
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Files
import java.nio.file.Path
import java.security.KeyStore
import java.security.cert.CertificateFactory
import java.time.Duration
import javax.net.ssl.SSLContext
import javax.net.ssl.TrustManagerFactory

/** The addresses of the administration pages, the operator's key, and the certificate authority of the servers when TLS is used. */
public class CommandSettings(
    public val control: ImmutableList<ListenAddress>,
    public val routers: ImmutableList<ListenAddress>,
    public val key: String,
    public val certificateAuthority: Path?,
)

/** Reads the settings of commands. */
public fun ObjectReader.commandSettings(): CommandSettings = CommandSettings(
    control = addresses("control"),
    routers = addresses("routers"),
    key = secretFile("keyFile").decodeToString(),
    certificateAuthority = if (has("certificateAuthority")) readableFile("certificateAuthority") else null,
)

private fun ObjectReader.addresses(name: String): ImmutableList<ListenAddress> =
    objects(name) { ListenAddress(string("host"), long("port", PEER_PORT_RANGE).toInt()) }

/** Why a call has no usable response. */
public sealed interface CallError {
    /** Returns one line that names the error and, where there is one, a remedy. */
    public fun describe(): String
}

/** No server responded; a requested change may still have taken effect. */
public data class Unreachable(public val tried: ImmutableList<String>) : CallError {
    override fun describe(): String =
        "no server responded (${tried.joinToString("; ")}). Check the addresses in the settings, then try again"
}

/** The server responded with an error; [status] is 0 when a successful response could not be decoded. */
public data class ErrorResponse(public val status: Int, public val body: String) : CallError {
    override fun describe(): String = "the server refused ($status): ${errorMessageIn(body)}"
}

private const val TIMEOUT_SECONDS = 5L
private const val ATTEMPTS = 12
private const val RETRY_DELAY_MILLISECONDS = 300L
private const val NOT_LEADER_STATUS = 503

/** A blocking client of the administration pages. */
public class AdministrationClient internal constructor(private val settings: CommandSettings) {
    private val scheme = if (settings.certificateAuthority == null) "http" else "https"
    private val client = HttpClient
        .newBuilder()
        .connectTimeout(Duration.ofSeconds(1))
        .apply { settings.certificateAuthority?.let { sslContext(sslContextTrusting(it)) } }
        .build()

    /**
     * Returns the leader's response to a POST of [body] to [path], or to a GET when [body] is `null`. Tries all control replicas
     * several times until one of them responds as the leader.
     */
    public fun <T> callLeader(path: String, serializer: KSerializer<T>, body: String? = null): Either<CallError, T> {
        var last: CallError = Unreachable(emptyList<String>().toImmutableList())
        repeat(ATTEMPTS) {
            settings.control.forEach { address ->
                val response = call(address, path, serializer, body)
                response.onRight { return response }
                response.onLeft { error ->
                    if (error is ErrorResponse && error.status != NOT_LEADER_STATUS) return response
                    last = error
                }
            }
            Thread.sleep(RETRY_DELAY_MILLISECONDS)
        }
        return last.left()
    }

    /** Returns the response of the server at [address] to a POST of [body] to [path], or to a GET when [body] is `null`. */
    public fun <T> call(address: ListenAddress, path: String, serializer: KSerializer<T>, body: String? = null): Either<CallError, T> =
        fetch(address, path, body).fold({ it.left() }) { text ->
            administrationJson.decode(serializer, text).mapLeft { ErrorResponse(0, "the response can't be decoded: ${it.reason}") }
        }

    private fun fetch(address: ListenAddress, path: String, body: String?): Either<CallError, String> {
        val request = HttpRequest
            .newBuilder(URI("$scheme://${address.host}:${address.port}$path"))
            .timeout(Duration.ofSeconds(TIMEOUT_SECONDS))
            .header("authorization", "Bearer ${settings.key}")
            .apply { if (body != null) POST(HttpRequest.BodyPublishers.ofString(body)) }
            .build()
        return try {
            val response = client.send(request, HttpResponse.BodyHandlers.ofString())
            if (response.statusCode() == HTTP_OK) response.body().right() else ErrorResponse(response.statusCode(), response.body()).left()
        } catch (failure: IOException) {
            Unreachable(
                listOf("${address.host}:${address.port}: ${failure.message ?: failure.javaClass.simpleName}").toImmutableList(),
            ).left()
        }
    }
}

private const val HTTP_OK = 200

/** Returns a client with [settings]. */
public fun administrationClient(settings: CommandSettings): AdministrationClient = AdministrationClient(settings)

private fun sslContextTrusting(file: Path): SSLContext {
    val certificates = Files.newInputStream(file).use { CertificateFactory.getInstance("X.509").generateCertificates(it) }
    val store = KeyStore.getInstance(KeyStore.getDefaultType()).apply { load(null) }
    certificates.forEachIndexed { position, certificate -> store.setCertificateEntry("authority-$position", certificate) }
    val trust = TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm()).apply { init(store) }
    return SSLContext.getInstance("TLS").apply { init(null, trust.trustManagers, null) }
}

@Serializable
private data class ErrorBody(val error: ErrorPart)

@Serializable
private data class ErrorPart(val message: String)

private fun errorMessageIn(body: String): String =
    administrationJson.decode(ErrorBody.serializer(), body).fold({ body.take(MAX_SHOWN_CHARACTERS) }, { it.error.message })

private const val MAX_SHOWN_CHARACTERS = 500
