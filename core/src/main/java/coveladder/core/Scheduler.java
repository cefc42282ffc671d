package coveladder.core;

/** Time, as handed in by the world: the core reads no clock and starts no thread of its own. */
public interface Scheduler {

  /** The clock in milliseconds; it never steps back. */
  double now();

  /** Runs a task once after a delay in milliseconds, never within this call. */
  Timer schedule(double delayMillis, Runnable task);

  /** Stops a timer; without effect once it ran. */
  interface Timer {
    /** Stops it. */
    void cancel();
  }
}
