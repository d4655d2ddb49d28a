/**
 * Serializers for immutable collections. They are independent of the format.
 */
package sniperoute.process.codec

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toImmutableMap
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.builtins.MapSerializer
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/** An immutable list that can be a property of a serializable class. */
public typealias SerializableList<T> =
    @Serializable(with = ImmutableListSerializer::class)
    ImmutableList<T>

/** An immutable map that can be a property of a serializable class. */
public typealias SerializableMap<K, V> =
    @Serializable(with = ImmutableMapSerializer::class)
    ImmutableMap<K, V>

/** Serializes an immutable list as a list whose elements are serialized by [element]. */
public class ImmutableListSerializer<T>(element: KSerializer<T>) : KSerializer<ImmutableList<T>> {
    private val delegate = ListSerializer(element)
    override val descriptor: SerialDescriptor = delegate.descriptor

    override fun serialize(encoder: Encoder, value: ImmutableList<T>): Unit = delegate.serialize(encoder, value)

    override fun deserialize(decoder: Decoder): ImmutableList<T> = delegate.deserialize(decoder).toImmutableList()
}

/** Serializes an immutable map as a map whose keys and values are serialized by [key] and [value]. */
public class ImmutableMapSerializer<K, V>(key: KSerializer<K>, value: KSerializer<V>) : KSerializer<ImmutableMap<K, V>> {
    private val delegate = MapSerializer(key, value)
    override val descriptor: SerialDescriptor = delegate.descriptor

    override fun serialize(encoder: Encoder, value: ImmutableMap<K, V>): Unit = delegate.serialize(encoder, value)

    override fun deserialize(decoder: Decoder): ImmutableMap<K, V> = delegate.deserialize(decoder).toImmutableMap()
}
