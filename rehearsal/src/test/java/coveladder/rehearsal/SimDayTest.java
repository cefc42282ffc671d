package coveladder.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import org.junit.jupiter.api.Test;

class SimDayTest {

  @Test
  void aQuietDayServesNearlyEveryCall() {
    Rehearsal.Result result = play(Days.quiet(), 1);
    assertTrue(result.clean(), result.verdict().toString());
    assertEquals(0, result.circuitsHeld());
  }

  @Test
  void theBadDayKeepsAllRules() {
    Rehearsal.Result result = play(Days.badDay(), 1);
    assertTrue(result.clean(), result.verdict().toString());
    assertEquals(0, result.circuitsHeld());
  }

  @Test
  void aSeedReplaysToTheSameByte() {
    assertEquals(digest(4), digest(4));
    assertNotEquals(digest(4), digest(5));
  }

  private static int digest(long seed) {
    try (World world = new SimWorld(seed)) {
      Rehearsal.play(world, Days.small(seed), seed, Tampering.NONE);
      int digest = 1;
      for (Tap.Entry entry : world.tap().entries()) {
        digest = 31 * digest + Double.hashCode(entry.time()) + Arrays.hashCode(entry.message());
      }
      return digest;
    }
  }

  private static Rehearsal.Result play(Day day, long seed) {
    try (World world = new SimWorld(seed)) {
      return Rehearsal.play(world, day, seed, Tampering.NONE);
    }
  }
}
