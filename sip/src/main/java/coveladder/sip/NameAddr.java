package coveladder.sip;

/**
 * An address with its parameters, as in From, To, Contact, Route and Record-Route (RFC 3261 section
 * 20).
 *
 * @param displayName the display name as written, with its quotes; empty if none
 * @param uri the URI as written
 * @param params the header parameters, including the tag
 */
public record NameAddr(String displayName, String uri, Params params) {

  /** Parses an address; returns null if the text is not one. */
  public static NameAddr parse(String text) {
    if (!HeaderScanner.isBalanced(text)) {
      return null;
    }
    int openBracket = indexOfOpenBracket(text);
    if (openBracket < 0) {
      int semicolon = text.indexOf(';');
      String uri = (semicolon < 0 ? text : text.substring(0, semicolon)).trim();
      String params = semicolon < 0 ? "" : text.substring(semicolon + 1);
      return isAbsoluteUri(uri) ? new NameAddr("", uri, Params.parse(params)) : null;
    }
    int closeBracket = text.indexOf('>', openBracket);
    String rest = text.substring(closeBracket + 1).trim();
    String displayName = text.substring(0, openBracket).trim();
    String uri = text.substring(openBracket + 1, closeBracket).trim();
    boolean onlyParamsFollow = rest.isEmpty() || rest.charAt(0) == ';';
    return onlyParamsFollow && isAbsoluteUri(uri) && isValidDisplayName(displayName)
        ? new NameAddr(displayName, uri, Params.parse(rest.isEmpty() ? "" : rest.substring(1)))
        : null;
  }

  private static int indexOfOpenBracket(String text) {
    boolean inQuotes = false;
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      if (inQuotes && c == '\\') {
        i++;
      } else if (c == '"') {
        inQuotes = !inQuotes;
      } else if (c == '<' && !inQuotes) {
        return i;
      }
    }
    return -1;
  }

  private static boolean isAbsoluteUri(String uri) {
    int colon = uri.indexOf(':');
    return colon > 0 && uri.indexOf(' ') < 0 && HeaderScanner.isToken(uri.substring(0, colon));
  }

  /** A display name is a quoted string or a sequence of tokens; other characters need quotes. */
  private static boolean isValidDisplayName(String displayName) {
    if (displayName.isEmpty() || displayName.charAt(0) == '"') {
      return true;
    }
    for (String word : displayName.split("[ \t]+")) {
      if (!HeaderScanner.isToken(word)) {
        return false;
      }
    }
    return true;
  }

  /** Returns an address of a URI, without display name or parameters. */
  public static NameAddr of(String uri) {
    return new NameAddr("", uri, new Params());
  }

  /** The tag parameter; null if there is none. */
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
