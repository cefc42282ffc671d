package coveladder.sipfront;

import coveladder.CallPolicy.Outcome;
import coveladder.CallPolicy.Reason;
import coveladder.core.AttemptRequest;
import coveladder.core.CallController;
import coveladder.core.FinalAnswer;
import coveladder.core.Scheduler;
import coveladder.core.TrackedCall;
import coveladder.core.recovery.RecoveryRate;
import coveladder.core.recovery.WriteAheadSignalling;

/** Passes each step on, and lets what is kept of a call go with it. */
final class KeepingJournal implements CallController.Observer {
  private final CallController.Observer inner;
  private final WriteAheadSignalling writeAhead;
  private final RecoveryRate pace;
  private final Scheduler clock;

  KeepingJournal(
      CallController.Observer inner,
      WriteAheadSignalling writeAhead,
      RecoveryRate pace,
      Scheduler clock) {
    this.inner = inner;
    this.writeAhead = writeAhead;
    this.pace = pace;
    this.clock = clock;
  }

  @Override
  public void callAccepted(TrackedCall call) {
    inner.callAccepted(call);
  }

  @Override
  public void attemptSent(TrackedCall call, AttemptRequest order) {
    inner.attemptSent(call, order);
  }

  @Override
  public void attemptEnded(
      TrackedCall call, int attempt, Outcome outcome, Reason reason, double spent) {
    inner.attemptEnded(call, attempt, outcome, reason, spent);
    if (reason == Reason.PROCESSOR_FULL) {
      pace.rejectedByProcessor(clock.now());
    }
  }

  @Override
  public void finalAnswerGiven(TrackedCall call, FinalAnswer answer, double after) {
    inner.finalAnswerGiven(call, answer, after);
  }

  @Override
  public void callerAbandoned(TrackedCall call, double after) {
    inner.callerAbandoned(call, after);
  }

  @Override
  public void callRemoved(TrackedCall call) {
    inner.callRemoved(call);
    writeAhead.callRemoved(call.call().id());
  }
}
