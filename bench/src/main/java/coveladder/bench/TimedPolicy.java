package coveladder.bench;

import coveladder.CallPolicy;

/** A policy whose time is measured, with the acts that it asks for within its events. */
final class TimedPolicy implements CallPolicy {
  private final CallPolicy inner;
  private final Clock clock;

  TimedPolicy(CallPolicy inner, Clock clock) {
    this.inner = inner;
    this.clock = clock;
  }

  /** Time spent in the policy, its actions included, as they run within its calls. */
  static final class Clock {
    private volatile long nanos;

    long nanos() {
      return nanos;
    }

    private void time(Runnable event) {
      long begun = System.nanoTime();
      event.run();
      long spent = System.nanoTime() - begun;
      nanos = nanos + spent;
    }
  }

  @Override
  public void onStart(double now) {
    clock.time(() -> inner.onStart(now));
  }

  @Override
  public void onDirectoryUpdate(double now, DirectoryUpdate news) {
    clock.time(() -> inner.onDirectoryUpdate(now, news));
  }

  @Override
  public void onCall(double now, Call call) {
    clock.time(() -> inner.onCall(now, call));
  }

  @Override
  public void onEstablished(double now, Established stands) {
    clock.time(() -> inner.onEstablished(now, stands));
  }

  @Override
  public void onAttemptEnded(double now, AttemptEnded ended) {
    clock.time(() -> inner.onAttemptEnded(now, ended));
  }

  @Override
  public void onCallerAbandoned(double now, String call) {
    clock.time(() -> inner.onCallerAbandoned(now, call));
  }

  @Override
  public void onLoadReport(double now, LoadReport report) {
    clock.time(() -> inner.onLoadReport(now, report));
  }

  @Override
  public void onTimer(double now, long label) {
    clock.time(() -> inner.onTimer(now, label));
  }

  @Override
  public void onPeerMessage(double now, int from, byte[] payload) {
    clock.time(() -> inner.onPeerMessage(now, from, payload));
  }
}
