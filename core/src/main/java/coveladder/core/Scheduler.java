package coveladder.core;

/** The clock and timers of the core, which reads no system clock and starts no thread itself. */
public interface Scheduler {

  /** The monotonic clock, in milliseconds. */
  double now();

  /** Runs the task once after a delay in milliseconds, never during this call. */
  Timer schedule(double delayMillis, Runnable task);

  /** A pending timer. */
  interface Timer {
    /** Cancels the timer; has no effect once its task has run. */
    void stop();
  }
}
