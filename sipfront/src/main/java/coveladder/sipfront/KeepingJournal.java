package coveladder.sipfront;

import coveladder.CallPolicy.Outcome;
import coveladder.CallPolicy.Reason;
import coveladder.core.AttemptOrder;
import coveladder.core.CallController;
import coveladder.core.Clockwork;
import coveladder.core.FinalAnswer;
import coveladder.core.HeldCall;
import coveladder.core.recovery.RecoveryPace;
import coveladder.core.recovery.WriteAhead;

/** Passes each step on, and lets what is kept of a call go with it. */
final class KeepingJournal implements CallController.Journal {
  private final CallController.Journal inner;
  private final WriteAhead writeAhead;
  private final RecoveryPace pace;
  private final Clockwork clock;

  KeepingJournal(
      CallController.Journal inner, WriteAhead writeAhead, RecoveryPace pace, Clockwork clock) {
    this.inner = inner;
    this.writeAhead = writeAhead;
    this.pace = pace;
    this.clock = clock;
  }

  @Override
  public void taken(HeldCall call) {
    inner.taken(call);
  }

  @Override
  public void sent(HeldCall call, AttemptOrder order) {
    inner.sent(call, order);
  }

  @Override
  public void over(HeldCall call, int attempt, Outcome outcome, Reason reason, double spent) {
    inner.over(call, attempt, outcome, reason, spent);
    if (reason == Reason.PROCESSOR_FULL) {
      pace.turnedAway(clock.now());
    }
  }

  @Override
  public void answered(HeldCall call, FinalAnswer answer, double after) {
    inner.answered(call, answer, after);
  }

  @Override
  public void callerLeft(HeldCall call, double after) {
    inner.callerLeft(call, after);
  }

  @Override
  public void ended(HeldCall call) {
    inner.ended(call);
    writeAhead.ended(call.call().id());
  }
}
