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
  private final ArrayDeque<Job> queue = new ArrayDeque<>();
  private final ArrayDeque<Double> setupTimes = new ArrayDeque<>();
  private double queuedWorkMillis;
  private boolean busy;
  private double startedAtMillis = Double.NEGATIVE_INFINITY;
  private double slowdown = 1;
  private double stalledUntilMillis;
  private boolean silent;
  private boolean down;
  private boolean crashed;
  private long incarnation;
  private double utilization;
  private double sampledAtMillis;
  private double workSinceSampleMillis;

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

  private record Job(double workMillis, Runnable task) {}

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
  public void submit(double workMillis, Runnable task) {
    if (down) {
      return;
    }
    queue.add(new Job(workMillis, task));
    queuedWorkMillis += workMillis;
    if (!busy) {
      processNext();
    }
  }

  /** Notes a set-up that reached a cold processor, which may push it over. */
  public void recordSetup() {
    double now = host.now();
    if (now - startedAtMillis >= model.rampMillis()) {
      return;
    }
    setupTimes.add(now);
    while (setupTimes.peek() < now - model.coldWindowMillis()) {
      setupTimes.poll();
    }
    if (setupTimes.size() > maxSetupsPerWindow(now)) {
      crashed = true;
      stop();
    }
  }

  /** Set-ups that it bears in one window at its present share. */
  public double maxSetupsPerWindow(double now) {
    double warmCapacity = model.coldWindowMillis() / model.setupMillis();
    return model.coldMultiple() * capacityShare(now) * warmCapacity;
  }

  private double capacityShare(double now) {
    double warmUpProgress = Math.min(1, (now - startedAtMillis) / model.rampMillis());
    return model.coldShare() + (1 - model.coldShare()) * warmUpProgress;
  }

  private void processNext() {
    Job job = queue.poll();
    busy = job != null;
    if (!busy) {
      return;
    }
    double now = host.now();
    double stallMillis = Math.max(0, stalledUntilMillis - now);
    double durationMillis = job.workMillis() * slowdown / capacityShare(now);
    long startIncarnation = incarnation;
    host.schedule(
        stallMillis + durationMillis, () -> finish(job, durationMillis, startIncarnation));
  }

  private void finish(Job job, double durationMillis, long startIncarnation) {
    if (startIncarnation != incarnation) {
      return;
    }
    queuedWorkMillis -= job.workMillis();
    workSinceSampleMillis += durationMillis;
    if (!silent) {
      job.task().run();
    }
    processNext();
  }

  /** How long a message that comes now waits, ms. */
  public double waitMillis() {
    return queuedWorkMillis * slowdown / capacityShare(host.now())
        + Math.max(0, stalledUntilMillis - host.now());
  }

  /** Share of the time since the last look that it worked, smoothed. */
  public double utilization() {
    double now = host.now();
    if (now - sampledAtMillis >= 100) {
      double sample = Math.min(1, workSinceSampleMillis / (now - sampledAtMillis));
      utilization = 0.5 * utilization + 0.5 * sample;
      workSinceSampleMillis = 0;
      sampledAtMillis = now;
    }
    return utilization;
  }

  /** Takes messages and answers none, or answers again. */
  public void setSilent(boolean newSilent) {
    silent = newSilent;
  }

  /** Works so many times slower. */
  public void setSlowdown(double factor) {
    slowdown = factor;
  }

  /** Stands still for a time, ms. */
  public void stall(double durationMillis) {
    stalledUntilMillis = Math.max(stalledUntilMillis, host.now() + durationMillis);
  }

  /** Goes down; all that waits in the line is lost. */
  public void stop() {
    down = true;
    queue.clear();
    queuedWorkMillis = 0;
    busy = false;
    incarnation++;
  }

  /** Comes up cold. */
  public void startCold() {
    down = false;
    crashed = false;
    silent = false;
    slowdown = 1;
    setupTimes.clear();
    startedAtMillis = host.now();
  }

  /** Whether it sends anything. */
  public boolean canSend() {
    return !down && !silent;
  }

  /** Whether it takes messages. */
  public boolean isUp() {
    return !down;
  }

  /** Whether it was pushed over. */
  public boolean crashed() {
    return crashed;
  }

  /** Clock of its last cold start; before all time if none. */
  public double startedAtMillis() {
    return startedAtMillis;
  }
}
