package coveladder;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Checks the computation of Koole's nested thresholds against independent calculations. */
class ThresholdsTest {

  /**
   * Returns the expected cost of the next {@code steps} steps while {@code busy} of {@code size}
   * circuits are busy, by plain recursion with an explicit choice for each class between blocking
   * and admission.
   */
  private static double expectedCost(
      int steps, int busy, int size, double[] rates, double serviceRate, double[] costs) {
    if (steps == 0) {
      return 0;
    }
    double discount = 0.99;
    double costIfUnchanged = expectedCost(steps - 1, busy, size, rates, serviceRate, costs);
    double sum = (size - busy) * serviceRate * discount * costIfUnchanged;
    if (busy > 0) {
      sum +=
          busy
              * serviceRate
              * discount
              * expectedCost(steps - 1, busy - 1, size, rates, serviceRate, costs);
    }
    for (int classIndex = 0; classIndex < rates.length; classIndex++) {
      double blockingCost = costs[classIndex] + discount * costIfUnchanged;
      sum +=
          rates[classIndex]
              * (busy == size
                  ? blockingCost
                  : Math.min(
                      blockingCost,
                      discount
                          * expectedCost(steps - 1, busy + 1, size, rates, serviceRate, costs)));
    }
    return sum;
  }

  /**
   * Returns the average cost of blocked calls per ms if class 0 is admitted only below the
   * threshold of busy circuits and class 1 whenever a circuit is free, from the stationary
   * distribution of the number of busy circuits.
   */
  private static double averageCost(
      int size, int threshold, double[] rates, double serviceRate, double[] costs) {
    double[] weights = new double[size + 1];
    weights[0] = 1;
    double totalWeight = 1;
    for (int busy = 1; busy <= size; busy++) {
      double admittedRate = rates[1] + (busy - 1 < threshold ? rates[0] : 0);
      weights[busy] = weights[busy - 1] * admittedRate / (busy * serviceRate);
      totalWeight += weights[busy];
    }
    double cost = weights[size] * rates[1] * costs[1];
    for (int busy = threshold; busy <= size; busy++) {
      cost += weights[busy] * rates[0] * costs[0];
    }
    return cost / totalWeight;
  }

  @Test
  void valueIterationMatchesTheRecursion() {
    double[] rates = {0.3, 0.1};
    double[] costs = {1, 5};
    double serviceRate = 0.6 / 3;
    double[] values = new double[4];
    for (int steps = 1; steps <= 6; steps++) {
      values = NestedThresholdPolicy.valueIterationStep(values, rates, serviceRate, costs, 1);
      for (int busy = 0; busy <= 3; busy++) {
        assertEquals(expectedCost(steps, busy, 3, rates, serviceRate, costs), values[busy], 1e-12);
      }
    }
  }

  @Test
  void thresholdIsNearTheBestOfAllFixedThresholds() {
    double[] costs = {1, 8};
    double hold = 10000;
    for (double load : new double[] {0.7, 1.0, 1.3}) {
      double[] rates = {0.9 * load * 30 / hold, 0.1 * load * 30 / hold};
      int found = NestedThresholdPolicy.thresholds(30, rates, hold, costs)[0];
      double best = Double.MAX_VALUE;
      for (int threshold = 0; threshold <= 30; threshold++) {
        best = Math.min(best, averageCost(30, threshold, rates, 1 / hold, costs));
      }
      assertTrue(averageCost(30, found, rates, 1 / hold, costs) <= best * 1.1, "load " + load);
    }
  }

  @Test
  void thresholdsNestByWorthAndTheHighestIsTheGroupSize() {
    var random = new SplittableRandom(3);
    for (int round = 0; round < 200; round++) {
      int size = 1 + random.nextInt(60);
      double[] rates = {
        random.nextDouble() / 100, random.nextDouble() / 100, random.nextDouble() / 100
      };
      double[] costs = {1, 1 + 5 * random.nextDouble(), 7};
      int[] thresholds = NestedThresholdPolicy.thresholds(size, rates, 8000, costs);
      assertTrue(thresholds[0] <= thresholds[1] && thresholds[1] <= thresholds[2]);
      assertEquals(size, thresholds[2]);
    }
  }

  @Test
  void higherLoadNeverRaisesTheLowWorthThreshold() {
    int previous = 40;
    for (double load = 0.2; load < 3; load += 0.1) {
      double[] rates = {0.9 * load * 40 / 8000, 0.1 * load * 40 / 8000};
      int threshold = NestedThresholdPolicy.thresholds(40, rates, 8000, new double[] {1, 8})[0];
      assertTrue(threshold <= previous);
      previous = threshold;
    }
    assertTrue(previous < 40);
  }

  @Test
  void aSingleClassIsBlockedOnlyWhenTheGroupIsFull() {
    int[] thresholds =
        NestedThresholdPolicy.thresholds(20, new double[] {0.01}, 9000, new double[] {1});
    assertArrayEquals(new int[] {20}, thresholds);
  }
}
