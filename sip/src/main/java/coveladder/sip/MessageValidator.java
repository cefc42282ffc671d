package coveladder.sip;

/** Checks the header fields that every message must have (RFC 3261 section 8.1.1). */
final class MessageValidator {
  /** Suffix of the Request-URI of a request whose start line names another version of SIP. */
  static final String UNSUPPORTED_VERSION_MARK = "\u0001";

  private static final String[] SINGLE_OCCURRENCE_HEADERS = {
    "From", "To", "Call-ID", "CSeq", "Max-Forwards", "Content-Length", "Expires"
  };

  private MessageValidator() {}

  /** Returns a description of the first problem of a message; null if it is valid. */
  static String findProblem(SipMessage message) {
    String problem = findHeaderProblem(message);
    if (problem == null && message instanceof SipRequest request) {
      problem = findRequestProblem(request);
    }
    return problem;
  }

  /** Whether a request has the header fields that a response to it needs. */
  static boolean isAnswerable(SipRequest request) {
    return !request.is("ACK")
        && request.via() != null
        && request.header("From") != null
        && request.header("To") != null
        && request.callId() != null
        && request.header("CSeq") != null;
  }

  private static String findHeaderProblem(SipMessage message) {
    for (String name : SINGLE_OCCURRENCE_HEADERS) {
      if (message.headerLineCount(name) > 1) {
        return name + " more than once";
      }
    }
    if (message.via() == null) {
      return "Via missing or malformed";
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

  private static String findRequestProblem(SipRequest request) {
    if (!request.cseq().method().equals(request.method())) {
      return "CSeq names " + request.cseq().method() + " in a request of " + request.method();
    }
    String uri = request.uri();
    if (uri.indexOf(' ') >= 0 || uri.indexOf('<') >= 0 || uri.indexOf('>') >= 0) {
      return "Request-URI with blanks or angle brackets";
    }
    int colon = uri.indexOf(':');
    if (colon <= 0 || !HeaderScanner.isToken(uri.substring(0, colon))) {
      return "Request-URI without a scheme";
    }
    return findRequestHeaderProblem(request);
  }

  private static String findRequestHeaderProblem(SipRequest request) {
    String maxForwards = request.header("Max-Forwards");
    if (maxForwards != null && HeaderScanner.parseNumber(maxForwards, 255) < 0) {
      return "Max-Forwards not a number from 0 to 255";
    }
    String expires = request.header("Expires");
    if (expires != null
        && request.is("INVITE")
        && HeaderScanner.parseNumber(expires, 0xffffffffL) < 0) {
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
