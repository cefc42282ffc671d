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
  private static final RecoveryRate.Budget BUDGET = new RecoveryRate.Budget(200, 300);

  private final LongFunction<Rehearsal.Result> player;
  private final List<FailedRun> failing = Collections.synchronizedList(new ArrayList<>());
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
  private SeedSweep(LongFunction<Rehearsal.Result> player) {
    this.player = player;
  }

  /** A sweep over the day of each seed. */
  public static SeedSweep ofScenarios(LongFunction<Scenario> days, FaultInjection tampering) {
    return new SeedSweep(
        seed -> {
          try (Network world = new SimulatedNetwork(seed)) {
            return Rehearsal.play(world, days.apply(seed), seed, tampering);
          }
        });
  }

  /** A sweep over seeds whose controllers are killed and whose disks fail as the seed draws. */
  public static SeedSweep ofRestarts() {
    return new SeedSweep(seed -> playWithKillAt(Scenarios.restarts(seed), seed, -1));
  }

  /** A sweep over one day that is played with a kill at each boundary, by its number. */
  public static SeedSweep ofBoundaries(Scenario day, long seed) {
    return new SeedSweep(boundary -> playWithKillAt(day, seed, boundary));
  }

  /** Plays a day whose controllers keep their calls; a kill at a boundary, or at none. */
  public static Rehearsal.Result playWithKillAt(Scenario day, long seed, long boundary) {
    try (SimulatedNetwork world = new SimulatedNetwork(seed)) {
      ControllerRestarts lives = new ControllerRestarts(world, BUDGET, seed);
      lives.killAtBoundary(boundary);
      return Rehearsal.playWithRestarts(world, day, seed, lives);
    }
  }

  /** Plays so many seeds from the first on; returns the failing ones in order. */
  public List<FailedRun> run(long first, int count, int threads) throws InterruptedException {
    ExecutorService pool = Executors.newFixedThreadPool(threads);
    for (long seed = first; seed < first + count; seed++) {
      long own = seed;
      pool.execute(() -> one(own));
    }
    pool.shutdown();
    if (!pool.awaitTermination(2, TimeUnit.HOURS)) {
      pool.shutdownNow();
    }
    List<FailedRun> found = new ArrayList<>(failing);
    found.sort((a, b) -> Long.compare(a.seed(), b.seed()));
    return found;
  }

  private void one(long seed) {
    try {
      Rehearsal.Result result = player.apply(seed);
      callCount.addAndGet(result.plannedCallCount());
      if (!result.isClean()) {
        int missing = result.plannedCallCount() - result.callResults().size();
        String open = " calls without end: " + missing + ", circuits held: ";
        failing.add(new FailedRun(seed, result.ruleReport() + open + result.busyCircuits()));
      }
    } catch (RuntimeException e) {
      failing.add(new FailedRun(seed, "threw " + e + " at " + e.getStackTrace()[0]));
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
