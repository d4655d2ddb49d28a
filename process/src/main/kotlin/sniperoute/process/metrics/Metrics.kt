/**
 * The metrics of a process, in the Prometheus text format.
 */
package sniperoute.process.metrics

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import sniperoute.process.ring.Ring
import java.io.ByteArrayOutputStream
import java.lang.management.ManagementFactory

/** The metrics of one process. */
public class MetricsRegistry internal constructor(internal val registry: PrometheusRegistry)

/** Returns a registry with gauges for the heap and the threads of the process. */
public fun newMetricsRegistry(): MetricsRegistry {
    val metrics = MetricsRegistry(PrometheusRegistry())
    metrics.gauge("sniperoute_heap_used_bytes", "Heap in use, in bytes.") {
        ManagementFactory
            .getMemoryMXBean()
            .heapMemoryUsage.used
            .toDouble()
    }
    metrics.gauge("sniperoute_threads", "Threads of the process.") { ManagementFactory.getThreadMXBean().threadCount.toDouble() }
    return metrics
}

/** Registers and returns a counter with the label names [labels]. */
public fun MetricsRegistry.counter(name: String, help: String, vararg labels: String): Counter =
    Counter
        .builder()
        .name(name)
        .help(help)
        .labelNames(*labels)
        .register(registry)

/** Registers and returns a histogram of durations in seconds with the label names [labels]. */
public fun MetricsRegistry.secondsHistogram(name: String, help: String, vararg labels: String): Histogram =
    Histogram
        .builder()
        .name(name)
        .help(help)
        .labelNames(*labels)
        .register(registry)

/** Registers a gauge whose value is returned by [read] at each scrape. */
public fun MetricsRegistry.gauge(name: String, help: String, read: () -> Double) {
    GaugeWithCallback
        .builder()
        .name(name)
        .help(help)
        .callback { it.call(read()) }
        .register(registry)
}

/** Registers gauges for the number of items in [ring] and of items that it refused. */
public fun MetricsRegistry.registerRing(ring: Ring<*>) {
    val label = ring.name.replace('-', '_')
    gauge("sniperoute_ring_${label}_waiting", "Items that wait in the ring ${ring.name}.") { ring.size.toDouble() }
    gauge("sniperoute_ring_${label}_refused", "Items that the ring ${ring.name} refused when full.") { ring.refusedCount.toDouble() }
}

/** Returns all metrics in the Prometheus text format. */
public fun MetricsRegistry.toText(): String {
    val output = ByteArrayOutputStream()
    PrometheusTextFormatWriter(false).write(output, registry.scrape())
    return output.toString(Charsets.UTF_8)
}
