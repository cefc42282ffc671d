package coveladder.isupfront;

import coveladder.CallPolicy.Outcome;
import coveladder.CallPolicy.Reason;
import coveladder.core.AttemptRequest;
import coveladder.core.CallController;
import coveladder.core.FinalAnswer;
import coveladder.core.TrackedCall;

/** Records each change of a call's state. */
class CallStateLog implements CallController.Observer {
  private final EventRecorder log;

  CallStateLog(EventRecorder log) {
    this.log = log;
  }

  private void record(TrackedCall call, String peer, String change) {
    log.state(call.call().id(), peer, change);
  }

  @Override
  public void callAccepted(TrackedCall call) {
    record(call, "", "accepted, " + Math.round(call.call().patience()) + " ms left");
  }

  @Override
  public void attemptSent(TrackedCall call, AttemptRequest request) {
    String limit = Math.round(request.timeoutMillis()) + " ms";
    record(
        call,
        request.nextExchange().id(),
        "attempt " + request.attempt() + " begins, for " + limit);
  }

  @Override
  public void attemptEnded(
      TrackedCall call, int attempt, Outcome outcome, Reason reason, double elapsed) {
    record(call, "", "attempt " + attempt + " ended: " + outcome + " " + reason);
  }

  @Override
  public void finalAnswerGiven(TrackedCall call, FinalAnswer answer, double elapsed) {
    record(call, "", "final answer " + answer.kind() + " after " + Math.round(elapsed) + " ms");
  }

  @Override
  public void callerAbandoned(TrackedCall call, double elapsed) {
    record(call, "", "abandoned by its caller after " + Math.round(elapsed) + " ms");
  }
}
