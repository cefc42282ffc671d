package coveladder.isupfront;

import coveladder.CallPolicy.Load;
import coveladder.CallPolicy.Outcome;
import coveladder.CallPolicy.Reason;
import coveladder.core.FinalAnswer;
import coveladder.isup.Cause;
import coveladder.wire.ReportReader;
import java.util.HashMap;
import java.util.Map;

/** The one table between the causes on the wire and the words of the core (docs/platform.md). */
final class Outcomes {
  private static final Map<String, String> OTHER_NAMES =
      Map.of(
          "free", "x0",
          "size", "x1",
          "busy_reqs", "inflight",
          "pending", "queue",
          "cpu_share", "util",
          "svc_ms", "latency_ms",
          "can_take", "qps",
          "hold_back", "eps");

  private Outcomes() {}

  /** A release of a switch before the answer. */
  static Outcome before(int cause) {
    return switch (cause) {
      case Cause.NO_CIRCUIT -> Outcome.BUSY;
      case Cause.USER_BUSY, Cause.UNAVAILABLE -> Outcome.ERROR;
      case Cause.TIMER_EXPIRY -> Outcome.SKIPPED;
      default -> Outcome.RESET;
    };
  }

  /** A release of a switch after the answer. */
  static Outcome after(int cause) {
    return cause == Cause.NORMAL_CLEARING ? Outcome.DONE : Outcome.RESET;
  }

  /** The cause of a final answer that is no answer of a callee. */
  static int cause(FinalAnswer answer) {
    Reason reason = answer.reason();
    return switch (answer.kind()) {
      case REFUSED -> full(reason) ? Cause.CONGESTION : Cause.NO_CIRCUIT;
      case SHUT_DOWN -> Cause.CONGESTION;
      default -> reason == Reason.NUMBER_BUSY ? Cause.USER_BUSY : Cause.TEMPORARY_FAILURE;
    };
  }

  private static boolean full(Reason reason) {
    return reason == Reason.PROCESSOR_FULL || reason == Reason.FULL_BEYOND;
  }

  /** Figures as in `x0:12;x1:40;queue:3`; those that cannot be read are not told. */
  static Load load(String text) {
    if (text == null || text.isEmpty()) {
      return Load.UNKNOWN;
    }
    Map<String, Double> figures = new HashMap<>();
    for (String figure : text.split(";")) {
      int colon = figure.indexOf(':');
      if (colon > 0) {
        figures.put(figure.substring(0, colon), number(figure.substring(colon + 1)));
      }
    }
    return ReportReader.load(
        name ->
            figures.getOrDefault(name, figures.getOrDefault(OTHER_NAMES.get(name), Double.NaN)));
  }

  private static double number(String text) {
    try {
      double value = Double.parseDouble(text);
      return Double.isInfinite(value) ? Double.NaN : value;
    } catch (NumberFormatException e) {
      return Double.NaN;
    }
  }
}
