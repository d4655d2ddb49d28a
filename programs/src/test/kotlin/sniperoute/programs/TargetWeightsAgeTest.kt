/**
 * A replica that becomes the leader knows how old the target weights are, so that it does not take more endpoints away from a strained
 * service than their deadlines ask for.
 */
package sniperoute.programs

import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.Test
import sniperoute.control.message.CommittedEntry
import sniperoute.control.message.EntriesCommitted
import sniperoute.control.message.SetTargetWeights
import sniperoute.version.decision.outdatedSinceOrNull
import sniperoute.version.message.ModelName
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.seconds

class TargetWeightsAgeTest {
    private val model = ModelName("m")

    @Test
    fun `weights are outdated since their first successor, also at the next leader`() {
        val driver = ControlDutyDriver(term = 1)
        driver.isLeader = false
        val named = driver.now
        (1L..3L).forEach { number ->
            val command = SetTargetWeights(driver.now, model, number, "operator")
            driver.input(EntriesCommitted(persistentListOf(CommittedEntry(number, 0, command))))
            driver.now += 3.seconds
        }
        driver.isLeader = true
        driver.term = 2
        driver.input(null)
        val targets = driver.state.targetWeights.getValue(model)
        expectThat(targets.outdatedSinceOrNull(1)).isEqualTo(named + 3.seconds)
        expectThat(targets.outdatedSinceOrNull(2)).isEqualTo(named + 6.seconds)
        expectThat(targets.outdatedSinceOrNull(3)).isNull()
    }
}
