package coveladder.sip;

/** What every message must have before anything else looks at it (RFC 3261 section 8.1.1). */
final class MessageCheck {
  /** Stands behind a Request-URI whose line named another version of SIP. */
  static final String OTHER_VERSION = "\u0001";

  private static final String[] ONCE = {
    "From", "To", "Call-ID", "CSeq", "Max-Forwards", "Content-Length", "Expires"
  };

  private MessageCheck() {}

  /** What is wrong with a message, or null. */
  static String problem(SipMessage message) {
    String wrong = fields(message);
    if (wrong == null && message instanceof SipRequest request) {
      wrong = request(request);
    }
    return wrong;
  }

  /** Whether enough can be read to send an answer back. */
  static boolean answerable(SipRequest request) {
    return !request.is("ACK")
        && request.via() != null
        && request.header("From") != null
        && request.header("To") != null
        && request.callId() != null
        && request.header("CSeq") != null;
  }

  private static String fields(SipMessage message) {
    for (String name : ONCE) {
      if (message.headerLineCount(name) > 1) {
        return name + " more than once";
      }
    }
    if (message.via() == null) {
      return "Via missing or unreadable";
    }
    if (message.callId() == null || message.callId().isEmpty()) {
      return "Call-ID missing";
    }
    if (message.cseq() == null) {
      return "CSeq missing or not a number below 2^31 with a method";
    }
    if (message.from() == null) {
      return "From missing or no address";
    }
    return message.to() == null ? "To missing or no address" : null;
  }

  private static String request(SipRequest request) {
    if (!request.cseq().method().equals(request.method())) {
      return "CSeq names " + request.cseq().method() + " in a request of " + request.method();
    }
    String uri = request.uri();
    if (uri.indexOf(' ') >= 0 || uri.indexOf('<') >= 0 || uri.indexOf('>') >= 0) {
      return "Request-URI with blanks or angle brackets";
    }
    int colon = uri.indexOf(':');
    if (colon <= 0 || !Scan.token(uri.substring(0, colon))) {
      return "Request-URI without a scheme";
    }
    return numbers(request);
  }

  private static String numbers(SipRequest request) {
    String hops = request.header("Max-Forwards");
    if (hops != null && Scan.number(hops, 255) < 0) {
      return "Max-Forwards not a number from 0 to 255";
    }
    String expires = request.header("Expires");
    if (expires != null && request.is("INVITE") && Scan.number(expires, 0xffffffffL) < 0) {
      return "Expires not a number of seconds below 2^32";
    }
    for (String contact : request.headers("Contact")) {
      if (!contact.equals("*") && NameAddr.parse(contact) == null) {
        return "Contact is no address";
      }
    }
    return null;
  }
}
