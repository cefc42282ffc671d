package coveladder.sipfront;

import coveladder.CallPolicy.Reason;
import coveladder.core.FinalAnswer;
import coveladder.sip.CallLeg;
import coveladder.sip.SipResponse;

/** Builds the caller's final responses other than 2xx. */
final class FinalResponses {
  private FinalResponses() {}

  /**
   * Builds the response to a final answer. A call in transit is cranked back: by the location in
   * Reason, the controller that sent it here learns that a tandem refused it.
   */
  static SipResponse of(
      CallLeg callerLeg, FinalAnswer answer, boolean transit, FrontEndSettings settings) {
    if (answer.kind() == FinalAnswer.Kind.SHUT_DOWN) {
      return unavailable(callerLeg, ReasonField.CONGESTION, transit, settings.retryAfterSeconds());
    }
    if (answer.reason() == Reason.NUMBER_BUSY) {
      return callerLeg.response(486);
    }
    int retryAfterSeconds = (int) Math.ceil(answer.retryAfterMillis() / 1000);
    if (transit || answer.kind() == FinalAnswer.Kind.REFUSED) {
      boolean processorFull = answer.reason() == Reason.PROCESSOR_FULL;
      int cause = processorFull ? ReasonField.CONGESTION : ReasonField.NO_CIRCUIT;
      return unavailable(callerLeg, cause, transit, retryAfterSeconds);
    }
    return callerLeg.response(answer.reason() == Reason.NONE ? 408 : 480);
  }

  /**
   * Builds a 503 with its cause.
   *
   * @param cause the Q.850 cause
   * @param transit whether the call was in transit here
   * @param retryAfterSeconds value of Retry-After, s; 0: the field is left out
   */
  static SipResponse unavailable(
      CallLeg callerLeg, int cause, boolean transit, int retryAfterSeconds) {
    SipResponse response = callerLeg.response(503);
    response.add("Reason", ReasonField.format(cause, transit));
    if (retryAfterSeconds > 0) {
      response.add("Retry-After", Integer.toString(retryAfterSeconds));
    }
    return response;
  }
}
