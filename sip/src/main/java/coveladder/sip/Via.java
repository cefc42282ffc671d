package coveladder.sip;

/**
 * One Via value (RFC 3261 section 20.42).
 *
 * @param transport the transport as written
 * @param host sent-by host, IPv6 without brackets
 * @param port sent-by port, 0 if none is given
 * @param params the Via parameters, for example branch, received, rport and oc
 */
public record Via(String transport, String host, int port, Params params) {
  /** Prefix of every branch that conforms to RFC 3261 (section 8.1.1.7). */
  public static final String MAGIC_COOKIE = "z9hG4bK";

  /** Parses one Via value; returns null if the text is not one. */
  public static Via parse(String text) {
    int semicolon = HeaderScanner.indexOfUnquoted(text, ';', 0);
    String head = text.substring(0, semicolon);
    int lastSlash = head.lastIndexOf('/');
    int firstSlash = head.indexOf('/');
    if (firstSlash <= 0 || lastSlash == firstSlash) {
      return null;
    }
    String rest = head.substring(lastSlash + 1).trim();
    int transportEnd = 0;
    while (transportEnd < rest.length() && rest.charAt(transportEnd) > ' ') {
      transportEnd++;
    }
    HostPort sentBy = HostPort.parse(rest.substring(transportEnd));
    boolean isSip = head.substring(0, firstSlash).trim().equalsIgnoreCase("SIP");
    boolean isVersion2 = head.substring(firstSlash + 1, lastSlash).trim().equals("2.0");
    String params = semicolon < text.length() ? text.substring(semicolon + 1) : "";
    return sentBy == null
            || !isSip
            || !isVersion2
            || !HeaderScanner.isToken(rest.substring(0, transportEnd))
        ? null
        : new Via(
            rest.substring(0, transportEnd), sentBy.host(), sentBy.port(), Params.parse(params));
  }

  /** The branch parameter; null if there is none. */
  public String branch() {
    return params.get("branch");
  }

  /** Whether the branch conforms to RFC 3261: the magic cookie followed by a unique value. */
  public boolean hasRfc3261Branch() {
    String branch = branch();
    return branch != null
        && branch.length() > MAGIC_COOKIE.length()
        && branch.startsWith(MAGIC_COOKIE);
  }

  /** The sent-by port, or the default port if none is given. */
  public int portOrDefault() {
    return port == 0 ? 5060 : port;
  }

  /**
   * The destination of a response sent as a datagram (RFC 3261 section 18.2.2, RFC 3581 section 4).
   */
  public Hop responseHop(Transport responseTransport) {
    String received = params.get("received");
    String rport = params.get("rport");
    long sourcePort = rport == null ? -1 : HeaderScanner.parseNumber(rport, 65535);
    return new Hop(
        responseTransport,
        received == null ? host : received,
        sourcePort > 0 ? (int) sourcePort : portOrDefault());
  }

  @Override
  public String toString() {
    StringBuilder out = new StringBuilder("SIP/2.0/").append(transport).append(' ');
    HostPort.write(out, host, port);
    params.write(out);
    return out.toString();
  }
}
