package coveladder.sip;

/**
 * What a server under load asks of its clients (RFC 7339 by loss, RFC 7415 by rate).
 *
 * @param byRate whether the value is set-ups a second; else the share to hold back in hundredths
 * @param value the value
 * @param validityMillis time that it holds good, ms
 * @param sequence grows with each new figure
 */
public record OverloadControl(
    boolean byRate, double value, double validityMillis, double sequence) {

  /** Writes the figures into the topmost Via of a response whose client offered the control. */
  void write(SipResponse response) {
    Via via = response.via();
    Params params = via.params();
    if (params.has("oc")) {
      params.set("oc", Long.toString(Math.round(value)));
      params.set("oc-algo", byRate ? "\"rate\"" : "\"loss\"");
      params.set("oc-validity", Long.toString(Math.round(validityMillis)));
      params.set("oc-seq", String.format(java.util.Locale.ROOT, "%.3f", sequence));
      response.topVia(via);
    }
  }
}
