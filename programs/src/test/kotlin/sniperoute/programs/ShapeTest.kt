/**
 * Checks the structure of the code base: the direction of dependencies, that decisions use no transport and no encoding, that no thread
 * spins while it waits, and that the catalogue of events is complete.
 */
package sniperoute.programs

import org.junit.jupiter.api.Test
import sniperoute.process.timeline.message.EventKind
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.extension
import kotlin.io.path.invariantSeparatorsPathString
import kotlin.io.path.readText
import kotlin.streams.asSequence

class ShapeTest {
    private val root: Path = generateSequence(
        Path.of("").toAbsolutePath(),
    ) { it.parent }.first { Files.exists(it.resolve("docs/EVENTS.md")) }

    private data class Source(val path: String, val text: String)

    private val sources: List<Source> = Files.walk(root).use { paths ->
        paths
            .asSequence()
            .filter { it.extension == "kt" }
            .map { root.relativize(it).invariantSeparatorsPathString to it }
            .filter { (name, _) -> "/src/main/" in name && "/target/" !in name }
            .map { (name, path) -> Source(name, path.readText()) }
            .toList()
    }

    private fun offenders(isSubject: (Source) -> Boolean, forbidden: Regex): List<String> =
        sources.filter(isSubject).flatMap { source -> forbidden.findAll(source.text).map { "${source.path}: ${it.value}" } }

    @Test
    fun `the sources are found`() {
        expectThat(sources.size).isGreaterThan(80)
    }

    @Test
    fun `decisions use no type of a transport or an encoding`() {
        val forbidden = Regex("io\\.netty|io\\.ktor|kotlinx\\.serialization|com\\.fasterxml|java\\.net\\.|java\\.nio\\.")
        expectThat(offenders({ "/decision/" in it.path }, forbidden)).isEmpty()
    }

    @Test
    fun `decisions decode and encode nothing`() {
        expectThat(offenders({ "/decision/" in it.path }, Regex("import sniperoute\\.[a-z.]*codec\\."))).isEmpty()
    }

    @Test
    fun `names of the platform's API occur only in its own folder, which contains no decisions`() {
        val words =
            Regex("server-stamp|token-usage|request-priority|kv-(fetch|save|from|hold)|not-executed|expect-instance|weight-versions|/api/")
        expectThat(offenders({ !it.path.startsWith("platform/") }, words)).isEmpty()
        expectThat(sources.filter { it.path.startsWith("platform/") && "/decision/" in it.path }).isEmpty()
    }

    @Test
    fun `modules of a longer life span never import modules of a shorter one`() {
        val order = listOf("process", "version", "connection", "request")
        order.forEachIndexed { position, module ->
            val shorter = (
                order.drop(
                    position + 1,
                ) + listOf("control", "router", "publish", "operator", "standin", "common")
            ).joinToString("|")
            expectThat(offenders({ it.path.startsWith("$module/") }, Regex("import sniperoute\\.($shorter)\\."))).isEmpty()
        }
    }

    @Test
    fun `what other programs wrote is decoded in one place, which bounds its nesting`() {
        val unguarded = Regex("parseToJsonElement|decodeFromString|decodeFromByteArray|decodeFromStream")
        expectThat(offenders({ "/process/codec/" !in it.path && !it.path.startsWith("programs/standin/") }, unguarded)).isEmpty()
    }

    @Test
    fun `every import is used`() {
        val statement = Regex("^import ([\\w.]+)$", RegexOption.MULTILINE)
        val operators = setOf("plus", "minus", "times", "div", "getValue", "setValue")
        val unused = sources.flatMap { source ->
            val names = statement.findAll(source.text).map { it.groupValues[1].substringAfterLast('.') }
            val words = Regex("\\w+").findAll(source.text.replace(statement, "")).map { it.value }.toSet()
            names.filter { it !in words && it !in operators }.map { "${source.path}: $it" }
        }
        expectThat(unused).isEmpty()
    }

    @Test
    fun `no thread spins while it waits`() {
        val spinning = Regex("onSpinWait|BusySpin|YieldingWaitStrategy|Thread\\.yield|parkNanos\\(1")
        expectThat(offenders({ true }, spinning)).isEmpty()
    }

    @Test
    fun `clocks are read in one place`() {
        val clocks = Regex("System\\.(nanoTime|currentTimeMillis)|Instant\\.now|Clock\\.System")
        expectThat(offenders({ !it.path.endsWith("clock/Timestamps.kt") }, clocks)).isEmpty()
    }

    @Test
    fun `no thread is started outside duties and the pools of the transport libraries`() {
        val threads = Regex("\\bthread\\(|\\bThread\\(|Executors\\.")
        val allowed = listOf("duty/Duties.kt", "peer/PeerNetworks.kt", "common/Programs.kt", "standin/PlainServices.kt")
        expectThat(offenders({ source -> allowed.none { source.path.endsWith(it) } }, threads)).isEmpty()
    }

    @Test
    fun `the catalogue lists every event under its number`() {
        val catalogue = Regex("^\\| (\\d+) \\| ([A-Z_]+) \\| ([a-z]+) \\|", RegexOption.MULTILINE)
            .findAll(Files.readString(root.resolve("docs/EVENTS.md")))
            .map { it.destructured.toList() }
            .toSet()
        val code = EventKind.entries.map { listOf("${it.number}", it.name, it.severity.name.lowercase()) }.toSet()
        expectThat(catalogue).isEqualTo(code)
        expectThat(
            EventKind.entries
                .map { it.number }
                .distinct()
                .size,
        ).isEqualTo(EventKind.entries.size)
    }

    @Test
    fun `every event is recorded somewhere`() {
        val unused = EventKind.entries.filter { kind -> sources.none { "EventKind.${kind.name}" in it.text } }
        expectThat(unused).isEmpty()
    }
}
