package coveladder.core;

import java.util.PriorityQueue;

/** A scheduler with virtual time for tests: time passes only on request. */
public final class VirtualClock implements Scheduler {
  private final PriorityQueue<ScheduledTask> tasks = new PriorityQueue<>();
  private double now;
  private long nextSequence;

  /** Creates a clock that starts at the given time, ms. */
  public VirtualClock(double start) {
    now = start;
  }

  /** A scheduled task, in an array of one element that is set to null on cancellation. */
  private record ScheduledTask(double dueAt, long sequence, Runnable[] task)
      implements Comparable<ScheduledTask> {
    @Override
    public int compareTo(ScheduledTask other) {
      int byTime = Double.compare(dueAt, other.dueAt);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  @Override
  public double now() {
    return now;
  }

  @Override
  public Timer schedule(double delayMillis, Runnable task) {
    Runnable[] cancellableTask = {task};
    tasks.add(new ScheduledTask(now + delayMillis, nextSequence++, cancellableTask));
    return () -> cancellableTask[0] = null;
  }

  /** Lets time pass, ms, and runs each task when it is due. */
  public void advance(double durationMillis) {
    double end = now + durationMillis;
    while (!tasks.isEmpty() && tasks.peek().dueAt() <= end) {
      ScheduledTask next = tasks.poll();
      now = Math.max(now, next.dueAt());
      if (next.task()[0] != null) {
        next.task()[0].run();
      }
    }
    now = end;
  }

  /** Lets time pass, ms, without running any task. */
  public void stall(double durationMillis) {
    now += durationMillis;
  }

  /** Number of tasks that have not been due yet and are not cancelled. */
  public long pendingTasks() {
    return tasks.stream().filter(task -> task.task()[0] != null).count();
  }

  /** Number of tasks that have not been due yet, cancelled ones included. */
  public int scheduledTasks() {
    return tasks.size();
  }
}
