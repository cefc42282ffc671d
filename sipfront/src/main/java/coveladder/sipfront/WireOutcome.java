package coveladder.sipfront;

import coveladder.CallPolicy.Outcome;
import coveladder.CallPolicy.Reason;
import coveladder.sip.Failure;
import coveladder.sip.SipRequest;
import coveladder.sip.SipResponse;
import java.util.Set;

/**
 * The module's word for how an attempt ended on the wire.
 *
 * @param outcome how it ended
 * @param reason why it was not set up
 * @param askedWait time that a full processor asks for, ms
 */
record WireOutcome(Outcome outcome, Reason reason, double askedWait) {
  private static final Set<Integer> ROUTE_MAY_CHANGE =
      Set.of(408, 480, 482, 483, 486, 487, 491, 500, 502, 503, 504, 600);

  /** Whether the callee itself decided, so that no other route would help. */
  static boolean conclusive(SipResponse response) {
    return !ROUTE_MAY_CHANGE.contains(response.status());
  }

  /** Reads a final answer other than 2xx. */
  static WireOutcome of(SipResponse response) {
    ReasonField reason = ReasonField.of(response);
    return switch (response.status()) {
      case 486, 600 -> plain(Outcome.ERROR, Reason.NUMBER_BUSY);
      case 408, 504 -> plain(Outcome.TIMED_OUT, Reason.NONE);
      case 487 -> plain(Outcome.CANCELLED, Reason.NONE);
      case 503 -> unavailable(response, reason);
      default -> plain(Outcome.ERROR, Reason.NONE);
    };
  }

  private static WireOutcome unavailable(SipResponse response, ReasonField reason) {
    double wait = 1000.0 * response.numericHeader("Retry-After", 0);
    return switch (reason.cause()) {
      case ReasonField.NO_CIRCUIT ->
          plain(Outcome.BUSY, reason.transit() ? Reason.TURNED_BACK : Reason.NO_CIRCUIT);
      case ReasonField.TEMPORARY_FAILURE -> plain(Outcome.RESET, Reason.NONE);
      case ReasonField.CONGESTION ->
          new WireOutcome(
              Outcome.BUSY, reason.transit() ? Reason.FULL_BEYOND : Reason.PROCESSOR_FULL, wait);
      default -> new WireOutcome(Outcome.BUSY, Reason.PROCESSOR_FULL, wait);
    };
  }

  /**
   * Reads a failure of the way to the own switch: without a connection nothing was sent, and it is
   * the own processor that is down.
   */
  static WireOutcome of(Failure failure) {
    return switch (failure) {
      case REFUSED -> plain(Outcome.SKIPPED, Reason.PROCESSOR_FULL);
      case RESET -> plain(Outcome.RESET, Reason.NONE);
      case TIMED_OUT -> plain(Outcome.TIMED_OUT, Reason.NONE);
    };
  }

  /** Reads the end of a call that stood; null where the far end fell silent. */
  static WireOutcome ofBye(SipRequest bye) {
    int cause = bye == null ? ReasonField.TEMPORARY_FAILURE : ReasonField.of(bye).cause();
    boolean normal = cause == 0 || cause == ReasonField.NORMAL;
    return plain(normal ? Outcome.DONE : Outcome.RESET, Reason.NONE);
  }

  private static WireOutcome plain(Outcome outcome, Reason reason) {
    return new WireOutcome(outcome, reason, 0);
  }
}
