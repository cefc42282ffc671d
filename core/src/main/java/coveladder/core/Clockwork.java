package coveladder.core;

/** Time, as handed in by the world: the core reads no clock and starts no thread of its own. */
public interface Clockwork {

  /** The clock in milliseconds; it never steps back. */
  double now();

  /** Runs a task once after a delay in milliseconds, never within this call. */
  Stop after(double delay, Runnable task);

  /** Stops a timer; without effect once it ran. */
  interface Stop {
    /** Stops it. */
    void stop();
  }
}
