package coveladder.sip;

/**
 * A host with its port, as in URIs and Via.
 *
 * @param host name or address, IPv6 without brackets
 * @param port the port, 0 where none is written
 */
record HostPort(String host, int port) {

  /** Reads {@code host[:port]}; null where it is neither. */
  static HostPort parse(String text) {
    String place = text.trim();
    int bracket = place.startsWith("[") ? place.indexOf(']') : 0;
    if (bracket < 0) {
      return null;
    }
    int colon = place.indexOf(':', bracket);
    String host = (colon < 0 ? place : place.substring(0, colon)).trim();
    long port = colon < 0 ? 0 : Scan.number(place.substring(colon + 1).trim(), 65535);
    if (bracket > 0) {
      host = host.substring(1, bracket);
    }
    return host.isEmpty() || port < 0 || !plain(host) ? null : new HostPort(host, (int) port);
  }

  private static boolean plain(String host) {
    for (int i = 0; i < host.length(); i++) {
      char c = host.charAt(i);
      if (c <= ' ' || c == '<' || c == '>' || c == '"' || c == ',' || c == '@') {
        return false;
      }
    }
    return true;
  }

  static void write(StringBuilder out, String host, int port) {
    boolean six = host.indexOf(':') >= 0;
    out.append(six ? "[" : "").append(host).append(six ? "]" : "");
    if (port > 0) {
      out.append(':').append(port);
    }
  }
}
