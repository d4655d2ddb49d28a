/**
 * Links between processes of the fleet: authentication, encryption, and the end of links to unresponsive peers.
 */
package sniperoute.connection

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import sniperoute.connection.peer.*
import sniperoute.connection.peer.codec.FrameCipher
import sniperoute.connection.peer.codec.plaintextCiphers
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

    private class RecordedEvents {
        val opened = LinkedBlockingQueue<PeerLink>()
        val received = LinkedBlockingQueue<String>()
        val closed = LinkedBlockingQueue<String>()
        val refused = LinkedBlockingQueue<String>()
        val handlers = PeerHandlers(
            onOpened = { opened.put(it) },
            onReceived = { _, envelope -> received.put(envelope.body.decodeToString()) },
            onClosed = { _, reason -> closed.put(reason) },
            onRefused = { refused.put(it.reason) },
        )
    }

    private fun <T> LinkedBlockingQueue<T>.next(): T? = poll(5, TimeUnit.SECONDS)

    private fun name(vm: String) = PeerName(VmName(vm), PeerRole.ROUTER, Incarnation(1), null)

    private fun envelope(text: String) = Envelope(EnvelopeChannel.SESSION, 1, HybridTimestamp.ZERO, text.toByteArray())

    private fun freePort(): Int = ServerSocket(0).use { it.localPort }

    private fun listen(events: RecordedEvents, knownSecret: ByteArray?): Int =
        freePort().also { port ->
            network().listen(name("control"), "127.0.0.1", port, SharedSecretAuthentication(secret) { knownSecret }, events.handlers)
        }

    private fun dial(events: RecordedEvents, port: Int, own: ByteArray = secret, expected: String = "control") =
        network().dial(
            name("router"),
            PeerAddress(VmName(expected), "127.0.0.1", port),
            SharedSecretAuthentication(own) { null },
            events.handlers,
        )

    @Test
    fun `both sides authenticate and then exchange envelopes`() {
        val listener = RecordedEvents()
        val dialer = RecordedEvents()
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
        val unknown = RecordedEvents()
        dial(RecordedEvents(), listen(unknown, null))
        expectThat(unknown.refused.next()).isNotNull().contains("no secret is known")

        val wrong = RecordedEvents()
        dial(wrong, listen(RecordedEvents(), secret), own = "t".repeat(40).toByteArray())
        expectThat(wrong.refused.next()).isNotNull().contains("doesn't know the secret")

        val other = RecordedEvents()
        dial(other, listen(RecordedEvents(), secret), expected = "somebody")
        expectThat(other.refused.next()).isNotNull().contains("answered in place of")
    }

    @Test
    fun `a frame that was altered in transit ends the link and is refused`() {
        val listener = RecordedEvents()
        val port = listen(listener, secret)
        val proxy = ServerSocket(0)
        thread(isDaemon = true) { proxy.accept().use { alterFirstFrame(it, port) } }
        val dialer = RecordedEvents()
        dial(dialer, proxy.localPort)
        dialer.opened.next()!!.send(envelope("altered"))
        expectThat(listener.refused.next()).isNotNull().contains("altered, replayed or lost")
        expectThat(listener.received.poll()).isNull()
    }

    /** Forwards the messages of the handshake, and changes one bit of the first frame after it. */
    private fun alterFirstFrame(client: Socket, port: Int) {
        val server = Socket("127.0.0.1", port)
        thread(isDaemon = true) { server.getInputStream().copyTo(client.getOutputStream()) }
        val input = DataInputStream(client.getInputStream())
        val output = DataOutputStream(server.getOutputStream())
        repeat(2) { output.writeFrame(input.readFrame()) }
        output.writeFrame(input.readFrame().also { it[it.size / 2] = (it[it.size / 2].toInt() xor 1).toByte() })
        Thread.sleep(2_000)
    }

    @Test
    fun `writing to a peer that sends nothing is suspended until the link ends`() {
        val server = ServerSocket(0)
        val sendTimes = LinkedBlockingQueue<Long>()
        thread(isDaemon = true) { server.accept().use { listenWithoutSending(it, sendTimes) } }
        val dialer = RecordedEvents()
        val target = PeerAddress(VmName("control"), "127.0.0.1", server.localPort)
        network().dial(name("127.0.0.1"), target, AddressAuthentication, dialer.handlers)
        val link = dialer.opened.next()!!
        val opened = System.nanoTime()
        while (dialer.closed.isEmpty() && millisecondsSince(opened) < 5_000) {
            link.send(envelope("${millisecondsSince(opened)}"))
            Thread.sleep(5)
        }
        expectThat(dialer.closed.next()).isNotNull().contains("nothing was received")
        expectThat(sendTimes.size).describedAs("envelopes sent before the suspension").isGreaterThan(10)
        expectThat(sendTimes.filter { it > 1_000 }).describedAs("envelopes sent after a second without data from the peer").isEmpty()
    }

    private fun millisecondsSince(start: Long): Long = (System.nanoTime() - start) / 1_000_000

    /** Completes the handshake, then only reads; [sendTimes] gets the send time that each envelope contains. */
    private fun listenWithoutSending(client: Socket, sendTimes: LinkedBlockingQueue<Long>) {
        val input = DataInputStream(client.getInputStream())
        val output = DataOutputStream(client.getOutputStream())
        input.readFrame()
        output.writeFrame(LinkChallenge.serializer().encodeToBytes(LinkChallenge(name("control"), ByteArray(32), ByteArray(0))))
        runCatching {
            while (true) {
                val content = plaintextCiphers().decryptOrNull(input.readFrame())!!
                val envelope = Envelope.serializer().decodeFromBytes(content).getOrNull()
                if (envelope != null) sendTimes.put(envelope.body.decodeToString().toLong())
            }
        }
    }

    private fun DataInputStream.readFrame(): ByteArray = ByteArray(readInt()).also(::readFully)

    private fun DataOutputStream.writeFrame(bytes: ByteArray) {
        writeInt(bytes.size)
        write(bytes)
        flush()
    }

    @Test
    fun `an encrypted frame is accepted once and in order only`() {
        val key = ByteArray(32) { it.toByte() }
        val sender = FrameCipher(key)
        val first = sender.encrypt("first".toByteArray())
        val second = sender.encrypt("second".toByteArray())
        expectThat(FrameCipher(key).decryptOrNull(second)).describedAs("out of order").isNull()
        val receiver = FrameCipher(key)
        expectThat(receiver.decryptOrNull(first)?.decodeToString()).isEqualTo("first")
        expectThat(receiver.decryptOrNull(first)).describedAs("replayed").isNull()
        expectThat(FrameCipher(ByteArray(32)).decryptOrNull(first)).describedAs("other key").isNull()
    }

    @Test
    fun `a connection without a valid handshake is refused and does not affect other links`() {
        val listener = RecordedEvents()
        val port = listen(listener, secret)
        Socket("127.0.0.1", port).use { socket ->
            socket.getOutputStream().write("GET / HTTP/1.1\r\n\r\n".toByteArray())
            expectThat(listener.refused.next()).isNotNull().contains("handshake message")
        }
        val dialer = RecordedEvents()
        dial(dialer, port)
        expectThat(dialer.opened.next()).isNotNull()
    }
}
