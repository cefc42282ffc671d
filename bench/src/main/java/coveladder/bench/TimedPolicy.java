package coveladder.bench;

import coveladder.CallPolicy;

/** Passes all events on to another policy and measures the time that it takes to handle them. */
final class TimedPolicy implements CallPolicy {
  private final CallPolicy delegate;
  private final Stopwatch stopwatch;

  TimedPolicy(CallPolicy delegate, Stopwatch stopwatch) {
    this.delegate = delegate;
    this.stopwatch = stopwatch;
  }

  /** Sums the time spent in a policy, including its actions, which run inside its event methods. */
  static final class Stopwatch {
    private volatile long totalNanos;

    /** Time spent so far, ns. */
    long totalNanos() {
      return totalNanos;
    }

    private void measure(Runnable eventHandler) {
      long startNanos = System.nanoTime();
      eventHandler.run();
      long elapsedNanos = System.nanoTime() - startNanos;
      totalNanos = totalNanos + elapsedNanos;
    }
  }

  @Override
  public void onStart(double now) {
    stopwatch.measure(() -> delegate.onStart(now));
  }

  @Override
  public void onDirectoryUpdate(double now, DirectoryUpdate update) {
    stopwatch.measure(() -> delegate.onDirectoryUpdate(now, update));
  }

  @Override
  public void onCall(double now, Call call) {
    stopwatch.measure(() -> delegate.onCall(now, call));
  }

  @Override
  public void onEstablished(double now, Established established) {
    stopwatch.measure(() -> delegate.onEstablished(now, established));
  }

  @Override
  public void onAttemptEnded(double now, AttemptEnded ended) {
    stopwatch.measure(() -> delegate.onAttemptEnded(now, ended));
  }

  @Override
  public void onCallerAbandoned(double now, String call) {
    stopwatch.measure(() -> delegate.onCallerAbandoned(now, call));
  }

  @Override
  public void onLoadReport(double now, LoadReport report) {
    stopwatch.measure(() -> delegate.onLoadReport(now, report));
  }

  @Override
  public void onTimer(double now, long label) {
    stopwatch.measure(() -> delegate.onTimer(now, label));
  }

  @Override
  public void onPeerMessage(double now, int from, byte[] payload) {
    stopwatch.measure(() -> delegate.onPeerMessage(now, from, payload));
  }
}
