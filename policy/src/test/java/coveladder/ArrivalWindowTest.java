package coveladder;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests the counts of arrivals and what is held for them. */
class ArrivalWindowTest {
  private static final double WINDOW_MILLIS = 10_000;

  /**
   * Each arrival of the last 10 s was held, and a client that calls at full speed filled the heap.
   */
  @Test
  void theMemoryDoesNotGrowWithTheRateOfCalls() {
    ArrivalWindow window = new ArrivalWindow(0, 2);
    for (int i = 0; i < 1_000_000; i++) {
      window.add(i / 100.0, i % 2);
    }
    assertEquals(1_000_000, window.size());
    assertEquals(500_000, window.size(1));
    assertTrue(window.heldIntervals() <= 101, "intervals held: " + window.heldIntervals());
    window.removeBefore(20_000);
    assertTrue(window.isEmpty());
    assertEquals(0, window.heldIntervals());
  }

  @Test
  void countsAreExactAtTheTimesOfTheRegularComputation() {
    ArrivalWindow window = new ArrivalWindow(500, 3);
    List<double[]> arrivals = new ArrayList<>();
    Random random = new Random(3);
    double now = 500;
    for (int computation = 1; computation <= 20; computation++) {
      double next = 500 + 2_000 * computation;
      for (now += random.nextDouble() * 30; now < next; now += random.nextDouble() * 30) {
        int type = random.nextInt(3);
        window.add(now, type);
        arrivals.add(new double[] {now, type});
      }
      window.removeBefore(next - WINDOW_MILLIS);
      arrivals.removeIf(arrival -> arrival[0] < next - WINDOW_MILLIS);
      assertEquals(arrivals.size(), window.size());
      assertEquals(arrivals.stream().filter(arrival -> arrival[1] == 2).count(), window.size(2));
    }
  }
}
