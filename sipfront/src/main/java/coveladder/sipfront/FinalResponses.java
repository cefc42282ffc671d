package coveladder.sipfront;

import coveladder.CallPolicy.Reason;
import coveladder.core.FinalAnswer;
import coveladder.sip.CallLeg;
import coveladder.sip.SipResponse;

/** Final answers other than 2xx as the caller gets them. */
final class FinalResponses {
  private FinalResponses() {}

  /**
   * Makes the response. A call in transit is turned back: the controller that sent it here tells by
   * the location that a tandem did so.
   */
  static SipResponse of(
      CallLeg caller, FinalAnswer answer, boolean transit, FrontSettings settings) {
    if (answer.kind() == FinalAnswer.Kind.SHUT_DOWN) {
      return unavailable(caller, ReasonField.CONGESTION, transit, settings.retryAfterSeconds());
    }
    if (answer.reason() == Reason.NUMBER_BUSY) {
      return caller.response(486);
    }
    int retryAfterSeconds = (int) Math.ceil(answer.retryAfterMillis() / 1000);
    if (transit || answer.kind() == FinalAnswer.Kind.REFUSED) {
      boolean processorFull = answer.reason() == Reason.PROCESSOR_FULL;
      int cause = processorFull ? ReasonField.CONGESTION : ReasonField.NO_CIRCUIT;
      return unavailable(caller, cause, transit, retryAfterSeconds);
    }
    return caller.response(answer.reason() == Reason.NONE ? 408 : 480);
  }

  /** A 503 with its cause; {@code seconds} is when to come back, 0 for no word on it. */
  static SipResponse unavailable(
      CallLeg caller, int cause, boolean transit, int retryAfterSeconds) {
    SipResponse response = caller.response(503);
    response.add("Reason", ReasonField.format(cause, transit));
    if (retryAfterSeconds > 0) {
      response.add("Retry-After", Integer.toString(retryAfterSeconds));
    }
    return response;
  }
}
