package coveladder.sip;

import java.nio.charset.StandardCharsets;

/**
 * Reads one whole message from bytes (RFC 3261 sections 7 and 25, torture cases of RFC 4475). It
 * throws nothing but {@link SipParseException}, whatever the bytes are, and looks at each of them a
 * fixed number of times.
 */
public final class SipParser {
  private final int maxHeaders;

  /** Makes a parser that refuses messages of more header lines than this. */
  public SipParser(int maxHeaders) {
    this.maxHeaders = maxHeaders;
  }

  /**
   * Reads the message in the array's given part. For a datagram, octets behind the body that
   * Content-Length names are dropped (RFC 3261 section 18.3).
   */
  public SipMessage parse(byte[] data, int from, int to) throws SipParseException {
    int start = skipBlankLines(data, from, to);
    int end = lineEnd(data, start, to);
    if (end == to) {
      throw new SipParseException(400, "no line end after the start line");
    }
    SipMessage message = startLine(text(data, start, end));
    int at = headers(message, data, next(data, end, to), to);
    body(message, data, at, to);
    if (message instanceof SipRequest r && r.uri().endsWith(MessageCheck.OTHER_VERSION)) {
      throw new SipParseException(505, "version is not SIP/2.0", answerable(message));
    }
    String wrong = MessageCheck.problem(message);
    if (wrong != null) {
      throw new SipParseException(400, wrong, answerable(message));
    }
    return message;
  }

  /** Reads a whole array. */
  public SipMessage parse(byte[] data) throws SipParseException {
    return parse(data, 0, data.length);
  }

  private static int skipBlankLines(byte[] data, int from, int to) {
    int at = from;
    while (at < to && (data[at] == '\r' || data[at] == '\n')) {
      at++;
    }
    return at;
  }

  private static int lineEnd(byte[] data, int from, int to) {
    int at = from;
    while (at < to && data[at] != '\n') {
      at++;
    }
    return at > from && at < to && data[at - 1] == '\r' ? at - 1 : at;
  }

  private static int next(byte[] data, int end, int to) {
    return end < to && data[end] == '\r' ? end + 2 : end + 1;
  }

  private static String text(byte[] data, int from, int to) {
    return new String(data, from, to - from, StandardCharsets.ISO_8859_1);
  }

  private static SipMessage startLine(String written) throws SipParseException {
    String line = written.stripTrailing();
    int first = line.indexOf(' ');
    int second = first < 0 ? -1 : line.indexOf(' ', first + 1);
    if (line.startsWith("SIP/") && first > 0) {
      return statusLine(line, first, second);
    }
    String[] parts = line.split(" ", -1);
    if (second < 0 || !Scan.token(parts[0]) || !parts[parts.length - 1].startsWith("SIP/")) {
      throw new SipParseException(400, "start line is neither a request's nor a response's");
    }
    boolean plain = parts.length == 3 && line.length() == written.length();
    String uri = line.substring(first + 1, line.lastIndexOf(' ')) + (plain ? "" : " ");
    return new SipRequest(parts[0], versioned(uri, parts[parts.length - 1]));
  }

  /** Marks a version that is not ours by a control sign, for {@link MessageCheck} to find. */
  private static String versioned(String uri, String version) {
    return version.equalsIgnoreCase("SIP/2.0") ? uri : uri + MessageCheck.OTHER_VERSION;
  }

  private static SipMessage statusLine(String line, int first, int second)
      throws SipParseException {
    String code = line.substring(first + 1, second < 0 ? line.length() : second);
    long status = Scan.number(code, 699);
    if (!line.substring(0, first).equalsIgnoreCase("SIP/2.0") || code.length() != 3) {
      throw new SipParseException(400, "status line without SIP/2.0 and three digits");
    }
    if (status < 100) {
      throw new SipParseException(400, "status outside 100 to 699");
    }
    return new SipResponse((int) status, second < 0 ? "" : line.substring(second + 1));
  }

  /** Reads header lines; returns where the body begins. */
  private int headers(SipMessage message, byte[] data, int from, int to) throws SipParseException {
    int at = from;
    int count = 0;
    while (at < to) {
      int end = lineEnd(data, at, to);
      if (end == at) {
        return Math.min(to, next(data, end, to));
      }
      if (++count > maxHeaders) {
        throw new SipParseException(400, "more than " + maxHeaders + " header lines");
      }
      int following = next(data, end, to);
      String line = text(data, at, end);
      while (following < to && (data[following] == ' ' || data[following] == '\t')) {
        int folded = lineEnd(data, following, to);
        line = line.stripTrailing() + " " + text(data, following, folded).strip();
        following = next(data, folded, to);
        if (++count > maxHeaders) {
          throw new SipParseException(400, "more than " + maxHeaders + " header lines");
        }
      }
      field(message, line);
      at = following;
    }
    return to;
  }

  private static void field(SipMessage message, String line) throws SipParseException {
    int colon = line.indexOf(':');
    String name = colon < 0 ? "" : line.substring(0, colon).stripTrailing();
    if (!Scan.token(name)) {
      String cut = line.length() > 40 ? line.substring(0, 40) : line;
      throw new SipParseException(400, "header line without name and colon: " + cut);
    }
    message.add(name, line.substring(colon + 1).strip());
  }

  private static void body(SipMessage message, byte[] data, int at, int to)
      throws SipParseException {
    int length = to - at;
    String written = message.header("Content-Length");
    if (written != null) {
      long named = Scan.number(written, Integer.MAX_VALUE);
      if (named < 0 || named > length) {
        String wrong = "Content-Length " + written + " with " + length + " octets of body";
        throw new SipParseException(400, wrong, answerable(message));
      }
      length = (int) named;
    }
    if (length > 0) {
      byte[] body = new byte[length];
      System.arraycopy(data, at, body, 0, length);
      message.body(body);
    }
  }

  private static SipRequest answerable(SipMessage message) {
    return message instanceof SipRequest request && MessageCheck.answerable(request)
        ? request
        : null;
  }
}
