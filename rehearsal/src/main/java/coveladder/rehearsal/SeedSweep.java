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
 * Plays many scenarios in virtual time on several threads: one for each seed, or the same scenario
 * with a kill at each boundary.
 */
public final class SeedSweep {
  private static final RecoveryRate.Budget RECOVERY_BUDGET =
      new RecoveryRate.Budget(/* callsPerSecond= */ 200, /* verifyDelayMillis= */ 300);

  private final LongFunction<Rehearsal.Result> scenarioRunner;
  private final List<FailedRun> failedRuns = Collections.synchronizedList(new ArrayList<>());
  private final AtomicLong callCount = new AtomicLong();
  private final AtomicInteger runCount = new AtomicInteger();

  /**
   * A run that broke a rule, lost a call or threw an exception.
   *
   * @param seed the seed or the number of the boundary
   * @param description what failed
   */
  public record FailedRun(long seed, String description) {}

  /** Creates a sweep; the runner plays one seed or boundary. */
  private SeedSweep(LongFunction<Rehearsal.Result> scenarioRunner) {
    this.scenarioRunner = scenarioRunner;
  }

  /** A sweep over the scenario of each seed. */
  public static SeedSweep ofScenarios(LongFunction<Scenario> scenarioOf, FaultInjection faults) {
    return new SeedSweep(
        seed -> {
          try (Network network = new SimulatedNetwork(seed)) {
            return Rehearsal.play(network, scenarioOf.apply(seed), seed, faults);
          }
        });
  }

  /** A sweep over seeds that determine when controllers are killed and disks fail. */
  public static SeedSweep ofRestarts() {
    return new SeedSweep(seed -> playWithKillAt(Scenarios.restarts(seed), seed, -1));
  }

  /** A sweep over the boundaries of one scenario, with a kill at each by its number. */
  public static SeedSweep ofBoundaries(Scenario scenario, long seed) {
    return new SeedSweep(boundary -> playWithKillAt(scenario, seed, boundary));
  }

  /**
   * Plays a scenario whose controllers persist their calls.
   *
   * @param boundary number of the boundary at which a controller is killed; -1: none
   */
  public static Rehearsal.Result playWithKillAt(Scenario scenario, long seed, long boundary) {
    try (SimulatedNetwork network = new SimulatedNetwork(seed)) {
      ControllerRestarts restarts = new ControllerRestarts(network, RECOVERY_BUDGET, seed);
      restarts.killAtBoundary(boundary);
      return Rehearsal.playWithRestarts(network, scenario, seed, restarts);
    }
  }

  /**
   * Plays {@code count} seeds from the first on; returns the failed runs ordered by seed. It waits
   * at most two hours; runs that have not completed by then are missing from the result.
   */
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

  /** Number of calls planned in the runs so far; runs that threw an exception do not count. */
  public long callCount() {
    return callCount.get();
  }

  /** Number of completed runs so far. */
  public int runCount() {
    return runCount.get();
  }
}
