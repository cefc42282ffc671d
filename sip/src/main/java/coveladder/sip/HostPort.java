package coveladder.sip;

/**
 * A host and a port, as in URIs and Via.
 *
 * @param host the host name or address, IPv6 without brackets
 * @param port the port, 0 if none is given
 */
record HostPort(String host, int port) {

  /** Parses {@code host[:port]}; returns null if the text is not of that form. */
  static HostPort parse(String text) {
    String trimmed = text.trim();
    int closingBracket = trimmed.startsWith("[") ? trimmed.indexOf(']') : 0;
    if (closingBracket < 0) {
      return null;
    }
    int colon = trimmed.indexOf(':', closingBracket);
    String host = (colon < 0 ? trimmed : trimmed.substring(0, colon)).trim();
    long port =
        colon < 0 ? 0 : HeaderScanner.parseNumber(trimmed.substring(colon + 1).trim(), 65535);
    if (closingBracket > 0) {
      host = host.substring(1, closingBracket);
    }
    return host.isEmpty() || port < 0 || !hasOnlyHostCharacters(host)
        ? null
        : new HostPort(host, (int) port);
  }

  private static boolean hasOnlyHostCharacters(String host) {
    for (int i = 0; i < host.length(); i++) {
      char c = host.charAt(i);
      if (c <= ' ' || c == '<' || c == '>' || c == '"' || c == ',' || c == '@') {
        return false;
      }
    }
    return true;
  }

  /** Writes {@code host[:port]}, with brackets around an IPv6 address. */
  static void write(StringBuilder out, String host, int port) {
    boolean ipv6 = host.indexOf(':') >= 0;
    out.append(ipv6 ? "[" : "").append(host).append(ipv6 ? "]" : "");
    if (port > 0) {
      out.append(':').append(port);
    }
  }
}
