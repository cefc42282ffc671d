package coveladder.rehearsal;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * A message as the checker reads it, by code of its own: the product's parser must not judge
 * itself.
 */
final class WireMessage {
  private static final Map<String, String> COMPACT =
      Map.of("v", "via", "i", "call-id", "f", "from", "t", "to", "m", "contact");

  private final String method;
  private final int status;
  private final String uri;
  private final Map<String, String> first = new HashMap<>();
  private final String body;

  private WireMessage(String method, int status, String uri, String body) {
    this.method = method;
    this.status = status;
    this.uri = uri;
    this.body = body;
  }

  /** Reads a message; null where it is none. */
  static WireMessage read(byte[] bytes) {
    String text = new String(bytes, StandardCharsets.ISO_8859_1);
    int blank = text.indexOf("\r\n\r\n");
    String[] lines = (blank < 0 ? text : text.substring(0, blank)).split("\r\n");
    String[] start = lines[0].split(" ", 3);
    if (start.length < 2) {
      return null;
    }
    boolean response = start[0].equals("SIP/2.0");
    WireMessage message =
        new WireMessage(
            response ? "" : start[0],
            response ? Integer.parseInt(start[1]) : 0,
            response ? "" : start[1],
            blank < 0 ? "" : text.substring(blank + 4));
    for (int i = 1; i < lines.length; i++) {
      int colon = lines[i].indexOf(':');
      if (colon > 0) {
        String name = lines[i].substring(0, colon).trim().toLowerCase(Locale.ROOT);
        String value = lines[i].substring(colon + 1).trim();
        message.first.merge(COMPACT.getOrDefault(name, name), value, (a, b) -> a + "," + b);
      }
    }
    return message;
  }

  boolean request(String name) {
    return method.equals(name);
  }

  int status() {
    return status;
  }

  String uri() {
    return uri;
  }

  String body() {
    return body;
  }

  String header(String name) {
    return first.getOrDefault(name, "");
  }

  String callId() {
    return header("call-id");
  }

  /** Method that a response answers, or of the request itself. */
  String answers() {
    String[] parts = header("cseq").split("\\s+");
    return parts.length < 2 ? "" : parts[1];
  }

  String sequence() {
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

  /** Whether it came by UDP, as its topmost Via says. */
  boolean datagram() {
    return header("via").startsWith("SIP/2.0/UDP");
  }

  String session() {
    return header("session-id").split(";")[0];
  }

  private static String parameter(String value, String name) {
    int at = value.indexOf(";" + name + "=");
    if (at < 0) {
      return "";
    }
    int from = at + name.length() + 2;
    int to = value.indexOf(';', from);
    return to < 0 ? value.substring(from) : value.substring(from, to);
  }
}
