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
  private boolean setSilent;
  private boolean down;
  private boolean fallen;
  private long epoch;
  private double busyShare;
  private double lastLook;
  private double workSince;

  /**
   * Figures of a processor.
   *
   * @param setupMillis work of a set-up, ms
   * @param answerMillis work of an answer, ms
   * @param releaseMillis work of a release, ms
   * @param otherMillis work of any other message, ms
   * @param rejectionMillis work of turning a set-up away, ms
   * @param maxWaitMillis set-ups are turned away where the wait is longer, ms
   * @param coldShare share of its capacity at which it begins
   * @param rampMillis time until it is warm, ms
   * @param coldMultiple multiple of what it can do that it bears while cold
   * @param coldWindowMillis window over which that is counted, ms
   */
  public record Model(
      double setupMillis,
      double answerMillis,
      double releaseMillis,
      double otherMillis,
      double rejectionMillis,
      double maxWaitMillis,
      double coldShare,
      double rampMillis,
      double coldMultiple,
      double coldWindowMillis) {}

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
    if (now - started >= model.rampMillis()) {
      return;
    }
    setups.add(now);
    while (setups.peek() < now - model.coldWindowMillis()) {
      setups.poll();
    }
    if (setups.size() > bearable(now)) {
      fallen = true;
      stop();
    }
  }

  /** Set-ups that it bears in one window at its present share. */
  public double bearable(double now) {
    double capacity = model.coldWindowMillis() / model.setupMillis();
    return model.coldMultiple() * share(now) * capacity;
  }

  private double share(double now) {
    double warm = Math.min(1, (now - started) / model.rampMillis());
    return model.coldShare() + (1 - model.coldShare()) * warm;
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
    if (!setSilent) {
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
  public void setSilent(boolean on) {
    setSilent = on;
  }

  /** Works so many times slower. */
  public void setSlowdown(double times) {
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
    setSilent = false;
    slowness = 1;
    setups.clear();
    started = host.now();
  }

  /** Whether it sends anything. */
  public boolean speaks() {
    return !down && !setSilent;
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
