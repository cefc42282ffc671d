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
  public void onList(double now, ListNews news) {
    clock.time(() -> inner.onList(now, news));
  }

  @Override
  public void onCall(double now, Call call) {
    clock.time(() -> inner.onCall(now, call));
  }

  @Override
  public void onStands(double now, Stands stands) {
    clock.time(() -> inner.onStands(now, stands));
  }

  @Override
  public void onEnded(double now, Ended ended) {
    clock.time(() -> inner.onEnded(now, ended));
  }

  @Override
  public void onCallerLeft(double now, String call) {
    clock.time(() -> inner.onCallerLeft(now, call));
  }

  @Override
  public void onReport(double now, Report report) {
    clock.time(() -> inner.onReport(now, report));
  }

  @Override
  public void onTimer(double now, long label) {
    clock.time(() -> inner.onTimer(now, label));
  }

  @Override
  public void onPeer(double now, int from, byte[] payload) {
    clock.time(() -> inner.onPeer(now, from, payload));
  }
}
