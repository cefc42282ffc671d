package coveladder.sip;

import java.util.Map;

/** A response (RFC 3261 section 7.2). */
public final class SipResponse extends SipMessage {
  private static final Map<Integer, String> REASON_PHRASES =
      Map.ofEntries(
          Map.entry(100, "Trying"),
          Map.entry(180, "Ringing"),
          Map.entry(183, "Session Progress"),
          Map.entry(200, "OK"),
          Map.entry(202, "Accepted"),
          Map.entry(400, "Bad Request"),
          Map.entry(403, "Forbidden"),
          Map.entry(404, "Not Found"),
          Map.entry(405, "Method Not Allowed"),
          Map.entry(408, "Request Timeout"),
          Map.entry(413, "Request Entity Too Large"),
          Map.entry(415, "Unsupported Media Type"),
          Map.entry(416, "Unsupported URI Scheme"),
          Map.entry(420, "Bad Extension"),
          Map.entry(422, "Session Interval Too Small"),
          Map.entry(480, "Temporarily Unavailable"),
          Map.entry(481, "Call/Transaction Does Not Exist"),
          Map.entry(482, "Loop Detected"),
          Map.entry(483, "Too Many Hops"),
          Map.entry(486, "Busy Here"),
          Map.entry(487, "Request Terminated"),
          Map.entry(488, "Not Acceptable Here"),
          Map.entry(489, "Bad Event"),
          Map.entry(491, "Request Pending"),
          Map.entry(500, "Server Internal Error"),
          Map.entry(501, "Not Implemented"),
          Map.entry(503, "Service Unavailable"),
          Map.entry(504, "Server Time-out"),
          Map.entry(505, "Version Not Supported"),
          Map.entry(513, "Message Too Large"));

  private final int status;
  private final String reasonPhrase;

  /** Creates a response without header fields. */
  public SipResponse(int status, String reasonPhrase) {
    this.status = status;
    this.reasonPhrase = reasonPhrase;
  }

  /** The default reason phrase of a status. */
  public static String reasonPhrase(int status) {
    return REASON_PHRASES.getOrDefault(status, "Unknown");
  }

  /** The status, 100 to 699. */
  public int status() {
    return status;
  }

  /** The reason phrase, which may be empty. */
  public String reasonPhrase() {
    return reasonPhrase;
  }

  /** Whether it is a 1xx, so that a further response follows. */
  public boolean isProvisional() {
    return status < 200;
  }

  /** Whether it is a 2xx. */
  public boolean isSuccess() {
    return status >= 200 && status < 300;
  }

  @Override
  public String startLine() {
    return "SIP/2.0 " + status + " " + reasonPhrase;
  }
}
