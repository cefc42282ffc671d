package coveladder.sip;

/**
 * One Via value (RFC 3261 section 20.42).
 *
 * @param transport the transport as written
 * @param host sent-by host, IPv6 without brackets
 * @param port sent-by port, 0 where none is written
 * @param params its parameters: branch, received, rport, oc
 */
public record Via(String transport, String host, int port, Params params) {
  /** What every branch of RFC 3261 begins with. */
  public static final String MAGIC_COOKIE = "z9hG4bK";

  /** Reads one Via value; null where it is none. */
  public static Via parse(String text) {
    int semicolon = Scan.find(text, ';', 0);
    String head = text.substring(0, semicolon);
    int slash = head.lastIndexOf('/');
    int first = head.indexOf('/');
    if (first <= 0 || slash == first) {
      return null;
    }
    String rest = head.substring(slash + 1).trim();
    int blank = 0;
    while (blank < rest.length() && rest.charAt(blank) > ' ') {
      blank++;
    }
    HostPort place = HostPort.parse(rest.substring(blank));
    boolean sip = head.substring(0, first).trim().equalsIgnoreCase("SIP");
    boolean two = head.substring(first + 1, slash).trim().equals("2.0");
    String params = semicolon < text.length() ? text.substring(semicolon + 1) : "";
    return place == null || !sip || !two || !Scan.token(rest.substring(0, blank))
        ? null
        : new Via(rest.substring(0, blank), place.host(), place.port(), Params.parse(params));
  }

  /** The branch; null if there is none. */
  public String branch() {
    return params.get("branch");
  }

  /** Whether the branch is one of RFC 3261, with more behind the cookie. */
  public boolean hasRfc3261Branch() {
    String branch = branch();
    return branch != null
        && branch.length() > MAGIC_COOKIE.length()
        && branch.startsWith(MAGIC_COOKIE);
  }

  /** The port that is meant where none is written. */
  public int portOrDefault() {
    return port == 0 ? 5060 : port;
  }

  /** Where a response goes by a datagram (RFC 3261 section 18.2.2, RFC 3581 section 4). */
  public Hop responseHop(Transport by) {
    String received = params.get("received");
    String rport = params.get("rport");
    long seen = rport == null ? -1 : Scan.number(rport, 65535);
    return new Hop(by, received == null ? host : received, seen > 0 ? (int) seen : portOrDefault());
  }

  @Override
  public String toString() {
    StringBuilder out = new StringBuilder("SIP/2.0/").append(transport).append(' ');
    HostPort.write(out, host, port);
    params.write(out);
    return out.toString();
  }
}
