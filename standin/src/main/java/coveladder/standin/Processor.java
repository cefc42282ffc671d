package coveladder.standin;

import coveladder.sip.SipHost;
import java.util.ArrayDeque;

/**
 * The processor of an exchange: one line, work done in the order of its coming. A cold one does
 * only part of its work; pushed beyond what it bears, it falls over and stays down.
 */
public final class Processor {
  private final SipHost host;
  private final Model model;
  private final ArrayDeque<Job> line = new ArrayDeque<>();
  private final ArrayDeque<Double> setups = new ArrayDeque<>();
  private double queued;
  private boolean working;
  private double started = Double.NEGATIVE_INFINITY;
  private double slowness = 1;
  private double stalledUntil;
  private boolean silent;
  private boolean down;
  private boolean fallen;
  private long epoch;
  private double busyShare;
  private double lastLook;
  private double workSince;

  /**
   * Figures of a processor.
   *
   * @param setup work of a set-up, ms
   * @param answer work of an answer, ms
   * @param release work of a release, ms
   * @param other work of any other message, ms
   * @param refusal work of turning a set-up away, ms
   * @param waitLimit set-ups are turned away where the wait is longer, ms
   * @param coldFrom share of its capacity at which it begins
   * @param ramp time until it is warm, ms
   * @param fallMultiple multiple of what it can do that it bears while cold
   * @param fall window over which that is counted, ms
   */
  public record Model(
      double setup,
      double answer,
      double release,
      double other,
      double refusal,
      double waitLimit,
      double coldFrom,
      double ramp,
      double fallMultiple,
      double fall) {}

  private record Job(double work, Runnable task) {}

  /** Makes a warm processor. */
  public Processor(SipHost host, Model model) {
    this.host = host;
    this.model = model;
  }

  /** Its figures. */
  public Model model() {
    return model;
  }

  /** Puts a message into the line; a processor that is down loses it. */
  public void submit(double work, Runnable task) {
    if (down) {
      return;
    }
    line.add(new Job(work, task));
    queued += work;
    if (!working) {
      work();
    }
  }

  /** Notes a set-up that reached a cold processor, which may push it over. */
  public void countSetup() {
    double now = host.now();
    if (now - started >= model.ramp()) {
      return;
    }
    setups.add(now);
    while (setups.peek() < now - model.fall()) {
      setups.poll();
    }
    if (setups.size() > bearable(now)) {
      fallen = true;
      stop();
    }
  }

  /** Set-ups that it bears in one window at its present share. */
  public double bearable(double now) {
    double capacity = model.fall() / model.setup();
    return model.fallMultiple() * share(now) * capacity;
  }

  private double share(double now) {
    double warm = Math.min(1, (now - started) / model.ramp());
    return model.coldFrom() + (1 - model.coldFrom()) * warm;
  }

  private void work() {
    Job job = line.poll();
    working = job != null;
    if (!working) {
      return;
    }
    double now = host.now();
    double begin = Math.max(0, stalledUntil - now);
    double lasts = job.work() * slowness / share(now);
    long life = epoch;
    host.schedule(begin + lasts, () -> finish(job, lasts, life));
  }

  private void finish(Job job, double lasted, long life) {
    if (life != epoch) {
      return;
    }
    queued -= job.work();
    workSince += lasted;
    if (!silent) {
      job.task().run();
    }
    work();
  }

  /** How long a message that comes now waits, ms. */
  public double waiting() {
    return queued * slowness / share(host.now()) + Math.max(0, stalledUntil - host.now());
  }

  /** Share of the time since the last look that it worked, smoothed. */
  public double busyShare() {
    double now = host.now();
    if (now - lastLook >= 100) {
      double share = Math.min(1, workSince / (now - lastLook));
      busyShare = 0.5 * busyShare + 0.5 * share;
      workSince = 0;
      lastLook = now;
    }
    return busyShare;
  }

  /** Takes messages and answers none, or answers again. */
  public void silent(boolean on) {
    silent = on;
  }

  /** Works so many times slower. */
  public void slow(double times) {
    slowness = times;
  }

  /** Stands still for a time, ms. */
  public void stall(double lasts) {
    stalledUntil = Math.max(stalledUntil, host.now() + lasts);
  }

  /** Goes down; all that waits in the line is lost. */
  public void stop() {
    down = true;
    line.clear();
    queued = 0;
    working = false;
    epoch++;
  }

  /** Comes up cold. */
  public void startCold() {
    down = false;
    fallen = false;
    silent = false;
    slowness = 1;
    setups.clear();
    started = host.now();
  }

  /** Whether it sends anything. */
  public boolean speaks() {
    return !down && !silent;
  }

  /** Whether it takes messages. */
  public boolean up() {
    return !down;
  }

  /** Whether it was pushed over. */
  public boolean fallen() {
    return fallen;
  }

  /** Clock of its last cold start; before all time if none. */
  public double started() {
    return started;
  }
}
