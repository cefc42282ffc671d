package coveladder.serve;

import coveladder.core.Clockwork;
import coveladder.net.EventLoop;

/** The loop's clock for the core; it tells Unix milliseconds and never steps back. */
final class LoopClock implements Clockwork {
  private final EventLoop loop;

  LoopClock(EventLoop loop) {
    this.loop = loop;
  }

  /** Nano time at which the Unix clock stood at nought. */
  static long unixEpochNanos() {
    return System.nanoTime() - System.currentTimeMillis() * 1_000_000L;
  }

  @Override
  public double now() {
    return loop.now();
  }

  @Override
  public Stop after(double delayMillis, Runnable task) {
    return loop.after(delayMillis, task)::cancel;
  }
}
