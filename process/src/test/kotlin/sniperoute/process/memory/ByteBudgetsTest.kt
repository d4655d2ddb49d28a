/**
 * A shared budget of bytes: greedy holders can't use it up.
 */
package sniperoute.process.memory

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo

private const val TOTAL_BYTES = 24L * 1024 * 1024
private const val STEP_BYTES = 8L * 1024
private const val ORDINARY_BYTES = 64L * 1024

class ByteBudgetsTest {
    @Test
    fun `however many holders take all that they may, the budget is kept and as much as each has is left`() {
        for (holders in listOf(1, 2, 12, 40, 100)) {
            val budget = byteBudget(TOTAL_BYTES)
            val held = LongArray(holders)
            while (held.indices.count { budget.grow(held, it) } > 0) continue
            expectThat(budget.heldBytes).isLessThanOrEqualTo(TOTAL_BYTES)
            expectThat(TOTAL_BYTES - budget.heldBytes).isGreaterThanOrEqualTo(held.max() - STEP_BYTES)
        }
    }

    /** Gives [holder] one step more, and returns `true`, if it may have that much. */
    private fun ByteBudget.grow(held: LongArray, holder: Int): Boolean {
        if (held[holder] + STEP_BYTES > limitOfHolder) return false
        held[holder] += STEP_BYTES
        change(STEP_BYTES)
        return true
    }

    @Test
    fun `an ordinary holder has room while the budget is exceeded, and all of it is free again afterwards`() {
        val budget = byteBudget(TOTAL_BYTES)
        budget.change(2 * TOTAL_BYTES)
        expectThat(budget.limitOfHolder).isEqualTo(ORDINARY_BYTES)
        budget.change(-2 * TOTAL_BYTES)
        expectThat(budget.limitOfHolder).isEqualTo(TOTAL_BYTES)
    }
}
