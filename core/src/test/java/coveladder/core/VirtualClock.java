package coveladder.core;

import java.util.PriorityQueue;

/** Virtual time for tests: it passes only when told to. */
public final class VirtualClock implements Scheduler {
  private final PriorityQueue<Due> queue = new PriorityQueue<>();
  private double now;
  private long order;

  /** Starts at a clock, ms. */
  public VirtualClock(double start) {
    now = start;
  }

  private record Due(double at, long order, Runnable[] task) implements Comparable<Due> {
    @Override
    public int compareTo(Due other) {
      int byTime = Double.compare(at, other.at);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  @Override
  public double now() {
    return now;
  }

  @Override
  public Timer schedule(double delay, Runnable task) {
    Runnable[] held = {task};
    queue.add(new Due(now + delay, order++, held));
    return () -> held[0] = null;
  }

  /** Lets time pass, ms; what is due meanwhile runs at its time. */
  public void advance(double durationMillis) {
    double end = now + durationMillis;
    while (!queue.isEmpty() && queue.peek().at() <= end) {
      Due due = queue.poll();
      now = due.at();
      if (due.task()[0] != null) {
        due.task()[0].run();
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
    return queue.size();
  }
}
