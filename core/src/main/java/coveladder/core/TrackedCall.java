package coveladder.core;

import coveladder.CallPolicy.Call;
import coveladder.CallPolicy.Reason;

/** A call that this controller has taken and not yet let go. */
public final class TrackedCall {
  private final Call call;
  private final double acceptedAt;
  private int attemptCount;
  private Attempt current;
  private boolean isAnswered;
  private boolean isEstablished;
  private double lastUnsure = Double.NEGATIVE_INFINITY;
  private Reason lastReason = Reason.NONE;
  private Scheduler.Timer deadline;

  TrackedCall(Call call, double taken) {
    this.call = call;
    this.acceptedAt = taken;
  }

  /** One set-up of the call that is not over. */
  static final class Attempt {
    final int number;
    final ExchangeDirectory.Entry first;
    final double sent;
    Scheduler.Timer limit;
    Ending ending = Ending.OPEN;

    Attempt(int number, ExchangeDirectory.Entry first, double sent) {
      this.number = number;
      this.first = first;
      this.sent = sent;
    }

    void stopLimit() {
      if (limit != null) {
        limit.cancel();
      }
    }
  }

  /** What this controller itself did to end an attempt. */
  enum Ending {
    /** Nothing. */
    OPEN,
    /** Its time limit ran out. */
    TIMED_OUT,
    /** It was called off. */
    CANCELLED
  }

  /** The call as the module was told. */
  public Call call() {
    return call;
  }

  /** What is left of the caller's patience, ms. */
  public double patienceLeft(double now) {
    return Math.max(0, acceptedAt + call.patience() - now);
  }

  /** Whether an attempt is out, or stands. */
  public boolean hasAttempt() {
    return current != null;
  }

  /** Clock when it was taken, ms. */
  public double acceptedAt() {
    return acceptedAt;
  }

  /** Whether the final answer was given, or none is owed any more. */
  public boolean isAnswered() {
    return isAnswered;
  }

  /** Whether it stands. */
  public boolean isEstablished() {
    return isEstablished;
  }

  /** Number of set-ups so far. */
  public int attemptCount() {
    return attemptCount;
  }

  /** Clock at which an attempt last ended without word of what became of it. */
  double lastUnsure() {
    return lastUnsure;
  }

  Attempt current() {
    return current;
  }

  Reason lastReason() {
    return lastReason;
  }

  int nextAttempt() {
    return attemptCount++;
  }

  void begin(Attempt attempt) {
    current = attempt;
  }

  void attemptOver(boolean unsure, Reason reason, double now) {
    current = null;
    lastReason = reason;
    if (unsure) {
      lastUnsure = now;
    }
  }

  void answer(boolean stands) {
    isAnswered = true;
    isEstablished = stands;
    if (deadline != null) {
      deadline.cancel();
    }
  }

  /** Holds a call again that stood before a restart, with the attempt that it stands by. */
  void resume(Attempt stands) {
    attemptCount = stands.number + 1;
    current = stands;
    isAnswered = true;
    isEstablished = true;
  }

  void deadline(Scheduler.Timer timer) {
    deadline = timer;
  }
}
