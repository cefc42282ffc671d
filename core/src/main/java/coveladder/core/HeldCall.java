package coveladder.core;

import coveladder.CallPolicy.Call;
import coveladder.CallPolicy.Reason;

/** A call that this controller has taken and not yet let go. */
public final class HeldCall {
  private final Call call;
  private final double taken;
  private int attempts;
  private Attempt current;
  private boolean answered;
  private boolean standing;
  private double lastUnsure = Double.NEGATIVE_INFINITY;
  private Reason lastReason = Reason.NONE;
  private Clockwork.Stop deadline;

  HeldCall(Call call, double taken) {
    this.call = call;
    this.taken = taken;
  }

  /** One set-up of the call that is not over. */
  static final class Attempt {
    final int number;
    final ExchangeList.Entry first;
    final double sent;
    Clockwork.Stop limit;
    Ending ending = Ending.OPEN;

    Attempt(int number, ExchangeList.Entry first, double sent) {
      this.number = number;
      this.first = first;
      this.sent = sent;
    }

    void stopLimit() {
      if (limit != null) {
        limit.stop();
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
    return Math.max(0, taken + call.patience() - now);
  }

  /** Whether an attempt is out, or stands. */
  public boolean hasAttempt() {
    return current != null;
  }

  /** Clock when it was taken, ms. */
  public double taken() {
    return taken;
  }

  /** Whether the final answer was given, or none is owed any more. */
  public boolean answered() {
    return answered;
  }

  /** Whether it stands. */
  public boolean standing() {
    return standing;
  }

  /** Number of set-ups so far. */
  public int attempts() {
    return attempts;
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
    return attempts++;
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
    answered = true;
    standing = stands;
    if (deadline != null) {
      deadline.stop();
    }
  }

  /** Holds a call again that stood before a restart, with the attempt that it stands by. */
  void resume(Attempt stands) {
    attempts = stands.number + 1;
    current = stands;
    answered = true;
    standing = true;
  }

  void deadline(Clockwork.Stop timer) {
    deadline = timer;
  }
}
