/**
 * The text of endpoints' addresses.
 */
package sniperoute.connection.endpoint.codec

import io.netty.util.NetUtil
import sniperoute.connection.endpoint.message.EndpointAddress
import java.net.InetAddress
import java.net.InetSocketAddress

private val PORT_RANGE = 1..65_535
private val portPattern = Regex("[0-9]{1,5}")
private val hostNamePattern = Regex("[A-Za-z0-9_]([A-Za-z0-9_.-]{0,252})")

/**
 * Returns the address that [text] names as IP:PORT, with an IPv6 number in brackets, or `null` if it names none. A host name is not
 * accepted, nor is a number that stands for no single machine.
 */
public fun numericAddressOrNull(text: String): EndpointAddress? =
    addressOrNull(text)?.takeIf { address ->
        val number = ipNumberOrNull(address.host)
        number != null && !number.isAnyLocalAddress && !number.isMulticastAddress
    }

/** Returns the address that [text] names as HOST:PORT, or `null` if it names none. */
public fun addressOrNull(text: String): EndpointAddress? {
    val port = portOrNull(text.substringAfterLast(':', "")) ?: return null
    return EndpointAddress(text.substringBeforeLast(':'), port).takeIf { it.toSocketAddressOrNull() != null }
}

/** Returns the port in [text], or `null` if it is not a decimal number of a port. */
public fun portOrNull(text: String): Int? =
    text
        .takeIf(portPattern::matches)
        ?.toInt()
        ?.takeIf { it in PORT_RANGE }

private fun ipNumberOrNull(host: String): InetAddress? {
    val isNumber = when {
        host.startsWith('[') && host.endsWith(']') -> '%' !in host && NetUtil.isValidIpV6Address(host.removeSurrounding("[", "]"))
        else -> NetUtil.isValidIpV4Address(host)
    }
    return if (isNumber) NetUtil.createInetAddressFromIpAddressString(host.removeSurrounding("[", "]")) else null
}

/** Returns the address to connect to, unresolved if the host is a name, or `null` if no endpoint can have this address. */
internal fun EndpointAddress.toSocketAddressOrNull(): InetSocketAddress? {
    if (port !in PORT_RANGE) return null
    val number = ipNumberOrNull(host)
    return when {
        number != null -> InetSocketAddress(number, port)
        hostNamePattern.matches(host) -> InetSocketAddress.createUnresolved(host, port)
        else -> null
    }
}
