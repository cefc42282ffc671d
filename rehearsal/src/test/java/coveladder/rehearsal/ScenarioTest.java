package coveladder.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** Whole scenarios in virtual time, and that a seed determines a run completely. */
class ScenarioTest {

  @Test
  void aQuietScenarioKeepsAllRulesAndFreesAllCircuits() {
    Rehearsal.Result result = play(Scenarios.quiet(), 1);
    assertTrue(result.isClean(), result.ruleReport().toString());
    assertEquals(0, result.busyCircuits());
  }

  @Test
  void theBadDayKeepsAllRulesAndFreesAllCircuits() {
    Rehearsal.Result result = play(Scenarios.badDay(), 1);
    assertTrue(result.isClean(), result.ruleReport().toString());
    assertEquals(0, result.busyCircuits());
  }

  @Test
  void theSameSeedGivesTheSameMessages() {
    assertEquals(digest(4), digest(4));
    assertNotEquals(digest(4), digest(5));
  }

  private static int digest(long seed) {
    try (Network network = new SimulatedNetwork(seed)) {
      Rehearsal.play(network, Scenarios.small(seed), seed, FaultInjection.NONE);
      int digest = 1;
      for (MessageRecorder.Entry entry : network.recorder().entries()) {
        digest = 31 * digest + Double.hashCode(entry.time()) + Arrays.hashCode(entry.message());
      }
      return digest;
    }
  }

  private static Rehearsal.Result play(Scenario scenario, long seed) {
    try (Network network = new SimulatedNetwork(seed)) {
      return Rehearsal.play(network, scenario, seed, FaultInjection.NONE);
    }
  }
}
