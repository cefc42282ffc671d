package coveladder.sip;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Names of header fields: compact forms of RFC 3261 section 7.3.3 and one spelling of each. */
final class HeaderNames {
  private static final Map<String, String> KNOWN = new HashMap<>();

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
      learn(name, name);
    }
    String[] compact = {
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
    for (int i = 0; i < compact.length; i += 2) {
      learn(compact[i], compact[i + 1]);
    }
  }

  private HeaderNames() {}

  private static void learn(String written, String full) {
    KNOWN.put(written, full);
    KNOWN.put(written.toLowerCase(Locale.ROOT), full);
    KNOWN.put(written.toUpperCase(Locale.ROOT), full);
  }

  /** The full name in its one spelling; names that are not known stay as written. */
  static String canonical(String written) {
    String name = known(written);
    return name == null ? written : name;
  }

  /** The one object for a known name, however it is spelt; null for a name that is not known. */
  static String known(String written) {
    String name = KNOWN.get(written);
    return name != null ? name : KNOWN.get(written.toLowerCase(Locale.ROOT));
  }
}
