/**
 * Calls of operators' commands to the administration pages of servers, by the platform's HTTP client. Commands are safe to
 * send again, so a lost answer is asked for once more.
 */
package sniperoute.common

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
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

/** Where the administration pages are, and the key that opens them. */
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

/** Why a page gave no answer that can be used. */
public sealed interface CallError {
    /** Returns one line with what to do next. */
    public fun describe(): String
}

/** No server could be reached; a change that was asked for may have taken effect. */
public data class Unreachable(public val tried: ImmutableList<String>) : CallError {
    override fun describe(): String = "no server answered (${tried.joinToString(
        "; ",
    )}). Check the addresses in the settings, then ask again"
}

/** The server answered with an error. */
public data class ErrorResponse(public val status: Int, public val body: String) : CallError {
    override fun describe(): String = "the server refused ($status): ${errorMessageIn(body)}"
}

private const val PATIENCE_SECONDS = 5L
private const val TRIES = 12
private const val PAUSE_MILLISECONDS = 300L
private const val NOT_LEADER = 503

/** Calls the administration pages. */
public class AdministrationClient internal constructor(private val settings: CommandSettings) {
    private val scheme = if (settings.certificateAuthority == null) "http" else "https"
    private val client = HttpClient
        .newBuilder()
        .connectTimeout(Duration.ofSeconds(1))
        .apply { settings.certificateAuthority?.let { sslContext(trusting(it)) } }
        .build()

    /** Returns what the leader answers at [path] to [body], or to a plain reading when there is none. */
    public fun <T> callLeader(path: String, serializer: KSerializer<T>, body: String? = null): Either<CallError, T> {
        var last: CallError = Unreachable(emptyList<String>().toImmutableList())
        repeat(TRIES) {
            settings.control.forEach { address ->
                val answer = call(address, path, serializer, body)
                answer.onRight { return answer }
                answer.onLeft { error ->
                    if (error is ErrorResponse && error.status != NOT_LEADER) return answer
                    last = error
                }
            }
            Thread.sleep(PAUSE_MILLISECONDS)
        }
        return last.left()
    }

    /** Returns what the server at [address] answers at [path]. */
    public fun <T> call(address: ListenAddress, path: String, serializer: KSerializer<T>, body: String? = null): Either<CallError, T> =
        fetch(address, path, body).fold({ it.left() }) { text ->
            try {
                administrationJson.decodeFromString(serializer, text).right()
            } catch (failure: SerializationException) {
                ErrorResponse(0, "the answer can't be read: ${failure.message}").left()
            }
        }

    private fun fetch(address: ListenAddress, path: String, body: String?): Either<CallError, String> {
        val request = HttpRequest
            .newBuilder(URI("$scheme://${address.host}:${address.port}$path"))
            .timeout(Duration.ofSeconds(PATIENCE_SECONDS))
            .header("authorization", "Bearer ${settings.key}")
            .apply { if (body != null) POST(HttpRequest.BodyPublishers.ofString(body)) }
            .build()
        return try {
            val answer = client.send(request, HttpResponse.BodyHandlers.ofString())
            if (answer.statusCode() == HTTP_OK) answer.body().right() else ErrorResponse(answer.statusCode(), answer.body()).left()
        } catch (failure: IOException) {
            Unreachable(
                listOf("${address.host}:${address.port}: ${failure.message ?: failure.javaClass.simpleName}").toImmutableList(),
            ).left()
        }
    }
}

private const val HTTP_OK = 200

/** Returns a client by [settings]. */
public fun administrationClient(settings: CommandSettings): AdministrationClient = AdministrationClient(settings)

private fun trusting(file: Path): SSLContext {
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
    try {
        administrationJson.decodeFromString(ErrorBody.serializer(), body).error.message
    } catch (_: SerializationException) {
        body.take(LONGEST_SHOWN)
    }

private const val LONGEST_SHOWN = 500
