package coveladder.sip;

import java.util.Locale;

/**
 * A SIP URI (RFC 3261 section 19.1).
 *
 * @param scheme "sip" or "sips", in lower case
 * @param user the user part as written, escapes kept; empty if none
 * @param host the host, IPv6 without brackets
 * @param port the port; 0 where none is written
 * @param params its parameters
 */
public record SipUri(String scheme, String user, String host, int port, Params params) {

  /** Reads a URI; null where the text is no SIP URI. */
  public static SipUri parse(String text) {
    int colon = text.indexOf(':');
    String scheme = colon < 0 ? "" : text.substring(0, colon).toLowerCase(Locale.ROOT);
    if (!scheme.equals("sip") && !scheme.equals("sips")) {
      return null;
    }
    int headers = text.indexOf('?', colon);
    String rest = text.substring(colon + 1, headers < 0 ? text.length() : headers);
    int at = rest.lastIndexOf('@');
    String user = at < 0 ? "" : rest.substring(0, at);
    String place = rest.substring(at + 1);
    int semicolon = place.indexOf(';');
    Params params = Params.parse(semicolon < 0 ? "" : place.substring(semicolon + 1));
    HostPort parsed = HostPort.parse(semicolon < 0 ? place : place.substring(0, semicolon));
    return parsed == null ? null : new SipUri(scheme, user, parsed.host(), parsed.port(), params);
  }

  /** A URI without parameters. */
  public static SipUri of(String user, String host, int port) {
    return new SipUri("sip", user, host, port, new Params());
  }

  /** Where requests to this URI go when no Route says otherwise; UDP unless it names another. */
  public Hop hop() {
    String named = params.get("transport");
    Transport transport = named == null ? Transport.UDP : Transport.fromName(named);
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
