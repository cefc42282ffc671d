package coveladder.rehearsal;

import coveladder.sip.SipHost;
import java.util.PriorityQueue;

/** A clock that jumps from task to task. */
final class VirtualTime {
  private final PriorityQueue<Task> queue = new PriorityQueue<>();
  private double now;
  private long sequence;

  /** A task; equal times run in the order of their asking. */
  private static final class Task implements Comparable<Task>, SipHost.Timer {
    private final double time;
    private final long order;
    private Runnable work;

    Task(double time, long order, Runnable work) {
      this.time = time;
      this.order = order;
      this.work = work;
    }

    @Override
    public void cancel() {
      work = null;
    }

    @Override
    public int compareTo(Task other) {
      int byTime = Double.compare(time, other.time);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  double now() {
    return now;
  }

  SipHost.Timer at(double time, Runnable work) {
    Task task = new Task(Math.max(now, time), sequence++, work);
    queue.add(task);
    return task;
  }

  /** Runs the next task if it is due by then; whether there was one. */
  boolean step(double until) {
    Task task = queue.peek();
    if (task == null || task.time > until) {
      now = Math.max(now, until);
      return false;
    }
    queue.poll();
    now = task.time;
    if (task.work != null) {
      task.work.run();
    }
    return true;
  }
}
