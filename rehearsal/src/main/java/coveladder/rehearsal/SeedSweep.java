package coveladder.rehearsal;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;

/** Plays the simulated day of many seeds, one after the other on each processor of the machine. */
public final class SeedSweep {
  private final LongFunction<Day> days;
  private final Tampering tampering;
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

  /** Makes a sweep over the day of each seed. */
  public SeedSweep(LongFunction<Day> days, Tampering tampering) {
    this.days = days;
    this.tampering = tampering;
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
    try (World world = new SimWorld(seed)) {
      Rehearsal.Result result = Rehearsal.play(world, days.apply(seed), seed, tampering);
      calls.addAndGet(result.calls());
      if (!result.clean()) {
        int missing = result.calls() - result.fates().size();
        failing.add(new Failing(seed, result.verdict() + " calls without end: " + missing));
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
