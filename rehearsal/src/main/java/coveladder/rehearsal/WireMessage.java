package coveladder.rehearsal;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * A SIP message as the checker parses it. The checker has a parser of its own: with the
 * controllers' parser it would not notice that parser's faults.
 */
final class WireMessage {
  private static final Map<String, String> NAMES_BY_COMPACT_FORM =
      Map.of("v", "via", "i", "call-id", "f", "from", "t", "to", "m", "contact");

  private final String method;
  private final int status;
  private final String requestUri;
  private final Map<String, String> headers = new HashMap<>();
  private final String body;

  private WireMessage(String method, int status, String requestUri, String body) {
    this.method = method;
    this.status = status;
    this.requestUri = requestUri;
    this.body = body;
  }

  /** Parses a message; null if it is not a SIP message. */
  static WireMessage parse(byte[] bytes) {
    String text = new String(bytes, StandardCharsets.ISO_8859_1);
    int headEnd = text.indexOf("\r\n\r\n");
    String[] lines = (headEnd < 0 ? text : text.substring(0, headEnd)).split("\r\n");
    String[] startLine = lines[0].split(" ", 3);
    if (startLine.length < 2) {
      return null;
    }
    boolean response = startLine[0].equals("SIP/2.0");
    WireMessage message =
        new WireMessage(
            response ? "" : startLine[0],
            response ? Integer.parseInt(startLine[1]) : 0,
            response ? "" : startLine[1],
            headEnd < 0 ? "" : text.substring(headEnd + 4));
    for (int i = 1; i < lines.length; i++) {
      int colon = lines[i].indexOf(':');
      if (colon > 0) {
        String name = lines[i].substring(0, colon).trim().toLowerCase(Locale.ROOT);
        String value = lines[i].substring(colon + 1).trim();
        message.headers.merge(
            NAMES_BY_COMPACT_FORM.getOrDefault(name, name), value, (a, b) -> a + "," + b);
      }
    }
    return message;
  }

  boolean isRequest(String name) {
    return method.equals(name);
  }

  int status() {
    return status;
  }

  String requestUri() {
    return requestUri;
  }

  String body() {
    return body;
  }

  String header(String name) {
    return headers.getOrDefault(name, "");
  }

  String callId() {
    return header("call-id");
  }

  /** Method of the CSeq: of the request itself or of the request that a response answers. */
  String cseqMethod() {
    String[] parts = header("cseq").split("\\s+");
    return parts.length < 2 ? "" : parts[1];
  }

  String cseqNumber() {
    return header("cseq").split("\\s+")[0];
  }

  String branch() {
    return parameter(header("via").split(",")[0], "branch");
  }

  String toTag() {
    return parameter(header("to"), "tag");
  }

  /** Host and port of the topmost Via. */
  String sentBy() {
    return header("via").split("[ ;,]")[1];
  }

  /** Whether the message was sent over UDP, according to its topmost Via. */
  boolean isUdp() {
    return header("via").startsWith("SIP/2.0/UDP");
  }

  String sessionId() {
    return header("session-id").split(";")[0];
  }

  private static String parameter(String value, String name) {
    int start = value.indexOf(";" + name + "=");
    if (start < 0) {
      return "";
    }
    int from = start + name.length() + 2;
    int to = value.indexOf(';', from);
    return to < 0 ? value.substring(from) : value.substring(from, to);
  }
}
