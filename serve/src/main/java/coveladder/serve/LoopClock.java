package coveladder.serve;

import coveladder.core.Scheduler;
import coveladder.net.EventLoop;

/**
 * Gives the core the clock and timers of the event loop. The clock is in Unix milliseconds and
 * never steps back.
 */
final class LoopClock implements Scheduler {
  private final EventLoop loop;

  LoopClock(EventLoop loop) {
    this.loop = loop;
  }

  /** Returns the value of {@link System#nanoTime} that corresponds to the Unix epoch, ns. */
  static long unixEpochNanos() {
    return System.nanoTime() - System.currentTimeMillis() * 1_000_000L;
  }

  @Override
  public double now() {
    return loop.now();
  }

  @Override
  public Timer schedule(double delayMillis, Runnable task) {
    return loop.after(delayMillis, task)::cancel;
  }
}
