package coveladder.rehearsal;

import coveladder.sip.SipHost;
import java.util.PriorityQueue;

/** A virtual clock and its scheduled tasks; time advances from task to task. */
final class VirtualTime {
  private final PriorityQueue<Task> queue = new PriorityQueue<>();
  private double now;
  private long sequence;

  /** A scheduled task; tasks with equal times run in the order in which they were scheduled. */
  private static final class Task implements Comparable<Task>, SipHost.Timer {
    private final double time;
    private final long order;
    private Runnable action;

    Task(double time, long order, Runnable action) {
      this.time = time;
      this.order = order;
      this.action = action;
    }

    @Override
    public void cancel() {
      action = null;
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

  SipHost.Timer schedule(double time, Runnable action) {
    Task task = new Task(Math.max(now, time), sequence++, action);
    queue.add(task);
    return task;
  }

  /**
   * Runs the next task if it is due by the given time; otherwise advances the clock to that time.
   *
   * @return whether a task was due
   */
  boolean runNext(double untilMillis) {
    Task task = queue.peek();
    if (task == null || task.time > untilMillis) {
      now = Math.max(now, untilMillis);
      return false;
    }
    queue.poll();
    now = task.time;
    if (task.action != null) {
      task.action.run();
    }
    return true;
  }
}
