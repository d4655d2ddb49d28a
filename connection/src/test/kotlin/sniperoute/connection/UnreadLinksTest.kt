/**
 * A peer that answers but does not read. Guards against a writer that tries again and again instead of waiting until the socket takes
 * more: on a VM with a small share of a core, it leaves nothing for the rest of the process.
 */
package sniperoute.connection

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import sniperoute.connection.peer.AddressAuthentication
import sniperoute.connection.peer.PeerAddress
import sniperoute.connection.peer.PeerHandlers
import sniperoute.connection.peer.PeerLink
import sniperoute.connection.peer.dial
import sniperoute.connection.peer.message.Envelope
import sniperoute.connection.peer.message.EnvelopeChannel
import sniperoute.connection.peer.message.LinkChallenge
import sniperoute.connection.peer.message.PeerName
import sniperoute.connection.peer.message.PeerRole
import sniperoute.connection.peer.newPeerNetwork
import sniperoute.process.codec.encodeToBytes
import sniperoute.process.identity.Incarnation
import sniperoute.process.identity.VmName
import sniperoute.process.timeline.message.HybridTimestamp
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import java.io.DataInputStream
import java.io.DataOutputStream
import java.lang.management.ManagementFactory
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds

class UnreadLinksTest {
    private val network = newPeerNetwork()
    private val server = ServerSocket(0)

    @AfterEach
    fun close() {
        network.close()
        server.close()
    }

    @Test
    fun `writing to a peer that does not read takes no processor time`() {
        val opened = LinkedBlockingQueue<PeerLink>()
        val closed = LinkedBlockingQueue<String>()
        thread(isDaemon = true) { server.accept().use(::answerWithoutReading) }
        network.dial(
            PeerName(VmName("127.0.0.1"), PeerRole.ROUTER, Incarnation(1), null),
            PeerAddress(VmName("control"), "127.0.0.1", server.localPort),
            AddressAuthentication,
            PeerHandlers({ opened.put(it) }, { _, _ -> }, { _, reason -> closed.put(reason) }, { closed.put(it.reason) }),
        )
        val link = opened.poll(5, TimeUnit.SECONDS)
        expectThat(link).isNotNull()
        val envelope = Envelope(EnvelopeChannel.SESSION, 1, HybridTimestamp.ZERO, ByteArray(64 * 1024))
        repeat(500) { link!!.send(envelope) }
        Thread.sleep(500)
        val before = processorTime()
        Thread.sleep(2_000)
        expectThat(processorTime() - before).describedAs("processor time of all threads in two seconds").isLessThan(400.milliseconds)
        expectThat(closed).describedAs("ends of the link").isEmpty()
    }

    private fun processorTime(): Duration {
        val threads = ManagementFactory.getThreadMXBean()
        return threads.allThreadIds.sumOf { threads.getThreadCpuTime(it).coerceAtLeast(0) }.nanoseconds
    }

    /** Completes the handshake, then sends heartbeats and reads nothing. */
    private fun answerWithoutReading(client: Socket) {
        val input = DataInputStream(client.getInputStream())
        val output = DataOutputStream(client.getOutputStream())
        input.readFully(ByteArray(input.readInt()))
        val name = PeerName(VmName("control"), PeerRole.ROUTER, Incarnation(1), null)
        output.writeFrame(LinkChallenge.serializer().encodeToBytes(LinkChallenge(name, ByteArray(32), ByteArray(0))))
        while (!client.isClosed) {
            output.writeFrame(byteArrayOf(1))
            Thread.sleep(200)
        }
    }

    private fun DataOutputStream.writeFrame(bytes: ByteArray) {
        writeInt(bytes.size)
        write(bytes)
        flush()
    }
}
