/**
 * The stand-in plain service, which counts how often each call ran so that tests detect a repeated once-only call; and the
 * stand-in for the platform's list of VMs.
 */
package sniperoute.standin

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.Serializable
import sniperoute.common.reply
import sniperoute.connection.http.Exchange
import sniperoute.connection.http.Header
import sniperoute.connection.http.HttpStatus
import sniperoute.connection.http.ResponseHead
import sniperoute.connection.http.codec.errorResponse
import sniperoute.connection.http.codec.jsonResponse
import sniperoute.connection.http.valueOrNull
import sniperoute.process.duty.namedThreads
import sniperoute.standin.engine.codec.CountsPage
import sniperoute.standin.engine.codec.FaultSwitches
import sniperoute.standin.engine.codec.standinJson
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference

/** A plain service whose calls take [delayMilliseconds]. */
public class PlainService internal constructor(private val delayMilliseconds: Long) {
    private val calls = AtomicReference(persistentMapOf<String, Long>())
    private val faults = AtomicReference(FaultSwitches())
    private val keysSeen = AtomicLong()
    private val scheduler = Executors.newSingleThreadScheduledExecutor(namedThreads("service"))

    /** Responds to [exchange]. A request for another page than `/faults` and `/counts` runs the call that its body names, and counts it. */
    public fun handle(exchange: Exchange) {
        val head = exchange.head
        if (head.headers.any { it.name == "authorization" || it.name == "x-api-key" }) keysSeen.incrementAndGet()
        when {
            head.path == "/faults" -> {
                faults.set(standinJson.decodeFromString(FaultSwitches.serializer(), exchange.body.decodeToString()))
                exchange.reply(jsonResponse(HttpStatus.OK, "{}"))
            }
            head.path == "/counts" -> exchange.reply(counts())
            else -> run(exchange)
        }
    }

    private fun run(exchange: Exchange) {
        val name = exchange.body.decodeToString()
        val count = calls.updateAndGet { it.put(name, (it[name] ?: 0) + 1) }.getValue(name)
        when {
            faults.get().silentConnections -> Unit
            faults.get().breakStreamsAfter > 0 -> exchange.abort()
            delayMilliseconds == 0L -> sendResult(exchange, count)
            else -> scheduler.schedule({ sendResult(exchange, count) }, delayMilliseconds, TimeUnit.MILLISECONDS)
        }
    }

    private fun sendResult(exchange: Exchange, count: Long) {
        val id = Header(
            "x-request-id",
            exchange.head.headers
                .valueOrNull("x-request-id")
                .orEmpty(),
        )
        val headers = persistentListOf(Header("content-type", "application/json"), id)
        exchange.respond(ResponseHead(HttpStatus.OK, headers), "{\"ran\":$count}".toByteArray())
    }

    private fun counts() =
        jsonResponse(HttpStatus.OK, standinJson.encodeToString(CountsPage.serializer(), CountsPage(0, 0, 0, keysSeen.get(), calls.get())))
}

/** Returns a plain service whose calls take [delayMilliseconds]. */
public fun plainService(delayMilliseconds: Long): PlainService = PlainService(delayMilliseconds)

@Serializable
private data class VmPage(val endpoint: String, val state: String)

@Serializable
private data class VmList(val vms: List<VmPage>)

/** The stand-in for the platform's list of VMs. */
public class PlatformPages internal constructor() {
    private val states = AtomicReference<PersistentMap<String, String>>(persistentMapOf())

    /** Responds to [exchange]; a POST sets the state of one VM. */
    public fun handle(exchange: Exchange): Unit = when {
        exchange.head.path != "/vms" ->
            exchange.reply(errorResponse(HttpStatus.NOT_FOUND, "unknown_page", "the only page is /vms", "not-run"))
        exchange.head.method == "POST" -> {
            val page = standinJson.decodeFromString(VmPage.serializer(), exchange.body.decodeToString())
            states.updateAndGet { it.put(page.endpoint, page.state) }
            exchange.reply(jsonResponse(HttpStatus.OK, "{}"))
        }
        else -> {
            val list = VmList(states.get().map { (endpoint, state) -> VmPage(endpoint, state) })
            exchange.reply(jsonResponse(HttpStatus.OK, standinJson.encodeToString(VmList.serializer(), list)))
        }
    }
}

/** Returns a platform that lists no VMs. */
public fun platformPages(): PlatformPages = PlatformPages()
