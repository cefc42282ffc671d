package coveladder.core;

import java.util.PriorityQueue;

/** Virtual time for tests: it passes only when told to. */
public final class VirtualClock implements Scheduler {
  private final PriorityQueue<ScheduledTask> tasks = new PriorityQueue<>();
  private double now;
  private long nextSequence;

  /** Starts at a clock, ms. */
  public VirtualClock(double start) {
    now = start;
  }

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

  /** Lets time pass, ms; what is due meanwhile runs at its time. */
  public void advance(double durationMillis) {
    double end = now + durationMillis;
    while (!tasks.isEmpty() && tasks.peek().dueAt() <= end) {
      ScheduledTask next = tasks.poll();
      now = next.dueAt();
      if (next.task()[0] != null) {
        next.task()[0].run();
      }
    }
    now = end;
  }

  /** Lets time pass while nothing runs, ms. */
  public void stall(double durationMillis) {
    now += durationMillis;
  }

  /** Timers that were not due yet, stopped ones included. */
  public int scheduledTasks() {
    return tasks.size();
  }
}
