package coveladder.sip;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Maps header field names and their compact forms (RFC 3261 section 7.3.3) to one spelling. */
final class HeaderNames {
  private static final Map<String, String> CANONICAL_NAMES = new HashMap<>();

  static {
    for (String name :
        new String[] {
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
          "Content-Type",
          "Expires",
          "Require",
          "Proxy-Require",
          "Supported",
          "Unsupported",
          "Allow",
          "Reason",
          "Retry-After",
          "Event",
          "Subscription-State",
          "RSeq",
          "RAck",
          "Session-Expires",
          "Min-SE",
          "Resource-Priority",
          "Warning",
          "Authorization",
          "Proxy-Authorization",
          "WWW-Authenticate",
          "Proxy-Authenticate",
          "Accept",
          "Subject",
          "Content-Encoding",
          "User-Agent",
          "Server",
          "Timestamp",
          "Date",
          "Allow-Events",
          "Refer-To",
          "Referred-By",
          "Min-Expires"
        }) {
      register(name, name);
    }
    String[] compactForms = {
      "v",
      "Via",
      "f",
      "From",
      "t",
      "To",
      "i",
      "Call-ID",
      "m",
      "Contact",
      "l",
      "Content-Length",
      "c",
      "Content-Type",
      "k",
      "Supported",
      "s",
      "Subject",
      "e",
      "Content-Encoding",
      "o",
      "Event",
      "u",
      "Allow-Events",
      "r",
      "Refer-To",
      "b",
      "Referred-By",
      "x",
      "Session-Expires"
    };
    for (int i = 0; i < compactForms.length; i += 2) {
      register(compactForms[i], compactForms[i + 1]);
    }
  }

  private HeaderNames() {}

  private static void register(String written, String canonical) {
    CANONICAL_NAMES.put(written, canonical);
    CANONICAL_NAMES.put(written.toLowerCase(Locale.ROOT), canonical);
    CANONICAL_NAMES.put(written.toUpperCase(Locale.ROOT), canonical);
  }

  /** Returns the full name in its canonical spelling; an unknown name is returned as written. */
  static String canonical(String written) {
    String name = lookUp(written);
    return name == null ? written : name;
  }

  /**
   * Returns the canonical name for any spelling of it, always the same object; null if the name is
   * unknown.
   */
  static String lookUp(String written) {
    String name = CANONICAL_NAMES.get(written);
    return name != null ? name : CANONICAL_NAMES.get(written.toLowerCase(Locale.ROOT));
  }
}
