package coveladder.sipfront;

import coveladder.sip.Params;
import coveladder.sip.SipMessage;

/**
 * A Reason value of protocol Q.850 (RFC 3326), with the place that gave it (RFC 8606).
 *
 * @param cause the cause, 0 where none is told
 * @param fromTransit whether a transit network gave it, that is a tandem
 */
record ReasonField(int cause, boolean fromTransit) {
  static final int NORMAL_CLEARING = 16;
  static final int TEMPORARY_FAILURE = 41;
  static final int NO_CIRCUIT = 34;
  static final int CONGESTION = 42;

  /** The first Q.850 reason of a message. */
  static ReasonField of(SipMessage message) {
    for (String value : message.headers("Reason")) {
      int semicolon = value.indexOf(';');
      if (semicolon > 0 && value.substring(0, semicolon).trim().equalsIgnoreCase("Q.850")) {
        Params params = Params.parse(value.substring(semicolon + 1));
        return new ReasonField(
            parseCause(params.get("cause")), "TN".equals(params.get("location")));
      }
    }
    return new ReasonField(0, false);
  }

  /** Whether a message gives this cause in SIP's own terms, as a redial does with its last one. */
  static boolean hasSipCause(SipMessage message) {
    return message.headers("Reason").stream().anyMatch(value -> value.startsWith("SIP"));
  }

  private static int parseCause(String text) {
    try {
      return text == null ? 0 : Integer.parseInt(text);
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  /** The value as written. */
  static String format(int cause, boolean fromTransit) {
    return "Q.850;cause=" + cause + (fromTransit ? ";location=TN" : "");
  }
}
