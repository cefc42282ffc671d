package coveladder.sip;

import java.util.Set;

/** Which fields a back-to-back user agent carries from one leg to the other. */
public final class EndToEndHeaders {
  private static final Set<String> OWN =
      Set.of(
          "Via",
          "From",
          "To",
          "Call-ID",
          "CSeq",
          "Contact",
          "Max-Forwards",
          "Route",
          "Record-Route",
          "Content-Length",
          "RSeq",
          "RAck",
          "Proxy-Require");

  private EndToEndHeaders() {}

  /**
   * Copies the body and all fields that are not of the leg itself: unknown ones, credentials and
   * challenges among them, pass unread. Fields that the other message has already stay.
   */
  public static void copy(SipMessage from, SipMessage to) {
    if (from == null) {
      return;
    }
    int before = to.headerCount();
    for (int i = 0; i < from.headerCount(); i++) {
      String name = from.headerName(i);
      if (!OWN.contains(name) && !isIn(to, name, before)) {
        to.add(name, from.headerValue(i));
      }
    }
    to.body(from.body());
  }

  private static boolean isIn(SipMessage message, String name, int among) {
    for (int i = 0; i < among; i++) {
      if (message.headerName(i).equalsIgnoreCase(name)) {
        return true;
      }
    }
    return false;
  }
}
