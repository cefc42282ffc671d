package coveladder.sipfront;

import coveladder.sip.Params;
import coveladder.sip.SipMessage;

/**
 * A value of the Reason header field with protocol Q.850 (RFC 3326) and its location (RFC 8606).
 *
 * @param cause the Q.850 cause; 0 if there is none
 * @param fromTransit whether the location is a transit network (TN), that is a tandem
 */
record ReasonField(int cause, boolean fromTransit) {
  // Q.850 causes.
  static final int NORMAL_CLEARING = 16;
  static final int TEMPORARY_FAILURE = 41;
  static final int NO_CIRCUIT = 34;
  static final int CONGESTION = 42;

  /** The first Q.850 reason of a message; cause 0 if it has none. */
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

  /**
   * Whether a message has a Reason with protocol SIP. A redialled call gives the status of its
   * previous try in this way.
   */
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

  /** The value of the header field. */
  static String format(int cause, boolean fromTransit) {
    return "Q.850;cause=" + cause + (fromTransit ? ";location=TN" : "");
  }
}
