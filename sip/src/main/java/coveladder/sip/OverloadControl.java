package coveladder.sip;

/**
 * The load reduction that an overloaded server asks of its clients: loss-based (RFC 7339) or
 * rate-based (RFC 7415).
 *
 * @param rateBased whether the value is a rate in set-ups per second; otherwise it is the
 *     percentage of requests that the client is to hold back
 * @param value the rate or the percentage
 * @param validityMillis time for which the value is valid, ms
 * @param sequence increases with each new value
 */
public record OverloadControl(
    boolean rateBased, double value, double validityMillis, double sequence) {

  /** Writes the parameters into the topmost Via of a response, if the client offered oc in it. */
  void write(SipResponse response) {
    Via via = response.via();
    Params params = via.params();
    if (params.has("oc")) {
      params.set("oc", Long.toString(Math.round(value)));
      params.set("oc-algo", rateBased ? "\"rate\"" : "\"loss\"");
      params.set("oc-validity", Long.toString(Math.round(validityMillis)));
      params.set("oc-seq", String.format(java.util.Locale.ROOT, "%.3f", sequence));
      response.replaceTopVia(via);
    }
  }
}
