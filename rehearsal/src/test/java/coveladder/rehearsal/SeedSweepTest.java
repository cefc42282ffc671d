package coveladder.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** 300 seeds of the small scenario in virtual time; the rehearse command plays thousands. */
class SeedSweepTest {

  @Test
  void threeHundredSeedsKeepAllRules() throws InterruptedException {
    SeedSweep sweep = SeedSweep.ofScenarios(Scenarios::small, FaultInjection.NONE);
    int threads = Runtime.getRuntime().availableProcessors();
    assertEquals(List.of(), sweep.run(1, 300, threads));
    assertEquals(300, sweep.runCount());
  }

  /**
   * Seeds that failed before by an answer after the end of the caller's patience. In the two that
   * were analysed, a controller was frozen at that time, and the checker did not allow for it.
   */
  @ParameterizedTest
  @ValueSource(
      longs = {1371, 3143, 5193, 5195, 5509, 6127, 6990, 7253, 7425, 7506, 8866, 9316, 9355, 9689})
  void seedsThatFailedBefore(long seed) {
    try (Network network = new SimulatedNetwork(seed)) {
      Rehearsal.Result result =
          Rehearsal.play(network, Scenarios.small(seed), seed, FaultInjection.NONE);
      assertTrue(result.isClean(), result.ruleReport().toString());
    }
  }
}
