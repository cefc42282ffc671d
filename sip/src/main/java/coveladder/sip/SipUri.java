package coveladder.sip;

import java.util.Locale;

/**
 * A SIP URI (RFC 3261 section 19.1).
 *
 * @param scheme "sip" or "sips", in lower case
 * @param user the user part as written, including escapes; empty if none
 * @param host the host, IPv6 without brackets
 * @param port the port; 0 if none is given
 * @param params the URI parameters
 */
public record SipUri(String scheme, String user, String host, int port, Params params) {

  /** Parses a URI; returns null if the text is not a SIP or SIPS URI. URI headers are ignored. */
  public static SipUri parse(String text) {
    int colon = text.indexOf(':');
    String scheme = colon < 0 ? "" : text.substring(0, colon).toLowerCase(Locale.ROOT);
    if (!scheme.equals("sip") && !scheme.equals("sips")) {
      return null;
    }
    int headersStart = text.indexOf('?', colon);
    String rest = text.substring(colon + 1, headersStart < 0 ? text.length() : headersStart);
    int atSign = rest.lastIndexOf('@');
    String user = atSign < 0 ? "" : rest.substring(0, atSign);
    String hostPortParams = rest.substring(atSign + 1);
    int semicolon = hostPortParams.indexOf(';');
    Params params = Params.parse(semicolon < 0 ? "" : hostPortParams.substring(semicolon + 1));
    HostPort hostPort =
        HostPort.parse(semicolon < 0 ? hostPortParams : hostPortParams.substring(0, semicolon));
    return hostPort == null
        ? null
        : new SipUri(scheme, user, hostPort.host(), hostPort.port(), params);
  }

  /** Creates a sip URI without parameters. */
  public static SipUri of(String user, String host, int port) {
    return new SipUri("sip", user, host, port, new Params());
  }

  /**
   * The destination of requests to this URI without a Route. The transport is UDP unless the URI
   * names another; null if it names an unknown one.
   */
  public Hop hop() {
    String transportName = params.get("transport");
    Transport transport = transportName == null ? Transport.UDP : Transport.fromName(transportName);
    return transport == null ? null : new Hop(transport, host, port == 0 ? 5060 : port);
  }

  @Override
  public String toString() {
    StringBuilder out = new StringBuilder(scheme).append(':');
    if (!user.isEmpty()) {
      out.append(user).append('@');
    }
    HostPort.write(out, host, port);
    params.write(out);
    return out.toString();
  }
}
