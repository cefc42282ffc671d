package coveladder.isupfront;

import coveladder.core.AttemptRequest;
import coveladder.isup.SwitchMessage;

/** A set-up that is sent to a switch, or waits to be sent, and has not ended. */
final class OutstandingAttempt {
  final AttemptRequest request;
  final SetUp setUp;

  /** Clock at which the controller started the attempt, ms. */
  final double startedAt;

  /** Whether messages of an earlier attempt of the call at this switch may still arrive. */
  final boolean repeated;

  boolean sent;

  /** Clock since which it waits for the input of its caller to be read, ms; NaN if it does not. */
  double waitingForInputSince = Double.NaN;

  /**
   * The release that a switch sent on another connection before the answer was read here; null if
   * there is none.
   */
  SwitchMessage earlyRelease;

  OutstandingAttempt(AttemptRequest request, SetUp setUp, double startedAt, boolean repeated) {
    this.request = request;
    this.setUp = setUp;
    this.startedAt = startedAt;
    this.repeated = repeated;
  }
}
