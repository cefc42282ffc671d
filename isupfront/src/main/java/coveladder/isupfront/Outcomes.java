package coveladder.isupfront;

import coveladder.CallPolicy.Load;
import coveladder.CallPolicy.Outcome;
import coveladder.CallPolicy.Reason;
import coveladder.core.FinalAnswer;
import coveladder.isup.Cause;
import coveladder.wire.ReportReader;
import java.util.HashMap;
import java.util.Map;

/**
 * Converts causes and load figures on the wire to the core's types, and final answers to causes
 * (docs/platform.md).
 */
final class Outcomes {
  /** Alternative names of load figures, by their usual names. */
  private static final Map<String, String> FIGURE_ALIASES =
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

  /** Outcome of an attempt that the switch released before the answer. */
  static Outcome beforeAnswer(int cause) {
    return switch (cause) {
      case Cause.NO_CIRCUIT -> Outcome.BUSY;
      case Cause.USER_BUSY, Cause.UNAVAILABLE -> Outcome.ERROR;
      case Cause.TIMER_EXPIRY -> Outcome.SKIPPED;
      default -> Outcome.RESET;
    };
  }

  /** Outcome of an attempt that the switch released after the answer. */
  static Outcome afterAnswer(int cause) {
    return cause == Cause.NORMAL_CLEARING ? Outcome.DONE : Outcome.RESET;
  }

  /** Cause of the release sent to the caller of an established call. */
  static int releaseCause(boolean disconnected) {
    return disconnected ? Cause.TEMPORARY_FAILURE : Cause.NORMAL_CLEARING;
  }

  /** Cause sent to the caller of a call that was not established. */
  static int cause(FinalAnswer answer) {
    Reason reason = answer.reason();
    return switch (answer.kind()) {
      case REFUSED -> isProcessorFull(reason) ? Cause.CONGESTION : Cause.NO_CIRCUIT;
      case SHUT_DOWN -> Cause.CONGESTION;
      default -> reason == Reason.NUMBER_BUSY ? Cause.USER_BUSY : Cause.TEMPORARY_FAILURE;
    };
  }

  private static boolean isProcessorFull(Reason reason) {
    return reason == Reason.PROCESSOR_FULL || reason == Reason.FULL_BEYOND;
  }

  /** Parses load figures as in {@code x0:12;x1:40;queue:3}; unreadable ones are left unknown. */
  static Load parseLoad(String text) {
    if (text == null || text.isEmpty()) {
      return Load.UNKNOWN;
    }
    Map<String, Double> figures = new HashMap<>();
    for (String figure : text.split(";")) {
      int colon = figure.indexOf(':');
      if (colon > 0) {
        figures.put(figure.substring(0, colon), parseNumber(figure.substring(colon + 1)));
      }
    }
    return ReportReader.load(
        name ->
            figures.getOrDefault(name, figures.getOrDefault(FIGURE_ALIASES.get(name), Double.NaN)));
  }

  private static double parseNumber(String text) {
    try {
      double value = Double.parseDouble(text);
      return Double.isInfinite(value) ? Double.NaN : value;
    } catch (NumberFormatException e) {
      return Double.NaN;
    }
  }
}
