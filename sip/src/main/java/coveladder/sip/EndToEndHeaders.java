package coveladder.sip;

import java.util.Set;

/** Copies the header fields that a back-to-back user agent passes from one leg to the other. */
public final class EndToEndHeaders {
  private static final Set<String> LEG_SPECIFIC_HEADERS =
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
   * Copies the body and all header fields that are not specific to a leg. Unknown fields,
   * credentials and challenges are passed on without being parsed. Fields that the target message
   * already has are kept.
   *
   * @param from the message to copy from; nothing is copied if null
   * @param to the message to copy to
   */
  public static void copy(SipMessage from, SipMessage to) {
    if (from == null) {
      return;
    }
    int initialCount = to.headerCount();
    for (int i = 0; i < from.headerCount(); i++) {
      String name = from.headerName(i);
      if (!LEG_SPECIFIC_HEADERS.contains(name) && !hasHeader(to, name, initialCount)) {
        to.add(name, from.headerValue(i));
      }
    }
    to.body(from.body());
  }

  private static boolean hasHeader(SipMessage message, String name, int headerCount) {
    for (int i = 0; i < headerCount; i++) {
      if (message.headerName(i).equalsIgnoreCase(name)) {
        return true;
      }
    }
    return false;
  }
}
