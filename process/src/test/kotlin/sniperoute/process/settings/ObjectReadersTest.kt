/**
 * Checked files: every mistake is told with its place and what was expected.
 */
package sniperoute.process.settings

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull

class ObjectReadersTest {
    private data class Sample(val name: String, val port: Long, val flag: Boolean)

    private fun read(text: String) = readValidated("sample.json", text) {
        Sample(string("name"), long("port", 1L..9L), objectOrNull("more") { boolean("flag") } ?: false)
    }

    @Test
    fun `comments and trailing commas are fine`() {
        val result = read("{ // who\n \"name\": \"x\", /* where */ \"port\": 3, \"more\": {\"flag\": true,}, }")
        expectThat(result.getOrNull()).isEqualTo(Sample("x", 3, true))
    }

    @Test
    fun `every mistake is found in one pass, in order, with line and column`() {
        val refused = read("{\n \"port\": 12,\n \"nane\": \"x\",\n \"more\": {\"flag\": 1, \"extra\": 2}\n}").leftOrNull()
        expectThat(refused).isNotNull()
        val lines = refused!!.errors.map { it.toString() }
        expectThat(lines).hasSize(5)
        expectThat(lines[0]).contains("sample.json:1:1").contains("\"name\" is missing").contains("a text")
        expectThat(lines[1]).contains("sample.json:2:10").contains("the number 12").contains("from 1 to 9")
        expectThat(lines[2]).contains("sample.json:3:2").contains("\"nane\" is not known here").contains("\"name\"")
        expectThat(lines[3]).contains("sample.json:4").contains("true or false")
        expectThat(lines[4]).contains("\"extra\" is not known here")
    }

    @Test
    fun `text that is no JSON, a doubled name and more text after the end are refused with their places`() {
        listOf(
            "",
            "{",
            "[1]",
            "{\"name\": }",
            "{\"name\": \"a\", \"name\": \"b\", \"port\": 1}",
            "{\"name\":\"x\",\"port\":1} {}",
        ).forEach { text ->
            expectThat(read(text).leftOrNull()).describedAs(text).isNotNull()
        }
    }
}
