package coveladder;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class ThresholdsTest {

  /** The recursion written out with one explicit choice for each class, by memo-free recursion. */
  private static double value(int n, int busy, int size, double[] l, double mu, double[] b) {
    if (n == 0) {
      return 0;
    }
    double a = 0.99;
    double here = value(n - 1, busy, size, l, mu, b);
    double sum = (size - busy) * mu * a * here;
    if (busy > 0) {
      sum += busy * mu * a * value(n - 1, busy - 1, size, l, mu, b);
    }
    for (int k = 0; k < l.length; k++) {
      double blocked = b[k] + a * here;
      sum +=
          l[k]
              * (busy == size
                  ? blocked
                  : Math.min(blocked, a * value(n - 1, busy + 1, size, l, mu, b)));
    }
    return sum;
  }

  /** Average cost of fixed thresholds, from the stationary distribution of the busy count. */
  private static double averageCost(int size, int cheap, double[] l, double mu, double[] b) {
    double[] p = new double[size + 1];
    p[0] = 1;
    double total = 1;
    for (int i = 1; i <= size; i++) {
      double in = l[1] + (i - 1 < cheap ? l[0] : 0);
      p[i] = p[i - 1] * in / (i * mu);
      total += p[i];
    }
    double cost = p[size] * l[1] * b[1];
    for (int i = cheap; i <= size; i++) {
      cost += p[i] * l[0] * b[0];
    }
    return cost / total;
  }

  @Test
  void oneSweepMatchesTheFormulaWrittenOut() {
    double[] l = {0.3, 0.1};
    double[] b = {1, 5};
    double mu = 0.6 / 3;
    double[] v = new double[4];
    for (int n = 1; n <= 6; n++) {
      v = NestedThresholdPolicy.valueIterationStep(v, l, mu, b, 1);
      for (int busy = 0; busy <= 3; busy++) {
        assertEquals(value(n, busy, 3, l, mu, b), v[busy], 1e-12);
      }
    }
  }

  @Test
  void thresholdIsNearTheBestOfAllFixedThresholds() {
    double[] b = {1, 8};
    double hold = 10000;
    for (double load : new double[] {0.7, 1.0, 1.3}) {
      double[] l = {0.9 * load * 30 / hold, 0.1 * load * 30 / hold};
      int found = NestedThresholdPolicy.thresholds(30, l, hold, b)[0];
      double best = Double.MAX_VALUE;
      for (int t = 0; t <= 30; t++) {
        best = Math.min(best, averageCost(30, t, l, 1 / hold, b));
      }
      assertTrue(averageCost(30, found, l, 1 / hold, b) <= best * 1.1, "load " + load);
    }
  }

  @Test
  void thresholdsNestByWorthAndTheDearestIsNeverBlockedBeforeFull() {
    var random = new SplittableRandom(3);
    for (int round = 0; round < 200; round++) {
      int size = 1 + random.nextInt(60);
      double[] l = {
        random.nextDouble() / 100, random.nextDouble() / 100, random.nextDouble() / 100
      };
      double[] b = {1, 1 + 5 * random.nextDouble(), 7};
      int[] t = NestedThresholdPolicy.thresholds(size, l, 8000, b);
      assertTrue(t[0] <= t[1] && t[1] <= t[2]);
      assertEquals(size, t[2]);
    }
  }

  @Test
  void heavierLoadNeverRaisesTheCheapThreshold() {
    int before = 40;
    for (double load = 0.2; load < 3; load += 0.1) {
      double[] l = {0.9 * load * 40 / 8000, 0.1 * load * 40 / 8000};
      int now = NestedThresholdPolicy.thresholds(40, l, 8000, new double[] {1, 8})[0];
      assertTrue(now <= before);
      before = now;
    }
    assertTrue(before < 40);
  }

  @Test
  void withOneClassNothingIsBlockedBeforeFull() {
    int[] t = NestedThresholdPolicy.thresholds(20, new double[] {0.01}, 9000, new double[] {1});
    assertArrayEquals(new int[] {20}, t);
  }
}
