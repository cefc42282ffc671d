package coveladder.sipfront;

import coveladder.CallPolicy.Outcome;
import coveladder.CallPolicy.Reason;
import coveladder.sip.Failure;
import coveladder.sip.SipRequest;
import coveladder.sip.SipResponse;
import java.util.Set;

/**
 * The end of an attempt in the policy's terms, derived from a response, a failure or a BYE.
 *
 * @param outcome how the attempt ended
 * @param reason why it was not set up
 * @param retryAfterMillis time that a full processor asks its senders to wait, ms; 0: no request
 */
record AttemptOutcome(Outcome outcome, Reason reason, double retryAfterMillis) {
  /** Final statuses after which another attempt may still succeed. */
  private static final Set<Integer> REROUTABLE_STATUSES =
      Set.of(408, 480, 482, 483, 486, 487, 491, 500, 502, 503, 504, 600);

  /** Whether the callee itself rejected the call, so that no other route would help. */
  static boolean isConclusive(SipResponse response) {
    return !REROUTABLE_STATUSES.contains(response.status());
  }

  /** The outcome of a final response other than 2xx. */
  static AttemptOutcome of(SipResponse response) {
    ReasonField reason = ReasonField.of(response);
    return switch (response.status()) {
      case 486, 600 -> withoutRetryAfter(Outcome.ERROR, Reason.NUMBER_BUSY);
      case 408, 504 -> withoutRetryAfter(Outcome.TIMED_OUT, Reason.NONE);
      case 487 -> withoutRetryAfter(Outcome.CANCELLED, Reason.NONE);
      case 503 -> ofServiceUnavailable(response, reason);
      default -> withoutRetryAfter(Outcome.ERROR, Reason.NONE);
    };
  }

  /** The outcome of a 503, by the Q.850 cause that it gives. */
  private static AttemptOutcome ofServiceUnavailable(SipResponse response, ReasonField reason) {
    double retryAfterMillis = 1000.0 * response.numericHeader("Retry-After", 0);
    return switch (reason.cause()) {
      case ReasonField.NO_CIRCUIT ->
          withoutRetryAfter(
              Outcome.BUSY, reason.fromTransit() ? Reason.TURNED_BACK : Reason.NO_CIRCUIT);
      case ReasonField.TEMPORARY_FAILURE -> withoutRetryAfter(Outcome.RESET, Reason.NONE);
      case ReasonField.CONGESTION ->
          new AttemptOutcome(
              Outcome.BUSY,
              reason.fromTransit() ? Reason.FULL_BEYOND : Reason.PROCESSOR_FULL,
              retryAfterMillis);
      default -> new AttemptOutcome(Outcome.BUSY, Reason.PROCESSOR_FULL, retryAfterMillis);
    };
  }

  /**
   * The outcome of a failure to reach the local switch. If the connection was refused, nothing was
   * sent, and the local processor is down.
   */
  static AttemptOutcome of(Failure failure) {
    return switch (failure) {
      case REFUSED -> withoutRetryAfter(Outcome.SKIPPED, Reason.PROCESSOR_FULL);
      case RESET -> withoutRetryAfter(Outcome.RESET, Reason.NONE);
      case TIMED_OUT -> withoutRetryAfter(Outcome.TIMED_OUT, Reason.NONE);
    };
  }

  /**
   * The outcome of an established call that has ended.
   *
   * @param bye the remote BYE; null if the remote end stopped responding
   */
  static AttemptOutcome ofEstablishedCall(SipRequest bye) {
    int cause = bye == null ? ReasonField.TEMPORARY_FAILURE : ReasonField.of(bye).cause();
    boolean normal = cause == 0 || cause == ReasonField.NORMAL_CLEARING;
    return withoutRetryAfter(normal ? Outcome.DONE : Outcome.RESET, Reason.NONE);
  }

  private static AttemptOutcome withoutRetryAfter(Outcome outcome, Reason reason) {
    return new AttemptOutcome(outcome, reason, 0);
  }
}
