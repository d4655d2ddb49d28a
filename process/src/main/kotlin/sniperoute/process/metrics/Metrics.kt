/**
 * Metrics of a process, in the text format that monitoring systems scrape.
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

/** Returns a registry with the metrics of the process itself. */
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

/** Returns a counter; [labels] name what it is split by. */
public fun MetricsRegistry.counter(name: String, help: String, vararg labels: String): Counter =
    Counter
        .builder()
        .name(name)
        .help(help)
        .labelNames(*labels)
        .register(registry)

/** Returns a histogram of seconds; [labels] name what it is split by. */
public fun MetricsRegistry.secondsHistogram(name: String, help: String, vararg labels: String): Histogram =
    Histogram
        .builder()
        .name(name)
        .help(help)
        .labelNames(*labels)
        .register(registry)

/** Adds a gauge whose value is [read] at each scrape. */
public fun MetricsRegistry.gauge(name: String, help: String, read: () -> Double) {
    GaugeWithCallback
        .builder()
        .name(name)
        .help(help)
        .callback { it.call(read()) }
        .register(registry)
}

/** Adds gauges for how full [ring] is and how much it refused. */
public fun MetricsRegistry.registerRing(ring: Ring<*>) {
    val label = ring.name.replace('-', '_')
    gauge("sniperoute_ring_${label}_waiting", "Items that wait in the ring ${ring.name}.") { ring.size.toDouble() }
    gauge("sniperoute_ring_${label}_refused", "Items that the ring ${ring.name} refused when full.") { ring.refusedCount.toDouble() }
}

/** Returns all metrics in the text format. */
public fun MetricsRegistry.toText(): String {
    val output = ByteArrayOutputStream()
    PrometheusTextFormatWriter(false).write(output, registry.scrape())
    return output.toString(Charsets.UTF_8)
}
