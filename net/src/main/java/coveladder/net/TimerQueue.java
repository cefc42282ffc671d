package coveladder.net;

import java.util.PriorityQueue;

/**
 * The timers of an event loop in the order in which they are due; those due at the same time in the
 * order in which they were set. Used on the loop thread alone.
 */
final class TimerQueue {
  /** Number of cancelled timers that may stay in the heap, whatever its size. */
  private static final int MAX_IDLE_CANCELLED_TIMERS = 64;

  private final PriorityQueue<ScheduledTask> heap = new PriorityQueue<>();
  private long nextSequenceNumber;

  /** Number of entries of the heap that are cancelled. */
  private int cancelledTimers;

  /** A task that runs once, unless it is cancelled. */
  final class ScheduledTask implements Comparable<ScheduledTask>, EventLoop.Timer {
    private final double timeMillis;
    private final long sequenceNumber;

    /** The task; null once it was cancelled or taken. */
    private Runnable task;

    private ScheduledTask(double timeMillis, long sequenceNumber, Runnable task) {
      this.timeMillis = timeMillis;
      this.sequenceNumber = sequenceNumber;
      this.task = task;
    }

    boolean isCancelled() {
      return task == null;
    }

    @Override
    public void cancel() {
      if (task != null) {
        task = null;
        cancelledTimers++;
        removeCancelled();
      }
    }

    @Override
    public int compareTo(ScheduledTask other) {
      int byTime = Double.compare(timeMillis, other.timeMillis);
      return byTime != 0 ? byTime : Long.compare(sequenceNumber, other.sequenceNumber);
    }
  }

  /** Adds a task that is due at a time, ms. */
  ScheduledTask add(double timeMillis, Runnable task) {
    ScheduledTask timer = new ScheduledTask(timeMillis, nextSequenceNumber++, task);
    heap.add(timer);
    return timer;
  }

  /** Returns the time at which the next timer is due, ms; infinity if there is none. */
  double nextDueMillis() {
    ScheduledTask next = heap.peek();
    return next == null ? Double.POSITIVE_INFINITY : next.timeMillis;
  }

  /** Returns the next timer if it is due; null otherwise. A cancelled one may be returned. */
  ScheduledTask peekDue(double nowMillis) {
    return nextDueMillis() <= nowMillis ? heap.peek() : null;
  }

  /** Removes a timer and returns its task; null if it was cancelled. */
  Runnable take(ScheduledTask timer) {
    Runnable task = timer.task;
    timer.task = null;
    if (heap.remove(timer) && task == null) {
      cancelledTimers--;
    }
    return task;
  }

  /**
   * Removes the cancelled timers once they are the greater part of the heap, so that its size
   * follows the number of pending timers at a constant cost for each.
   */
  private void removeCancelled() {
    if (cancelledTimers > MAX_IDLE_CANCELLED_TIMERS && 2 * cancelledTimers > heap.size()) {
      heap.removeIf(ScheduledTask::isCancelled);
      cancelledTimers = 0;
    }
  }

  /** Returns the number of timers held, cancelled ones included. */
  int size() {
    return heap.size();
  }
}
