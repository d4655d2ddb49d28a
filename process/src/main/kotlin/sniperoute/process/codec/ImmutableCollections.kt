/**
 * Serializers for the immutable collections that messages carry. They name no format: any codec can use them.
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

/** An immutable list that messages may carry. */
public typealias SerializableList<T> =
    @Serializable(with = ImmutableListSerializer::class)
    ImmutableList<T>

/** An immutable map that messages may carry. */
public typealias SerializableMap<K, V> =
    @Serializable(with = ImmutableMapSerializer::class)
    ImmutableMap<K, V>

/** Encodes an immutable list as a list of [element]. */
public class ImmutableListSerializer<T>(element: KSerializer<T>) : KSerializer<ImmutableList<T>> {
    private val delegate = ListSerializer(element)
    override val descriptor: SerialDescriptor = delegate.descriptor

    override fun serialize(encoder: Encoder, value: ImmutableList<T>): Unit = delegate.serialize(encoder, value)

    override fun deserialize(decoder: Decoder): ImmutableList<T> = delegate.deserialize(decoder).toImmutableList()
}

/** Encodes an immutable map as a map from [key] to [value]. */
public class ImmutableMapSerializer<K, V>(key: KSerializer<K>, value: KSerializer<V>) : KSerializer<ImmutableMap<K, V>> {
    private val delegate = MapSerializer(key, value)
    override val descriptor: SerialDescriptor = delegate.descriptor

    override fun serialize(encoder: Encoder, value: ImmutableMap<K, V>): Unit = delegate.serialize(encoder, value)

    override fun deserialize(decoder: Decoder): ImmutableMap<K, V> = delegate.deserialize(decoder).toImmutableMap()
}
