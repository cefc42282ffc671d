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

/**
 * Passes each event of a call on to another observer, removes the stored record of a call that was
 * removed, and slows recovery down when the local processor rejects a set-up.
 */
final class PersistingObserver implements CallController.Observer {
  private final CallController.Observer delegate;
  private final WriteAheadSignalling writeAhead;
  private final RecoveryRate recoveryRate;
  private final Scheduler scheduler;

  PersistingObserver(
      CallController.Observer delegate,
      WriteAheadSignalling writeAhead,
      RecoveryRate recoveryRate,
      Scheduler scheduler) {
    this.delegate = delegate;
    this.writeAhead = writeAhead;
    this.recoveryRate = recoveryRate;
    this.scheduler = scheduler;
  }

  @Override
  public void callAccepted(TrackedCall call) {
    delegate.callAccepted(call);
  }

  @Override
  public void attemptSent(TrackedCall call, AttemptRequest request) {
    delegate.attemptSent(call, request);
  }

  @Override
  public void attemptEnded(
      TrackedCall call, int attempt, Outcome outcome, Reason reason, double elapsedMillis) {
    delegate.attemptEnded(call, attempt, outcome, reason, elapsedMillis);
    if (reason == Reason.PROCESSOR_FULL) {
      recoveryRate.rejectedByProcessor(scheduler.now());
    }
  }

  @Override
  public void finalAnswerGiven(TrackedCall call, FinalAnswer answer, double elapsedMillis) {
    delegate.finalAnswerGiven(call, answer, elapsedMillis);
  }

  @Override
  public void callerAbandoned(TrackedCall call, double elapsedMillis) {
    delegate.callerAbandoned(call, elapsedMillis);
  }

  @Override
  public void callRemoved(TrackedCall call) {
    delegate.callRemoved(call);
    writeAhead.callRemoved(call.call().id());
  }
}
