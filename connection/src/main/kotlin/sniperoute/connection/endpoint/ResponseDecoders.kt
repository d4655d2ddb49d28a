/**
 * The decoder of the responses of one connection to an endpoint. It decodes bytes only while a response is expected.
 */
package sniperoute.connection.endpoint

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder

/** The response that a connection expects. */
internal enum class ExpectedResponse { NONE, HEAD_ONLY, WHOLE }

/** Decodes the response that [expected] returns; [onSurplusBytes] is called when bytes are received while there is none. */
internal class ResponseDecoder(
    private val expected: () -> ExpectedResponse,
    private val onSurplusBytes: () -> Unit,
) : HttpResponseDecoder() {
    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, decoded: MutableList<Any>) {
        if (expected() != ExpectedResponse.NONE) return super.decode(context, buffer, decoded)
        buffer.skipBytes(buffer.readableBytes())
        onSurplusBytes()
    }

    /** Netty takes any number for a status, so that one that HTTP doesn't have would be passed on to callers. */
    override fun createMessage(initialLine: Array<String>): HttpMessage {
        require(statusPattern.matches(initialLine[1])) { "the status is ${initialLine[1]}, not a number from 100 to 599" }
        return super.createMessage(initialLine)
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        expected() == ExpectedResponse.HEAD_ONLY || super.isContentAlwaysEmpty(message)
}

private val statusPattern = Regex("[1-5][0-9]{2}")
