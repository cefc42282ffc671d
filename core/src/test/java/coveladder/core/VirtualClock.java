package coveladder.core;

import java.util.PriorityQueue;

/** Virtual time for tests: it passes only when told to. */
public final class VirtualClock implements Clockwork {
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
  public Stop after(double delay, Runnable task) {
    Runnable[] held = {task};
    queue.add(new Due(now + delay, order++, held));
    return () -> held[0] = null;
  }

  /** Lets time pass, ms; what is due meanwhile runs at its time. */
  public void run(double lasts) {
    double end = now + lasts;
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
  public void freeze(double lasts) {
    now += lasts;
  }

  /** Timers that were not due yet, stopped ones included. */
  public int waiting() {
    return queue.size();
  }
}
