/**
 * Links between own processes: who may speak, and what is refused.
 */
package sniperoute.connection

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import sniperoute.connection.peer.*
import sniperoute.connection.peer.codec.FrameSeal
import sniperoute.connection.peer.codec.plainSeals
import sniperoute.connection.peer.message.*
import sniperoute.process.codec.decodeFromBytes
import sniperoute.process.codec.encodeToBytes
import sniperoute.process.identity.Incarnation
import sniperoute.process.identity.VmName
import sniperoute.process.timeline.message.HybridTimestamp
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import java.io.DataInputStream
import java.io.DataOutputStream
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

class PeerLinksTest {
    private val networks = mutableListOf<PeerNetwork>()
    private val secret = "s".repeat(40).toByteArray()

    @AfterEach
    fun close() = networks.forEach { it.close() }

    private fun network() = newPeerNetwork().also { networks += it }

    private class Seen {
        val opened = LinkedBlockingQueue<PeerLink>()
        val received = LinkedBlockingQueue<String>()
        val closed = LinkedBlockingQueue<String>()
        val refused = LinkedBlockingQueue<String>()
        val handlers = PeerHandlers(
            opened = { opened.put(it) },
            received = { _, envelope -> received.put(envelope.body.decodeToString()) },
            closed = { _, reason -> closed.put(reason) },
            refused = { refused.put(it.reason) },
        )
    }

    private fun <T> LinkedBlockingQueue<T>.next(): T? = poll(5, TimeUnit.SECONDS)

    private fun name(vm: String) = PeerName(VmName(vm), PeerRole.ROUTER, Incarnation(1), null)

    private fun envelope(text: String) = Envelope(EnvelopeChannel.SESSION, 1, HybridTimestamp.ZERO, text.toByteArray())

    private fun freePort(): Int = ServerSocket(0).use { it.localPort }

    private fun listen(seen: Seen, known: ByteArray?): Int =
        freePort().also { port ->
            network().listen(name("control"), "127.0.0.1", port, SharedSecretAuthentication(secret) { known }, seen.handlers)
        }

    private fun dial(seen: Seen, port: Int, own: ByteArray = secret, expected: String = "control") =
        network().dial(
            name("router"),
            PeerAddress(VmName(expected), "127.0.0.1", port),
            SharedSecretAuthentication(own) { null },
            seen.handlers,
        )

    @Test
    fun `both sides prove who they are and then hear each other`() {
        val listener = Seen()
        val dialer = Seen()
        dial(dialer, listen(listener, secret))
        dialer.opened.next()!!.send(envelope("question"))
        expectThat(listener.received.next()).isEqualTo("question")
        val link = listener.opened.next()!!
        expectThat(link.peer.vm).isEqualTo(VmName("router"))
        link.send(envelope("answer"))
        expectThat(dialer.received.next()).isEqualTo("answer")
    }

    @Test
    fun `an unknown VM, a wrong secret and a listener under another name are refused`() {
        val unknown = Seen()
        dial(Seen(), listen(unknown, null))
        expectThat(unknown.refused.next()).isNotNull().contains("no secret is known")

        val wrong = Seen()
        dial(wrong, listen(Seen(), secret), own = "t".repeat(40).toByteArray())
        expectThat(wrong.refused.next()).isNotNull().contains("doesn't know the secret")

        val other = Seen()
        dial(other, listen(Seen(), secret), expected = "somebody")
        expectThat(other.refused.next()).isNotNull().contains("answered in place of")
    }

    @Test
    fun `a frame that was altered on the way ends the link and is refused`() {
        val listener = Seen()
        val port = listen(listener, secret)
        val proxy = ServerSocket(0)
        thread(isDaemon = true) { proxy.accept().use { spoil(it, port) } }
        val dialer = Seen()
        dial(dialer, proxy.localPort)
        dialer.opened.next()!!.send(envelope("spoilt"))
        expectThat(listener.refused.next()).isNotNull().contains("altered, replayed or lost")
        expectThat(listener.received.poll()).isNull()
    }

    /** Passes the handshake's parts on, and changes one bit of the first frame after it. */
    private fun spoil(client: Socket, port: Int) {
        val server = Socket("127.0.0.1", port)
        thread(isDaemon = true) { server.getInputStream().copyTo(client.getOutputStream()) }
        val input = DataInputStream(client.getInputStream())
        val output = DataOutputStream(server.getOutputStream())
        repeat(2) { output.writePart(input.readPart()) }
        output.writePart(input.readPart().also { it[it.size / 2] = (it[it.size / 2].toInt() xor 1).toByte() })
        Thread.sleep(2_000)
    }

    @Test
    fun `a peer that says nothing gets nothing more until the link ends`() {
        val server = ServerSocket(0)
        val taken = LinkedBlockingQueue<Long>()
        thread(isDaemon = true) { server.accept().use { listenSilently(it, taken) } }
        val dialer = Seen()
        val target = PeerAddress(VmName("control"), "127.0.0.1", server.localPort)
        network().dial(name("127.0.0.1"), target, AddressAuthentication, dialer.handlers)
        val link = dialer.opened.next()!!
        val opened = System.nanoTime()
        while (dialer.closed.isEmpty() && millisecondsSince(opened) < 5_000) {
            link.send(envelope("${millisecondsSince(opened)}"))
            Thread.sleep(5)
        }
        expectThat(dialer.closed.next()).isNotNull().contains("nothing came")
        expectThat(taken.size).describedAs("what was sent before").isGreaterThan(10)
        expectThat(taken.filter { it > 1_000 }).describedAs("what was sent after a second of silence").isEmpty()
    }

    private fun millisecondsSince(start: Long): Long = (System.nanoTime() - start) / 1_000_000

    /** Answers the handshake, then reads and says nothing; [taken] gets when each envelope was sent, as it says itself. */
    private fun listenSilently(client: Socket, taken: LinkedBlockingQueue<Long>) {
        val input = DataInputStream(client.getInputStream())
        val output = DataOutputStream(client.getOutputStream())
        input.readPart()
        output.writePart(LinkChallenge.serializer().encodeToBytes(LinkChallenge(name("control"), ByteArray(32), ByteArray(0))))
        runCatching {
            while (true) {
                val content = plainSeals().openOrNull(input.readPart())!!
                val envelope = Envelope.serializer().decodeFromBytes(content).getOrNull()
                if (envelope != null) taken.put(envelope.body.decodeToString().toLong())
            }
        }
    }

    private fun DataInputStream.readPart(): ByteArray = ByteArray(readInt()).also(::readFully)

    private fun DataOutputStream.writePart(part: ByteArray) {
        writeInt(part.size)
        write(part)
        flush()
    }

    @Test
    fun `a sealed frame opens once and in its place only`() {
        val key = ByteArray(32) { it.toByte() }
        val sender = FrameSeal(key)
        val first = sender.seal("first".toByteArray())
        val second = sender.seal("second".toByteArray())
        expectThat(FrameSeal(key).openOrNull(second)).describedAs("out of order").isNull()
        val receiver = FrameSeal(key)
        expectThat(receiver.openOrNull(first)?.decodeToString()).isEqualTo("first")
        expectThat(receiver.openOrNull(first)).describedAs("replayed").isNull()
        expectThat(FrameSeal(ByteArray(32)).openOrNull(first)).describedAs("other key").isNull()
    }

    @Test
    fun `what is no handshake is refused and harms nobody else`() {
        val listener = Seen()
        val port = listen(listener, secret)
        Socket("127.0.0.1", port).use { socket ->
            socket.getOutputStream().write("GET / HTTP/1.1\r\n\r\n".toByteArray())
            expectThat(listener.refused.next()).isNotNull().contains("handshake part")
        }
        val dialer = Seen()
        dial(dialer, port)
        expectThat(dialer.opened.next()).isNotNull()
    }
}
