package coveladder.standin;

import coveladder.sip.SipHost;
import java.util.ArrayDeque;

/**
 * A model of an exchange's processor: one queue, served in order of arrival. After a cold start it
 * has only part of its capacity at first; if it receives too many set-ups during that time, it
 * crashes and stays down until it is started again.
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
   * The parameters of a processor.
   *
   * @param setupMillis processing time of a set-up, ms
   * @param answerMillis processing time of an answer, ms
   * @param releaseMillis processing time of a release, ms
   * @param otherMillis processing time of any other message, ms
   * @param rejectionMillis processing time of a rejected set-up, ms
   * @param maxWaitMillis queueing time beyond which set-ups are rejected, ms
   * @param coldShare share of its capacity that it has right after a cold start
   * @param rampMillis time from a cold start until it has its full capacity, ms
   * @param coldMultiple multiple of its present capacity beyond which a cold processor crashes
   * @param coldWindowMillis length of the window over which set-ups are counted for that, ms
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

  /** A queued message and its processing time. */
  private record Job(double workMillis, Runnable task) {}

  /** Creates a processor at full capacity. */
  public Processor(SipHost host, Model model) {
    this.host = host;
    this.model = model;
  }

  /** The parameters of this processor. */
  public Model model() {
    return model;
  }

  /**
   * Queues a message. It is lost if the processor is down.
   *
   * @param workMillis its processing time at full capacity, ms
   * @param task processes the message
   */
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

  /** Counts a received set-up. A cold processor that receives too many of them crashes. */
  public void recordSetup() {
    double nowMillis = host.now();
    if (nowMillis - startedAtMillis >= model.rampMillis()) {
      return;
    }
    setupTimes.add(nowMillis);
    while (setupTimes.peek() < nowMillis - model.coldWindowMillis()) {
      setupTimes.poll();
    }
    if (setupTimes.size() > maxSetupsPerWindow(nowMillis)) {
      crashed = true;
      stop();
    }
  }

  /** Maximum number of set-ups per window that a cold processor withstands at the given time. */
  public double maxSetupsPerWindow(double nowMillis) {
    double warmSetups = model.coldWindowMillis() / model.setupMillis();
    return model.coldMultiple() * capacityShare(nowMillis) * warmSetups;
  }

  private double capacityShare(double nowMillis) {
    double warmUpProgress = Math.min(1, (nowMillis - startedAtMillis) / model.rampMillis());
    return model.coldShare() + (1 - model.coldShare()) * warmUpProgress;
  }

  private void processNext() {
    Job job = queue.poll();
    busy = job != null;
    if (!busy) {
      return;
    }
    double nowMillis = host.now();
    double stallMillis = Math.max(0, stalledUntilMillis - nowMillis);
    double durationMillis = job.workMillis() * slowdown / capacityShare(nowMillis);
    long jobIncarnation = incarnation;
    host.schedule(stallMillis + durationMillis, () -> finish(job, durationMillis, jobIncarnation));
  }

  /** Completes a job, unless the processor was stopped in the meantime. */
  private void finish(Job job, double durationMillis, long jobIncarnation) {
    if (jobIncarnation != incarnation) {
      return;
    }
    queuedWorkMillis -= job.workMillis();
    workSinceSampleMillis += durationMillis;
    if (!silent) {
      job.task().run();
    }
    processNext();
  }

  /** Queueing time of a message that arrives now, in milliseconds. */
  public double waitMillis() {
    return queuedWorkMillis * slowdown / capacityShare(host.now())
        + Math.max(0, stalledUntilMillis - host.now());
  }

  /** Smoothed share of time that the processor is busy, updated at most every 100 ms. */
  public double utilization() {
    double nowMillis = host.now();
    if (nowMillis - sampledAtMillis >= 100) {
      double sample = Math.min(1, workSinceSampleMillis / (nowMillis - sampledAtMillis));
      utilization = 0.5 * utilization + 0.5 * sample;
      workSinceSampleMillis = 0;
      sampledAtMillis = nowMillis;
    }
    return utilization;
  }

  /** Sets whether the processor accepts messages but sends nothing. */
  public void setSilent(boolean silent) {
    this.silent = silent;
  }

  /** Sets the factor by which processing times grow; 1 is the normal speed. */
  public void setSlowdown(double factor) {
    slowdown = factor;
  }

  /** Stalls the processor for a time in milliseconds; the message in progress completes first. */
  public void stall(double durationMillis) {
    stalledUntilMillis = Math.max(stalledUntilMillis, host.now() + durationMillis);
  }

  /** Stops the processor; all queued messages are lost. */
  public void stop() {
    down = true;
    queue.clear();
    queuedWorkMillis = 0;
    busy = false;
    incarnation++;
  }

  /** Starts the processor cold, with reduced capacity. */
  public void startCold() {
    down = false;
    crashed = false;
    silent = false;
    slowdown = 1;
    setupTimes.clear();
    startedAtMillis = host.now();
  }

  /** Whether the processor can send messages: it is neither down nor silent. */
  public boolean canSend() {
    return !down && !silent;
  }

  /** Whether the processor accepts messages. */
  public boolean isUp() {
    return !down;
  }

  /** Whether the processor is down because of too many set-ups while it was cold. */
  public boolean crashed() {
    return crashed;
  }

  /** Clock time of the last cold start, ms; negative infinity if there was none. */
  public double startedAtMillis() {
    return startedAtMillis;
  }
}
