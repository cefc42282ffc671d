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
  private final List<Failing> failing = Collections.synchronizedList(new ArrayList<>());
  private final AtomicLong calls = new AtomicLong();
  private final AtomicInteger played = new AtomicInteger();

  /**
   * A seed whose day broke a rule, lost a call, or threw.
   *
   * @param seed the seed
   * @param what what came of it
   */
  public record Failing(long seed, String what) {}

  /** Makes a sweep of what is played for each number. */
  private SeedSweep(LongFunction<Rehearsal.Result> player) {
    this.player = player;
  }

  /** A sweep over the day of each seed. */
  public static SeedSweep ofDays(LongFunction<Day> days, Tampering tampering) {
    return new SeedSweep(
        seed -> {
          try (World world = new SimWorld(seed)) {
            return Rehearsal.play(world, days.apply(seed), seed, tampering);
          }
        });
  }

  /** A sweep over seeds whose controllers are killed and whose disks fail as the seed draws. */
  public static SeedSweep ofRestarts() {
    return new SeedSweep(seed -> restarts(Days.restarts(seed), seed, -1));
  }

  /** A sweep over one day that is played with a kill at each boundary, by its number. */
  public static SeedSweep ofBoundaries(Day day, long seed) {
    return new SeedSweep(boundary -> restarts(day, seed, boundary));
  }

  /** Plays a day whose controllers keep their calls; a kill at a boundary, or at none. */
  public static Rehearsal.Result restarts(Day day, long seed, long boundary) {
    try (SimWorld world = new SimWorld(seed)) {
      Lives lives = new Lives(world, BUDGET, seed);
      lives.crashAt(boundary);
      return Rehearsal.playLives(world, day, seed, lives);
    }
  }

  /** Plays so many seeds from the first on; returns the failing ones in order. */
  public List<Failing> play(long first, int count, int threads) throws InterruptedException {
    ExecutorService pool = Executors.newFixedThreadPool(threads);
    for (long seed = first; seed < first + count; seed++) {
      long own = seed;
      pool.execute(() -> one(own));
    }
    pool.shutdown();
    if (!pool.awaitTermination(2, TimeUnit.HOURS)) {
      pool.shutdownNow();
    }
    List<Failing> found = new ArrayList<>(failing);
    found.sort((a, b) -> Long.compare(a.seed(), b.seed()));
    return found;
  }

  private void one(long seed) {
    try {
      Rehearsal.Result result = player.apply(seed);
      calls.addAndGet(result.calls());
      if (!result.clean()) {
        int missing = result.calls() - result.fates().size();
        String open = " calls without end: " + missing + ", circuits held: ";
        failing.add(new Failing(seed, result.verdict() + open + result.circuitsHeld()));
      }
    } catch (RuntimeException e) {
      failing.add(new Failing(seed, "threw " + e + " at " + e.getStackTrace()[0]));
    }
    played.incrementAndGet();
  }

  /** Calls made so far. */
  public long calls() {
    return calls.get();
  }

  /** Seeds played so far. */
  public int played() {
    return played.get();
  }
}
