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
    double value = number(params.get("oc"));
    double validity = number(params.get("oc-validity"));
    if (Double.isNaN(value)) {
      return null;
    }
    boolean rate = "rate".equals(unquoted(params.get("oc-algo")));
    double until = now + (Double.isNaN(validity) ? 500 : validity);
    double sequence = number(params.get("oc-seq"));
    return new Report(
        rate ? Double.NaN : Math.min(100, value) / 100,
        rate ? value : Double.NaN,
        Double.NaN,
        Double.NaN,
        Double.isNaN(sequence) ? now : sequence,
        until);
  }

  private static String unquoted(String text) {
    return text == null ? "" : text.replace("\"", "");
  }

  private static double number(String text) {
    try {
      double value = text == null || text.isEmpty() ? Double.NaN : Double.parseDouble(text);
      return value >= 0 && value < 1e15 ? value : Double.NaN;
    } catch (NumberFormatException e) {
      return Double.NaN;
    }
  }
}
