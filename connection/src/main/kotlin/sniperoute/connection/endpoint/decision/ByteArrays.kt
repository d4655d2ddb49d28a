/**
 * Content that is received in pieces.
 */
package sniperoute.connection.endpoint.decision

/** Returns the bytes of all pieces, in order. */
public fun List<ByteArray>.joined(): ByteArray {
    if (size == 1) return first()
    val all = ByteArray(sumOf { it.size })
    fold(0) { position, piece ->
        piece.copyInto(all, position)
        position + piece.size
    }
    return all
}
