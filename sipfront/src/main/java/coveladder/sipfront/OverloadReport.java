package coveladder.sipfront;

import coveladder.core.LoadReports.Report;
import coveladder.sip.Params;
import coveladder.sip.SipResponse;
import coveladder.sip.Via;

/**
 * Overload control as a response's topmost Via tells it: by loss (RFC 7339, {@code oc} a share in
 * hundredths) or by rate (RFC 7415, {@code oc} set-ups a second).
 */
final class OverloadReport {
  private OverloadReport() {}

  /** The report; null where the response has none. */
  static Report of(SipResponse response, double now) {
    Via via = response.via();
    Params params = via.params();
    double value = parseNumber(params.get("oc"));
    double validityMillis = parseNumber(params.get("oc-validity"));
    if (Double.isNaN(value)) {
      return null;
    }
    boolean byRate = "rate".equals(unquoted(params.get("oc-algo")));
    double validUntil = now + (Double.isNaN(validityMillis) ? 500 : validityMillis);
    double sequence = parseNumber(params.get("oc-seq"));
    return new Report(
        byRate ? Double.NaN : Math.min(100, value) / 100,
        byRate ? value : Double.NaN,
        Double.NaN,
        Double.NaN,
        Double.isNaN(sequence) ? now : sequence,
        validUntil);
  }

  private static String unquoted(String text) {
    return text == null ? "" : text.replace("\"", "");
  }

  private static double parseNumber(String text) {
    try {
      double value = text == null || text.isEmpty() ? Double.NaN : Double.parseDouble(text);
      return value >= 0 && value < 1e15 ? value : Double.NaN;
    } catch (NumberFormatException e) {
      return Double.NaN;
    }
  }
}
