package coveladder.rehearsal;

import coveladder.core.recovery.RecoveryRate;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;

/**
 * Plays many days in virtual time, one after the other on each processor of the machine: a seed
 * each, or one day with a kill at each boundary.
 */
public final class SeedSweep {
  private static final RecoveryRate.Budget RECOVERY_BUDGET = new RecoveryRate.Budget(200, 300);

  private final LongFunction<Rehearsal.Result> scenarioRunner;
  private final List<FailedRun> failedRuns = Collections.synchronizedList(new ArrayList<>());
  private final AtomicLong callCount = new AtomicLong();
  private final AtomicInteger runCount = new AtomicInteger();

  /**
   * A seed whose day broke a rule, lost a call, or threw.
   *
   * @param seed the seed
   * @param description what came of it
   */
  public record FailedRun(long seed, String description) {}

  /** Makes a sweep of what is played for each number. */
  private SeedSweep(LongFunction<Rehearsal.Result> scenarioRunner) {
    this.scenarioRunner = scenarioRunner;
  }

  /** A sweep over the day of each seed. */
  public static SeedSweep ofScenarios(LongFunction<Scenario> scenarioOf, FaultInjection faults) {
    return new SeedSweep(
        seed -> {
          try (Network network = new SimulatedNetwork(seed)) {
            return Rehearsal.play(network, scenarioOf.apply(seed), seed, faults);
          }
        });
  }

  /** A sweep over seeds whose controllers are killed and whose disks fail as the seed draws. */
  public static SeedSweep ofRestarts() {
    return new SeedSweep(seed -> playWithKillAt(Scenarios.restarts(seed), seed, -1));
  }

  /** A sweep over one day that is played with a kill at each boundary, by its number. */
  public static SeedSweep ofBoundaries(Scenario scenario, long seed) {
    return new SeedSweep(boundary -> playWithKillAt(scenario, seed, boundary));
  }

  /** Plays a day whose controllers keep their calls; a kill at a boundary, or at none. */
  public static Rehearsal.Result playWithKillAt(Scenario scenario, long seed, long boundary) {
    try (SimulatedNetwork network = new SimulatedNetwork(seed)) {
      ControllerRestarts restarts = new ControllerRestarts(network, RECOVERY_BUDGET, seed);
      restarts.killAtBoundary(boundary);
      return Rehearsal.playWithRestarts(network, scenario, seed, restarts);
    }
  }

  /** Plays so many seeds from the first on; returns the failing ones in order. */
  public List<FailedRun> run(long firstSeed, int count, int threads) throws InterruptedException {
    ExecutorService pool = Executors.newFixedThreadPool(threads);
    for (long seed = firstSeed; seed < firstSeed + count; seed++) {
      long runSeed = seed;
      pool.execute(() -> runOne(runSeed));
    }
    pool.shutdown();
    if (!pool.awaitTermination(2, TimeUnit.HOURS)) {
      pool.shutdownNow();
    }
    List<FailedRun> sorted = new ArrayList<>(failedRuns);
    sorted.sort((a, b) -> Long.compare(a.seed(), b.seed()));
    return sorted;
  }

  private void runOne(long seed) {
    try {
      Rehearsal.Result result = scenarioRunner.apply(seed);
      callCount.addAndGet(result.plannedCallCount());
      if (!result.isClean()) {
        int missing = result.plannedCallCount() - result.callResults().size();
        String unfinished = " calls without end: " + missing + ", circuits held: ";
        failedRuns.add(
            new FailedRun(seed, result.ruleReport() + unfinished + result.busyCircuits()));
      }
    } catch (RuntimeException e) {
      failedRuns.add(new FailedRun(seed, "threw " + e + " at " + e.getStackTrace()[0]));
    }
    runCount.incrementAndGet();
  }

  /** Calls made so far. */
  public long callCount() {
    return callCount.get();
  }

  /** Seeds played so far. */
  public int runCount() {
    return runCount.get();
  }
}
