package coveladder.sipfront;

import coveladder.core.LoadReports.Report;
import coveladder.sip.Params;
import coveladder.sip.SipResponse;
import coveladder.sip.Via;

/**
 * Reads overload control parameters from a response's topmost Via: loss-based (RFC 7339, {@code oc}
 * in percent) or rate-based (RFC 7415, {@code oc} in set-ups per second).
 */
final class OverloadReport {
  private OverloadReport() {}

  /**
   * The load report of a response; null if it has none. Without {@code oc-validity} the report is
   * valid for 500 ms (RFC 7339).
   *
   * @param nowMillis the clock, ms
   */
  static Report of(SipResponse response, double nowMillis) {
    Via via = response.via();
    Params params = via.params();
    double limit = parseNumber(params.get("oc"));
    double validityMillis = parseNumber(params.get("oc-validity"));
    if (Double.isNaN(limit)) {
      return null;
    }
    boolean rateBased = "rate".equals(unquoted(params.get("oc-algo")));
    double validUntilMillis = nowMillis + (Double.isNaN(validityMillis) ? 500 : validityMillis);
    double sequence = parseNumber(params.get("oc-seq"));
    return new Report(
        rateBased ? Double.NaN : Math.min(100, limit) / 100,
        rateBased ? limit : Double.NaN,
        Double.NaN,
        Double.NaN,
        Double.isNaN(sequence) ? nowMillis : sequence,
        validUntilMillis);
  }

  private static String unquoted(String text) {
    return text == null ? "" : text.replace("\"", "");
  }

  /** Parses a number from 0 to below 1e15; NaN if the text is missing or no such number. */
  private static double parseNumber(String text) {
    try {
      double value = text == null || text.isEmpty() ? Double.NaN : Double.parseDouble(text);
      return value >= 0 && value < 1e15 ? value : Double.NaN;
    } catch (NumberFormatException e) {
      return Double.NaN;
    }
  }
}
