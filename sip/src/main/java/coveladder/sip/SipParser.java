package coveladder.sip;

import java.nio.charset.StandardCharsets;

/**
 * Parses one complete message (RFC 3261 sections 7 and 25, torture cases of RFC 4475). For any
 * input it throws nothing but {@link SipParseException}, and it examines each byte a fixed number
 * of times.
 */
public final class SipParser {
  private final int maxHeaderLines;

  /** Creates a parser that rejects messages with more than {@code maxHeaderLines} header lines. */
  public SipParser(int maxHeaderLines) {
    this.maxHeaderLines = maxHeaderLines;
  }

  /**
   * Parses the message in a range of an array. Octets after the body, whose length Content-Length
   * states, are dropped, as RFC 3261 section 18.3 requires for datagrams.
   *
   * @param from index of the first byte
   * @param to index after the last byte
   */
  public SipMessage parse(byte[] data, int from, int to) throws SipParseException {
    int start = skipBlankLines(data, from, to);
    int end = findLineEnd(data, start, to);
    if (end == to) {
      throw new SipParseException(400, "no line end after the start line");
    }
    SipMessage message = parseStartLine(decode(data, start, end));
    int bodyStart = parseHeaders(message, data, nextLineStart(data, end, to), to);
    readBody(message, data, bodyStart, to);
    if (message instanceof SipRequest request
        && request.uri().endsWith(MessageValidator.UNSUPPORTED_VERSION_MARK)) {
      throw new SipParseException(505, "version is not SIP/2.0", answerableRequestOrNull(message));
    }
    String problem = MessageValidator.findProblem(message);
    if (problem != null) {
      throw new SipParseException(400, problem, answerableRequestOrNull(message));
    }
    return message;
  }

  /** Parses the message in a whole array. */
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

  private static int findLineEnd(byte[] data, int from, int to) {
    int at = from;
    while (at < to && data[at] != '\n') {
      at++;
    }
    return at > from && at < to && data[at - 1] == '\r' ? at - 1 : at;
  }

  private static int nextLineStart(byte[] data, int end, int to) {
    return end < to && data[end] == '\r' ? end + 2 : end + 1;
  }

  private static String decode(byte[] data, int from, int to) {
    return new String(data, from, to - from, StandardCharsets.ISO_8859_1);
  }

  /**
   * Parses the start line. If a request line has too many spaces, a space is left in the URI, and
   * if it names another version, the URI is marked: {@link MessageValidator} and {@link #parse}
   * reject the request only after its header fields, which a response needs, have been parsed.
   */
  private static SipMessage parseStartLine(String written) throws SipParseException {
    String line = written.stripTrailing();
    int firstSpace = line.indexOf(' ');
    int secondSpace = firstSpace < 0 ? -1 : line.indexOf(' ', firstSpace + 1);
    if (line.startsWith("SIP/") && firstSpace > 0) {
      return parseStatusLine(line, firstSpace, secondSpace);
    }
    String[] parts = line.split(" ", -1);
    if (secondSpace < 0
        || !HeaderScanner.isToken(parts[0])
        || !parts[parts.length - 1].startsWith("SIP/")) {
      throw new SipParseException(400, "start line is neither a request's nor a response's");
    }
    boolean wellFormed = parts.length == 3 && line.length() == written.length();
    String uri = line.substring(firstSpace + 1, line.lastIndexOf(' ')) + (wellFormed ? "" : " ");
    return new SipRequest(parts[0], markUnsupportedVersion(uri, parts[parts.length - 1]));
  }

  /** Appends a control character to the URI if the version is not SIP/2.0. */
  private static String markUnsupportedVersion(String uri, String version) {
    return version.equalsIgnoreCase("SIP/2.0")
        ? uri
        : uri + MessageValidator.UNSUPPORTED_VERSION_MARK;
  }

  private static SipMessage parseStatusLine(String line, int firstSpace, int secondSpace)
      throws SipParseException {
    String code = line.substring(firstSpace + 1, secondSpace < 0 ? line.length() : secondSpace);
    long status = HeaderScanner.parseNumber(code, 699);
    if (!line.substring(0, firstSpace).equalsIgnoreCase("SIP/2.0") || code.length() != 3) {
      throw new SipParseException(400, "status line without SIP/2.0 and three digits");
    }
    if (status < 100) {
      throw new SipParseException(400, "status outside 100 to 699");
    }
    return new SipResponse((int) status, secondSpace < 0 ? "" : line.substring(secondSpace + 1));
  }

  /** Parses the header lines and returns the index of the body. */
  private int parseHeaders(SipMessage message, byte[] data, int from, int to)
      throws SipParseException {
    int lineStart = from;
    int lineCount = 0;
    while (lineStart < to) {
      int lineEnd = findLineEnd(data, lineStart, to);
      if (lineEnd == lineStart) {
        return Math.min(to, nextLineStart(data, lineEnd, to));
      }
      if (++lineCount > maxHeaderLines) {
        throw new SipParseException(400, "more than " + maxHeaderLines + " header lines");
      }
      int nextStart = nextLineStart(data, lineEnd, to);
      String line = decode(data, lineStart, lineEnd);
      while (nextStart < to && (data[nextStart] == ' ' || data[nextStart] == '\t')) {
        int foldedEnd = findLineEnd(data, nextStart, to);
        line = line.stripTrailing() + " " + decode(data, nextStart, foldedEnd).strip();
        nextStart = nextLineStart(data, foldedEnd, to);
        if (++lineCount > maxHeaderLines) {
          throw new SipParseException(400, "more than " + maxHeaderLines + " header lines");
        }
      }
      parseHeader(message, line);
      lineStart = nextStart;
    }
    return to;
  }

  private static void parseHeader(SipMessage message, String line) throws SipParseException {
    int colon = line.indexOf(':');
    String name = colon < 0 ? "" : line.substring(0, colon).stripTrailing();
    if (!HeaderScanner.isToken(name)) {
      String excerpt = line.length() > 40 ? line.substring(0, 40) : line;
      throw new SipParseException(400, "header line without name and colon: " + excerpt);
    }
    message.add(name, line.substring(colon + 1).strip());
  }

  private static void readBody(SipMessage message, byte[] data, int bodyStart, int to)
      throws SipParseException {
    int length = to - bodyStart;
    String written = message.header("Content-Length");
    if (written != null) {
      long declared = HeaderScanner.parseNumber(written, Integer.MAX_VALUE);
      if (declared < 0 || declared > length) {
        String problem = "Content-Length " + written + " with " + length + " octets of body";
        throw new SipParseException(400, problem, answerableRequestOrNull(message));
      }
      length = (int) declared;
    }
    if (length > 0) {
      byte[] body = new byte[length];
      System.arraycopy(data, bodyStart, body, 0, length);
      message.body(body);
    }
  }

  private static SipRequest answerableRequestOrNull(SipMessage message) {
    return message instanceof SipRequest request && MessageValidator.isAnswerable(request)
        ? request
        : null;
  }
}
