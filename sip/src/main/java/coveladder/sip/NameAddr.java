package coveladder.sip;

/**
 * An address with its parameters, as in From, To, Contact, Route and Record-Route (RFC 3261 section
 * 20).
 *
 * @param displayName the display name as written, quotes kept; empty if none
 * @param uri the URI as written
 * @param params the header parameters, the tag among them
 */
public record NameAddr(String displayName, String uri, Params params) {

  /** Reads an address; null where it is none. */
  public static NameAddr parse(String text) {
    if (!Scan.balanced(text)) {
      return null;
    }
    int open = openBracket(text);
    if (open < 0) {
      int semicolon = text.indexOf(';');
      String uri = (semicolon < 0 ? text : text.substring(0, semicolon)).trim();
      String params = semicolon < 0 ? "" : text.substring(semicolon + 1);
      return absolute(uri) ? new NameAddr("", uri, Params.parse(params)) : null;
    }
    int close = text.indexOf('>', open);
    String rest = text.substring(close + 1).trim();
    String display = text.substring(0, open).trim();
    String uri = text.substring(open + 1, close).trim();
    boolean after = rest.isEmpty() || rest.charAt(0) == ';';
    return after && absolute(uri) && named(display)
        ? new NameAddr(display, uri, Params.parse(rest.isEmpty() ? "" : rest.substring(1)))
        : null;
  }

  private static int openBracket(String text) {
    boolean quoted = false;
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      if (quoted && c == '\\') {
        i++;
      } else if (c == '"') {
        quoted = !quoted;
      } else if (c == '<' && !quoted) {
        return i;
      }
    }
    return -1;
  }

  private static boolean absolute(String uri) {
    int colon = uri.indexOf(':');
    return colon > 0 && uri.indexOf(' ') < 0 && Scan.token(uri.substring(0, colon));
  }

  /** A display name is a quoted string or tokens; commas and such need quotes. */
  private static boolean named(String display) {
    if (display.isEmpty() || display.charAt(0) == '"') {
      return true;
    }
    for (String word : display.split("[ \t]+")) {
      if (!Scan.token(word)) {
        return false;
      }
    }
    return true;
  }

  /** An address of a plain URI in angle brackets. */
  public static NameAddr of(String uri) {
    return new NameAddr("", uri, new Params());
  }

  /** The tag; null if there is none. */
  public String tag() {
    return params.get("tag");
  }

  @Override
  public String toString() {
    StringBuilder out = new StringBuilder(displayName);
    if (!displayName.isEmpty()) {
      out.append(' ');
    }
    out.append('<').append(uri).append('>');
    params.write(out);
    return out.toString();
  }
}
