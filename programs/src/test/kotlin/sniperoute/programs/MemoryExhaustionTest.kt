/**
 * A process whose memory has run out ends, so that it is started again, whichever thread meets the error.
 */
package sniperoute.programs

import org.junit.jupiter.api.Test
import sniperoute.common.ExitStatus
import sniperoute.common.haltOnDutyFailure
import sniperoute.process.clock.systemClock
import sniperoute.process.duty.startDuty
import sniperoute.process.timeline.startEventRecorder
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit

private const val BLOCK_BYTES = 64 * 1024
private const val SMALL_BLOCK_BYTES = 16
private const val LONGER_THAN_THE_TEST_MILLISECONDS = 30_000L

/** Runs a duty that fills the heap to the last bytes and keeps what it holds. */
internal object HeapFillingProgram {
    private val held = mutableListOf<Any>()
    private var chain: Array<Any?>? = null

    @JvmStatic
    fun main(arguments: Array<String>) {
        val recorder = startEventRecorder("program", systemClock(), 100)
        startDuty("filling", haltOnDutyFailure(recorder)) {
            runCatching { while (true) held += ByteArray(BLOCK_BYTES) }
            while (true) chain = arrayOf(chain, ByteArray(SMALL_BLOCK_BYTES))
        }
        Thread.sleep(LONGER_THAN_THE_TEST_MILLISECONDS)
    }
}

class MemoryExhaustionTest {
    private val root: Path = generateSequence(
        Path.of("").toAbsolutePath(),
    ) { it.parent }.first { Files.exists(it.resolve("docs/EVENTS.md")) }

    /** Guards against a process that stays without its duties after an OutOfMemoryError. */
    @Test
    fun `a process ends when a duty meets an OutOfMemoryError, though nothing is left to record it with`() {
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val command = listOf(java, "-Xmx32m", "-XX:+UseSerialGC", "-cp", System.getProperty("java.class.path"))
        val process = ProcessBuilder(command + HeapFillingProgram::class.java.name)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .start()
        try {
            expectThat(process.waitFor(10, TimeUnit.SECONDS)).isTrue()
            expectThat(process.exitValue()).isEqualTo(ExitStatus.FAILURE)
        } finally {
            process.destroyForcibly()
        }
    }

    @Test
    fun `the virtual machine of each server ends at an OutOfMemoryError in any thread`() {
        val files = listOf("programs/launchers/sniperoute-control", "programs/launchers/sniperoute-router", "deploy/system.toml")
        val commands = files
            .flatMap { Files.readAllLines(root.resolve(it)) }
            .filter { it.startsWith("exec java") || it.startsWith("run = \"java") }
        expectThat(commands).hasSize(4).all { contains("-XX:+ExitOnOutOfMemoryError") }
    }
}
