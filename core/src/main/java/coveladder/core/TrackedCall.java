package coveladder.core;

import coveladder.CallPolicy.Call;
import coveladder.CallPolicy.Reason;

/** A call that this controller has accepted and not yet removed. */
public final class TrackedCall {
  private final Call call;
  private final double acceptedAt;
  private int attemptCount;
  private Attempt currentAttempt;
  private boolean answered;
  private boolean established;
  private double lastUncertainEnd = Double.NEGATIVE_INFINITY;
  private Reason lastReason = Reason.NONE;
  private Scheduler.Timer patienceTimer;

  TrackedCall(Call call, double acceptedAt) {
    this.call = call;
    this.acceptedAt = acceptedAt;
  }

  /** An attempt of the call that has not ended: outstanding, or answered and established. */
  static final class Attempt {
    final int number;
    final ExchangeDirectory.Entry exchange;
    final double sentAt;
    Scheduler.Timer timeoutTimer;
    LocalEnding ending = LocalEnding.NONE;

    Attempt(int number, ExchangeDirectory.Entry exchange, double sentAt) {
      this.number = number;
      this.exchange = exchange;
      this.sentAt = sentAt;
    }

    void cancelTimeout() {
      if (timeoutTimer != null) {
        timeoutTimer.stop();
      }
    }
  }

  /** How this controller itself ended an attempt. */
  enum LocalEnding {
    /** Not ended by this controller. */
    NONE,
    /** Its time limit expired. */
    TIMED_OUT,
    /** It was cancelled. */
    CANCELLED
  }

  /** The call as reported to the policy. */
  public Call call() {
    return call;
  }

  /** Time until the caller's patience ends, ms. */
  public double patienceLeft(double now) {
    return Math.max(0, acceptedAt + call.patience() - now);
  }

  /** Whether an attempt is outstanding or established. */
  public boolean hasAttempt() {
    return currentAttempt != null;
  }

  /** Clock at which the call was accepted, ms. */
  public double acceptedAt() {
    return acceptedAt;
  }

  /** Whether the final answer was given or is no longer due. */
  public boolean isAnswered() {
    return answered;
  }

  /** Whether the call is established. */
  public boolean isEstablished() {
    return established;
  }

  /** Number of attempts so far, skipped ones included. */
  public int attemptCount() {
    return attemptCount;
  }

  /** Clock at which an attempt last ended with its effect unknown, ms; minus infinity if none. */
  double lastUncertainEnd() {
    return lastUncertainEnd;
  }

  Attempt currentAttempt() {
    return currentAttempt;
  }

  Reason lastReason() {
    return lastReason;
  }

  /** Counts one more attempt and returns its number, from 0. */
  int nextAttempt() {
    return attemptCount++;
  }

  void attemptStarted(Attempt attempt) {
    currentAttempt = attempt;
  }

  void attemptEnded(boolean uncertain, Reason reason, double now) {
    currentAttempt = null;
    lastReason = reason;
    if (uncertain) {
      lastUncertainEnd = now;
    }
  }

  /** Marks the final answer as given, or as no longer due because the caller has left. */
  void markAnswered(boolean isEstablished) {
    answered = true;
    established = isEstablished;
    if (patienceTimer != null) {
      patienceTimer.stop();
    }
  }

  /** Restores a call that was established before a restart, with its answered attempt. */
  void restoreEstablished(Attempt answeredAttempt) {
    attemptCount = answeredAttempt.number + 1;
    currentAttempt = answeredAttempt;
    answered = true;
    established = true;
  }

  void setPatienceTimer(Scheduler.Timer timer) {
    patienceTimer = timer;
  }
}
